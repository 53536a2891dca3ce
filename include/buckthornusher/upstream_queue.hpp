// Queue of requests in front of one upstream: which request starts next, and which is
// refused on arrival.
//
// The upstream runs `slots` requests at a time. Further requests wait here, the more
// urgent rank first and within a rank the earliest due time first; a request that is
// expected to be late goes after those of its rank that are not. A request is refused on
// arrival if, by the recent service times of the upstream, it cannot start within the
// time that its sender allows or cannot end by its due time, so that its sender does not
// wait in vain. A request that is already late on arrival is accepted only while little
// work is queued before it. A refusal says when a slot is likely to be free.
//
// An upstream that sheds while half of its slots or more are in use gets fewer requests
// at once. If it sheds about as often with fewer in use, the number of requests is not
// the cause, and it gets all its slots again.
//
// A request of a class that needs far less time than the classes that occupy the slots is
// never moved back for being late: it occupies a slot only briefly, and often another
// upstream's request, which occupies a slot there, waits for its answer. A long class of
// which there are few requests does not count: beside it, every other class would be
// small.
//
// Built for more work than slots, for seconds or permanently, for an upstream that has
// become slow or starts cold, and for a mix of short and long requests in which long
// requests of other upstreams make the short ones.
//
// A cold upstream gets a bounded number of requests per second (start_limit.hpp); those
// beyond it wait as for a slot, and are refused if they cannot start in time.
//
// The upstream may tell how long work takes on its VM now (reported_load.hpp). Times are
// learnt without this slowness and expected with it.
//
// Service times are estimated for each class of requests (a route), as requests of one
// upstream differ far more between classes than within one.
//
// Cost: O(queue) for arrive(), start_next() and clear(), and for expire() once more for
// each request that has become late; O(ranks) for backlog(), and O(queue) while the
// upstream is cold; O(classes) for leave(), and O(log queue) otherwise. Memory is bounded
// by `max_queue`, `slots` and the classes.
#ifndef BUCKTHORNUSHER_UPSTREAM_QUEUE_HPP
#define BUCKTHORNUSHER_UPSTREAM_QUEUE_HPP

