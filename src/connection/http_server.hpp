// An HTTP server on the event loop, by libwebsockets.
//
// Each request is read whole, within its limits, before the handler sees it, and
// each answer is written whole. A handler may answer later: it keeps the `http_reply`
// and calls send() once. A reply whose connection has gone is dropped, and `on_gone`
// is called so that the work can be cancelled.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_SERVER_HPP

#include "connection/http_message.hpp"

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
    void on_gone(std::function<void()> fn) const;

private:
    std::weak_ptr<http_exchange> m_exchange;
};

class http_server
{
public:
    using handler = std::function<void(http_request, http_reply)>;

    struct options
    {
        std::string address = "127.0.0.1";
        int port = 0;
        std::size_t max_body = 1'048'576;           // bytes
        std::size_t max_exchanges = 8'192;          // requests at once; more get a 503
        std::vector<std::string> header_names = {}; // those that the handler is to see
    };

    // Throws std::runtime_error if the address cannot be bound.
    http_server(event_loop& loop, options opts, handler on_request);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Headers that requests from now on show to the handler.
    void set_header_names(std::vector<std::string> names);

    struct impl; // shared with libwebsockets' callback

private:
    std::shared_ptr<impl> m_impl; // outlives us until the loop has ended
};

} // namespace buckthornusher

#endif
