// Order and pace of answers on a link; see the header.
#include "buckthornusher/link_schedule.hpp"

#include "buckthornusher/link_time.hpp"

#include <algorithm>

namespace buckthornusher
{

link_schedule::link_schedule(link_schedule_options opts) : m_options(opts)
{
    m_options.bytes_per_second = usable_link_rate(m_options.bytes_per_second);
}

duration link_schedule::time_of(std::uint64_t bytes) const
{
    return link_time(static_cast<double>(bytes), large_bytes_per_second());
}

void link_schedule::add(large_answer const& answer, instant now)
{
    if (!active() || m_waiting.contains(answer.id))
        return;
    auto const time = time_of(answer.bytes);
    m_waiting[answer.id] = {.answer = answer, .time = time, .since = now};
    m_waiting_time += time;
}

bool link_schedule::cancel(std::uint64_t id)
{
    auto const it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    m_waiting_time -= it->second.time;
    m_waiting.erase(it);
    return true;
}

void link_schedule::count_other(std::uint64_t bytes, instant now)
{
    if (!active())
        return;
    m_counts.other_bytes += bytes;
    m_all_free = std::max(m_all_free, now) +
                 link_time(static_cast<double>(bytes), m_options.bytes_per_second);
}

// The next large answer goes when the one before has passed and so have small messages,
// but for those it waits no longer than its floor allows.
instant link_schedule::ready_at() const
{
    auto first = instant::max();
    auto shortest = max_link_time;
    for (auto const& [id, w] : m_waiting)
    {
        first = std::min(first, w.since);
        shortest = std::min(shortest, w.time);
    }
    auto const bound =
        std::max(m_large_free, first) +
        duration(static_cast<duration::rep>(static_cast<double>(shortest.count()) *
                                            m_options.small_delay));
    return std::max(m_large_free, std::min(m_all_free, bound));
}

std::optional<instant> link_schedule::next_release() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return ready_at();
}

void link_schedule::drop_hopeless(instant now, std::vector<std::uint64_t>& dropped)
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();)
    {
        auto const& w = it->second;
        if (now + w.time <= w.answer.deadline)
        {
            ++it;
            continue;
        }
        dropped.push_back(it->first);
        ++m_counts.dropped;
        m_waiting_time -= w.time;
        it = m_waiting.erase(it);
    }
}

// Returns the earliest due of those that can be in time, or the late one with the
// earliest deadline if it is the late ones' turn or no other waits.
link_schedule::position link_schedule::choose(instant now)
{
    auto in_time = m_waiting.end();
    auto late = m_waiting.end();
    for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it)
    {
        auto const& [answer, time, since] = it->second;
        if (now + time <= answer.due)
        {
            if (in_time == m_waiting.end() || answer.due < in_time->second.answer.due)
                in_time = it;
        }
        else if (late == m_waiting.end() ||
                 answer.deadline < late->second.answer.deadline)
            late = it;
    }
    bool const turn_of_late = m_in_time_releases + 1 >= m_options.late_every;
    bool const takes_late =
        in_time == m_waiting.end() || (turn_of_late && late != m_waiting.end());
    m_in_time_releases = takes_late ? 0 : m_in_time_releases + 1;
    return takes_late ? late : in_time;
}

void link_schedule::release(position chosen, instant now)
{
    auto const& w = chosen->second;
    auto const full_rate_time =
        link_time(static_cast<double>(w.answer.bytes), m_options.bytes_per_second);
    m_large_free = std::max(m_large_free, now - m_options.catch_up) + w.time;
    // What was not waited for is forgiven, so that small messages cannot pile up a debt.
    m_all_free = now + full_rate_time;
    m_counts.large_bytes += w.answer.bytes;
    m_waiting_time -= w.time;
    m_waiting.erase(chosen);
}

link_releases link_schedule::take(instant now)
{
    link_releases result;
    drop_hopeless(now, result.dropped);
    while (!m_waiting.empty() && ready_at() <= now)
    {
        auto const chosen = choose(now);
        result.send.push_back(chosen->first);
        release(chosen, now);
    }
    return result;
}

duration link_schedule::backlog(instant now) const
{
    auto const busy = std::max(m_large_free, m_all_free) - now;
    return std::max(busy, duration{0}) + m_waiting_time;
}

} // namespace buckthornusher
