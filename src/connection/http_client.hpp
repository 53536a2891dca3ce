// An HTTP client for one endpoint over kept connections, by libwebsockets.
//
// The client holds up to `max_connections` connections. A call takes a free one, or
// fails at once with `busy`: queueing is the caller's business, who knows deadlines.
// An answer is delivered whole or not at all.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_CLIENT_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_CLIENT_HPP

#include "buckthornusher/time.hpp"
#include "connection/http_message.hpp"

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
        busy,    // no free connection
        connect, // not sent
        answer,  // sent, but no whole answer came
        timeout, // sent or not: see `sent`
        cancelled,
    };
    step at = step::connect;
    bool sent = false;
    std::string peer; // address:port
    friend bool operator==(http_failure const&, http_failure const&) = default;
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
        std::string address = "127.0.0.1";
        int port = 0;
        std::size_t max_connections = 8;
        duration keep_idle = 20s; // how long an unused connection is kept
        std::vector<std::string> header_names = {}; // answer headers to report
        std::size_t max_body = 4'194'304;           // bytes of an answer
    };

    http_client(event_loop& loop, options opts);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // Calls `done` once, from the loop. A timeout of zero means none.
    call_id call(http_request request, duration timeout, callback done);

    // Closes the call's connection; `done` gets `cancelled`. Does nothing after the
    // answer.
    void cancel(call_id id);

    struct impl; // shared with libwebsockets' callback

private:
    std::shared_ptr<impl> m_impl; // outlives us until the loop has ended
};

} // namespace buckthornusher

#endif
