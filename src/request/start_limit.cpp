// Bound on the requests to a cold upstream; see the header.
#include "buckthornusher/start_limit.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace buckthornusher
{

namespace
{

// The second of the bound, and a margin for clocks that count differently.
constexpr duration window = 1s + 20ms;
// Requests of the bound that are not used.
constexpr double kept_free = 1;
// Two connections that are lost within this time are a sign of a crash.
constexpr duration lost_together = 1s;
// A report that arrives earlier after an event may have been sent before it.
constexpr duration report_transit = 300ms;
// Of an upstream whose time is unknown.
constexpr duration default_cold_time = 5s;
// Without a request for this long, the upstream may have become cold unnoticed.
constexpr duration silence = 2s;

// More is no time to wait for anything; a rate may be as good as 0.
constexpr double longest_wait_s = 3'600;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s)
{
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>(std::min(s, longest_wait_s)));
}

} // namespace

void start_limit::set_options(start_limit_options const& opts)
{
    if (opts == m_options)
        return;
    m_options = opts;
    if (limits())
        return;
    m_sent.clear();
    m_unsent.clear();
}

void start_limit::continue_from(start_limit const& before, instant now)
{
    if (!limits())
        return;
    m_sent = before.m_sent;
    for (auto const id : before.m_unsent)
        m_sent.emplace_back(now, id);
    m_level = before.m_level;
    m_level_at = before.m_level_at;
    m_last_start = before.m_last_start;
}

double start_limit::start_rate() const
{
    return limits() ? m_options.rate * m_options.ratio : 0;
}

double start_limit::burst() const
{
    return std::max(1.0, m_options.reserve);
}

std::size_t start_limit::window_size() const
{
    auto const bound = std::floor(start_rate() + m_options.reserve) - kept_free;
    return static_cast<std::size_t>(std::max(1.0, bound));
}

// ---- when the upstream is cold ----

void start_limit::on_report(duration warm_up_left, instant now)
{
    m_cold_until = now + std::max(warm_up_left, duration{0});
    if (now >= m_failed_at + report_transit)
        m_assumed_until = {};
    if (m_silence_ended && now >= *m_silence_ended + report_transit)
        m_silence_ended.reset();
}

void start_limit::assume_cold(instant now)
{
    auto const time = m_options.cold_time;
    m_failed_at = now;
    m_assumed_until = now + (time > duration{0} ? time : duration{default_cold_time});
}

void start_limit::on_connect_failed(instant now)
{
    if (limits())
        assume_cold(now);
}

void start_limit::on_connection_lost(instant now)
{
    if (!limits())
        return;
    auto const before = std::exchange(m_last_lost, now);
    if (before && now - *before < lost_together)
        assume_cold(now);
}

duration start_limit::cold_for(instant now) const
{
    if (!limits())
        return duration{0};
    return std::max(std::max(m_cold_until, m_assumed_until) - now, duration{0});
}

bool start_limit::is_bounded(instant now) const
{
    return limits() && (is_cold(now) || m_silence_ended || is_after_silence(now));
}

bool start_limit::is_after_silence(instant now) const
{
    return now - m_last_start.value_or(m_options.started) > silence;
}

// ---- counting ----

double start_limit::level(instant now) const
{
    return std::min(burst(), m_level + start_rate() * seconds(now - m_level_at));
}

instant start_limit::room_at(instant now) const
{
    auto const size = window_size();
    if (m_unsent.size() >= size)
        return now + window;
    // The newest requests that fill the window together with the unsent ones: it has room
    // once the oldest of them has left it.
    auto const room = size - m_unsent.size();
    if (m_sent.size() < room)
        return now;
    return (m_sent.end() - static_cast<std::ptrdiff_t>(room))->first + window;
}

bool start_limit::may_start(instant now) const
{
    if (!is_bounded(now))
        return true;
    if (is_cold(now) && now < m_options.started + window)
        return false;
    return room_at(now) <= now && level(now) >= 1;
}

void start_limit::on_start(std::uint64_t id, instant now)
{
    if (!limits())
        return;
    if (is_after_silence(now))
        m_silence_ended = now;
    m_last_start = now;
    m_level = std::max(0.0, level(now) - 1);
    m_level_at = now;
    m_unsent.insert(id);
}

void start_limit::on_sent(std::uint64_t id, instant now)
{
    if (m_unsent.erase(id) == 0)
        return;
    while (!m_sent.empty() && m_sent.front().first + window <= now)
        m_sent.pop_front();
    m_sent.emplace_back(now, id);
}

void start_limit::on_not_counted(std::uint64_t id)
{
    auto const sent = std::find_if(m_sent.begin(), m_sent.end(),
                                   [&](auto const& s) { return s.second == id; });
    if (sent != m_sent.end())
        m_sent.erase(sent);
    else if (m_unsent.erase(id) == 0)
        return;
    m_level = std::min(burst(), m_level + 1);
}

std::vector<std::uint64_t> start_limit::unsent() const
{
    return {m_unsent.begin(), m_unsent.end()};
}

duration start_limit::until_start(std::size_t ahead, instant now) const
{
    if (!is_bounded(now))
        return duration{0};
    auto wait = std::max(room_at(now) - now, duration{0});
    if (is_cold(now))
        wait = std::max(wait, m_options.started + window - now);
    auto const missing = static_cast<double>(ahead) + 1 - level(now);
    if (missing > 0)
        wait = std::max(wait, from_seconds(missing / start_rate()));
    // Once the upstream is warm, nothing waits for the rate.
    return is_cold(now) ? std::min(wait, cold_for(now)) : wait;
}

} // namespace buckthornusher
