// Order and pace of the answers that a node sends over its VM's link.
//
// Large answers (of routes with large answers) wait here and are released one after the
// other at a share of the link's rate, so that at any time about one of them is in the
// sockets and a small message waits for that one at most. Everything else is sent at once
// and only counted: it delays large answers, but each by no more than a multiple of its
// own time on the link.
//
// Among the large answers those that can still be in time go first, the earliest due
// first. Every eighth release goes to one that is late, if it can reach its caller before
// its deadline; other late ones are released while none can be in time. An answer that
// cannot reach its caller before its deadline is dropped.
//
// Built for links that are asked for more than they carry, by downloads, beside lookups
// that live for less than a few downloads take.
//
// Cost: O(waiting) for take(), at most once for each large answer and timer; O(log
// waiting) for add() and cancel(), O(1) otherwise. Memory: the waiting answers' entries;
// link_room bounds their number.
#ifndef BUCKTHORNUSHER_LINK_SCHEDULE_HPP
#define BUCKTHORNUSHER_LINK_SCHEDULE_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthornusher
{

struct link_schedule_options
{
    double bytes_per_second = 0; // of the link; 0: not known, nothing waits
    double large_share = 0.9;    // of the rate, at most, for large answers
    // A large answer waits for small messages for at most its own time times this.
    double small_delay = 3;
    std::uint32_t late_every = 8; // releases, of which one is a late answer's
    // A release that is late by up to this much is made up for by an earlier next one.
    duration catch_up = 5ms;
    friend bool operator==(link_schedule_options const&,
                           link_schedule_options const&) = default;
};

struct large_answer
{
    std::uint64_t id = 0;
    std::uint64_t bytes = 0;
    instant due;      // late after it
    instant deadline; // useless after it
    friend bool operator==(large_answer const&, large_answer const&) = default;
};

struct link_releases
{
    std::vector<std::uint64_t> send;    // in this order
    std::vector<std::uint64_t> dropped; // cannot reach their callers in time
    friend bool operator==(link_releases const&, link_releases const&) = default;
};

struct link_counts
{
    std::uint64_t large_bytes = 0;
    std::uint64_t other_bytes = 0;
    std::uint64_t dropped = 0; // large answers
    friend bool operator==(link_counts const&, link_counts const&) = default;
};

class link_schedule
{
public:
    explicit link_schedule(link_schedule_options opts);

    // Whether the link's rate is known. If not, no other function has an effect.
    bool active() const { return m_options.bytes_per_second > 0; }
    // Returns the rate at which large answers pass.
    double large_bytes_per_second() const
    {
        return m_options.bytes_per_second * m_options.large_share;
    }

    // The answer waits for its release.
    void add(large_answer const& answer, instant now);
    // Removes a waiting answer. Returns false if it is not waiting.
    bool cancel(std::uint64_t id);
    // Anything else has been sent.
    void count_other(std::uint64_t bytes, instant now);

    // Removes and returns the answers to send now, and those to drop.
    link_releases take(instant now);
    // Returns when take() has something to do, or nothing if no answer waits.
    std::optional<instant> next_release() const;

    // Returns the time until the link has carried all that was sent or waits.
    duration backlog(instant now) const;
    // Returns the time of a large answer on the link, at its share of the rate.
    duration time_of(std::uint64_t bytes) const;

    std::size_t waiting() const { return m_waiting.size(); }
    link_counts const& counts() const { return m_counts; }

private:
    struct waiting_answer
    {
        large_answer answer;
        duration time{0};
        instant since;
    };
    using position = std::map<std::uint64_t, waiting_answer>::iterator;

    instant ready_at() const;
    void drop_hopeless(instant now, std::vector<std::uint64_t>& dropped);
    position choose(instant now);
    void release(position chosen, instant now);

    link_schedule_options m_options;
    std::map<std::uint64_t, waiting_answer> m_waiting; // by id
    duration m_waiting_time{0};                        // sum over m_waiting
    instant m_large_free; // when released large answers have passed, at their share
    instant m_all_free;   // when all that was sent has passed, at the full rate
    std::uint32_t m_in_time_releases = 0; // since the last late one
    link_counts m_counts;
};

} // namespace buckthornusher

#endif
