// Pace of an upstream that has just started or recovered; see the header.
#include "buckthornusher/upstream_pace.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

namespace
{

constexpr double least_limit = 1;
constexpr double least_first_limit = 2;
constexpr double good_weight = 0.1;   // of the newest answer in the share of good ones
constexpr double some_are_good = 0.2; // share
constexpr double step_down_factor = 0.5;
constexpr double slower_after_step_down = 2;
// Number of answers of a class whose mean is its first time.
constexpr std::uint32_t first_answers = 4;

} // namespace

void upstream_pace::begin(instant now)
{
    auto const steps_down = m_steps_down;
    *this = upstream_pace(m_options);
    m_steps_down = steps_down;
    m_paced = true;
    m_since = now;
}

double upstream_pace::first(std::uint32_t slots) const
{
    return std::max(least_first_limit, m_options.first_share * slots);
}

double upstream_pace::level(std::uint32_t slots, instant now) const
{
    auto const all = std::max(1.0, static_cast<double>(slots));
    auto const base = m_base < 0 ? first(slots) : m_base;
    auto const span = std::chrono::duration<double>(m_options.full_within) * m_slower;
    auto const share = std::chrono::duration<double>(now - m_since) / span;
    auto const line = base + (all - base) * std::clamp(share, 0.0, 1.0);
    return std::clamp(std::max(line, m_grown), least_limit, all);
}

std::uint32_t upstream_pace::limit(std::uint32_t slots, instant now) const
{
    return m_paced ? static_cast<std::uint32_t>(level(slots, now)) : slots;
}

void upstream_pace::on_answer(paced_answer const& a, std::uint32_t slots, instant now)
{
    if (!m_paced)
        return;
    m_good_share += good_weight * ((a.good ? 1.0 : 0.0) - m_good_share);
    // What began before the last step down says nothing of the limit since.
    if (a.started < m_since)
        return;
    if (!a.good && ++m_bad >= m_options.bad_answers &&
        m_bad >= m_options.bad_share * (m_answers + 1))
        return step_down(slots, now);
    // Likewise what began before the limit grew: whether that was too much is not known.
    if (a.started < m_round_since)
        return;
    ++m_answers;
    auto const time = static_cast<double>(a.took.count());
    auto& count = m_first_count[a.request_class];
    auto& first = m_first_us[a.request_class];
    if (a.good && count < first_answers)
        first += (time - first) / ++count;
    else if (a.good && first > 0)
    {
        m_ratios += time / first;
        ++m_ratio_count;
    }
    auto const size =
        std::max(m_options.round, static_cast<std::uint32_t>(level(slots, now)));
    bool const slow = m_ratio_count >= m_options.round &&
                      m_ratios > m_options.slow_ratio * m_ratio_count;
    if (slow)
        return step_down(slots, now);
    if (m_answers >= size)
        end_round(slots, now);
}

void upstream_pace::step_down(std::uint32_t slots, instant now)
{
    auto const least = m_good_share > some_are_good ? first(slots) : least_limit;
    auto const reached = level(slots, now);
    m_base = std::max(std::min(least, reached), reached * step_down_factor);
    m_since = now;
    m_slower = std::min(m_options.slowest, m_slower * slower_after_step_down);
    m_stepped_down = true;
    ++m_steps_down;
    m_grown = 0;
    begin_round(slots, now);
}

void upstream_pace::begin_round(std::uint32_t slots, instant now)
{
    m_answers = m_bad = m_ratio_count = 0;
    m_ratios = 0;
    m_round_since = now;
    m_round_level = level(slots, now);
}

void upstream_pace::end_round(std::uint32_t slots, instant now)
{
    m_paced = m_round_level < static_cast<double>(slots);
    if (m_bad == 0 && !m_stepped_down)
        m_grown = level(slots, now) * m_options.growth;
    begin_round(slots, now);
}

} // namespace buckthornusher
