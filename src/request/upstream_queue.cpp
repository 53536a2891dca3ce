// Queue in front of one upstream; see the header.
#include "buckthornusher/upstream_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr double sample_weight = 0.1;   // of the newest service time in a mean
constexpr double shed_decrease = 0.9;   // factor on the limit when the upstream sheds
constexpr double min_limit_share = 0.5; // smallest limit as a share of the slots
constexpr double shed_weight = 0.1; // of the newest result in a share of shed requests
// Sheds count as a sign of too many requests at once only if their share while crowded
// exceeds the share while not crowded by this much.
constexpr double crowded_shed_excess = 0.1;
// A class is small if its service time is at most that of the longest class divided by
// this. Only classes with at least `min_slot_share` of the recent slot time count.
constexpr double small_class_ratio = 4;
constexpr double min_slot_share = 0.2;
constexpr double slot_time_decay = 0.98; // for each request that ends
// Factor on the expected wait of a late request, as later arrivals that are not late go
// before it.
constexpr int late_wait_factor = 3;
// Waits and service times vary around their means; a request is queued only if the mean
// service time divided by this is left as a margin.
constexpr int margin_divisor = 2;
constexpr duration min_retry_after = 50ms;
constexpr duration max_retry_after = 2s;

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
    m_limit = std::max(1U, slots); // a divisor; nothing starts without slots
}

std::optional<duration>
upstream_queue::known_service(std::string const& request_class) const
{
    auto const it = m_service_us.find(request_class);
    return it == m_service_us.end() ? std::nullopt
                                    : std::optional(from_us(it->second * m_slowness));
}

duration upstream_queue::expected_service(std::string const& request_class) const
{
    return known_service(request_class).value_or(m_options.default_service);
}

duration upstream_queue::mean_service() const
{
    return m_mean_us > 0 ? from_us(m_mean_us * m_slowness) : m_options.default_service;
}

// With all slots in use, each running request ends at the rate 1 / its service time.
duration upstream_queue::until_free_slot() const
{
    if (has_slot())
        return duration{0};
    if (m_options.slots == 0)
        return max_retry_after;
    double ends_per_us = 0;
    for (auto const& entry : m_running)
        ends_per_us +=
            1.0 / std::max(1.0, static_cast<double>(entry.second.expected.count()));
    return from_us(std::round(1 / ends_per_us));
}

duration upstream_queue::until_start(instant now) const
{
    return std::max(until_free_slot(), m_starts.until_start(0, now));
}

duration upstream_queue::wait_until(std::set<queue_position>::const_iterator end,
                                    instant now) const
{
    duration ahead{0};
    std::size_t requests = 0;
    for (auto it = m_queue.begin(); it != end; ++it, ++requests)
        ahead += m_waiting.at(it->id).service;
    return std::max(until_free_slot() + ahead / static_cast<duration::rep>(limit()),
                    m_starts.until_start(requests, now));
}

std::vector<rank_backlog> upstream_queue::backlog() const
{
    std::vector<rank_backlog> by_rank;
    for (auto const& [rank, time] : m_backlog)
        by_rank.push_back(
            {.rank = rank, .time = time / static_cast<duration::rep>(limit())});
    return by_rank;
}

std::vector<rank_backlog> upstream_queue::backlog(instant now) const
{
    auto by_rank = backlog();
    if (!m_starts.is_cold(now))
        return by_rank;
    auto const from = m_starts.until_start(0, now);
    auto started = from; // when the ranks so far may have started
    std::size_t requests = 0;
    auto it = m_queue.begin();
    for (auto& b : by_rank)
    {
        for (; it != m_queue.end() && it->rank <= b.rank; ++it)
            ++requests;
        auto const end = m_starts.until_start(requests, now);
        b.time = std::max(b.time, end - std::exchange(started, end));
    }
    return by_rank;
}

void upstream_queue::enqueue(queued_request const& r, duration service,
                             queue_position const& position)
{
    m_queue.insert(position);
    m_waiting[r.id] = {.request = r, .service = service, .position = position};
    m_backlog[position.rank] += service;
}

bool upstream_queue::is_small(duration service) const
{
    return static_cast<double>(service.count()) * small_class_ratio <=
           m_longest_us * m_slowness;
}

bool upstream_queue::is_late(duration service, instant due, instant now) const
{
    return !is_small(service) && now + service > due;
}

// Under overload, a slot spent on a late answer is taken from one that could be on time.
// Later arrivals that are not late go before a late request, so its wait is scaled up.
bool upstream_queue::has_room(queued_request const& r, bool late, duration wait,
                              duration service, instant now) const
{
    if (m_queue.size() >= m_options.max_queue)
        return false;
    if (now + wait > r.start_until)
        return false;
    if (late)
        return now + late_wait_factor * wait + service <= r.deadline;
    auto const end = is_small(service) ? r.deadline : std::min(r.due, r.deadline);
    return now + wait + service + service / margin_divisor <= end;
}

void upstream_queue::mark_running(queued_request const& r, instant now)
{
    m_starts.on_start(r.id, now);
    bool const crowded =
        static_cast<double>(m_running.size()) >= m_options.slots * min_limit_share;
    m_running.emplace(r.id, running_request{.request_class = r.request_class,
                                            .crowded = crowded,
                                            .expected = expected_service(r.request_class),
                                            .slowness = m_slowness});
}

