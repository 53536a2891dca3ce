// Implementation of the agent: upstream reports, grants and load. See agent.hpp.
#include "process/agent_impl.hpp"

#include "process/boot_clock.hpp"
#include "process/log.hpp"

namespace buckthornusher
{

namespace
{

constexpr double newest_rate_weight = 0.5; // of the newest interval
constexpr double min_reported_rate = 0.02; // requests per second
constexpr duration max_expected_move = 3s; // a move usually takes 1 to 2 s

} // namespace

std::uint32_t agent::connections_to(upstream_report const& report) const
{
    if (report.connections > 0)
        return report.connections;
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    bool const configured = service != nullptr && service->connections > 0;
    return configured ? service->connections : m_options.connections;
}

std::uint32_t agent::usable_slots(upstream_report const& report) const
{
    return std::min(report.slots, connections_to(report));
}

agent::link_ptr agent::make_link(upstream_report const& report) const
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    auto const form = m_options.form;
    auto l = link_ptr(new link{
        .report = report,
        .reported_at = {},
        .answered_at = {},
        .http = {m_loop,
                 {.peer = {.ip = report.ip, .port = report.port},
                  .max_connections = connections_to(report),
                  .max_incomplete_bytes = m_options.max_incomplete_bytes,
                  .is_response_to =
                      [form](http_request const& request, http_response const& response)
                  {
                      return std::visit([&](auto const& f)
                                        { return f.is_response_to(request, response); },
                                        form);
                  }}},
        .queue = upstream_queue({.slots = usable_slots(report)}),
        .grants = {},
        .state = dependency("upstream", report.service + " " + report.incarnation.id)});
    if (report.serves_only_granted && service != nullptr && service->keyed)
        l->grants.emplace(service->shards, grant_options{});
    return l;
}

bool agent::keyed(std::string const& service) const
{
    auto const* s = m_routes == nullptr ? nullptr : m_routes->service(service);
    return s != nullptr && s->keyed;
}

agent::report_answer agent::on_report(upstream_report const& report, instant now)
{
    auto const verdict = m_history.classify(report, now);
    if (verdict == report_verdict::stranger)
    {
        ++m_strangers;
        log_event(log_level::warning, "report-of-stranger",
                  {{"service", report.service},
                   {"life", to_string(report.incarnation)},
                   {"address", report.ip + ":" + std::to_string(report.port)}});
    }
    if (verdict != report_verdict::new_incarnation && verdict != report_verdict::next)
        return {.verdict = verdict, .grant = {}};
    auto& l = m_links[report.service];
    if (verdict == report_verdict::new_incarnation)
    {
        log_event(log_level::info, "upstream-life",
                  {{"service", report.service}, {"life", to_string(report.incarnation)}});
        auto const before = std::exchange(l, make_link(report));
        l->drained_before = m_history.was_draining(report.incarnation);
        begin_pace_of_new(*l, report, now);
        if (before != nullptr)
        {
            learn_warm_up(*l, report, now);
            l->queue.starts().continue_from(before->queue.starts(), now);
            refuse_all(before->queue.clear(), outcome_reason::upstream_refused,
                       refusal_retry_after);
        }
    }
    bool const began_to_drain =
        report.state == upstream_state::draining && !l->draining();
    l->report = report;
    l->queue.set_slots(usable_slots(report));
    learn_warm_up(*l, report, now);
    l->reported_at = now;
    l->connect_failed = false;
    if (began_to_drain)
    {
        l->draining_since = now;
        log_event(log_level::info, "upstream-draining", {{"service", report.service}});
        if (!keyed(report.service))
            refuse_all(l->queue.clear(), outcome_reason::not_reached,
                       refusal_retry_after);
    }
    auto grant = renew_grants(*l, report, now);
    on_replica_changed(now); // the new grants may unblock waiting requests
    return {.verdict = verdict, .grant = std::move(grant)};
}

// Returns whether another owner is about to release shards to the upstream. Stops
// expecting them after max_expected_move, as the other owner may be partitioned.
bool agent::expects_shards(link& l, std::string const& service, instant now) const
{
    if (m_coordinator->shards().incoming(service) == 0)
    {
        l.expecting_since.reset();
        return false;
    }
    if (!l.expecting_since)
        l.expecting_since = now;
    return now - *l.expecting_since < max_expected_move;
}

