// What the agent's source files share: an upstream and an order, as the agent sees them.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP

#include "buckthornusher/answered_memory.hpp"
#include "process/agent.hpp"
#include "process/state_log.hpp"

namespace buckthornusher
{

inline constexpr duration refusal_retry_after = 100ms;
// The link to the old setup; no service can have this name.
inline constexpr char const* old_setup_link = "old setup";

struct agent::link
{
    upstream_report report;
    instant reported_at;
    instant answered_at;             // of an order
    bool departed = false;           // it has said that it ends and reports no more
    bool connection_refused = false; // the last connection to it was refused
    instant draining_since;
    http_client http;
    upstream_queue queue;
    answered_memory answered = answered_memory({});
    std::optional<hold_ledger> grants; // of an upstream that serves granted keys only
    std::size_t granted_shards = 0;    // in the last answer to a report
    std::optional<instant> expecting_since; // shards on their way here, since
    dependency state;

    bool draining() const { return departed || report.state == upstream_state::draining; }
};

struct agent::active_request
{
    enum class stage
    {
        waiting, // for the shard
        queued,  // for a slot
        running,
    };

    request_id id = 0;
    upstream_request request;
    callback done;
    stage current_stage = stage::waiting;
    std::uint64_t epoch = 0;
    link_ptr backend; // that it goes to
    bool old_setup = false;
    bool counted_in_backends = false;    // in m_backends
    bool counted_in_coordinator = false; // counted by the coordinator
    std::optional<operation_id> operation;
    std::optional<http_client::call_id> call;
    instant
        sent_lease_until; // to an upstream that is not granted its keys: it begins before
    instant arrived;
    request_trail trace;
};

} // namespace buckthornusher

#endif
