// Measures how long received messages have waited for the event loop.
//
// The measure is the lateness of a periodic timer: messages that arrived since the timer
// was due have waited up to as long. The value is a decaying maximum over the latest
// ticks, so that one punctual tick between two long rounds of work does not hide them.
//
// Cost: O(1).
#ifndef BUCKTHORNUSHER_PROCESS_LOOP_LAG_HPP
#define BUCKTHORNUSHER_PROCESS_LOOP_LAG_HPP

#include "buckthornusher/time.hpp"

#include <algorithm>
#include <optional>

namespace buckthornusher
{

class loop_lag
{
public:
    // `period` is the interval between two calls of on_tick().
    explicit loop_lag(duration period) : m_period(period) {}

    // Must be called each time the timer runs.
    void on_tick(instant now)
    {
        constexpr int retained_percent = 80; // of the previous lag, on each tick
        auto const late = m_last ? now - *m_last - m_period : duration{0};
        m_last = now;
        m_lag = std::max<duration>(late, m_lag * retained_percent / 100);
    }

    duration value() const { return m_lag; }

private:
    duration m_period;
    std::optional<instant> m_last;
    duration m_lag{0};
};

} // namespace buckthornusher

#endif
