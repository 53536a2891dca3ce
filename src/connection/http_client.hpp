// An HTTP/1.1 client for one endpoint with a pool of persistent connections.
//
// The client holds up to `max_connections` connections, each with one call at a time. A
// call takes the most recently used idle connection, opens a new one, or fails at once
// with `busy`. A call that requires an unused connection closes an idle one if the pool
// is full. The client does not queue calls: its user knows the deadlines and queues. A
// response is delivered complete or not at all.
//
// A message is accepted as the response only if the option `is_response_to` returns true
// for it. Other messages are discarded, and their connection is not reused. A connection
// that has bytes left over after a response, or receives bytes while it is idle, is
// closed. If the response arrives before the request has been written, the rest of the
// request is not sent and the connection is closed. A request without a Host header gets
// one that names the peer.
//
// A status outside 100 to 599, or 101, is no answer: the call fails with `answer` and the
// connection is closed. So does one whose last message is an interim response.
//
// A response without a length ends where the peer ends its side of the connection, also
// if it does so before it has read the request. If the connection is lost instead, which
// a read or a write may be the first to find, the call fails with `answer`.
//
// If a peer sends more bytes during a call than `limits` allow, in a response or in
// messages that are not the response, the call fails with `too_long` and the connection
// is closed at once.
//
// While a call with a long request is in work, the client itself watches for a peer that
// falls silent, twice a second; for all others the kernel does.
//
// Cost: O(bytes) for each call, O(1) to find a connection; memory up to twice
// `max_incomplete_bytes` for incomplete responses.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_CLIENT_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_CLIENT_HPP

#include "buckthornusher/time.hpp"
#include "connection/http_codec.hpp"
#include "connection/tcp_socket.hpp"

#include <boost/outcome/result.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace buckthornusher
{

class event_loop;

// Why a call has no response, and whether any of the request may have left this process.
struct http_failure
{
    enum class step
    {
        busy,     // all connections are in use
        connect,  // no connection; nothing was sent
        answer,   // sent, but no complete response arrived
        too_long, // sent, but the bytes received exceed a limit
        timeout,  // sent or not: see `sent`
        cancelled,
    };
    step failed_step = step::connect;
    bool sent = false;
    bool reused = false;           // the connection had carried an earlier call
    bool response_started = false; // part of the response arrived
    std::string peer;              // address:port
    friend bool operator==(http_failure const&, http_failure const&) = default;
};

char const* to_string(http_failure::step failed_step);

// Which connections a call may use.
enum class call_connection
{
    any,
    unused, // one without earlier calls, so no late response to them can arrive on it
};

using http_result =
    boost::outcome_v2::basic_result<http_response, http_failure,
                                    boost::outcome_v2::policy::all_narrow>;

class http_client
{
public:
    using callback = std::function<void(http_result)>;
    using call_id = std::uint64_t;

    struct options
    {
        tcp_address peer = {.ip = "127.0.0.1"};
        std::size_t max_connections = 8;
        duration idle_timeout = 20s; // unless the peer announces a shorter one
        duration connect_timeout = 1s;
        // A connection is lost if sent bytes stay unacknowledged for this long. A peer
        // that reads slowly acknowledges: only the call's timeout ends its call.
        duration unacknowledged_timeout = 3s;
        // For one response, including messages discarded while waiting for it.
        http_read_limits limits = {.header_bytes = 65'536, .body_bytes = 8'388'608};
        // Total over all incomplete responses; when exceeded, the call with the largest
        // one fails with `too_long`.
        std::size_t max_incomplete_bytes = 16'777'216;
        // Whether a message is the response to the request. Empty: every message is.
        std::function<bool(http_request const&, http_response const&)> is_response_to =
            {};
    };

    http_client(event_loop& loop, options opts);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Calls `done` once, either before returning or later from the loop; never if the
    // client is destroyed first. `done` may destroy the client. A timeout of zero means
    // no timeout.
    call_id call(http_request request, duration timeout, callback done,
                 call_connection selection = call_connection::any);

    // Closes the call's connection and calls `done` with `cancelled`. Does nothing if the
    // call has ended.
    void cancel(call_id id);

    // Cancels the call if none of its bytes have left this process. Returns false if some
    // have, or if the call has ended.
    bool cancel_if_unsent(call_id id);
    // Returns whether bytes of the call have left this process, or it has ended.
    bool has_sent(call_id id) const;

    std::size_t connections() const;
    std::size_t incomplete_bytes() const; // received for incomplete responses
    std::uint64_t connections_opened() const;

private:
    struct impl;
    struct connection;
    std::shared_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
