// Implementation of forward_server; see the header.
#include "process/forward_server.hpp"

#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
constexpr std::size_t long_body_bytes = 65'536;
constexpr std::uint64_t copies_of_body = 2; // the agent's and its connection's
constexpr duration overloaded_retry_after = 200ms;
} // namespace

void forward_server::on_forward(peer_route const& route, wire::Envelope const& message)
{
    auto const& in = message.forward();
    std::shared_ptr<memory_hold> held;
    if (in.body().size() > long_body_bytes)
    {
        held = std::make_shared<memory_hold>(m_memory);
        if (!held->try_set(copies_of_body * in.body().size()))
            return reply(route, in.attempt(),
                         {.service = in.service(), .request_class = in.request_class()},
                         boot_now(),
                         request_refused{.reason = outcome_reason::overloaded,
                                         .retry_after = overloaded_retry_after});
    }
    auto request = decode(in);
    request.sender = message.sender().node();
    auto const sent_at = from_micros(in.token().sent_at());
    auto const after_sent = [&](std::uint64_t us)
    {
        return sent_at + duration(static_cast<duration::rep>(us));
    };
    request.deadline = after_sent(in.budget());
    request.due = after_sent(in.due());
    request.start_until = after_sent(in.start_within());
    m_requests[{route.identity, in.attempt()}] = 0;
    m_received.push_back({.route = route,
                          .attempt = in.attempt(),
                          .session = in.token().session(),
                          .request = std::move(request),
                          .read_at = boot_now(),
                          .held = std::move(held)});
}

bool forward_server::begin_received()
{
    auto arrived = std::exchange(m_received, {});
    for (auto& a : arrived)
        if (m_requests.contains({a.route.identity, a.attempt}))
            begin(std::move(a));
    return !arrived.empty();
}

void forward_server::begin(received_request arrived)
{
    auto const& [route, attempt, session, request, read_at, held] = arrived;
    request_key const key{route.identity, attempt};
    request_kind const kind{.service = request.service,
                            .request_class = request.request_class};
    if (session != m_peer_table.session() || request.deadline <= boot_now())
    {
        m_requests.erase(key);
        return reply(route, attempt, kind, read_at,
                     request_refused{.reason = outcome_reason::stale});
    }
    auto const id = m_agent.run(std::move(arrived.request),
                                [this, route = route, key, kind, read_at = read_at,
                                 held = held](request_result const& result)
                                {
                                    m_requests.erase(key);
                                    reply(route, key.second, kind, read_at, result);
                                });
    if (auto const it = m_requests.find(key); it != m_requests.end())
        it->second = id;
}

void forward_server::reply(peer_route const& route, std::uint64_t attempt,
                           request_kind const& kind, instant read_at,
                           request_result const& result)
{
    auto const now = boot_now();
    wire::Envelope out;
    out.mutable_sender()->set_node(m_self);
    auto& w = *out.mutable_reply();
    w.set_attempt(attempt);
    encode(result, w);
    w.set_held(to_micros(now) - to_micros(read_at));
    if (auto const load = m_agent.load(kind.service, kind.request_class, now))
        encode(*load, *w.mutable_load());
    if (m_peers.reply(route, out) || !std::holds_alternative<request_answered>(result))
        return;
    encode(request_unknown{.reason = outcome_reason::answer_lost}, w);
    w.clear_body();
    w.clear_headers();
    m_peers.reply(route, out);
}

void forward_server::on_cancel(peer_route const& route, wire::Envelope const& message)
{
    auto const it = m_requests.find({route.identity, message.cancel().attempt()});
    if (it == m_requests.end())
        return;
    auto const id = it->second;
    m_requests.erase(it);
    if (id != 0)
        m_agent.cancel(id);
}

} // namespace buckthornusher
