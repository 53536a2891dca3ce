// Room for downloads on a link; see the header.
#include "buckthornusher/link_room.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Factor on the link's work before a download that is late already, as later arrivals
// that can be in time go before it.
constexpr int late_work_factor = 3;
// Answers differ in size; one is promised only if this many usual ones more would fit.
constexpr int margin_answers = 1;
constexpr duration min_retry_after = 50ms;
constexpr duration max_retry_after = 2s;

} // namespace

void link_room::note_answer(std::string const& request_class, std::uint64_t bytes)
{
    auto const size = static_cast<double>(bytes);
    auto const [it, first] = m_bytes.try_emplace(request_class, size);
    if (!first)
        it->second += m_options.mean_weight * (size - it->second);
}

std::uint64_t link_room::usual_bytes(std::string const& request_class) const
{
    auto const it = m_bytes.find(request_class);
    return static_cast<std::uint64_t>(it == m_bytes.end() ? m_options.unknown_bytes
                                                          : it->second);
}

duration link_room::wait(instant now) const
{
    auto sum = m_schedule.backlog(now);
    for (auto const& entry : m_promised)
        sum += entry.second.time;
    return sum;
}

// Held downloads begin in the order of their arrival.
duration link_room::work_before(std::uint64_t id, instant now) const
{
    auto sum = m_schedule.backlog(now);
    for (auto const& [other, p] : m_promised)
        if (other < id || (other != id && p.begun))
            sum += p.time;
    return sum;
}

link_verdict link_room::refuse(std::uint64_t id, duration until_room)
{
    m_promised.erase(id);
    ++m_refusals;
    return link_is_full{.retry_after = std::clamp(until_room, duration(min_retry_after),
                                                  duration(max_retry_after))};
}

link_verdict link_room::arrive(download const& d, download_outlook const& outlook,
                               instant now)
{
    if (!m_schedule.active())
        return link_has_room{};
    m_used = true;
    auto const time = m_schedule.time_of(usual_bytes(d.request_class));
    auto const work = work_before(d.id, now);
    auto const made_after = outlook.slot_wait + outlook.service;
    bool const late = now + made_after + time > d.due;
    auto const limit = late ? d.deadline : std::min(d.due, d.deadline);
    auto const margin = work > duration{0} ? time * margin_answers : duration{0};
    auto const end =
        now + std::max(made_after, late ? work * late_work_factor : work + margin) + time;
    if (end > limit)
        return refuse(d.id, end - limit);
    auto const hold = work - made_after - m_options.begin_ahead;
    bool const held = hold > duration{0} && d.may_be_held;
    if (held && now + hold > d.start_until)
        return refuse(d.id, hold);
    m_promised[d.id] = {.time = time, .begun = !held};
    if (held)
        return held_for_link{.expected = hold};
    return link_has_room{};
}

} // namespace buckthornusher
