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
    auto const now = boot_now();
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
    auto const attempt = in.attempt();
    auto const service = o.service;
    if (in.token().session() != m_table.session() || o.deadline <= now)
        return reply(route, attempt, service, now, order_refused{.why = reason::stale});
    order_key const key{route.identity, attempt};
    m_orders[key] = 0;
    auto const id =
        m_agent.run(std::move(o),
                    [this, route, key, service, now](order_result const& result)
                    {
                        m_orders.erase(key);
                        reply(route, key.second, service, now, result);
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
    m_agent.cancel(id);
}

} // namespace buckthornusher
