// Hands what belongs to a drained shard to its successor: see the header.
#include "process/shard_handover.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

constexpr duration patience = 300ms;

void encode_handover(operation_handover const& handover, wire::Handover& out)
{
    out.set_service(handover.shard.service);
    out.set_shard(handover.shard.index);
    for (auto const& e : handover.epochs)
    {
        auto& epoch = *out.add_epochs();
        epoch.set_epoch(e.epoch);
        epoch.set_now(to_micros(e.now));
    }
    for (auto const& o : handover.operations)
    {
        auto& operation = *out.add_operations();
        operation.set_id(to_string(o.id));
        operation.set_done(o.answer.has_value());
        if (!o.answer)
            continue;
        operation.set_status(static_cast<std::uint32_t>(o.answer->status));
        operation.set_content_type(o.answer->content_type);
        operation.set_body(o.answer->body);
    }
}

operation_handover decode_handover(wire::Handover const& in)
{
    operation_handover handover{.shard = {.service = in.service(), .index = in.shard()},
                                .epochs = {},
                                .operations = {}};
    for (auto const& e : in.epochs())
        handover.epochs.push_back({.epoch = e.epoch(), .now = from_micros(e.now())});
    for (auto const& o : in.operations())
    {
        auto const id = parse_operation_id(o.id());
        if (!id)
            continue;
        handed_operation operation{.id = *id, .answer = {}};
        if (o.done())
            operation.answer = operation_answer{.status = static_cast<int>(o.status()),
                                                .content_type = o.content_type(),
                                                .body = o.body()};
        handover.operations.push_back(std::move(operation));
    }
    return handover;
}

} // namespace

void shard_handover::on_drained(shard_drained const& drained, instant now)
{
    auto const& shard = drained.release.shard;
    auto const* successor = m_coordinator->copy().member(drained.successor);
    wire::Envelope message;
    encode(m_coordinator->self(), *message.mutable_sender());
    encode_handover(m_agent.operations().hand_over(shard, drained.release.epoch, now),
                    *message.mutable_handover());
    if (successor == nullptr || !m_peers.send(successor->endpoint, message))
        return m_coordinator->confirm_release(drained.release, now);
    m_pending[shard] = {.epoch = drained.release.epoch, .give_up = now + patience};
}

void shard_handover::on_handover(peer_route const& route, wire::Envelope const& message,
                                 instant now)
{
    auto const handover = decode_handover(message.handover());
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
    auto const it = m_pending.find(shard);
    if (it == m_pending.end() || it->second.epoch != ack.epoch())
        return;
    m_pending.erase(it);
    m_coordinator->confirm_release({.shard = shard, .epoch = ack.epoch()}, now);
}

void shard_handover::tick(instant now)
{
    for (auto it = m_pending.begin(); it != m_pending.end();)
    {
        if (now < it->second.give_up)
        {
            ++it;
            continue;
        }
        m_coordinator->confirm_release({.shard = it->first, .epoch = it->second.epoch},
                                       now);
        it = m_pending.erase(it);
    }
}

void shard_handover::set_coordinator(coordinator& coord)
{
    m_coordinator = &coord;
    m_pending.clear();
}

} // namespace buckthornusher
