// Implementation of the rate limits and sampling; see the header.
#include "process/log_limit.hpp"

#include "buckthornusher/shard_map.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

bool line_limiter::allow(std::string_view kind, instant now)
{
    auto it = m_buckets.find(kind);
    if (it == m_buckets.end())
        it = m_buckets
                 .emplace(std::string(kind),
                          bucket{.tokens = m_options.burst, .refilled_at = now})
                 .first;
    auto& b = it->second;
    auto const elapsed_s = std::chrono::duration<double>(now - b.refilled_at).count();
    b.tokens = std::min(m_options.burst, b.tokens + elapsed_s * m_options.per_second);
    b.refilled_at = now;
    if (b.tokens < 1)
    {
        ++b.suppressed;
        ++m_suppressed;
        return false;
    }
    b.tokens -= 1;
    return true;
}

std::map<std::string, std::uint64_t> line_limiter::take_suppressed()
{
    std::map<std::string, std::uint64_t> counts;
    for (auto& [kind, b] : m_buckets)
        if (auto const count = std::exchange(b.suppressed, 0); count > 0)
            counts[kind] = count;
    return counts;
}

bool request_sampler::sampled(std::string_view id, instant now)
{
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_second)
    {
        // The request count of the last second sets the sampling rate of this one.
        m_shift = 0;
        while (m_count > m_per_second * static_cast<double>(1U << m_shift) &&
               m_shift < 20)
            ++m_shift;
        m_second = second;
        m_count = 0;
    }
    ++m_count;
    auto const mask = (std::uint64_t{1} << m_shift) - 1;
    return (rendezvous_score("log", id) & mask) == 0;
}

} // namespace buckthornusher
