// An HTTP/1.1 server on the event loop.
//
// Each request is read whole, within its limits, before the handler sees it, and each
// answer is written whole. A handler may answer later: it keeps the `http_reply` and
// calls send() once. A reply whose connection has gone is dropped, and `on_disconnect` is
// called so that the work can be cancelled. A request whose caller has closed the
// connection by the time it is read is not handed to the handler at all.
//
// A caller may send further requests before the first is answered; they are handled side
// by side, and answered in their order. Bytes that are not a request get 400, 413 or 431,
// a header that does not come in time gets 408, and the connection ends there: nothing
// that follows on it is read as a request. Connections that stay unused longer than the
// idle time are closed.
//
// Cost: O(bytes); memory of a connection in use is its unread bytes, its requests in work
// and their answers; reading stops while `max_pipelined` requests of it are in work.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP

#include "buckthornusher/time.hpp"
#include "connection/http_codec.hpp"
#include "connection/tcp_socket.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace buckthornusher
{

class event_loop;
struct http_exchange; // one request and its answer; lives for the request

class http_reply
{
public:
    explicit http_reply(std::weak_ptr<http_exchange> exchange);

    // Sends the answer. Later calls do nothing.
    void send(http_response response) const;
    // Called when the caller's connection closes before the answer was sent.
    void on_disconnect(std::function<void()> fn) const;
    // Closes the connection without an answer, after those to earlier requests.
    void drop() const;

private:
    std::weak_ptr<http_exchange> m_exchange;
};

// What callers may send, and how long they may take.
struct http_server_limits
{
    http_read_limits read;
    duration header_timeout = 10s; // from a header's first byte to its last
    duration idle_timeout = 60s;   // unused, or without progress within a body
    friend bool operator==(http_server_limits const&,
                           http_server_limits const&) = default;
};

class http_server
{
public:
    using handler = std::function<void(http_request, http_reply)>;

    struct options
    {
        tcp_address address = {.ip = "127.0.0.1"};
        http_server_limits limits = {};
        std::size_t max_exchanges = 8'192; // requests at once; more get a 503
        std::size_t max_pipelined = 32;    // of one connection
    };

    // Throws std::runtime_error if the address cannot be bound.
    http_server(event_loop& loop, options opts, handler on_request);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // For requests that begin from now on. A connection that was told a longer idle time
    // keeps it.
    void set_limits(http_server_limits limits);

    // From now on answers tell callers to close their connections.
    void begin_stopping();

    std::size_t connections() const;
    // Connections whose callers had closed before all that they sent was read.
    std::uint64_t unread_disconnects() const;

private:
    struct impl;
    struct connection;
    friend class http_reply;
    friend struct http_exchange;
    std::shared_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
