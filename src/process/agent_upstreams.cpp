// The upstreams beside the node, as their reports tell of them: see agent.hpp.
#include "process/agent_impl.hpp"

#include "process/boot_clock.hpp"
#include "process/log.hpp"

namespace buckthornusher
{

namespace
{

constexpr int reports_missed = 3; // after so many an upstream counts as silent
// An upstream that answers lives, also if its reports do not arrive.
constexpr duration answer_proves_life = 2s;
constexpr double rate_weight = 0.5;        // of the newest second
constexpr double least_rate = 0.02;        // requests a second that are still told
constexpr duration longest_expecting = 3s; // a move mostly takes a second or two

} // namespace

agent::link_ptr agent::make_link(upstream_report const& report) const
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    auto connections = report.connections;
    if (connections == 0 && service != nullptr)
        connections = service->connections;
    if (connections == 0)
        connections = m_options.connections;
    auto const form = m_options.form;
    auto l = link_ptr(new link{
        .described = report,
        .last_report = {},
        .last_answer = {},
        .http = {m_loop,
                 {.peer = {.ip = report.ip, .port = report.port},
                  .max_connections = connections,
                  .is_response_to =
                      [form](http_request const& request, http_response const& response)
                  {
                      return std::visit([&](auto const& f)
                                        { return f.is_response_to(request, response); },
                                        form);
                  }}},
        .queue = upstream_queue({.slots = std::min(report.slots, connections)}),
        .holds = {},
        .state = dependency("upstream", report.service + " " + report.life.id)});
    if (report.granted && service != nullptr && service->keyed)
        l->holds.emplace(service->shards, hold_options{});
    return l;
}

bool agent::keyed(std::string const& service) const
{
    auto const* s = m_routes == nullptr ? nullptr : m_routes->service(service);
    return s != nullptr && s->keyed;
}

agent::report_answer agent::on_report(upstream_report const& report, instant now)
{
    auto const fate = m_report_orders[report.service].judge(report.life, report.sequence);
    if (fate == report_fate::late || fate == report_fate::outlived)
        return {.fate = fate, .grant = {}};
    auto& l = m_links[report.service];
    if (fate == report_fate::new_life)
    {
        log_event(log_level::info, "upstream-life",
                  {{"service", report.service}, {"life", to_string(report.life)}});
        auto const before = std::exchange(l, make_link(report));
        if (before != nullptr)
            refuse_all(before->queue.clear(), reason::upstream_refused, agent_wait_retry);
    }
    bool const began_to_drain =
        report.state == upstream_state::draining && !l->draining();
    l->described = report;
    l->last_report = now;
    l->refused = false;
    if (began_to_drain)
    {
        l->draining_since = now;
        log_event(log_level::info, "upstream-draining", {{"service", report.service}});
        if (!keyed(report.service))
            refuse_all(l->queue.clear(), reason::not_reached, agent_wait_retry);
    }
    auto grant = renew_holds(*l, report, now);
    on_replica_changed(now); // some shards may be held from now on
    return {.fate = fate, .grant = std::move(grant)};
}

// Whether another owner is about to release shards to the upstream. One that takes very
// long, as it is cut off, is not waited for in this way.
bool agent::expects_shards(link& l, std::string const& service, instant now) const
{
    if (m_coordinator->shards().incoming(service) == 0)
    {
        l.expecting.reset();
        return false;
    }
    if (!l.expecting)
        l.expecting = now;
    return now - *l.expecting < longest_expecting;
}

// The shards that requests have asked for lately, or that are in work.
std::set<std::uint32_t> agent::busy_shards(std::string const& service) const
{
    std::set<std::uint32_t> busy;
    auto const add = [&](auto const& by_shard)
    {
        for (auto it = by_shard.lower_bound({.service = service, .index = 0});
             it != by_shard.end() && it->first.service == service; ++it)
            busy.insert(it->first.index);
    };
    add(m_rates);
    add(m_asked);
    for (auto const& entry : m_works)
        if (entry.second->o.service == service && entry.second->o.shard)
            busy.insert(*entry.second->o.shard);
    return busy;
}

