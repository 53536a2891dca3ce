// Implementation of shard_handover; see the header.
#include "process/shard_handover.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

constexpr duration operations_timeout = 300ms;

} // namespace

// Returns false if the successor is not a serving member or cannot be sent to.
bool shard_handover::send_operations(shard_drained const& drained, instant now)
{
    auto const& shard = drained.release.shard;
    auto const* successor = m_coordinator->copy().serving(drained.successor);
    if (successor == nullptr)
        return false;
    wire::Envelope message;
    encode(m_coordinator->self(), *message.mutable_sender());
    encode(m_agent.operations().hand_over(shard, drained.release.epoch, now),
           *message.mutable_handover());
    return m_peers.send(successor->endpoint, message);
}

void shard_handover::on_drained(shard_drained const& drained, instant now)
{
    auto const& shard = drained.release.shard;
    bool const gone = !m_operations || !send_operations(drained, now);
    m_pending.on_drained(
        shard, drained.release.epoch,
        {.operations_transferred = gone, .confirm_deadline = now + operations_timeout});
    confirm_if_done(shard, now);
}

void shard_handover::confirm_if_done(shard_id const& shard, instant now)
{
    bool const by_report = m_agent.releases_by_report(shard.service);
    if (auto const release = m_pending.take_complete(shard, by_report))
        m_coordinator->confirm_release(*release, now);
}

void shard_handover::on_handover(peer_route const& route, wire::Envelope const& message,
                                 instant now)
{
    auto const handover = decode(message.handover());
    if (handover.epochs.empty())
        return;
    m_agent.operations().take_over(handover, now);
    wire::Envelope out;
    encode(m_coordinator->self(), *out.mutable_sender());
    auto& ack = *out.mutable_handover_ack();
    ack.set_service(handover.shard.service);
    ack.set_shard(handover.shard.index);
    ack.set_epoch(handover.epochs.back().epoch);
    m_peers.reply(route, out);
}

void shard_handover::on_ack(wire::Envelope const& message, instant now)
{
    auto const& ack = message.handover_ack();
    shard_id const shard{.service = ack.service(), .index = ack.shard()};
    m_pending.on_operations_transferred(shard, ack.epoch());
    confirm_if_done(shard, now);
}

void shard_handover::tick(instant now)
{
    for (auto& [service, released] : m_agent.take_released(now))
    {
        shard_id const shard{.service = service, .index = released.index};
        m_pending.on_upstream_done(shard, released.epoch, std::move(released.handover));
        confirm_if_done(shard, now);
    }
    for (auto const& shard : m_pending.expire(now))
        confirm_if_done(shard, now);
}

void shard_handover::set_coordinator(coordinator& coord)
{
    m_coordinator = &coord;
    m_pending.clear();
}

} // namespace buckthornusher
