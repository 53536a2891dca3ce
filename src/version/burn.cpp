// Implementation of the burn rates; see the header.
#include "buckthornusher/burn.hpp"

namespace buckthornusher
{

namespace
{

std::int64_t minute_of(instant now)
{
    return std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch())
        .count();
}

} // namespace

burn_counts operator+(burn_counts const& a, burn_counts const& b)
{
    return {.total = a.total + b.total,
            .failed = a.failed + b.failed,
            .slow = a.slow + b.slow};
}

double availability_burn(burn_counts const& counts, objective const& o)
{
    if (counts.total == 0)
        return 0;
    return static_cast<double>(counts.failed) / static_cast<double>(counts.total) /
           (1 - o.availability);
}

double latency_burn(burn_counts const& counts, objective const& o)
{
    auto const answered = counts.total - counts.failed;
    if (answered == 0)
        return 0;
    return static_cast<double>(counts.slow) / static_cast<double>(answered) /
           (1 - o.within_latency);
}

void burn_recorder::count(std::string const& service, bool answered, bool slow,
                          instant now)
{
    auto& ring = m_services[service];
    ring.resize(ring_size);
    auto const number = minute_of(now);
    auto& m = ring[static_cast<std::size_t>(number) % ring_size];
    if (m.number != number)
        m = {.number = number, .counts = {}};
    ++m.counts.total;
    m.counts.failed += answered ? 0 : 1;
    m.counts.slow += answered && slow ? 1 : 0;
}

std::map<std::string, burn_counts> burn_recorder::window(duration length,
                                                         instant now) const
{
    auto const last = minute_of(now);
    auto const first =
        last - std::chrono::duration_cast<std::chrono::minutes>(length).count();
    std::map<std::string, burn_counts> counts;
    for (auto const& [service, ring] : m_services)
        for (auto const& m : ring)
            if (m.number > first && m.number <= last)
                counts[service] = counts[service] + m.counts;
    return counts;
}

} // namespace buckthornusher
