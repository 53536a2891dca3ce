// An HTTP/1.1 server on the event loop.
//
// Each request is read completely, within its limits, before it is passed to the handler,
// and each answer is written completely. A handler may answer later: it keeps the
// `http_reply` and calls send() once. If the connection closes first, the reply is
// discarded and `on_disconnect` is called so that the work can be cancelled. A request
// whose caller has closed the connection by the time it is read is not passed to the
// handler.
//
// Pipelined requests are handled concurrently and answered in the order received. Bytes
// that are not an acceptable request are answered with 400, 413, 431 or 505, and a
// request that is not received within its timeout with 408. The connection is then
// closed, and nothing that follows on it is read as a request. Connections that are
// unused for longer than the idle timeout are closed.
//
// What a connection holds of incomplete requests, unanswered requests and unwritten
// answers is counted in the process's memory budget, if there is one. A request that
// finds no room is answered with 503 before it reaches the handler. Before that, stalled
// connections are closed, the one that holds most first; if answers exceed the budget,
// then also the slowest reader. Its caller sees an answer that ends before its length. A
// connection whose request is being handled waits for the server and is not stalled.
//
// An answer that is handed over is delivered once its caller has taken all of it. A
// process that stops must not destroy the server before, see awaited_deliveries().
//
// Cost: O(bytes). Reading pauses while a connection has `max_pipelined` unanswered
// requests.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP

#include "buckthornusher/memory_budget.hpp"
#include "buckthornusher/time.hpp"
#include "connection/http_codec.hpp"
#include "connection/tcp_socket.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace buckthornusher
{

class event_loop;
struct http_exchange; // one request and its answer, until the answer is written

class http_reply
{
public:
    explicit http_reply(std::weak_ptr<http_exchange> exchange);

    // Sends the answer. Later calls do nothing.
    void send(http_response response) const;
    // Sets a function to call if the caller's connection closes before the answer is
    // sent.
    void on_disconnect(std::function<void()> fn) const;
    // Returns the request's part of the memory budget, or null. It is given back once the
    // server has the answer or lost the caller, and no copy of this is left.
    std::shared_ptr<memory_hold> request_hold() const;
    // Closes the connection without an answer, once earlier requests are answered.
    void drop() const;

private:
    std::weak_ptr<http_exchange> m_exchange;
};

// Limits on the size of callers' requests and on the time to send them.
struct http_server_limits
{
    http_read_limits read;
    duration header_timeout = 10s; // from a header's first byte to its last
    duration idle_timeout = 60s;   // unused, or without a byte received within a body
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
        std::size_t max_exchanges = 8'192; // concurrent requests; further ones get 503
        std::size_t max_pipelined = 32;    // unanswered requests of one connection
        memory_budget* memory = nullptr;   // outlives the server; null: no bound
    };

    // Throws std::runtime_error if the address cannot be bound.
    http_server(event_loop& loop, options opts, handler on_request);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Applies to requests that begin after the call. A connection whose last Keep-Alive
    // header announced a longer idle timeout keeps that one.
    void set_limits(http_server_limits limits);

    // After this call, the answer to the last request received on a connection carries
    // "Connection: close", and the connection ends after it.
    void begin_stopping();

    // Returns the number of connections that answers are on their way on, to callers that
    // go on reading (answer_delivery.hpp). Looks at all connections, and tells how they
    // get on only if it is called again and again.
    std::size_t awaited_deliveries(instant now);

    std::size_t connections() const;
    // Counts the connections whose callers closed them before all bytes sent were read.
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
