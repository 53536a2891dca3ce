// Transfers the state of a drained shard to its successor before the release is
// announced.
//
// A drained shard is announced as released once both conditions hold:
//   - if callers use operation ids, the successor has acknowledged the shard's operations
//     or a timeout of 300 ms has passed. An unreachable successor does not hold up the
//     move; the results of older operation ids become unknown instead;
//   - if the upstream serves granted keys only, it has reported that it no longer holds
//     the shard's keys.
#ifndef BUCKTHORNUSHER_PROCESS_SHARD_HANDOVER_HPP
#define BUCKTHORNUSHER_PROCESS_SHARD_HANDOVER_HPP

#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/pending_releases.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"

namespace buckthornusher
{

class shard_handover
{
public:
    // `operations`: whether callers use operation ids.
    shard_handover(coordinator& coord, agent& local, peer_socket& peers, bool operations)
        : m_coordinator(&coord), m_agent(local), m_peers(peers), m_operations(operations)
    {
    }

    void on_drained(shard_drained const& drained, instant now);

    // ---- messages ----
    void on_handover(peer_route const& route, wire::Envelope const& message, instant now);
    void on_ack(wire::Envelope const& message, instant now);

    // Processes the shards that upstreams have released, and expired timeouts.
    void tick(instant now);
    void set_coordinator(coordinator& coord);

private:
    bool send_operations(shard_drained const& drained, instant now);
    void confirm_if_done(shard_id const& shard, instant now);

    coordinator* m_coordinator;
    agent& m_agent;
    peer_socket& m_peers;
    bool m_operations;
    pending_releases m_pending;
};

} // namespace buckthornusher

#endif
