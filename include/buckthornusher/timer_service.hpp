// Timers with callbacks.
//
// The service orders callbacks by due time and runs those that are due when its
// owner calls run_due(). It reads no clock, starts no thread and is not thread-safe.
//
//   timer_service timers;
//   auto id = timers.at(now + 200ms, [](instant) { ... });
//   timers.every(now, 1s, [](instant) { ... });
//   timers.run_due(now);
//
// Cost: O(log n) for each registration, cancellation and run.
#ifndef BUCKTHORNUSHER_TIMER_SERVICE_HPP
#define BUCKTHORNUSHER_TIMER_SERVICE_HPP

#include "buckthornusher/time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace buckthornusher
{

class timer_service
{
public:
    using callback = std::function<void(instant)>;

    struct timer_id
    {
        instant due;
        std::uint64_t serial = 0;
        friend auto operator<=>(timer_id const&, timer_id const&) = default;
    };

    // Runs `fn` once, in the first run_due() at or after `due`.
    timer_id at(instant due, callback fn);

    // Runs `fn` once per `period`. Missed runs are dropped, so a late run causes no
    // burst.
    void every(instant now, duration period, callback fn);

    // Does nothing if the timer has run already.
    void cancel(timer_id id);

    std::optional<instant> next_due() const;

    // Runs all due callbacks, which may add and cancel timers. Returns whether any ran.
    bool run_due(instant now);

private:
    std::uint64_t m_next_serial = 1;
    std::map<timer_id, callback> m_timers; // ordered by due time, then by registration
};

} // namespace buckthornusher

#endif
