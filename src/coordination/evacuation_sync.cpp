// Implementation of evacuation_sync; see the header.
#include "coordination/evacuation_sync.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr duration max_watch_wait = 2s;
// Until operators have written again what the store forgot.
constexpr duration settle_time = 20s;
constexpr int watches_per_bound = 5;
constexpr int stagger_steps_per_bound = 100;
constexpr int max_staggers_per_bound = 8;
constexpr int stand_in_bounds = 2;
constexpr int relay_gaps_per_bound = 20;

} // namespace

evacuation_times evacuation_times_for(duration bound)
{
    return {.watch_wait = std::min<duration>(max_watch_wait, bound / watches_per_bound),
            .max_age = bound * 2 / watches_per_bound,
            .stagger = bound / stagger_steps_per_bound,
            .max_stagger = bound / max_staggers_per_bound,
            .stand_in_time = bound * stand_in_bounds,
            .relay_gap = bound / relay_gaps_per_bound};
}

void evacuation_sync::note(std::string_view domain, bool evacuated, instant now)
{
    auto const it = m_windows.find(domain);
    if (evacuated && it == m_windows.end())
        m_windows.emplace(domain, window_of(now, m_as_of, m_bound));
    else if (!evacuated && it != m_windows.end())
        m_windows.erase(it);
}

void evacuation_sync::note_old(std::string_view domain)
{
    m_windows.insert_or_assign(std::string(domain),
                               window_of(instant{}, std::nullopt, m_bound));
}

void evacuation_sync::confirm(instant as_of)
{
    if (!m_as_of || as_of > *m_as_of)
        m_as_of = as_of;
}

void evacuation_sync::note_era(std::uint64_t era, instant now)
{
    if (m_era && era > *m_era)
    {
        m_settles_at = now + settle_time;
        m_settling = true;
    }
    if (!m_era || era > *m_era)
        m_era = era;
}

bool evacuation_sync::settles(instant now)
{
    return m_settling && is_settled(now) && std::exchange(m_settling, false);
}

bool evacuation_sync::review(std::size_t rank, instant now)
{
    auto const known = age(now);
    auto const wait = std::min<duration>(
        m_times.max_stagger, m_times.stagger * static_cast<duration::rep>(rank));
    if (known && *known <= m_times.max_age + wait)
        return false;
    m_stand_in_until = now + m_times.stand_in_time;
    return true;
}

bool evacuation_sync::relay_due(instant now)
{
    if (now < m_next_relay)
        return false;
    m_next_relay = now + m_times.relay_gap;
    return true;
}

std::optional<evacuation_window> evacuation_sync::window(std::string_view domain) const
{
    auto const it = m_windows.find(domain);
    return it == m_windows.end() ? std::nullopt : std::optional(it->second);
}

} // namespace buckthornusher