// Returns the shards with a nonzero recent request rate or unfinished requests.
std::set<std::uint32_t> agent::busy_shards(std::string const& service) const
{
    std::set<std::uint32_t> busy;
    auto const add = [&](auto const& by_shard)
    {
        for (auto it = by_shard.lower_bound({.service = service, .index = 0});
             it != by_shard.end() && it->first.service == service; ++it)
            busy.insert(it->first.index);
    };
    add(m_request_rates);
    add(m_request_counts);
    for (auto const& entry : m_requests)
        if (entry.second->request.service == service && entry.second->request.shard)
            busy.insert(*entry.second->request.shard);
    return busy;
}

std::optional<upstream_grant> agent::renew_grants(link& l, upstream_report const& report,
                                                  instant now)
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    if (!report.serves_only_granted || service == nullptr || !service->keyed)
        return std::nullopt;
    if (!l.grants)
        l.grants.emplace(service->shards, grant_options{});
    auto const owned =
        m_coordinator->servable(report.service, to_string(report.incarnation), now);
    if (!owned)
        return std::nullopt;
    bool const report_again_soon = expects_shards(l, report.service, now);
    auto const busy =
        report_again_soon ? busy_shards(report.service) : std::set<std::uint32_t>{};
    auto const shards = partition_by_move(*owned, [&](std::uint32_t index)
                                          { return !busy.contains(index); });
    for (auto const& s : shards.leaving)
        m_coordinator->begin_drain({report.service, s.index});
    auto grant =
        l.grants->on_report(report, shards.wanted, shards.leaving, report_again_soon,
                            m_coordinator->lease_until(), now);
    auto const granted = shards.wanted.size();
    if (grant && std::exchange(l.granted_shards, granted) != granted)
        log_event(log_level::info, "shards-granted",
                  {{"service", report.service},
                   {"life", to_string(report.incarnation)},
                   {"count", std::to_string(granted)},
                   {"leaving", std::to_string(shards.leaving.size())},
                   {"lease_ms", in_ms(m_coordinator->lease_until() - now)}});
    return grant;
}

upstream_incarnation agent::on_departure(departure_notice const& notice, instant now)
{
    auto departed = m_history.note_departure(notice);
    log_event(log_level::info, "upstream-departs", {{"life", to_string(departed)}});
    mark_departed(now);
    tick(now);
    return departed;
}

void agent::restore(member_record const& record, instant now)
{
    m_history.restore(record, now);
    mark_departed(now);
}

// Stops using the upstreams that have announced their exit.
void agent::mark_departed(instant now)
{
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link || l->departed ||
            !m_history.has_departed(l->report.incarnation))
            continue;
        if (!l->draining())
            l->draining_since = now;
        l->departed = true;
        if (!keyed(service))
            refuse_all(l->queue.clear(), outcome_reason::not_reached,
                       refusal_retry_after);
    }
}

upstream_evidence agent::evidence_of(link const& l, instant now) const
{
    // An earlier process of this node may have granted keys too.
    auto const granted_until = [&]
    {
        return std::max(l.grants->all_expired_at(), m_started + m_options.max_lease);
    };
    return {.since_report = now - l.reported_at,
            .since_answer = now - l.answered_at,
            .grants_left = l.grants ? granted_until() - now : duration{0},
            .departed = l.departed,
            .connect_failed = l.connect_failed};
}

bool agent::is_superseded(link const& l, instant now) const
{
    return std::any_of(m_links.begin(), m_links.end(),
                       [&](auto const& entry)
                       {
                           auto const& other = *entry.second;
                           return supersedes(other.report, now - other.reported_at,
                                             l.report);
                       });
}

// The record has no addresses. An upstream that serves only granted keys is the only one
// beside its node.
bool agent::is_superseded(upstream_incarnation const& unreported) const
{
    return std::any_of(m_links.begin(), m_links.end(),
                       [&](auto const& entry)
                       {
                           auto const& report = entry.second->report;
                           return report.serves_only_granted &&
                                  report.incarnation.started > unreported.started;
                       });
}

// Adds the upstreams of the node's earlier process that have not reported to this one.
void agent::add_unreported(std::vector<target>& found, instant now) const
{
    bool const earlier_grants = now - m_started < m_options.max_lease;
    for (auto t : m_history.restored())
    {
        auto const incarnation = parse_incarnation(t.incarnation);
        bool const departed = m_history.has_departed(incarnation);
        if (m_links.contains(t.service) || is_superseded(incarnation) ||
            (departed && !earlier_grants))
            continue;
        t.draining = t.draining || departed;
        found.push_back(std::move(t));
    }
}

