// How far a process is behind the messages that it has been sent.
//
// A timer that runs late shows it: whatever came since it was due has waited as long. The
// worst of the latest turns counts, so that a short calm between two long rounds of work
// does not hide them.
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
    // `period`: of the timer.
    explicit loop_lag(duration period) : m_period(period) {}

    // The timer has run.
    void on_tick(instant now)
    {
        constexpr int retained_percent = 80; // of the lag so far, for each turn
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
