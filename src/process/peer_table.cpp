// What a node knows of its peers as partners: see the header.
#include "process/peer_table.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"

#include "wire.pb.h"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

void peer_table::ask(peer& p, instant now)
{
    if (now - p.last_asked < m_options.question_after)
        return;
    p.last_asked = now;
    wire::Envelope hello;
    hello.mutable_sender()->set_node(m_self);
    hello.mutable_hello();
    m_socket.send(p.endpoint, hello);
}

std::optional<request_clock::stamp_value>
peer_table::stamp(std::string const& node, std::string const& endpoint, instant now)
{
    auto& p = m_peers[node];
    if (p.endpoint != endpoint)
    {
        p.endpoint = endpoint;
        m_clocks.forget(node);
    }
    if (p.silent || m_clocks.wants_reading(node, now))
        ask(p, now);
    return p.silent ? std::nullopt : m_clocks.stamp(node, now);
}

void peer_table::await(std::string const& node, std::string const& endpoint, instant now)
{
    auto& p = m_peers[node];
    p.endpoint = endpoint;
    if (p.awaited++ == 0)
        p.awaited_since = now;
}

void peer_table::end_await(std::string const& node)
{
    auto const it = m_peers.find(node);
    if (it != m_peers.end() && it->second.awaited > 0)
        --it->second.awaited;
}

duration peer_table::heard(std::string const& node, instant now)
{
    auto const it = m_peers.find(node);
    if (it == m_peers.end())
        return duration{0};
    auto& p = it->second;
    bool const was_silent = std::exchange(p.silent, false);
    auto const before = std::exchange(p.last_heard, now);
    return was_silent ? now - before : duration{0};
}

void peer_table::on_hello(peer_route const& route) const
{
    wire::Envelope out;
    out.mutable_sender()->set_node(m_self);
    out.mutable_hello_ack()->set_now(to_micros(boot_now()));
    out.mutable_hello_ack()->set_session(m_session);
    m_socket.reply(route, out);
}

bool peer_table::on_hello_ack(wire::Envelope const& message, instant now)
{
    auto const& ack = message.hello_ack();
    auto const& node = message.sender().node();
    m_clocks.on_reading(node, {.session = ack.session(), .at = from_micros(ack.now())},
                        now);
    auto& p = m_peers[node];
    auto const before = std::exchange(p.session, ack.session());
    return before != 0 && before != ack.session();
}

void peer_table::on_goodbye(std::string const& node)
{
    m_clocks.forget(node);
}

std::vector<std::string> peer_table::tick(instant now)
{
    std::vector<std::string> silent;
    for (auto& [node, p] : m_peers)
    {
        if (p.awaited == 0 && !p.silent)
            continue;
        auto const quiet_since = std::max(p.last_heard, p.awaited_since);
        if (now - quiet_since >= m_options.question_after)
            ask(p, now);
        if (p.silent || p.awaited == 0 || now - quiet_since < m_options.silent_after)
            continue;
        p.silent = true;
        m_socket.reconnect(p.endpoint);
        silent.push_back(node);
    }
    return silent;
}

} // namespace buckthornusher
