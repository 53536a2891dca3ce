// The time that bytes need on a link, and its rate as far as it can be used.
//
// Pure; cost O(1).
#ifndef BUCKTHORNUSHER_LINK_TIME_HPP
#define BUCKTHORNUSHER_LINK_TIME_HPP

#include "buckthornusher/time.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

// Bytes are never taken to need longer, whatever their number and the rate are.
inline constexpr duration max_link_time = std::chrono::seconds(60);

// Returns the rate, or 0 (not known) for one that is negative or no number.
inline double usable_link_rate(double bytes_per_second)
{
    return std::isfinite(bytes_per_second) ? std::max(0.0, bytes_per_second) : 0;
}

// Returns 0 if the rate is not known.
inline duration link_time(double bytes, double bytes_per_second)
{
    constexpr double us_per_second = 1e6;
    if (!(bytes_per_second > 0) || !(bytes > 0))
        return duration{0};
    auto const us = std::min(bytes * us_per_second / bytes_per_second,
                             static_cast<double>(max_link_time.count()));
    return duration(static_cast<duration::rep>(std::ceil(us)));
}

} // namespace buckthornusher

#endif
