// Implementation of the agent: requests bound to regions. See agent.hpp.
#include "process/agent_impl.hpp"
#include "process/region_routes.hpp"

namespace buckthornusher
{

void agent::set_region_routes()
{
    ++m_routes_number;
    m_binds_regions = m_routes != nullptr && binds_regions(m_routes->source());
}

// Returns whether the request may not run here, by its sender's document or by one that
// came into force here since.
bool agent::outside_regions(active_request& w) const
{
    if (m_binds_regions && w.regions_as_of != m_routes_number)
        w.request.regions =
            regions_now(m_routes.get(), w.request.request, w.request.regions);
    w.regions_as_of = m_routes_number;
    if (w.request.regions.allows(m_options.region))
        return false;
    w.trace.add("outside", {{"regions", to_string(w.request.regions)},
                            {"why", "this node is in the region " + m_options.region}});
    return true;
}

} // namespace buckthornusher
