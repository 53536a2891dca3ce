// Implementation of the socket between nodes; see the header.
#include "connection/peer_socket.hpp"

#include "buckthornusher/answer_delivery.hpp"
#include "buckthornusher/memory_budget.hpp"
#include "process/event_loop.hpp"

#include "wire.pb.h"

#include <zmq.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr int max_queued_messages = 4'000; // per peer and direction
constexpr int max_messages_per_round = 32;
constexpr std::int64_t max_message_bytes = 83'886'080;
constexpr int reconnect_ms = 100;
constexpr int max_reconnect_ms = 1'000;
constexpr int unacknowledged_timeout_ms = 5'000;

// Repeats a ZeroMQ call for as long as signals interrupt it.
template <class Call>
auto uninterrupted(Call call)
{
    while (true)
        try
        {
            return call();
        }
        catch (zmq::error_t const& error)
        {
            if (error.num() != EINTR)
                throw;
        }
}

// Receives one part without waiting. Returns false if there is none.
bool receive(zmq::socket_t& socket, zmq::message_t& part)
{
    return uninterrupted([&] { return socket.recv(part, zmq::recv_flags::dontwait); })
        .has_value();
}

using byte_count = std::shared_ptr<std::atomic<std::uint64_t>>;

// The bytes of a long message, counted until ZeroMQ has sent or dropped them.
struct counted_bytes
{
    std::string bytes;
    byte_count total;
};

// Called by ZeroMQ, also on its own thread.
void release(void* /*data*/, void* hint)
{
    std::unique_ptr<counted_bytes> const held(static_cast<counted_bytes*>(hint));
    held->total->fetch_sub(held->bytes.size());
}

// Returns a message that owns the bytes, without copying them.
zmq::message_t make_counted_message(std::string bytes, byte_count const& total)
{
    total->fetch_add(bytes.size());
    auto held = std::make_unique<counted_bytes>(
        counted_bytes{.bytes = std::move(bytes), .total = total});
    auto* const raw = held.release();
    return {raw->bytes.data(), raw->bytes.size(), release, raw};
}

// Sends one part without waiting. Returns false if the queue is full. Throws if there is
// no such connection.
bool send_part(zmq::socket_t& socket, std::string const& part, zmq::send_flags flags)
{
    return uninterrupted(
               [&] {
                   return socket.send(zmq::buffer(part),
                                      flags | zmq::send_flags::dontwait);
               })
        .has_value();
}

// Closes the connection to the endpoint, if there is one.
void disconnect(zmq::socket_t& socket, std::string const& endpoint)
{
    while (zmq_disconnect(socket.handle(), endpoint.c_str()) != 0 && errno == EINTR)
    {
    }
}
} // namespace

struct peer_socket::impl
{
    zmq::context_t context{1};
    zmq::socket_t socket{context, zmq::socket_type::router};
    handler on_message;
    // The routing id of the connection to each endpoint. Ids are not reused, as a closed
    // connection may still be shutting down.
    std::map<std::string, std::string> connections;
    std::uint64_t next_connection = 1;
    peer_counts counts;
    // ZeroMQ's descriptor is edge-triggered, and a send may consume the edge. After each
    // event and each send the socket is therefore read until it is empty.
    bool may_be_ready = true;
    std::uint64_t max_queued_bytes = 0;
    byte_count queued_bytes = std::make_shared<std::atomic<std::uint64_t>>(0);
    delivery_watch delivery; // of long messages

    bool fits_queue(std::size_t bytes) const;
    bool send_body(std::string bytes);
    bool send_to(std::string const& identity, wire::Envelope const& message);
    bool read_batch(); // returns whether it tried to read
    bool read_one();   // returns false if there is no message
};

bool peer_socket::impl::fits_queue(std::size_t bytes) const
{
    if (bytes <= long_message_bytes)
        return true;
    auto const queued = queued_bytes->load();
    return static_cast<std::int64_t>(bytes) <= max_message_bytes &&
           (queued == 0 || queued + bytes <= max_queued_bytes);
}

bool peer_socket::impl::send_body(std::string bytes)
{
    if (bytes.size() <= long_message_bytes)
        return send_part(socket, bytes, zmq::send_flags::none);
    auto message = make_counted_message(std::move(bytes), queued_bytes);
    return uninterrupted([&] { return socket.send(message, zmq::send_flags::dontwait); })
        .has_value();
}