std::optional<upstream_grant> agent::renew_holds(link& l, upstream_report const& report,
                                                 instant now)
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    if (!report.granted || service == nullptr || !service->keyed)
        return std::nullopt;
    if (!l.holds)
        l.holds.emplace(service->shards, hold_options{});
    auto const owned =
        m_coordinator->servable(report.service, to_string(report.life), now);
    if (!owned)
        return std::nullopt;
    bool const again_soon = expects_shards(l, report.service, now);
    auto const busy =
        again_soon ? busy_shards(report.service) : std::set<std::uint32_t>{};
    auto const shards = shards_by_answer(*owned, [&](std::uint32_t index)
                                         { return !busy.contains(index); });
    for (auto const& s : shards.leaving)
        m_coordinator->begin_drain({report.service, s.index});
    auto grant = l.holds->on_report(report, shards.wanted, shards.leaving, again_soon,
                                    m_coordinator->lease_until(), now);
    auto const granted = shards.wanted.size();
    if (grant && std::exchange(l.granted_shards, granted) != granted)
        log_event(log_level::info, "shards-granted",
                  {{"service", report.service},
                   {"life", to_string(report.life)},
                   {"count", std::to_string(granted)},
                   {"leaving", std::to_string(shards.leaving.size())},
                   {"lease_ms", in_ms(m_coordinator->lease_until() - now)}});
    return grant;
}

void agent::on_departure(std::string const& life_id, instant now)
{
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link || l->described.life.id != life_id)
            continue;
        log_event(log_level::info, "upstream-departs", {{"service", service}});
        if (!l->draining())
            l->draining_since = now;
        l->departed = true;
        if (!keyed(service))
            refuse_all(l->queue.clear(), reason::not_reached, agent_wait_retry);
    }
    tick(now);
}

std::optional<std::vector<target>> agent::targets(instant now)
{
    auto const silence = reports_missed * m_options.report_interval;
    if (m_links.empty() && now - m_started < 2 * silence)
        return std::nullopt;
    std::vector<target> found;
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link)
            continue;
        auto const quiet = now - l->last_report;
        bool const reports = quiet < silence && !l->departed;
        bool const dead = l->refused && quiet > m_options.report_interval * 3 / 2;
        bool const holds = l->holds && now < l->holds->over_at();
        // What may still hold keys stays until they have run out, unless it is dead.
        if ((!reports && !holds) || dead)
            continue;
        found.push_back({.service = service,
                         .slots = l->described.slots,
                         .life = to_string(l->described.life),
                         .draining = l->draining() || !reports});
    }
    return found;
}

std::vector<std::pair<std::string, released_shard>> agent::take_released(instant now)
{
    std::vector<std::pair<std::string, released_shard>> all;
    for (auto const& [service, l] : m_links)
        if (l->holds)
            for (auto& r : l->holds->take_released(now))
                all.emplace_back(service, std::move(r));
    return all;
}

bool agent::releases_by_report(std::string const& service) const
{
    auto const it = m_links.find(service);
    return it != m_links.end() && it->second->holds.has_value();
}

bool agent::upstreams_ended() const
{
    for (auto const& [service, l] : m_links)
        if (service != old_setup_link && !l->draining())
            return false;
    return true;
}

std::optional<upstream_load> agent::load(std::string const& service, instant now) const
{
    auto const it = m_links.find(service);
    if (it == m_links.end())
        return std::nullopt;
    auto const& l = *it->second;
    bool const silent = is_silent(l, now);
    return upstream_load{.slots = l.queue.limit(),
                         .running = l.queue.running(),
                         .waiting = static_cast<std::uint32_t>(l.queue.queued()),
                         .service = l.queue.mean_service(),
                         .until_slot = l.queue.until_a_slot(),
                         .backlog = l.queue.backlog(),
                         .accepting =
                             !l.draining() && !silent && !l.refused && !m_closing};
}

bool agent::is_silent(link const& l, instant now) const
{
    return now - l.last_report > reports_missed * m_options.report_interval &&
           now - l.last_answer > answer_proves_life;
}

void agent::begin_closing()
{
    m_closing = true;
    std::vector<order_id> waiting(m_waiting.begin(), m_waiting.end());
    for (auto const& entry : m_links)
        for (auto const id : entry.second->queue.clear())
            waiting.push_back(id);
    refuse_all(waiting, reason::stopping, agent_wait_retry);
}

std::vector<load_report> agent::take_load_reports(instant now)
{
    auto const span = std::chrono::duration<double>(now - m_rates_told).count();
    m_rates_told = now;
    for (auto& entry : m_rates)
        entry.second *= 1 - rate_weight;
    for (auto const& [shard, count] : std::exchange(m_asked, {}))
        m_rates[shard] += rate_weight * count / span;
    std::erase_if(m_rates, [](auto const& entry) { return entry.second < least_rate; });
    std::vector<load_report> reports;
    for (auto const& [service, l] : m_links)
    {
        if (!keyed(service))
            continue;
        load_report report{.service = service, .capacity = 0, .rates = {}};
        auto const service_time =
            std::chrono::duration<double>(l->queue.mean_service()).count();
        if (l->last_answer != instant{})
            report.capacity = l->queue.slots() / service_time;
        for (auto it = m_rates.lower_bound({.service = service, .index = 0});
             it != m_rates.end() && it->first.service == service; ++it)
            report.rates.push_back({.shard = it->first.index, .rate = it->second});
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace buckthornusher