#include "buckthornusher/placement.hpp"
#include "buckthornusher/start_limit.hpp"
#include "buckthornusher/time.hpp"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace buckthornusher
{

struct upstream_queue_options
{
    std::uint32_t slots = 20;
    std::size_t max_queue = 400;
    // Assumed service time of a class before its first request has completed.
    duration default_service = 50ms;
    friend bool operator==(upstream_queue_options const&,
                           upstream_queue_options const&) = default;
};

struct queued_request
{
    std::uint64_t id = 0;
    std::string request_class;
    std::uint32_t rank = 1;
    instant due;         // an answer after it misses the objective
    instant deadline;    // an answer after it is useless
    instant start_until; // its sender tries another node if it has not started by then
};

// ---- answers to arrive() ----

struct starts_now // counted as running
{
};
struct waits // queued; start_next(), expire() or clear() returns its id
{
    duration expected{0};
};
struct has_no_room
{
    duration retry_after{0}; // until a slot is likely to be free
};
using queue_verdict = std::variant<starts_now, waits, has_no_room>;

enum class request_end
{
    completed,
    answered_failure, // a complete answer that reports a failure
    shed,             // the upstream refused it
    not_sent,         // ended before it was sent
    failed,           // sent, and no complete answer came
};

class upstream_queue
{
public:
    explicit upstream_queue(upstream_queue_options opts);

    queue_verdict arrive(queued_request const& r, instant now);

    // A running request has ended. `took`: its time at the upstream.
    void leave(std::uint64_t id, request_end end, duration took, instant now);

    // Returns the request that starts next, if a slot is free, and counts it as running.
    std::optional<std::uint64_t> start_next(instant now);

    // Removes and returns the requests that can no longer end by their deadlines, those
    // past `start_until`, and those that have become late and for which there is no room
    // behind the others.
    std::vector<std::uint64_t> expire(instant now);

    // Removes a waiting request. Returns false if it is not waiting.
    bool cancel(std::uint64_t id);
    // Removes and returns all waiting requests.
    std::vector<std::uint64_t> clear();

    // Changes the number of requests that the upstream runs at once. With 0, no request
    // starts and none is accepted; those that wait do so until they expire.
    void set_slots(std::uint32_t slots);

    // How long work takes at the upstream now; 1: as usual.
    void set_slowness(double slowness) { m_slowness = slowness; }
    // So many requests at once by the pace of an upstream that has just started or
    // recovered (upstream_pace.hpp).
    void set_pace_limit(std::uint32_t limit) { m_pace_limit = std::max(1U, limit); }
    // So many of the slots are used by requests that are not in this queue. One is left.
    void set_occupied(std::uint32_t slots) { m_occupied = slots; }

    // Returns the expected time until a slot is free, by the classes of the running
    // requests and ignoring the waiting ones.
    duration until_free_slot() const;
    // Returns the time until a request may start, with an empty queue.
    duration until_start(instant now) const;
    // Returns the time for which the waiting requests occupy all slots, by rank.
    std::vector<rank_backlog> backlog() const;
    // Returns the same, or the time until they may have started if that is longer.
    std::vector<rank_backlog> backlog(instant now) const;
    duration expected_service(std::string const& request_class) const;
    // Returns the same, or nothing before the first request of the class has completed.
    std::optional<duration> known_service(std::string const& request_class) const;
    // Returns the mean over all classes, weighted by their frequency.
    duration mean_service() const;

    // Bounds the starts while the upstream is cold. The caller tells it what it learns of
    // the upstream and when a running request has been written.
    start_limit& starts() { return m_starts; }
    start_limit const& starts() const { return m_starts; }

    std::uint32_t slots() const { return m_options.slots; }
    std::uint32_t limit() const
    {
        auto const all = std::min(static_cast<std::uint32_t>(m_limit), m_pace_limit);
        return all - std::min(all - 1, m_occupied);
    }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t queued() const { return m_queue.size(); }

private:
    struct queue_position
    {
        std::uint32_t rank = 0;
        bool late = false; // expected to be late when it was queued
        instant due;
        std::uint64_t id = 0;
        friend auto operator<=>(queue_position const&, queue_position const&) = default;
    };
    struct waiting
    {
        queued_request request;
        duration service{0};
        queue_position position;
    };

    struct running_request
    {
        std::string request_class;
        bool crowded = false; // started with half of the slots or more in use
        duration expected{0}; // its service time
        double slowness = 1;  // of the upstream when it started
    };
    void enqueue(queued_request const& r, duration service,
                 queue_position const& position);
    void mark_running(queued_request const& r, instant now);
    void adjust_limit(bool crowded, bool shed);
    bool has_slot() const { return m_options.slots > 0 && m_running.size() < limit(); }
    bool may_start(instant now) const { return has_slot() && m_starts.may_start(now); }
    duration wait_until(std::set<queue_position>::const_iterator end, instant now) const;
    bool is_small(duration service) const;
    bool is_late(duration service, instant due, instant now) const;
    // `wait`: until the requests before its position have started.
    bool has_room(queued_request const& r, bool late, duration wait, duration service,
                  instant now) const;
    bool requeue_as_late(std::uint64_t id, instant now);
    // `slowness`: of the upstream while the request ran.
    void update_service(std::string const& request_class, duration took, double slowness);
    void update_slot_time(std::string const& request_class, duration took);
    void update_longest_service();

    upstream_queue_options m_options;
    // Invariant: m_waiting holds exactly the ids of m_queue. m_running.size() exceeds the
    // limit for a while after the limit was lowered.
    std::map<std::uint64_t, running_request> m_running; // by id
    std::set<queue_position> m_queue;
    std::map<std::uint64_t, waiting> m_waiting;
    std::map<std::uint32_t, duration> m_backlog; // sum of `service`, by rank
    std::map<std::string, double> m_service_us;  // by class, at slowness 1
    double m_mean_us = 0;                        // over all classes, at slowness 1
    std::map<std::string, double> m_slot_time;   // recent slot time by class, decaying
    double m_longest_us = 0; // of the classes with a share of the slots, at slowness 1
    double m_limit;          // 1 <= m_limit <= max(1, slots)
    double m_slowness = 1;
    std::uint32_t m_occupied = 0;
    std::uint32_t m_pace_limit = std::numeric_limits<std::uint32_t>::max(); // at least 1
    start_limit m_starts; // knows the running requests
    // Moving averages of the share of requests that the upstream shed.
    double m_shed_crowded = 0;
    double m_shed_uncrowded = 0;
};

} // namespace buckthornusher

#endif
