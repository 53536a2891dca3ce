// Hands what belongs to a drained shard to its successor, before the release.
//
// The owner of a drained shard sends the shard's operations and releases it when the
// successor has confirmed them, or after a short patience: a successor that cannot be
// reached costs older operation ids their certainty, not the move.
#ifndef BUCKTHORNUSHER_PROCESS_SHARD_HANDOVER_HPP
#define BUCKTHORNUSHER_PROCESS_SHARD_HANDOVER_HPP

#include "buckthornusher/coordinator.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"

#include <map>

namespace buckthornusher
{

class shard_handover
{
public:
    shard_handover(coordinator& coord, agent& local, peer_socket& peers)
        : m_coordinator(&coord), m_agent(local), m_peers(peers)
    {
    }

    void on_drained(shard_drained const& drained, instant now);

    // ---- messages ----
    void on_handover(peer_route const& route, wire::Envelope const& message, instant now);
    void on_ack(wire::Envelope const& message, instant now);

    // Releases the shards whose successors have not confirmed in time.
    void tick(instant now);
    void set_coordinator(coordinator& coord);

private:
    struct pending
    {
        std::uint64_t epoch = 0;
        instant give_up;
    };

    coordinator* m_coordinator;
    agent& m_agent;
    peer_socket& m_peers;
    std::map<shard_id, pending> m_pending;
};

} // namespace buckthornusher

#endif
