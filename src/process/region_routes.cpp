// Implementation of the regions of a document; see the header.
#include "process/region_routes.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
bool leads_to(route_config const& route, std::string const& service)
{
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](weighted_service const& s)
                       { return s.service == service && s.weight > 0; });
}
} // namespace

bool binds_regions(document const& doc)
{
    return std::any_of(doc.routes.begin(), doc.routes.end(),
                       [](route_config const& r) { return !r.regions.empty(); });
}

region_bound owner_regions_of(document const& doc, std::string const& service)
{
    std::vector<region_bound> bounds;
    for (auto const& route : doc.routes)
        if (leads_to(route, service))
            bounds.emplace_back(route.regions);
    return owner_regions(bounds);
}

std::set<std::string> contested_regions(document const& doc, std::string const& service)
{
    std::set<std::string> regions;
    for (auto const& route : doc.routes)
        if (leads_to(route, service))
            regions.insert(route.regions.begin(), route.regions.end());
    return regions;
}

region_bound regions_now(route_table const* routes, http_request const& request,
                         region_bound const& before)
{
    auto const match =
        routes == nullptr ? std::optional<route_match>() : routes->find(request);
    return match ? both(before, region_bound(match->route->regions)) : before;
}

} // namespace buckthornusher
