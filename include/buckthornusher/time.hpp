// Time types of the coordination classes.
//
// These classes never read a clock: each call carries `now`. An instant belongs to the
// process that read it, and only instants of one process are compared. The daemon
// reads CLOCK_BOOTTIME, which includes the time that a VM spends suspended.
#ifndef BUCKTHORNUSHER_TIME_HPP
#define BUCKTHORNUSHER_TIME_HPP

#include <chrono>

namespace buckthornusher
{

using duration = std::chrono::microseconds;

// Marks instants of CLOCK_BOOTTIME; read by process/boot_clock.hpp only.
struct boot_time
{
    static constexpr bool is_steady = true;
};

using instant = std::chrono::time_point<boot_time, duration>;

using namespace std::chrono_literals;

} // namespace buckthornusher

#endif
