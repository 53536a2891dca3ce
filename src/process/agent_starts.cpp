// Implementation of the agent: what it learns of an upstream beside its answers, for the
// bound on the starts at a cold one (start_limit.hpp), from the load that it tells
// (reported_load.hpp), and for its pace after a start or a recovery (upstream_pace.hpp).
// See agent.hpp.
#include "process/agent_impl.hpp"

#include "process/log.hpp"
#include "process/overloaded.hpp"

#include <limits>

namespace buckthornusher
{

namespace
{

// A request whose connection is lost earlier had hardly reached the upstream.
constexpr duration min_running_time = 10ms;
// An upstream that appears earlier in a process's life may have been there before it.
constexpr duration process_settles = 5s;
// Connections that fail for this long are an outage.
constexpr duration outage = 1s;
// Of the log of an upstream's broken loads; the counter has all.
constexpr duration broken_load_log_period = 1s;

} // namespace

// The report counts also without a document, which may come after it.
void agent::learn_warm_up(link& l, upstream_report const& report, instant now) const
{
    set_start_options(l, report.service);
    l.queue.starts().on_report(report.warm_up_left, now);
}

// Without a document, or a service of that name in it, the bound stays as it was.
void agent::set_start_options(link& l, std::string const& service_name) const
{
    auto const* service = m_routes == nullptr ? nullptr : m_routes->service(service_name);
    if (service == nullptr)
        return;
    l.queue.starts().set_options({.rate = service->cold_rate,
                                  .ratio = m_options.cold_ratio,
                                  .reserve = m_options.cold_reserve,
                                  .cold_time = service->cold_time,
                                  .started = m_started});
}

// Tells the bound which requests have been written since the last call, and logs a change
// between cold and warm.
void agent::note_written(link& l, instant now)
{
    auto& starts = l.queue.starts();
    for (auto const id : starts.unsent())
        if (auto const* w = find(id);
            w == nullptr || (w->call && l.http.has_sent(*w->call)))
            starts.on_sent(id, now);
    bool const cold = starts.is_cold(now);
    if (std::exchange(l.logged_cold, cold) == cold)
        return;
    log_event(log_level::info, cold ? "upstream-cold" : "upstream-warm",
              {{"service", l.report.service},
               {"life", to_string(l.report.incarnation)},
               {"reported_ms", in_ms(l.report.warm_up_left)},
               {"cold_ms", in_ms(starts.cold_for(now))},
               {"starts_per_s", std::to_string(starts.start_rate())}});
}

// A connection that the upstream had forgotten while it was idle says nothing: it fails
// as soon as it is used again.
void agent::note_failure(link& l, http_failure const& failure, duration took,
                         instant now) const
{
    using step = http_failure::step;
    bool const forgotten =
        failure.reused && !failure.response_started && took < min_running_time;
    if (forgotten)
        return;
    if (failure.failed_step == step::connect)
    {
        l.queue.starts().on_connect_failed(now);
        if (!l.failing_since)
            l.failing_since = now;
    }
    else if (failure.failed_step == step::answer)
        l.queue.starts().on_connection_lost(now);
}

// Must precede the end of the answered request in the queue.
void agent::note_load(link& l, http_response const& response, instant now)
{
    auto const word =
        std::visit([&](auto const& form) { return form.load(response); }, m_options.form);
    std::visit(overloaded{[](load_not_told const&) {},
                          [&](load_broken const&)
                          {
                              ++m_broken_loads;
                              if (now < l.broken_load_logged_at + broken_load_log_period)
                                  return;
                              l.broken_load_logged_at = now;
                              log_event(log_level::warning, "upstream-load-broken",
                                        {{"life", to_string(l.report.incarnation)}});
                          },
                          [&](reported_load const& load)
                          {
                              l.condition.on_answer(load, l.queue.running(), now);
                              apply_condition(l, now);
                          }},
               word);
}

void agent::apply_condition(link& l, instant now) const
{
    l.queue.set_slowness(l.condition.slowness(now));
    l.queue.set_occupied(l.condition.occupied(l.report.slots, now));
    if (!l.pace.is_paced() && !l.logged_paced)
        return;
    l.queue.set_pace_limit(l.pace.is_paced() ? l.pace.limit(l.queue.slots(), now)
                                             : std::numeric_limits<std::uint32_t>::max());
    if (std::exchange(l.logged_paced, l.pace.is_paced()) != l.pace.is_paced())
        log_event(log_level::info, "upstream-pace",
                  {{"service", l.report.service},
                   {"life", to_string(l.report.incarnation)},
                   {"state", l.pace.is_paced() ? "begins" : "ends"},
                   {"limit", std::to_string(l.queue.limit())},
                   {"steps_down", std::to_string(l.pace.steps_down())}});
}

// ---- pace ----

// A service that tells what its cold upstreams bear wants its newcomers paced.
bool agent::paces(std::string const& service) const
{
    auto const* s = m_routes == nullptr ? nullptr : m_routes->service(service);
    return s != nullptr && s->cold_rate > 0;
}

void agent::begin_pace_of_new(link& l, upstream_report const& report, instant now) const
{
    bool const is_new =
        report.warm_up_left > duration{0} || now - m_started > process_settles;
    if (!paces(report.service) || !is_new)
        return;
    l.pace.begin(now);
    apply_condition(l, now);
}

// An answer after an outage begins the pace of an upstream that has recovered.
void agent::note_pace(link& l, std::string const& request_class, answer_meaning meaning,
                      instant started, instant now) const
{
    auto const failing = std::exchange(l.failing_since, std::nullopt);
    if (failing && now - *failing >= outage && paces(l.report.service))
        l.pace.begin(now);
    if (meaning == answer_meaning::not_held)
        return;
    auto const took =
        std::chrono::duration_cast<duration>((now - started) / l.condition.slowness(now));
    l.pace.on_answer({.request_class = request_class,
                      .good = meaning == answer_meaning::answered,
                      .took = took,
                      .started = started},
                     l.queue.slots(), now);
    apply_condition(l, now);
}

std::uint64_t agent::pace_steps_down() const
{
    std::uint64_t all = 0;
    for (auto const& entry : m_links)
        all += entry.second->pace.steps_down();
    return all;
}

} // namespace buckthornusher
