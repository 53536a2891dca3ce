// Messages between nodes: one ZeroMQ ROUTER socket on the event loop.
//
// A node connects to a peer when it first sends to it, and answers requests down the
// connection that they came by. Queues are bounded. A message may wait in a queue while
// its peer is away and arrive late; receivers must bear that (see request_clock.hpp).
// Between two looks at its other descriptors the loop reads a bounded number of messages.
#ifndef BUCKTHORNUSHER_CONNECTION_PEER_SOCKET_HPP
#define BUCKTHORNUSHER_CONNECTION_PEER_SOCKET_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace buckthornusher
{

class event_loop;

namespace wire
{
class Envelope;
}

// The connection that a message came by.
struct peer_route
{
    std::string identity;
    friend bool operator==(peer_route const&, peer_route const&) = default;
};

struct peer_counts
{
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t not_sent = 0;  // queue full or connection gone
    std::uint64_t malformed = 0; // messages that are not an envelope
};

class peer_socket
{
public:
    using handler = std::function<void(peer_route const&, wire::Envelope const&)>;

    // `bind` is "tcp://IP:port". Throws std::runtime_error if it cannot be bound.
    peer_socket(event_loop& loop, std::string const& bind, handler on_message);
    ~peer_socket();
    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    // False: the message certainly did not leave. True: it was queued.
    bool send(std::string const& endpoint, wire::Envelope const& message);
    bool reply(peer_route const& route, wire::Envelope const& message);

    // Closes the connection to the endpoint, with what waits on it; the next send opens
    // another.
    void reconnect(std::string const& endpoint);

    // Closes the connections to all other endpoints.
    void keep_only(std::set<std::string> const& endpoints);

    peer_counts const& counts() const;
    std::size_t connections() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
