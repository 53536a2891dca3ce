// The process's clock: CLOCK_BOOTTIME, which also advances while a VM is suspended.
#ifndef BUCKTHORNUSHER_PROCESS_BOOT_CLOCK_HPP
#define BUCKTHORNUSHER_PROCESS_BOOT_CLOCK_HPP

#include "buckthornusher/time.hpp"

#include <ctime>

namespace buckthornusher
{

inline instant boot_now()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return instant(duration(std::int64_t{ts.tv_sec} * 1'000'000 + ts.tv_nsec / 1'000));
}

inline instant from_micros(std::uint64_t micros)
{
    return instant(duration(static_cast<duration::rep>(micros)));
}

inline std::uint64_t to_micros(instant t)
{
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}

} // namespace buckthornusher

#endif
