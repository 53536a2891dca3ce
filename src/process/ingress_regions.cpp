// Implementation of the ingress: requests bound to regions (region_rule.hpp). See
// ingress.hpp.
#include "process/ingress_impl.hpp"
#include "process/log.hpp"
#include "process/region_routes.hpp"

namespace buckthornusher
{

namespace
{
constexpr duration region_log_interval = 1s; // between lines about one service
} // namespace

void ingress::set_routes(std::shared_ptr<route_table const> routes, std::uint64_t number)
{
    m_routes = std::move(routes);
    m_config_number = number;
    m_binds_regions = m_routes != nullptr && binds_regions(m_routes->source());
    m_contested.clear();
    if (!m_binds_regions)
        return;
    for (auto const& service : m_routes->source().services)
        if (auto regions = contested_regions(m_routes->source(), service.name);
            !regions.empty())
            m_contested.emplace(service.name, std::move(regions));
}

// Binds the request as the document in force says, in addition to how it was bound when
// it was dispatched before.
void ingress::renew_regions(pending_request& pending) const
{
    if (pending.regions_as_of == m_config_number)
        return;
    pending.regions_as_of = m_config_number;
    if (!m_binds_regions)
        return;
    auto const& before = pending.request.regions;
    auto now = regions_now(m_routes.get(), pending.request.request, before);
    if (now == before)
        return;
    pending.trace.add("bound", {{"regions", to_string(now)},
                                {"config", std::to_string(m_config_number)}});
    pending.request.regions = std::move(now);
}

// Dates the first upstream of each service that a request may be refused for, so that
// upstreams that start together are waited for.
void ingress::note_known_services(instant now)
{
    std::erase_if(m_known_since,
                  [&](auto const& entry)
                  {
                      auto const own = m_agent.load(entry.first, "", now);
                      return !m_upstream_nodes.contains(entry.first) &&
                             !(own && own->accepting);
                  });
    for (auto const& entry : m_upstream_nodes)
        m_known_since.try_emplace(entry.first, now);
}

step_options ingress::steps() const
{
    return {.offers = {}, .regions = m_options.regions};
}

// Returns what is known of the upstreams inside and outside the request's regions;
// nothing if it is not bound.
region_supply ingress::known_supply(pending_request const& pending, instant now)
{
    if (!pending.request.regions.bound())
        return {};
    refresh_upstream_nodes();
    return supply_of(known_upstreams(pending, now), pending.request.regions);
}

void ingress::refuse_outside(pending_request& pending, std::string const& why,
                             duration after, instant now)
{
    auto const& service = pending.request.service;
    auto const regions = to_string(pending.request.regions);
    pending.trace.add("outside", {{"regions", regions}, {"why", why}});
    if (auto& next = m_next_region_log[service]; now >= next)
    {
        next = now + region_log_interval;
        log_event(log_level::warning, "no-region",
                  {{"service", service}, {"regions", regions}, {"why", why}});
    }
    refuse(pending, outcome_reason::no_region, after);
}

} // namespace buckthornusher
