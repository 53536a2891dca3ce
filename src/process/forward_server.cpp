// Implementation of forward_server; see the header.
#include "process/forward_server.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/log.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <algorithm>
#include <iterator>

namespace buckthornusher
{

namespace
{
constexpr std::uint64_t copies_of_body = 2; // the agent's and its connection's
constexpr duration overloaded_retry_after = 200ms;

constexpr std::uint64_t max_small_bytes = 4'096; // an answer up to this is sent at once
constexpr std::size_t max_unsent_replies = 1'000;

} // namespace

void forward_server::on_forward(peer_route const& route, wire::Envelope const& message)
{
    auto const& in = message.forward();
    std::shared_ptr<memory_hold> held;
    if (in.body().size() > long_message_bytes)
    {
        held = std::make_shared<memory_hold>(m_memory);
        if (!held->try_set(copies_of_body * in.body().size(), in.body().size()))
            return reply(
                {.route = route,
                 .node = message.sender().node(),
                 .attempt = in.attempt(),
                 .kind = {.service = in.service(), .request_class = in.request_class()},
                 .read_at = boot_now(),
                 .result = request_refused{.reason = outcome_reason::overloaded,
                                           .retry_after = overloaded_retry_after}});
    }
    auto request = decode(in);
    request.held = std::move(held);
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
                          .read_at = boot_now()});
}

bool forward_server::begin_received()
{
    auto arrived = std::exchange(m_received, {});
    if (!arrived.empty())
        count_sent(boot_now()); // what the requests' room depends on
    for (auto& a : arrived)
        if (m_requests.contains({a.route.identity, a.attempt}))
            begin(std::move(a));
    return !arrived.empty();
}

void forward_server::begin(received_request arrived)
{
    auto const& [route, attempt, session, request, read_at] = arrived;
    request_key const key{route.identity, attempt};
    request_kind const kind{.service = request.service,
                            .request_class = request.request_class};
    if (session != m_peer_table.session() || request.deadline <= boot_now())
    {
        m_requests.erase(key);
        return reply({.route = route,
                      .node = request.sender,
                      .attempt = attempt,
                      .kind = kind,
                      .read_at = read_at,
                      .result = request_refused{.reason = outcome_reason::stale}});
    }
    bool const large = request.large_answer;
    auto const node = request.sender;
    auto const due = request.due;
    auto const deadline = request.deadline;
    auto const id = m_agent.run(std::move(arrived.request),
                                [this, route = route, node, key, kind, read_at = read_at,
                                 large, due, deadline](request_result result)
                                {
                                    m_requests.erase(key);
                                    send_or_hold({.route = route,
                                                  .node = node,
                                                  .attempt = key.second,
                                                  .kind = kind,
                                                  .read_at = read_at,
                                                  .result = std::move(result),
                                                  .large = large,
                                                  .due = due,
                                                  .deadline = deadline});
                                });
    if (auto const it = m_requests.find(key); it != m_requests.end())
        it->second = id;
}

void forward_server::send_or_hold(outgoing_reply r)
{
    auto const* answered = std::get_if<request_answered>(&r.result);
    auto const bytes = answered == nullptr ? 0 : answered->response.body.size();
    bool const waits =
        r.large && bytes > max_small_bytes && m_agent.link_answers().active();
    if (!waits)
        return reply(r);
    auto const now = boot_now();
    hold(std::move(r), bytes, now);
    release_held(now);
}

void forward_server::hold(outgoing_reply r, std::uint64_t bytes, instant now)
{
    auto& link = m_agent.link_answers();
    auto const id = m_next_held++;
    r.link_time = link.time_of(bytes);
    link.add({.id = id, .bytes = bytes, .due = r.due, .deadline = r.deadline}, now);
    m_held.emplace(id, std::move(r));
}

// Everything that the node sends takes its time on the link.
void forward_server::count_sent(instant now)
{
    auto const sent = m_peers.counts().sent_bytes;
    m_agent.link_answers().count_other(sent - std::exchange(m_counted_bytes, sent), now);
}

