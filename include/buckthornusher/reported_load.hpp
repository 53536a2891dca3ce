// What an upstream says of its load in its answers, and what follows from it.
//
// Upstreams share their VMs with others: how long work takes there changes many times per
// second. An upstream_condition smooths this slowness over the last answers, and lets it
// fade to 1 while none come.
//
// It also finds the requests that run at the upstream without being known to this node:
// those of an earlier process, and those that were given up here and still run there.
// They are what the upstream has beyond the most that this node had there lately, as an
// answer may be read after others that were written later; for the same reason the least
// of the last reports counts.
//
//   condition.on_running(queue.running(), now);      // after each start
//   condition.on_answer(load, queue.running(), now); // before the request leaves
//   queue.set_slowness(condition.slowness(now));
//   queue.set_occupied(condition.occupied(slots, now));
//
// Built for upstreams on VMs that others make slow, and for a process that starts beside
// an upstream which is still at work for its predecessor.
//
// Cost: O(1) in time and memory.
#ifndef BUCKTHORNUSHER_REPORTED_LOAD_HPP
#define BUCKTHORNUSHER_REPORTED_LOAD_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace buckthornusher
{

struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowness = 0; // how long work takes, 1 as usual; 0: not told
    friend bool operator==(reported_load const&, reported_load const&) = default;
};

struct load_not_told
{
    friend bool operator==(load_not_told, load_not_told) = default;
};
struct load_broken // told in a form that means nothing
{
    friend bool operator==(load_broken, load_broken) = default;
};
using load_word = std::variant<load_not_told, load_broken, reported_load>;

// Returns a slowness that was told `age` ago: half of the difference to 1 is left after a
// fixed time. Broken and extreme values are bounded.
double fade_slowness(double slowness, duration age);

class upstream_condition
{
public:
    // This node has so many requests at the upstream.
    void on_running(std::uint32_t own, instant now);
    // An answer carried the load. `own`: including the answered request.
    void on_answer(reported_load const& load, std::uint32_t own, instant now);

    double slowness(instant now) const;
    // Returns how many of the upstream's announced slots this node cannot use.
    std::uint32_t occupied(std::uint32_t slots, instant now) const;

private:
    // The extreme of the values of the last one to two spans.
    struct recent_extreme
    {
        bool largest = true;
        std::optional<std::uint32_t> before = {}; // of the span before
        std::optional<std::uint32_t> current = {};
        instant began = {}; // of the current span

        void add(std::uint32_t value, instant now);
        std::uint32_t value() const;
    };

    double m_slowness = 1;
    std::optional<instant> m_slowness_at;
    recent_extreme m_own;                          // requests of this node
    recent_extreme m_unknown = {.largest = false}; // requests of others
    recent_extreme m_slots = {.largest = true};    // by the answers
    std::optional<instant> m_answered_at;          // the latest load
};

} // namespace buckthornusher

#endif
