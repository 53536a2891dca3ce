// Which requests an owner sends to its upstream, and when.
//
// An upstream runs a fixed number of requests at once, its slots. Requests beyond wait
// in a short queue, orders before reads and earlier deadlines first, and are refused at
// once when they could not start in time: work that nobody waits for any more is never
// started. The limit on running requests adapts below the slots when the upstream sheds.
//
//   admission gate({.slots = 20});
//   switch (gate.arrive(now, {.id = 7, .deadline = ..., .ordered = true})) ...
//   for (auto id : gate.leave(now, request_end::completed, took)) start(id);
//
// Cost: O(log queue) for each request; memory is bounded by max_queue.
#ifndef BUCKTHORNUSHER_ADMISSION_HPP
#define BUCKTHORNUSHER_ADMISSION_HPP

#include "buckthornusher/time.hpp"

#include <compare>
#include <cstdint>
#include <set>
#include <vector>

namespace buckthornusher
{

struct admission_options
{
    std::uint32_t slots = 20;
    std::size_t max_queue = 200;
    double decrease = 0.8; // of the limit, when the upstream sheds
    // Slow start: the limit of a target that has just appeared.
    std::uint32_t first_limit = 4;
};

struct arrival
{
    std::uint64_t id = 0;
    instant deadline;
    bool ordered = false; // not idempotent: goes before reads
};

enum class admission_verdict
{
    start,  // send it now
    queued, // leave() or expire() will name it
    refuse, // it would be too late
};

enum class request_end
{
    completed,
    shed,     // the upstream refused it
    not_sent, // it ended before it was sent
};

class admission
{
public:
    explicit admission(admission_options opts);

    admission_verdict arrive(instant now, arrival const& a);

    // A started request has ended; `took` is its time at the upstream. Returns the ids
    // that start now.
    std::vector<std::uint64_t> leave(instant now, request_end end, duration took);

    // Removes the queued requests whose deadlines have passed and returns their ids.
    std::vector<std::uint64_t> expire(instant now);

    // Removes one queued request, for a caller that has gone. False if it is not queued.
    bool cancel(std::uint64_t id);

    // When a refused caller may try again.
    duration retry_after() const;

    std::uint32_t running() const { return m_running; }
    std::size_t queued() const { return m_queue.size(); }
    double limit() const { return m_limit; }

private:
    struct place
    {
        bool read = false; // orders sort first
        instant deadline;
        std::uint64_t id = 0;
        friend auto operator<=>(place const&, place const&) = default;
    };

    std::uint32_t slots_now() const;
    std::vector<std::uint64_t> start_queued(instant now);

    admission_options m_options;
    // Invariants: m_running <= slots; m_queue.size() <= max_queue; while a slot is free,
    // all that is queued could only be answered too late.
    std::uint32_t m_running = 0;
    std::set<place> m_queue;
    double m_limit;       // 1 <= m_limit <= slots
    double m_mean_us = 0; // time of a request at the upstream
};

} // namespace buckthornusher

#endif
