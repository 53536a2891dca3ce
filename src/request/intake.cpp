// Whether a node that is behind its work takes a request: see the header.
#include "buckthornusher/intake.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// By which the bound of rank 1 is multiplied: 2 for rank 0, 2/3 for rank 2.
double rank_factor(std::uint32_t rank)
{
    return 2.0 / (1.0 + rank);
}

duration scaled(duration d, double by)
{
    return duration(static_cast<duration::rep>(static_cast<double>(d.count()) * by));
}

} // namespace

std::optional<duration> refused_for(arrival const& a, intake_options const& opts)
{
    auto const bound = std::min(scaled(opts.bound, rank_factor(a.rank)),
                                scaled(a.patience, opts.patience_part));
    if (a.unread <= bound)
        return std::nullopt;
    return std::clamp(2 * a.unread, opts.shortest_retry, opts.longest_retry);
}

} // namespace buckthornusher