bool peer_socket::impl::send_to(std::string const& identity,
                                wire::Envelope const& message)
{
    auto bytes = message.SerializeAsString();
    auto const size = bytes.size();
    if (!fits_queue(size))
    {
        ++counts.not_sent;
        return false;
    }
    bool sent = false;
    may_be_ready = true;
    try
    {
        sent = send_part(socket, identity, zmq::send_flags::sndmore) &&
               send_body(std::move(bytes));
    }
    catch (zmq::error_t const&)
    {
        sent = false; // no such connection
    }
    if (!sent)
    {
        ++counts.not_sent;
        return false;
    }
    ++counts.sent;
    counts.sent_bytes += size;
    counts.sent_long_bytes += size > long_message_bytes ? size : 0;
    return true;
}

bool peer_socket::impl::read_batch()
{
    if (!may_be_ready)
        return false;
    for (int i = 0; i < max_messages_per_round; ++i)
        if (!read_one())
        {
            // Sends by the handlers above precede this empty read, so no edge is missed.
            may_be_ready = false;
            break;
        }
    return true;
}

bool peer_socket::impl::read_one()
{
    zmq::message_t identity;
    zmq::message_t body;
    if (!receive(socket, identity))
        return false;
    bool const complete = identity.more() && receive(socket, body);
    wire::Envelope envelope;
    if (!complete || body.more() ||
        !envelope.ParseFromArray(body.data(), static_cast<int>(body.size())))
    {
        ++counts.malformed;
        while (complete && body.more() && receive(socket, body))
        {
        }
        return true;
    }
    ++counts.received;
    counts.received_bytes += body.size();
    body.rebuild(); // frees it, as the envelope holds the same
    on_message({.identity = identity.to_string()}, envelope);
    return true;
}

peer_socket::peer_socket(event_loop& loop, std::string const& bind, handler on_message,
                         std::uint64_t max_queued_bytes)
    : m_impl(std::make_unique<impl>())
{
    m_impl->max_queued_bytes = max_queued_bytes;
    m_impl->on_message = std::move(on_message);
    auto& socket = m_impl->socket;
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::router_mandatory, 1);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::rcvhwm, max_queued_messages);
    socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_ms);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_timeout_ms);
    try
    {
        socket.bind(bind);
    }
    catch (zmq::error_t const& error)
    {
        throw std::runtime_error("peer socket: cannot bind " + bind + ": " +
                                 error.what());
    }
    loop.wake_on(socket.get(zmq::sockopt::fd),
                 [impl = m_impl.get()] { impl->may_be_ready = true; });
    loop.after_round([impl = m_impl.get()] { return impl->read_batch(); });
}

peer_socket::~peer_socket() = default;

bool peer_socket::send(std::string const& endpoint, wire::Envelope const& message)
{
    auto it = m_impl->connections.find(endpoint);
    if (it == m_impl->connections.end())
    {
        auto const id = endpoint + "#" + std::to_string(m_impl->next_connection++);
        try
        {
            m_impl->socket.set(zmq::sockopt::connect_routing_id, id);
            uninterrupted([&] { m_impl->socket.connect(endpoint); });
        }
        catch (zmq::error_t const&)
        {
            ++m_impl->counts.not_sent; // not a valid ZeroMQ endpoint
            return false;
        }
        it = m_impl->connections.emplace(endpoint, id).first;
    }
    return m_impl->send_to(it->second, message);
}

void peer_socket::reconnect(std::string const& endpoint)
{
    if (m_impl->connections.erase(endpoint) > 0)
        disconnect(m_impl->socket, endpoint);
}

void peer_socket::keep_only(std::set<std::string> const& endpoints)
{
    std::vector<std::string> others;
    for (auto const& entry : m_impl->connections)
        if (!endpoints.contains(entry.first))
            others.push_back(entry.first);
    for (auto const& endpoint : others)
        reconnect(endpoint);
}

bool peer_socket::reply(peer_route const& route, wire::Envelope const& message)
{
    return m_impl->send_to(route.identity, message);
}

peer_counts const& peer_socket::counts() const
{
    return m_impl->counts;
}

std::uint64_t peer_socket::queued_bytes() const
{
    return m_impl->queued_bytes->load();
}

bool peer_socket::awaits_delivery(instant now)
{
    auto const handed_over = m_impl->counts.sent_long_bytes;
    auto const queued = std::min(handed_over, queued_bytes());
    auto const written = handed_over - queued;
    m_impl->delivery.note(
        {.handed_over = handed_over, .written = written, .acknowledged = written}, now);
    return m_impl->delivery.awaited(now);
}

std::size_t peer_socket::connections() const
{
    return m_impl->connections.size();
}

} // namespace buckthornusher
