// Load shedding on arrival; see the header.
#include "buckthornusher/intake.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Factor on the maximum wait of rank 1: 2 for rank 0, 2/3 for rank 2.
double rank_factor(std::uint32_t rank)
{
    return 2.0 / (1.0 + rank);
}

duration scaled(duration d, double by)
{
    return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * by));
}

} // namespace

std::optional<duration> overload_retry_after(arrival const& a, intake_options const& opts)
{
    auto const max_unread = std::min(scaled(opts.max_unread, rank_factor(a.rank)),
                                     scaled(a.caller_timeout, opts.max_timeout_share));
    if (a.unread <= max_unread)
        return std::nullopt;
    return std::clamp(2 * a.unread, opts.min_retry_after, opts.max_retry_after);
}

} // namespace buckthornusher
