// The regions to which a document binds requests and services (region_rule.hpp).
#ifndef BUCKTHORNUSHER_PROCESS_REGION_ROUTES_HPP
#define BUCKTHORNUSHER_PROCESS_REGION_ROUTES_HPP

#include "buckthornusher/region_rule.hpp"
#include "version/route_table.hpp"

#include <set>
#include <string>

namespace buckthornusher
{

// Returns whether the document binds any route to regions.
bool binds_regions(document const& doc);

// Returns the regions in which the shards of the service may be owned.
region_bound owner_regions_of(document const& doc, std::string const& service);

// Returns the regions of the service's upstreams that are the only ones for a route.
std::set<std::string> contested_regions(document const& doc, std::string const& service);

// Returns the regions of a request that was bound to `before`, now that `routes` are in
// force. Routes that do not have the request, or null, add nothing.
region_bound regions_now(route_table const* routes, http_request const& request,
                         region_bound const& before);

} // namespace buckthornusher

#endif
