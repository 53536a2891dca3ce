// An HTTP/1.1 client for one endpoint over kept connections.
//
// The client holds up to `max_connections` connections, each with one call at a time. A
// call takes the connection that was used last, opens a new one, or fails at once with
// `busy`; one that wants an unused connection closes another that is idle, if there is no
// room. Queueing is the caller's business, who knows deadlines. An answer is delivered
// whole or not at all.
//
// What arrives on a connection is taken for the answer only if the option
// `is_response_to` says so; other messages are dropped, and such a connection is not used
// for another call. A connection on which bytes are left over, or arrive unasked, is
// closed. When the answer comes before the request has been written, the rest is not sent
// and the connection is closed. A request without a Host header gets one that names the
// peer.
//
// A peer that sends without end, in an answer or in messages that are none, has its call
// failed (`too_long`) and its connection closed, at once.
//
// Cost: O(bytes) for each call, O(1) to find a connection; memory up to twice
// `max_incomplete_bytes` for answers that are not whole yet.
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

// Why a call has no answer, and whether the request may have left this process.
struct http_failure
{
    enum class step
    {
        busy,     // no free connection
        connect,  // not sent
        answer,   // sent, but no whole answer came
        too_long, // sent, and more bytes came than are taken
        timeout,  // sent or not: see `sent`
        cancelled,
    };
    step failed_step = step::connect;
    bool sent = false;
    bool reused = false;           // the connection had served a call before
    bool response_started = false; // part of an answer came
    std::string peer;              // address:port
    friend bool operator==(http_failure const&, http_failure const&) = default;
};

char const* to_string(http_failure::step failed_step);

// The connection that a call takes.
enum class call_connection
{
    any,
    unused, // one that has carried no call: what still comes on others is not its answer
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
        duration idle_timeout = 20s; // unless the peer names a shorter time
        duration connect_timeout = 1s;
        duration unacknowledged_timeout =
            3s; // bytes not taken for so long break a connection
        // Of an answer; what comes with it for other requests counts, too.
        http_read_limits limits = {.header_bytes = 65'536, .body_bytes = 8'388'608};
        // Of all answers that are not whole yet; beyond, the longest of them fails.
        std::size_t max_incomplete_bytes = 16'777'216;
        // Whether a message is the answer to the request. Empty: it always is.
        std::function<bool(http_request const&, http_response const&)> is_response_to =
            {};
    };

    http_client(event_loop& loop, options opts);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Calls `done` once, from the loop or at once. A timeout of zero means none.
    call_id call(http_request request, duration timeout, callback done,
                 call_connection selection = call_connection::any);

    // Closes the call's connection; `done` gets `cancelled`. Does nothing after the
    // answer.
    void cancel(call_id id);

    // Cancels the call if nothing of it has left this process. False: something has, or
    // the call has ended.
    bool cancel_if_unsent(call_id id);

    std::size_t connections() const;
    std::size_t incomplete_bytes() const; // of answers that are not whole yet
    std::uint64_t connections_opened() const;

private:
    struct impl;
    struct connection;
    std::shared_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
