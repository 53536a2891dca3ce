// Which requests a node sends to the upstream beside it, in which order, and which it
// refuses at once.
//
// The upstream runs `slots` requests at a time. Requests beyond that wait here, the more
// urgent rank first and within a rank the earliest due first; one that would be late goes
// after those of its rank that would not. A request is refused on arrival if, by what the
// upstream has needed lately, it could not start within what its sender allows or not end
// when it is due; so nobody waits for an answer that will not come. One that is late
// already when it comes is taken only while little waits before it. The refusal says when
// there is likely to be room.
//
// An upstream that refuses when most of its slots are in use gets fewer requests at once.
// One that refuses as often with few of them in use does so for another reason, and
// keeps its slots.
//
// A request that needs far less than others is never put back for being late: it costs
// few slots, and often another upstream holds a slot of its own while it waits for it.
//
//   load it answers: more work than slots, for seconds or for good; an upstream that
//   has turned slow or starts cold; a mix of short and long requests, the short ones
//   called by the long ones of other upstreams.
//
// The time that a request needs is learnt for each class of requests (a route), as
// requests of one upstream differ far more by class than within one.
//
// Cost: O(queue) for an arrival, O(ranks) for backlog() and O(log queue) otherwise;
// memory is bounded by `max_queue`.
#ifndef BUCKTHORNUSHER_UPSTREAM_QUEUE_HPP
#define BUCKTHORNUSHER_UPSTREAM_QUEUE_HPP

#include "buckthornusher/placement.hpp"
#include "buckthornusher/time.hpp"

#include <compare>
#include <cstdint>
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
    // What a class is taken to need before anything of it has ended.
    duration default_service = 50ms;
    friend bool operator==(upstream_queue_options const&,
                           upstream_queue_options const&) = default;
};

struct queued_request
{
    std::uint64_t id = 0;
    std::string request_class;
    std::uint32_t rank = 1;
    instant due;         // an answer after it is late
    instant deadline;    // an answer after it is useless
    instant start_until; // its sender looks elsewhere rather than wait longer
};

// ---- answers to arrive() ----

struct starts_now // counted as running
{
};
struct waits // a later call names it
{
    duration expected{0};
};
struct has_no_room
{
    duration retry_after{0}; // when there is likely to be room
};
using queue_verdict = std::variant<starts_now, waits, has_no_room>;

enum class request_end
{
    completed,
    shed,     // the upstream refused it
    not_sent, // it ended before it was sent
    failed,   // sent, and no whole answer came
};

class upstream_queue
{
public:
    explicit upstream_queue(upstream_queue_options opts);

    queue_verdict arrive(queued_request const& r, instant now);

    // A running request has ended; `took` is its time at the upstream.
    void leave(std::uint64_t id, request_end end, duration took, instant now);

    // The request that starts next, if there is a slot for it; it counts as running.
    std::optional<std::uint64_t> start_next(instant now);

    // Removes and returns those that can no longer end by their deadlines, those whose
    // senders would rather look elsewhere, and those that have become late and for which
    // there is no room behind the others.
    std::vector<std::uint64_t> expire(instant now);

    // Removes a request that waits. False if it does not.
    bool cancel(std::uint64_t id);
    // Removes and returns all that wait.
    std::vector<std::uint64_t> clear();

    // The upstream takes another number of requests at once.
    void set_slots(std::uint32_t slots);

    // Until a slot is free, apart from those that wait.
    duration until_free_slot() const;
    // For how long those that wait keep all slots, by rank.
    std::vector<rank_backlog> backlog() const;
    duration expected_service(std::string const& request_class) const;
    // Over all classes, by how often they came.
    duration mean_service() const;

    std::uint32_t slots() const { return m_options.slots; }
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::size_t queued() const { return m_queue.size(); }

private:
    struct queue_position
    {
        std::uint32_t rank = 0;
        bool late = false; // it would be, when it was put here
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
        bool crowded = false; // it came when half of the slots were in use, or more
    };
    void enqueue(queued_request const& r, duration service,
                 queue_position const& position);
    void mark_running(queued_request const& r);
    void adjust_limit(bool crowded, bool shed);
    bool has_slot() const { return m_running.size() < limit(); }
    duration wait_until(std::set<queue_position>::const_iterator end) const;
    bool is_small(duration service) const;
    bool is_late(duration service, instant due, instant now) const;
    // `wait`: for those before its place.
    bool has_room(queued_request const& r, bool late, duration wait, duration service,
                  instant now) const;
    bool requeue_as_late(std::uint64_t id, instant now);
    void update_service(std::string const& request_class, duration took);

    upstream_queue_options m_options;
    // Invariants: m_running.size() <= slots; m_waiting holds exactly the ids of m_queue.
    std::map<std::uint64_t, running_request> m_running; // by id
    std::set<queue_position> m_queue;
    std::map<std::uint64_t, waiting> m_waiting;
    std::map<std::uint32_t, duration> m_backlog; // by rank, the sum of `service`
    std::map<std::string, double> m_service_us;  // by class
    double m_mean_us = 0;                        // over all
    double m_max_service_us = 0;                 // the largest in m_service_us
    double m_limit;                              // 1 <= m_limit <= slots
    // Of the requests sent lately the share that the upstream refused.
    double m_shed_crowded = 0;
    double m_shed_uncrowded = 0;
};

} // namespace buckthornusher

#endif
