// Implementation of peer_table; see the header.
#include "process/peer_table.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"

#include "wire.pb.h"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

void peer_table::probe(peer& p, instant now)
{
    if (now - p.last_probed < m_options.probe_after)
        return;
    p.last_probed = now;
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
        probe(p, now);
    return p.silent ? std::nullopt : m_clocks.stamp(node, now);
}

void peer_table::await(std::string const& node, std::string const& endpoint, instant now)
{
    auto& p = m_peers[node];
    p.endpoint = endpoint;
    if (p.awaited_answers++ == 0)
        p.awaited_since = now;
}

void peer_table::end_await(std::string const& node)
{
    auto const it = m_peers.find(node);
    if (it != m_peers.end() && it->second.awaited_answers > 0)
        --it->second.awaited_answers;
}

duration peer_table::silence(std::string const& node, instant now) const
{
    auto const it = m_peers.find(node);
    if (it == m_peers.end() || it->second.awaited_answers == 0)
        return duration{0};
    auto const& p = it->second;
    auto const silent = now - std::max(p.last_heard, p.awaited_since);
    bool const late = silent >= m_options.probe_after + m_options.probe_round_trip;
    return late ? silent : duration{0};
}

duration peer_table::on_message(std::string const& node, instant now)
{
    auto const it = m_peers.find(node);
    if (it == m_peers.end())
        return duration{0};
    auto& p = it->second;
    bool const was_silent = std::exchange(p.silent, false);
    auto const previous = std::exchange(p.last_heard, now);
    return was_silent ? now - previous : duration{0};
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
    auto const previous = std::exchange(p.session, ack.session());
    return previous != 0 && previous != ack.session();
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
        if (p.awaited_answers == 0 && !p.silent)
            continue;
        auto const silent_since = std::max(p.last_heard, p.awaited_since);
        if (now - silent_since >= m_options.probe_after)
            probe(p, now);
        if (p.silent || p.awaited_answers == 0 ||
            now - silent_since < m_options.silent_after)
            continue;
        p.silent = true;
        m_socket.reconnect(p.endpoint);
        silent.push_back(node);
    }
    return silent;
}

} // namespace buckthornusher
