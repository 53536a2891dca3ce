// Which requests go to the upstream beside a node: see the header.
#include "buckthornusher/upstream_queue.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

constexpr double sample_weight = 0.1; // of the newest time in a class's mean
constexpr double shed_decrease = 0.9; // of the limit, when the upstream has no room
constexpr double least_limit = 0.5;   // of the slots: one that sheds at random keeps them
constexpr duration shortest_retry = 50ms;
constexpr duration longest_retry = 2s;

duration from_us(double us)
{
    return duration(static_cast<duration::rep>(us));
}

} // namespace

upstream_queue::upstream_queue(upstream_queue_options opts)
    : m_options(opts), m_limit(std::max(1U, opts.slots))
{
}

void upstream_queue::set_slots(std::uint32_t slots)
{
    if (slots == m_options.slots)
        return;
    m_options.slots = slots;
    m_limit = std::max(1U, slots);
}

duration upstream_queue::expected_service(std::string const& request_class) const
{
    auto const it = m_service_us.find(request_class);
    return it == m_service_us.end() ? m_options.first_guess : from_us(it->second);
}

duration upstream_queue::mean_service() const
{
    return m_mean_us > 0 ? from_us(m_mean_us) : m_options.first_guess;
}

// With all slots in use one becomes free each mean time over the number of slots.
duration upstream_queue::until_a_slot() const
{
    if (has_slot())
        return duration{0};
    return mean_service() / static_cast<duration::rep>(limit());
}

duration upstream_queue::expected_wait(std::uint32_t rank, instant due) const
{
    auto const end = m_queue.lower_bound({.rank = rank, .due = due, .id = 0});
    duration ahead{0};
    for (auto it = m_queue.begin(); it != end; ++it)
        ahead += m_waiting.at(it->id).service;
    return until_a_slot() + ahead / static_cast<duration::rep>(limit());
}

queue_verdict upstream_queue::arrive(queued_request const& r, instant now)
{
    auto const service = expected_service(r.request_class);
    if (has_slot() && m_queue.empty())
    {
        m_running.emplace(r.id, r.request_class);
        return starts_now{};
    }
    auto const wait = expected_wait(r.rank, r.due);
    // While there is more work than slots, a slot that is spent on a late answer is
    // missing for one in time.
    auto const limit = now + service <= r.due ? std::min(r.due, r.deadline) : r.deadline;
    bool const late = now + wait + service > limit || now + wait > r.start_until;
    if (late || m_queue.size() >= m_options.max_queue)
        return has_no_room{.retry_after = std::clamp(wait, duration(shortest_retry),
                                                     duration(longest_retry))};
    m_queue.insert({.rank = r.rank, .due = r.due, .id = r.id});
    m_waiting[r.id] = {.request = r, .service = service};
    return waits{.expected = wait};
}

void upstream_queue::leave(std::uint64_t id, request_end end, duration took,
                           instant /*now*/)
{
    auto const it = m_running.find(id);
    if (it == m_running.end())
        return;
    auto const request_class = std::move(it->second);
    m_running.erase(it);
    if (end == request_end::shed)
        m_limit = std::max(m_options.slots * least_limit,
                           std::min<double>(m_limit * shed_decrease,
                                            static_cast<double>(m_running.size())));
    m_limit = std::max(1.0, m_limit);
    if (end != request_end::completed)
        return;
    m_limit = std::min<double>(m_options.slots, m_limit + 1.0 / m_limit);
    auto const sample = static_cast<double>(took.count());
    auto& mean = m_service_us[request_class];
    mean = mean <= 0 ? sample : mean + sample_weight * (sample - mean);
    m_mean_us =
        m_mean_us <= 0 ? sample : m_mean_us + sample_weight * (sample - m_mean_us);
}

std::optional<std::uint64_t> upstream_queue::start_next(instant now)
{
    if (!has_slot())
        return std::nullopt;
    auto chosen = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it)
    {
        auto const& w = m_waiting.at(it->id);
        // It could not end in time; expire() names it.
        if (now + w.service > w.request.deadline)
            continue;
        bool const in_time = now + w.service <= w.request.due;
        if (chosen == m_queue.end() || in_time)
            chosen = it;
        if (in_time)
            break;
    }
    if (chosen == m_queue.end())
        return std::nullopt;
    auto const id = chosen->id;
    m_running.emplace(id, m_waiting.at(id).request.request_class);
    m_waiting.erase(id);
    m_queue.erase(chosen);
    return id;
}

std::vector<std::uint64_t> upstream_queue::expire(instant now)
{
    std::vector<std::uint64_t> expired;
    for (auto const& [id, w] : m_waiting)
        if (now + w.service > w.request.deadline || now > w.request.start_until)
            expired.push_back(id);
    for (auto const id : expired)
        cancel(id);
    return expired;
}

bool upstream_queue::cancel(std::uint64_t id)
{
    auto const it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    auto const& r = it->second.request;
    m_queue.erase({.rank = r.rank, .due = r.due, .id = id});
    m_waiting.erase(it);
    return true;
}

std::vector<std::uint64_t> upstream_queue::clear()
{
    std::vector<std::uint64_t> ids;
    for (auto const& entry : m_waiting)
        ids.push_back(entry.first);
    m_queue.clear();
    m_waiting.clear();
    return ids;
}

} // namespace buckthornusher
