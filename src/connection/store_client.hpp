// The one client for the platform's store.
//
// It carries the coordination parts' calls over HTTP in the form of
// platform/object_store.hpp. A list that comes in parts is put together; its revision is
// that of the first part, so that nothing up to it is missing. Whatever is not a clear
// answer is store_no_answer; what the store says it has not done is store_refused.
#ifndef BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP
#define BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP

#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"
#include "connection/http_client.hpp"

#include <functional>
#include <map>

namespace buckthornusher
{

// What became of calls, for metrics.
struct store_call_counts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    std::uint64_t no_answer = 0;
};

// A call without a usable answer, for logs.
struct store_failure
{
    std::string_view call; // "list", "watch" or "write"
    std::string what;      // the step or the status
    friend bool operator==(store_failure const&, store_failure const&) = default;
};

class store_client
{
public:
    using callback = std::function<void(store_answer)>;

    struct options
    {
        tcp_address address;
        std::string user_agent; // names the caller to the store's operators
        duration call_timeout = 1s;
        // How long the store holds a watch without changes. A connection that has gone
        // silent is noticed after it; what operators write is to be in force soon, so
        // that of the configuration is a part of the time that this may take.
        duration fleet_watch_timeout = 8s;
        duration config_watch_timeout = 2s;
        std::function<void(store_failure const&)> on_failure = {};
    };

    store_client(event_loop& loop, options const& opts);

    void call(store_operation const& operation, callback done);

    store_call_counts const& counts() const { return m_counts; }
    // Whether the last call that ended got an answer.
    bool reachable() const { return m_reachable; }

private:
    void list(store_list const& operation, store_objects so_far, std::string const& after,
              callback done);
    void watch(store_watch const& operation, callback done);
    void write(store_write const& operation, callback done);
    void send(http_request request, duration timeout, http_client::callback done);
    store_answer record_outcome(std::string_view call, http_result const& result,
                                store_answer answer);

    options m_options;
    http_client m_http;
    store_call_counts m_counts;
    bool m_reachable = true;
};

} // namespace buckthornusher

#endif
