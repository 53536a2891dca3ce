// What the agent's source files share: an upstream and an order, as the agent sees them.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_IMPL_HPP

#include "buckthornusher/answered_memory.hpp"
#include "process/agent.hpp"
#include "process/state_log.hpp"

namespace buckthornusher
{

inline constexpr duration agent_wait_retry = 100ms;
// The link to the old setup; no service can have this name.
inline constexpr char const* old_setup_link = "old setup";

struct agent::link
{
    upstream_report described;
    instant last_report;
    instant last_answer;   // of an order
    bool departed = false; // it has said that it ends and reports no more
    bool refused = false;  // the last connection to it was refused
    instant draining_since;
    http_client http;
    upstream_queue queue;
    answered_memory answered = answered_memory({});
    std::optional<grant_table> grants; // of an upstream that serves granted keys only
    std::size_t granted_shards = 0;    // in the last answer to a report
    std::optional<instant> expecting;  // shards on their way here, since
    dependency state;

    bool draining() const
    {
        return departed || described.state == upstream_state::draining;
    }
};

struct agent::work
{
    enum class state
    {
        waiting, // for the shard
        queued,  // for a slot
        running,
    };

    order_id id = 0;
    order o;
    callback done;
    state at = state::waiting;
    std::uint64_t epoch = 0;
    link_ptr backend; // that it goes to
    bool old_setup = false;
    bool counted = false; // in m_backends
    bool begun = false;   // counted by the coordinator
    std::optional<operation_id> operation;
    std::optional<http_client::call_id> call;
    instant lease_told; // to an upstream that is not granted its keys: it begins before
    instant arrived;
    request_trail trail;
};

} // namespace buckthornusher

#endif
