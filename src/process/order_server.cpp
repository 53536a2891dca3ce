// Runs the orders that other nodes send here: see the header.
#include "process/order_server.hpp"

#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

void order_server::on_forward(peer_route const& route, wire::Envelope const& message)
{
    auto const& in = message.forward();
    auto o = decode(in);
    o.sender = message.sender().node();
    auto const sent_at = from_micros(in.token().sent_at());
    auto const later = [&](std::uint64_t us)
    {
        return sent_at + duration(static_cast<duration::rep>(us));
    };
    o.deadline = later(in.budget());
    o.due = later(in.due());
    o.start_until = later(in.start_within());
    m_orders[{route.identity, in.attempt()}] = 0;
    m_arrived.push_back({.route = route,
                         .attempt = in.attempt(),
                         .session = in.token().session(),
                         .what = std::move(o),
                         .read = boot_now()});
}

bool order_server::begin_arrived()
{
    auto arrived = std::exchange(m_arrived, {});
    for (auto& a : arrived)
        if (m_orders.contains({a.route.identity, a.attempt}))
            begin(std::move(a));
    return !arrived.empty();
}

void order_server::begin(arrived_order arrived)
{
    auto const& [route, attempt, session, what, read] = arrived;
    order_key const key{route.identity, attempt};
    auto const service = what.service;
    if (session != m_table.session() || what.deadline <= boot_now())
    {
        m_orders.erase(key);
        return reply(route, attempt, service, read,
                     order_refused{.reason = outcome_reason::stale});
    }
    auto const id = m_agent.run(
        std::move(arrived.what),
        [this, route = route, key, service, read = read](order_result const& result)
        {
            m_orders.erase(key);
            reply(route, key.second, service, read, result);
        });
    if (auto const it = m_orders.find(key); it != m_orders.end())
        it->second = id;
}

void order_server::reply(peer_route const& route, std::uint64_t attempt,
                         std::string const& service, instant read,
                         order_result const& result)
{
    auto const now = boot_now();
    wire::Envelope out;
    out.mutable_sender()->set_node(m_self);
    auto& w = *out.mutable_reply();
    w.set_attempt(attempt);
    encode(result, w);
    w.set_held(to_micros(now) - to_micros(read));
    if (auto const load = m_agent.load(service, now))
        encode(*load, *w.mutable_load());
    m_peers.reply(route, out);
}

void order_server::on_cancel(peer_route const& route, wire::Envelope const& message)
{
    auto const it = m_orders.find({route.identity, message.cancel().attempt()});
    if (it == m_orders.end())
        return;
    auto const id = it->second;
    m_orders.erase(it);
    if (id != 0)
        m_agent.cancel(id);
}

} // namespace buckthornusher
