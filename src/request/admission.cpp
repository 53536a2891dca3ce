// Which requests an owner sends to its upstream: see the header.
#include "buckthornusher/admission.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
constexpr double mean_weight = 0.05; // of the newest sample
constexpr duration shortest_retry = 50ms;
constexpr duration longest_retry = 2s;
} // namespace

admission::admission(admission_options opts)
    : m_options(opts), m_limit(std::min(opts.first_limit, opts.slots))
{
    m_limit = std::max(1.0, m_limit);
}

std::uint32_t admission::slots_now() const
{
    return static_cast<std::uint32_t>(m_limit);
}

admission_verdict admission::arrive(instant now, arrival const& a)
{
    if (a.deadline <= now)
        return admission_verdict::refuse;
    if (m_running < slots_now())
    {
        ++m_running;
        return admission_verdict::start;
    }
    place const p{.read = !a.ordered, .deadline = a.deadline, .id = a.id};
    // Those that would start before it, each taking its share of the slots.
    auto const ahead =
        static_cast<double>(std::distance(m_queue.begin(), m_queue.lower_bound(p)));
    auto const wait =
        duration(static_cast<duration::rep>((ahead + 1) * m_mean_us / m_limit));
    if (now + wait >= a.deadline)
        return admission_verdict::refuse;
    if (m_queue.size() >= m_options.max_queue)
        return admission_verdict::refuse;
    m_queue.insert(p);
    return admission_verdict::queued;
}

std::vector<std::uint64_t> admission::start_queued(instant now)
{
    std::vector<std::uint64_t> started;
    for (auto it = m_queue.begin(); it != m_queue.end() && m_running < slots_now();)
    {
        // Its answer would come too late; expire() names it.
        if (it->deadline <= now + duration(static_cast<duration::rep>(m_mean_us)))
        {
            ++it;
            continue;
        }
        ++m_running;
        started.push_back(it->id);
        it = m_queue.erase(it);
    }
    return started;
}

std::vector<std::uint64_t> admission::leave(instant now, request_end end, duration took)
{
    --m_running;
    if (end == request_end::shed)
        m_limit = std::max(1.0, m_limit * m_options.decrease);
    if (end == request_end::completed)
    {
        auto const sample = static_cast<double>(took.count());
        m_mean_us =
            m_mean_us <= 0 ? sample : m_mean_us + mean_weight * (sample - m_mean_us);
        // One more slot for each limit's worth of completions.
        m_limit = std::min<double>(m_options.slots, m_limit + 1.0 / m_limit);
    }
    return start_queued(now);
}

std::vector<std::uint64_t> admission::expire(instant now)
{
    std::vector<std::uint64_t> expired;
    std::erase_if(m_queue,
                  [&](place const& p)
                  {
                      if (p.deadline > now)
                          return false;
                      expired.push_back(p.id);
                      return true;
                  });
    return expired;
}

bool admission::cancel(std::uint64_t id)
{
    return std::erase_if(m_queue, [&](place const& p) { return p.id == id; }) > 0;
}

duration admission::retry_after() const
{
    auto const backlog =
        static_cast<double>(m_queue.size() + m_running) * m_mean_us / m_limit;
    return std::clamp(duration(static_cast<duration::rep>(2 * backlog)),
                      duration(shortest_retry), duration(longest_retry));
}

} // namespace buckthornusher
