// Room on a link for downloads that are asked for; see the header.
#include "buckthornusher/link_intake.hpp"

#include "buckthornusher/link_time.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

link_intake::link_intake(link_intake_options opts) : m_options(opts)
{
    m_options.bytes_per_second = usable_link_rate(m_options.bytes_per_second);
}

double link_intake::size(double bytes) const
{
    return bytes > 0 && std::isfinite(bytes) ? bytes : m_options.unknown_bytes;
}

duration link_intake::time_of(double bytes) const
{
    return link_time(bytes, m_options.bytes_per_second * m_options.share);
}

std::optional<duration> link_intake::until_room(double bytes, instant due,
                                                instant deadline, instant now) const
{
    if (!active() || m_expected.empty())
        return std::nullopt;
    auto const own = time_of(size(bytes));
    bool const late = now + own > due;
    auto const end = now + time_of(m_total) + own;
    auto const limit = late ? deadline : std::min(due, deadline);
    if (end <= limit)
        return std::nullopt;
    return end - limit;
}

duration link_intake::book_return(duration until_room, double bytes, instant now)
{
    if (!active())
        return until_room;
    auto const last = now + std::max(until_room, m_options.max_return);
    auto const at = std::min(std::max(now + until_room, m_next_return), last);
    m_next_return = at + time_of(size(bytes));
    return at - now;
}

void link_intake::begin(std::uint64_t attempt, double bytes)
{
    if (!active() || !m_expected.emplace(attempt, size(bytes)).second)
        return;
    m_total += size(bytes);
}

void link_intake::end(std::uint64_t attempt)
{
    auto const it = m_expected.find(attempt);
    if (it == m_expected.end())
        return;
    m_total -= it->second;
    m_expected.erase(it);
    if (m_expected.empty())
        m_total = 0; // no rounding error is kept
}

} // namespace buckthornusher
