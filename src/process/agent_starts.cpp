// Implementation of the agent: what it learns of an upstream beside its answers, for the
// bound on the starts at a cold one (start_limit.hpp) and from the load that it tells
// (reported_load.hpp). See agent.hpp.
#include "process/agent_impl.hpp"

#include "process/log.hpp"
#include "process/overloaded.hpp"

namespace buckthornusher
{

namespace
{

// A request whose connection is lost earlier had hardly reached the upstream.
constexpr duration min_running_time = 10ms;

} // namespace

void agent::learn_warm_up(link& l, upstream_report const& report, instant now) const
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    if (service == nullptr)
        return;
    auto& starts = l.queue.starts();
    starts.set_options({.rate = service->cold_rate,
                        .ratio = m_options.cold_ratio,
                        .reserve = m_options.cold_reserve,
                        .cold_time = service->cold_time,
                        .started = m_started});
    starts.on_report(report.warm_up_left, now);
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
        l.queue.starts().on_connect_failed(now);
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
}

} // namespace buckthornusher