std::optional<std::vector<target>> agent::targets(instant now)
{
    auto const interval = m_options.report_interval;
    bool const awaits_reports =
        now - m_started < first_report_wait(interval, m_options.max_lease);
    if (awaits_reports && m_links.empty() && m_history.restored().empty())
        return std::nullopt;
    std::vector<target> found;
    if (awaits_reports)
        add_unreported(found, now);
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link || is_superseded(*l, now))
            continue;
        auto const standing = standing_of(evidence_of(*l, now), interval);
        if (standing == upstream_standing::gone)
            continue;
        found.push_back(
            {.service = service,
             .slots = l->report.slots,
             .incarnation = to_string(l->report.incarnation),
             .draining = l->draining() || standing == upstream_standing::ending});
    }
    return found;
}

std::vector<std::pair<std::string, released_shard>> agent::take_released(instant now)
{
    std::vector<std::pair<std::string, released_shard>> all;
    for (auto const& [service, l] : m_links)
        if (l->grants)
            for (auto& r : l->grants->take_released(now))
                all.emplace_back(service, std::move(r));
    return all;
}

bool agent::releases_by_report(std::string const& service) const
{
    auto const it = m_links.find(service);
    return it != m_links.end() && it->second->grants.has_value();
}

bool agent::upstreams_ended() const
{
    for (auto const& [service, l] : m_links)
        if (service != old_setup_link && !l->draining())
            return false;
    return true;
}

std::optional<upstream_load> agent::load(std::string const& service,
                                         std::string const& request_class,
                                         instant now) const
{
    auto const it = m_links.find(service);
    if (it == m_links.end())
        return std::nullopt;
    auto const& l = *it->second;
    bool const unfit = is_silent(l, now) || is_evacuated();
    auto const& starts = l.queue.starts();
    return upstream_load{
        .slots = l.queue.limit(),
        .running = l.queue.running(),
        .waiting = static_cast<std::uint32_t>(l.queue.queued()),
        .service = l.queue.known_service(request_class).value_or(duration{0}),
        .until_slot = l.queue.until_start(now),
        .backlog = l.queue.backlog(now),
        .accepting = !l.draining() && !unfit && !l.connect_failed && !m_closing,
        .start_rate = starts.is_cold(now) ? starts.start_rate() : 0,
        .bounded_for = starts.cold_for(now),
        .slowness = l.condition.slowness(now)};
}

bool agent::is_evacuated() const
{
    return m_coordinator->evacuation(m_options.domain).has_value();
}

bool agent::is_silent(link const& l, instant now) const
{
    return buckthornusher::is_silent(evidence_of(l, now), m_options.report_interval);
}

void agent::begin_closing()
{
    m_closing = true;
    std::vector<request_id> waiting(m_waiting.begin(), m_waiting.end());
    for (auto const& entry : m_links)
        for (auto const id : entry.second->queue.clear())
            waiting.push_back(id);
    refuse_all(waiting, outcome_reason::stopping, refusal_retry_after);
}

std::vector<load_report> agent::take_load_reports(instant now)
{
    auto const span = std::chrono::duration<double>(now - m_rates_reported_at).count();
    m_rates_reported_at = now;
    for (auto& entry : m_request_rates)
        entry.second *= 1 - newest_rate_weight;
    for (auto const& [shard, count] : std::exchange(m_request_counts, {}))
        m_request_rates[shard] += newest_rate_weight * count / span;
    std::erase_if(m_request_rates,
                  [](auto const& entry) { return entry.second < min_reported_rate; });
    std::vector<load_report> reports;
    for (auto const& [service, l] : m_links)
    {
        if (!keyed(service))
            continue;
        load_report report{.service = service, .capacity = 0, .rates = {}};
        auto const service_time =
            std::chrono::duration<double>(l->queue.mean_service()).count();
        if (l->answered_at != instant{})
            report.capacity = l->queue.slots() / service_time;
        for (auto it = m_request_rates.lower_bound({.service = service, .index = 0});
             it != m_request_rates.end() && it->first.service == service; ++it)
            report.rates.push_back({.shard = it->first.index, .rate = it->second});
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace buckthornusher
