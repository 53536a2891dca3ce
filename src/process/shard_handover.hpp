// Brings a drained shard to its successor, before the release is announced.
//
// A shard that has drained here is announced as released once all that belongs to it has
// gone over:
//   - where callers use operation ids, the successor has confirmed the shard's
//   operations,
//     or a short patience is over: a successor that cannot be reached costs older ids
//     their certainty, not the move;
//   - where the upstream is granted its keys, it has reported that it no longer holds
//     those of the shard.
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
    // `operations`: callers use operation ids.
    shard_handover(coordinator& coord, agent& local, peer_socket& peers, bool operations)
        : m_coordinator(&coord), m_agent(local), m_peers(peers), m_operations(operations)
    {
    }

    void on_drained(shard_drained const& drained, instant now);

    // ---- messages ----
    void on_handover(peer_route const& route, wire::Envelope const& message, instant now);
    void on_ack(wire::Envelope const& message, instant now);

    // Takes what upstreams have released, and ends the waits that are over.
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
