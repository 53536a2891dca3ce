// What follows from an upstream's words on its load; see the header.
#include "buckthornusher/reported_load.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

namespace
{

constexpr duration smoothing_half_life = 150ms; // of an answer's slowness in the mean
constexpr duration fading_half_life = 500ms;    // of a slowness without further answers
constexpr double min_slowness = 0.1;
constexpr double max_slowness = 20;
constexpr duration span = 200ms;   // of recent_extreme
constexpr duration fresh_for = 1s; // a load counts no longer

double halvings(duration time, duration half_life)
{
    return std::exp2(-static_cast<double>(std::max(time, duration{0}).count()) /
                     static_cast<double>(half_life.count()));
}

} // namespace

double fade_slowness(double slowness, duration age)
{
    if (!std::isfinite(slowness) || slowness <= 0 || slowness == 1)
        return 1;
    auto const bounded = std::clamp(slowness, min_slowness, max_slowness);
    return 1 + (bounded - 1) * halvings(age, fading_half_life);
}

void upstream_condition::recent_extreme::add(std::uint32_t value, instant now)
{
    if (now - began >= 2 * span)
        before = current = std::nullopt;
    if (now - began >= span)
    {
        before = current;
        current.reset();
        began = now;
    }
    if (!current || (largest ? value > *current : value < *current))
        current = value;
}

std::uint32_t upstream_condition::recent_extreme::value() const
{
    if (!before || !current)
        return current.value_or(before.value_or(0));
    return largest ? std::max(*before, *current) : std::min(*before, *current);
}

void upstream_condition::on_running(std::uint32_t own, instant now)
{
    m_own.add(own, now);
}

void upstream_condition::on_answer(reported_load const& load, std::uint32_t own,
                                   instant now)
{
    on_running(own, now);
    auto const there = load.running + load.waiting;
    m_unknown.add(there - std::min(there, m_own.value()), now);
    m_slots.add(load.slots, now);
    m_answered_at = now;
    if (load.slowness <= 0)
        return;
    auto const told = std::clamp(load.slowness, min_slowness, max_slowness);
    auto const rest =
        m_slowness_at ? halvings(now - *m_slowness_at, smoothing_half_life) : 0;
    m_slowness = told + (m_slowness - told) * rest;
    m_slowness_at = now;
}

double upstream_condition::slowness(instant now) const
{
    return m_slowness_at ? fade_slowness(m_slowness, now - *m_slowness_at) : 1;
}

std::uint32_t upstream_condition::occupied(std::uint32_t slots, instant now) const
{
    if (!m_answered_at || now - *m_answered_at >= fresh_for)
        return 0;
    auto const missing = slots - std::min(slots, m_slots.value());
    return std::min(slots, m_unknown.value() + missing);
}

} // namespace buckthornusher
