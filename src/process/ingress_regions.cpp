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
}

// Binds the request as the document in force says, in addition to how it was bound when
// it was dispatched before.
void ingress::renew_regions(pending_request& pending) const
{
    if (pending.regions_of == m_config_number)
        return;
    pending.regions_of = m_config_number;
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

region_supply ingress::supply_of(pending_request const& pending, instant now)
{
    auto const& service = pending.request.service;
    auto const& bound = pending.request.regions;
    region_supply supply;
    auto const add = [&](std::string const& region)
    {
        (bound.allows(region) ? supply.inside : supply.outside) = true;
    };
    if (auto const own = m_agent.load(service, "", now); own && own->accepting)
        add(m_options.region);
    if (auto const it = m_upstream_nodes.find(service); it != m_upstream_nodes.end())
        for (auto const& p : it->second)
            add(p.region);
    if (supply.inside || supply.outside)
        supply.known_since = m_known_since.try_emplace(service, now).first->second;
    return supply;
}

// Refuses the request if no node in its regions can be chosen and none is about to become
// known. Returns whether it did.
bool ingress::refuse_without_region(pending_request& pending, instant now)
{
    if (!pending.request.regions.bound())
        return false;
    refresh_upstream_nodes();
    auto const after = refusal_without_upstream(
        pending.request.regions, supply_of(pending, now), now, m_options.regions);
    if (after)
        refuse_outside(pending, "no upstream there can be used", *after, now);
    return after.has_value();
}

// Refuses the request if its shard is owned outside its regions. Returns whether it did.
bool ingress::refuse_owner_outside(pending_request& pending, member_record const& owner,
                                   assignment const* a, instant now)
{
    auto const& copy = m_coordinator->copy();
    auto const* next =
        a != nullptr && a->successor ? copy.serving(a->successor) : nullptr;
    auto const after = refusal_at_owner(
        pending.request.regions, owner.region,
        next == nullptr ? std::optional<std::string>() : next->region, m_options.regions);
    if (after)
        refuse_outside(pending,
                       "the shard is owned by " + owner.id.node + " in " + owner.region,
                       *after, now);
    return after.has_value();
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
