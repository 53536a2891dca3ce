// The client for the platform's store.
//
// It sends the store operations of the coordination code over HTTP in the form of
// platform/object_store.hpp. A paginated list is joined into one; its revision is that of
// the first page, so that the list misses no change up to its revision. A watch or write
// that the store rejects without executing it yields store_refused, and so does a write
// that was not sent, such as one on a condition of an earlier era. Any other call without
// an unambiguous answer yields store_no_answer; a write may then have taken effect or
// not.
//
// An answer whose era is an error (store_era.hpp) yields store_no_answer. A watch that
// was asked in one era and answered in a later one yields store_history_lost, as the
// revision it continued from means nothing there; a list whose pages are of different
// eras yields store_no_answer.
#ifndef BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP
#define BUCKTHORNUSHER_CONNECTION_STORE_CLIENT_HPP

#include "buckthornusher/record.hpp"
#include "buckthornusher/store_era.hpp"
#include "buckthornusher/time.hpp"
#include "connection/http_client.hpp"
#include "platform/object_store.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// Counts of calls and their results, for metrics.
struct store_call_counts
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
    std::uint64_t no_answer = 0;
    std::uint64_t skipped_entries = 0; // different ones
    std::uint64_t era_errors = 0;      // answers that stated no usable era
    std::uint64_t era_rises = 0;
};

// A call without a usable answer, for logs. Lost watch history is also reported.
struct store_failure
{
    std::string_view call; // "list", "watch" or "write"
    std::string what;      // the HTTP status, or the step of the call that failed
    friend bool operator==(store_failure const&, store_failure const&) = default;
};

// An entry of the store that is none of this project's and was not read, for logs.
struct store_skipped
{
    std::string name; // its beginning, if it is long; empty: unreadable
    std::uint64_t revision = 0;
    friend bool operator==(store_skipped const&, store_skipped const&) = default;
};

class store_client
{
public:
    using callback = std::function<void(store_answer)>;

    struct options
    {
        tcp_address address;
        std::string user_agent; // identifies this client to the store's operators
        duration call_timeout = 1s;
        std::function<void(store_failure const&)> on_failure = {};
        // Called once for each revision of an entry, up to a number of entries.
        std::function<void(store_skipped const&)> on_skipped = {};
        // The store came back from an older copy; it is in this era now.
        std::function<void(std::uint64_t era)> on_era_risen = {};
    };

    store_client(event_loop& loop, options const& opts);

    void call(store_operation const& operation, callback done);

    store_call_counts const& counts() const { return m_counts; }
    // Returns whether the most recently finished call got an answer.
    bool reachable() const { return m_reachable; }
    // Nothing: the store has stated none.
    std::optional<std::uint64_t> era() const { return m_era.value(); }

private:
    using asked_era = std::optional<std::uint64_t>; // known when a call was sent
    void list(store_list const& operation, store_objects so_far, std::string const& after,
              callback done);
    // Whether the version is from an earlier era than the store is in.
    bool is_of_earlier_era(std::uint64_t version) const;
    // Returns the answer, or what it means by its era.
    store_answer check_era(http_result const& result, store_answer answer,
                           asked_era const& asked);
    void watch(store_watch const& operation, callback done);
    void write(store_write const& operation, callback done);
    void note_skipped(std::vector<platform::skipped_entry> const& entries);
    void send(http_request request, duration timeout, http_client::callback done);
    store_answer record_outcome(std::string_view call, http_result const& result,
                                store_answer answer);

    options m_options;
    http_client m_http;
    store_call_counts m_counts;
    store_era m_era;
    std::string_view m_era_error;                // of the latest answer; empty: none
    std::set<platform::skipped_entry> m_skipped; // bounded; already reported
    bool m_reachable = true;
};

} // namespace buckthornusher

#endif
