// Private to the agent's source files: its state for an upstream and for a request.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP

#include "buckthornusher/answered_memory.hpp"
#include "buckthornusher/reported_load.hpp"
#include "buckthornusher/upstream_pace.hpp"
#include "process/agent.hpp"
#include "process/state_log.hpp"

namespace buckthornusher
{

inline constexpr duration refusal_retry_after = 100ms;
// Key of the link to the old setup. No service can have this name.
inline constexpr char const* old_setup_link = "old setup";

struct agent::link
{
    upstream_report report;
    instant reported_at;
    instant answered_at;         // last answer to a request
    bool departed = false;       // announced its exit; reports no more
    bool connect_failed = false; // the latest attempt to connect; see upstream_liveness
    bool drained_before = false; // began to drain under an earlier process
    instant draining_since;      // long ago if it drained before
    http_client http;
    upstream_queue queue;
    upstream_condition condition;
    upstream_pace pace;
    std::optional<instant> failing_since; // connections, without an answer since
    bool logged_paced = false;
    answered_memory answered = answered_memory({});
    std::optional<grant_table> grants;      // if it serves granted keys only
    std::size_t granted_shards = 0;         // in the last answer to a report
    std::optional<instant> expecting_since; // incoming shards, from then on
    dependency state;
    bool logged_cold = false;
    instant broken_load_logged_at; // long ago: not yet

    bool draining() const
    {
        return departed || drained_before || report.state == upstream_state::draining;
    }
};

struct agent::active_request
{
    enum class stage
    {
        waiting, // until the shard can be served here
        queued,  // until the upstream has a free slot
        running,
    };

    request_id id = 0;
    upstream_request request;
    callback done;
    stage current_stage = stage::waiting;
    std::uint64_t epoch = 0;
    link_ptr backend; // destination
    bool old_setup = false;
    std::uint64_t regions_as_of = 0;  // m_routes_number when its regions were determined
    bool counted_in_backends = false; // in m_backends
    bool counted_in_coordinator = false; // between its try_begin() and end()
    std::optional<operation_id> operation;
    std::optional<http_client::call_id> call;
    // The lease end sent to an upstream without grants, which begins no request after it.
    instant sent_lease_until;
    instant arrived;
    std::optional<instant> waiting_since; // for its shard
    bool held_for_link = false;
    request_trace trace;
};

} // namespace buckthornusher

#endif
