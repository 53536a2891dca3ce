// Messages between nodes: one ZeroMQ ROUTER socket on the event loop.
//
// A node connects to a peer when it first sends to it, and answers requests over the
// connection on which they arrived. Queues are bounded, and so are the bytes of long
// messages in them: one that would exceed the bound is not sent, unless it is the only
// one. While a peer is unreachable, messages to it stay queued and may arrive late, which
// receivers must tolerate (see request_clock.hpp). The number of messages read in one
// round of the event loop is bounded, so that other descriptors are served between
// batches.
#ifndef BUCKTHORNUSHER_CONNECTION_PEER_SOCKET_HPP
#define BUCKTHORNUSHER_CONNECTION_PEER_SOCKET_HPP

#include "buckthornusher/time.hpp"

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

// Identifies the connection on which a message arrived.
struct peer_route
{
    std::string identity;
    friend bool operator==(peer_route const&, peer_route const&) = default;
};

struct peer_counts
{
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_long_bytes = 0; // of long messages
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t not_sent = 0;  // queue full, connection lost or endpoint invalid
    std::uint64_t malformed = 0; // messages that do not parse as an envelope
};

class peer_socket
{
public:
    using handler = std::function<void(peer_route const&, wire::Envelope const&)>;

    static constexpr std::uint64_t default_max_queued_bytes = 67'108'864;

    // `bind` is "tcp://IP:port". Throws std::runtime_error if it cannot be bound. Calls
    // `on_message` from the loop for each message received.
    peer_socket(event_loop& loop, std::string const& bind, handler on_message,
                std::uint64_t max_queued_bytes = default_max_queued_bytes);
    ~peer_socket();
    peer_socket(peer_socket const&) = delete;
    peer_socket& operator=(peer_socket const&) = delete;

    // Return true if the message was queued, and false if it was certainly not sent.
    bool send(std::string const& endpoint, wire::Envelope const& message);
    bool reply(peer_route const& route, wire::Envelope const& message);

    // Closes the connection to the endpoint and drops the messages queued on it. The next
    // send opens a new connection.
    void reconnect(std::string const& endpoint);

    // Closes the connections to all endpoints that are not in the set.
    void keep_only(std::set<std::string> const& endpoints);

    peer_counts const& counts() const;
    std::size_t connections() const;
    std::uint64_t queued_bytes() const; // of long messages that are not sent yet
    // Returns whether long messages wait for peers that go on taking them
    // (answer_delivery.hpp). Tells so only if it is called again and again.
    bool awaits_delivery(instant now);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
