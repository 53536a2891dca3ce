// Bounds how many requests a cold upstream gets in any second.
//
// An upstream that has just started bears `rate` requests per second and may fall over at
// a rate well above. While it is cold, at most rate x ratio + reserve requests may reach
// it in any second. The limit counts the requests that were sent in the last second, and
// those that were started and are not written yet, as all of them may be delivered later
// at the same moment. Within that bound, starts follow a bucket: `reserve` at once, then
// rate x ratio per second.
//
//   if (limit.may_start(now))
//       limit.on_start(id, now);          // then send the request
//   ...
//   limit.on_sent(id, now);               // its bytes have been written
//   limit.on_not_counted(id);             // it was not sent, or for another upstream
//
// The upstream is cold for the time that its latest report names. It is assumed to be
// cold
//   - after a failed connection or several lost ones, for `cold_time` or until a report
//     that was certainly sent later: it may have come back under its id;
//   - after a silence of requests, also since this process started, until its next
//     report: it may have become cold while it got nothing.
// Requests of an earlier process of the node are unknown. Until a second after this
// process started, the whole bound counts as used.
//
// Built for upstreams that start under traffic, come back after a crash, or become cold
// while their failure domain is evacuated.
//
// Cost: O(1), and O(requests of a second) for on_not_counted() and unsent(); the memory
// is an entry for each of them. Without a rate nothing is kept and nothing is bounded.
#ifndef BUCKTHORNUSHER_START_LIMIT_HPP
#define BUCKTHORNUSHER_START_LIMIT_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace buckthornusher
{

struct start_limit_options
{
    double rate = 0;       // requests per second that a cold upstream bears; 0: no limit
    double ratio = 1;      // factor on the rate in the bound
    double reserve = 0;    // requests in the bound beyond that
    duration cold_time{0}; // for which an upstream is cold after its start; 0: unknown
    instant started;       // of this process; what was sent before is unknown
    friend bool operator==(start_limit_options const&,
                           start_limit_options const&) = default;
};

class start_limit
{
public:
    start_limit() = default;
    explicit start_limit(start_limit_options const& opts) { set_options(opts); }

    void set_options(start_limit_options const& opts);
    // Takes over what was sent to an earlier incarnation of the upstream, which may have
    // reached this one.
    void continue_from(start_limit const& before, instant now);

    // The upstream reported that it is cold for `warm_up_left`.
    void on_report(duration warm_up_left, instant now);
    void on_connect_failed(instant now);
    void on_connection_lost(instant now);

    bool may_start(instant now) const;
    void on_start(std::uint64_t id, instant now);
    void on_sent(std::uint64_t id, instant now);
    void on_not_counted(std::uint64_t id);
    // Returns the requests that were started and not written yet.
    std::vector<std::uint64_t> unsent() const;

    // Returns the time until a request may start after `ahead` others have.
    duration until_start(std::size_t ahead, instant now) const;

    // Whether the upstream is cold by its report, or assumed to be after a failure. A
    // silence does not count; it says nothing to others.
    bool is_cold(instant now) const { return cold_for(now) > duration{0}; }
    duration cold_for(instant now) const;
    // Requests per second that may start while the upstream is cold; 0: no limit.
    double start_rate() const;

private:
    bool limits() const { return m_options.rate > 0; }
    bool is_bounded(instant now) const;
    bool is_after_silence(instant now) const;
    std::size_t window_size() const;
    double burst() const;
    double level(instant now) const;
    void assume_cold(instant now);
    // Returns the time at which the window has room for one more request.
    instant room_at(instant now) const;

    start_limit_options m_options;
    // Requests in the order in which they were written; those older than the window are
    // removed by later ones. Invariant: no id is in both.
    std::deque<std::pair<instant, std::uint64_t>> m_sent;
    std::set<std::uint64_t> m_unsent;
    double m_level = 0;                     // starts that the bucket held at `m_level_at`
    instant m_level_at;                     // long ago: the bucket is full
    instant m_cold_until;                   // by the latest report
    instant m_assumed_until;                // after a failure
    instant m_failed_at;                    // the latest failure
    std::optional<instant> m_last_lost;     // the latest lost connection
    std::optional<instant> m_last_start;    // nothing: silent since this process started
    std::optional<instant> m_silence_ended; // until a report that was sent later
};

} // namespace buckthornusher

#endif