// Sends the answers whose turn it is. The result of one that came too late is unknown to
// its sender: the request has run.
void forward_server::release_held(instant now)
{
    auto& link = m_agent.link_answers();
    count_sent(now);
    auto const released = link.take(now);
    for (auto const id : released.send)
        if (auto const held = m_held.extract(id))
            reply(held.mapped());
    m_counted_bytes = m_peers.counts().sent_bytes; // the link has counted them itself
    for (auto const id : released.dropped)
        if (auto held = m_held.extract(id))
        {
            held.mapped().result = request_unknown{.reason = outcome_reason::deadline};
            held.mapped().link_time = duration{0};
            reply(held.mapped());
        }
    if (m_release_timer)
        m_loop.timers().cancel(*std::exchange(m_release_timer, std::nullopt));
    if (auto const next = link.next_release())
        m_release_timer = m_loop.timers().at(*next,
                                             [this](instant t)
                                             {
                                                 m_release_timer.reset();
                                                 release_held(t);
                                             });
}

bool forward_server::drop_held(request_key const& key)
{
    for (auto it = m_held.begin(); it != m_held.end(); ++it)
        if (it->second.attempt == key.second && it->second.route.identity == key.first)
        {
            m_agent.link_answers().cancel(it->first);
            m_held.erase(it);
            return true;
        }
    return false;
}

// Sends the reply on its connection. Returns false if it was certainly not sent.
bool forward_server::send_reply(outgoing_reply const& r)
{
    auto const now = boot_now();
    wire::Envelope out;
    out.mutable_sender()->set_node(m_self);
    auto& w = *out.mutable_reply();
    w.set_attempt(r.attempt);
    encode(r.result, w);
    // The time on the link is no delay of the node's.
    w.set_held(to_micros(now + r.link_time) - to_micros(r.read_at));
    if (auto load = m_agent.load(r.kind.service, r.kind.request_class, now))
    {
        m_agent.add_link_load(*load, now);
        encode(*load, *w.mutable_load());
    }
    if (m_peers.reply(r.route, out))
        return true;
    if (!std::holds_alternative<request_answered>(r.result))
        return false;
    encode(request_unknown{.reason = outcome_reason::answer_lost}, w);
    w.clear_body();
    w.clear_headers();
    return m_peers.reply(r.route, out);
}

void forward_server::reply(outgoing_reply const& r)
{
    if (send_reply(r))
        return;
    auto again = r;
    auto const heard = m_routes.find(r.node);
    bool const has_other = heard != m_routes.end() && !(heard->second == r.route);
    if (has_other)
        again.route = heard->second;
    if (has_other && send_reply(again))
        return;
    if (again.deadline > boot_now() && m_unsent.size() < max_unsent_replies)
        m_unsent.push_back(std::move(again));
    else
        note_lost(again);
}

void forward_server::note_lost(outgoing_reply const& r)
{
    ++m_lost_replies;
    log_event(log_level::warning, "reply-lost",
              {{"to", r.node}, {"sending", std::to_string(r.attempt)}});
}

void forward_server::note_route(std::string const& node, peer_route const& route)
{
    auto& known = m_routes[node];
    if (known == route)
        return;
    known = route;
    auto const is_to_node = [&](outgoing_reply const& r)
    {
        return r.node == node;
    };
    std::vector<outgoing_reply> waiting;
    std::copy_if(m_unsent.begin(), m_unsent.end(), std::back_inserter(waiting),
                 is_to_node);
    std::erase_if(m_unsent, is_to_node);
    for (auto& r : waiting)
    {
        r.route = route;
        reply(r);
    }
}

void forward_server::drop_overdue(instant now)
{
    auto const is_overdue = [&](outgoing_reply const& r)
    {
        return r.deadline <= now;
    };
    for (auto const& r : m_unsent)
        if (is_overdue(r))
            note_lost(r);
    std::erase_if(m_unsent, is_overdue);
}

void forward_server::on_cancel(peer_route const& route, wire::Envelope const& message)
{
    request_key const key{route.identity, message.cancel().attempt()};
    auto const it = m_requests.find(key);
    if (it == m_requests.end())
    {
        drop_held(key);
        return;
    }
    auto const id = it->second;
    m_requests.erase(it);
    if (id != 0)
        m_agent.cancel(id);
}

} // namespace buckthornusher