queue_verdict upstream_queue::arrive(queued_request const& r, instant now)
{
    if (m_options.slots == 0)
        return has_no_room{.retry_after = max_retry_after};
    auto const service = expected_service(r.request_class);
    if (may_start(now) && m_queue.empty())
    {
        mark_running(r, now);
        return starts_now{};
    }
    queue_position const position{
        .rank = r.rank, .late = is_late(service, r.due, now), .due = r.due, .id = r.id};
    auto const wait = wait_until(m_queue.lower_bound(position), now);
    if (!has_room(r, position.late, wait, service, now))
        return has_no_room{.retry_after = std::clamp(wait, duration(min_retry_after),
                                                     duration(max_retry_after))};
    enqueue(r, service, position);
    return waits{.expected = wait};
}

// Lowers the limit if the upstream sheds more often while crowded than otherwise; resets
// it to all slots if sheds do not depend on that.
void upstream_queue::adjust_limit(bool crowded, bool shed)
{
    auto& share = crowded ? m_shed_crowded : m_shed_uncrowded;
    share += shed_weight * ((shed ? 1.0 : 0.0) - share);
    if (!shed)
        return;
    if (m_shed_crowded <= m_shed_uncrowded + crowded_shed_excess)
        m_limit = m_options.slots;
    else if (crowded)
        m_limit = std::max(m_options.slots * min_limit_share,
                           std::min<double>(m_limit * shed_decrease,
                                            static_cast<double>(m_running.size())));
    m_limit = std::max(1.0, m_limit);
}

void upstream_queue::leave(std::uint64_t id, request_end end, duration took, instant now)
{
    auto const it = m_running.find(id);
    if (it == m_running.end())
        return;
    if (end == request_end::not_sent)
        m_starts.on_not_counted(id);
    else
        m_starts.on_sent(id, now);
    auto const ended = std::move(it->second);
    m_running.erase(it);
    bool const answered =
        end == request_end::completed || end == request_end::answered_failure;
    if (end == request_end::shed || answered)
        adjust_limit(ended.crowded, end == request_end::shed);
    if (!answered)
        return;
    update_slot_time(ended.request_class, took);
    m_limit = std::min<double>(m_options.slots, m_limit + 1.0 / m_limit);
    // A failure is often reported before the work is done, and must not make the upstream
    // seem fast.
    if (end == request_end::completed || took > ended.expected)
        update_service(ended.request_class, took, (ended.slowness + m_slowness) / 2);
    update_longest_service();
}

void upstream_queue::update_slot_time(std::string const& request_class, duration took)
{
    for (auto& entry : m_slot_time)
        entry.second *= slot_time_decay;
    m_slot_time[request_class] += static_cast<double>(took.count());
}

void upstream_queue::update_longest_service()
{
    double total = 0;
    for (auto const& entry : m_slot_time)
        total += entry.second;
    m_longest_us = 0;
    for (auto const& [request_class, service] : m_service_us)
        if (m_slot_time[request_class] >= min_slot_share * total)
            m_longest_us = std::max(m_longest_us, service);
}

void upstream_queue::update_service(std::string const& request_class, duration took,
                                    double slowness)
{
    auto const add = [](double& mean, double sample)
    {
        mean = mean <= 0 ? sample : mean + sample_weight * (sample - mean);
    };
    auto const sample = static_cast<double>(took.count()) / slowness;
    add(m_service_us[request_class], sample);
    add(m_mean_us, sample);
}

std::optional<std::uint64_t> upstream_queue::start_next(instant now)
{
    if (!may_start(now))
        return std::nullopt;
    auto chosen = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it)
    {
        if (chosen != m_queue.end() && it->rank != chosen->rank)
            break;
        auto const& w = m_waiting.at(it->id);
        // It cannot end by its deadline; expire() removes it.
        if (now + w.service > w.request.deadline)
            continue;
        bool const in_time = !is_late(w.service, w.request.due, now);
        if (chosen == m_queue.end() || in_time)
            chosen = it;
        if (in_time)
            break;
    }
    if (chosen == m_queue.end())
        return std::nullopt;
    auto const id = chosen->id;
    mark_running(m_waiting.at(id).request, now);
    cancel(id);
    return id;
}

std::vector<std::uint64_t> upstream_queue::expire(instant now)
{
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> now_late;
    for (auto const& [id, w] : m_waiting)
    {
        if (now + w.service > w.request.deadline || now > w.request.start_until)
            expired.push_back(id);
        else if (!w.position.late && is_late(w.service, w.request.due, now))
            now_late.push_back(id);
    }
    for (auto const id : expired)
        cancel(id);
    for (auto const id : now_late)
        if (!requeue_as_late(id, now))
            expired.push_back(id);
    return expired;
}

// Moves a request that has become late behind those of its rank that are not. Returns
// false, and removes it, if there is no room for it there.
bool upstream_queue::requeue_as_late(std::uint64_t id, instant now)
{
    auto w = m_waiting.at(id);
    cancel(id);
    w.position.late = true;
    auto const wait = wait_until(m_queue.lower_bound(w.position), now);
    if (!has_room(w.request, true, wait, w.service, now))
        return false;
    enqueue(w.request, w.service, w.position);
    return true;
}

bool upstream_queue::cancel(std::uint64_t id)
{
    auto const it = m_waiting.find(id);
    if (it == m_waiting.end())
        return false;
    auto const& w = it->second;
    auto const sum = m_backlog.find(w.position.rank);
    sum->second -= w.service;
    if (sum->second <= duration{0})
        m_backlog.erase(sum);
    m_queue.erase(w.position);
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
    m_backlog.clear();
    return ids;
}

} // namespace buckthornusher
