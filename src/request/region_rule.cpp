// Implementation of the region rule; see the header.
#include "buckthornusher/region_rule.hpp"

#include <algorithm>
#include <iterator>

namespace buckthornusher
{

region_bound::region_bound(std::vector<std::string> names)
    : m_bound(!names.empty()), m_names(std::move(names))
{
    std::erase(m_names, std::string());
    std::sort(m_names.begin(), m_names.end());
    m_names.erase(std::unique(m_names.begin(), m_names.end()), m_names.end());
}

bool region_bound::allows(std::string_view region) const
{
    return !m_bound || std::find(m_names.begin(), m_names.end(), region) != m_names.end();
}

std::vector<std::string> region_bound::names() const
{
    if (m_bound && m_names.empty())
        return {std::string()}; // no region
    return m_names;
}

region_bound both(region_bound const& a, region_bound const& b)
{
    if (!a.m_bound)
        return b;
    if (!b.m_bound)
        return a;
    region_bound common;
    common.m_bound = true;
    std::set_intersection(a.m_names.begin(), a.m_names.end(), b.m_names.begin(),
                          b.m_names.end(), std::back_inserter(common.m_names));
    return common;
}

region_bound either(region_bound const& a, region_bound const& b)
{
    if (!a.bound() || !b.bound())
        return {};
    auto names = a.names();
    for (auto& name : b.names())
        names.push_back(std::move(name));
    return region_bound(std::move(names));
}

region_bound owner_regions(std::vector<region_bound> const& routes)
{
    region_bound all;
    region_bound any;
    for (auto const& route : routes)
    {
        if (!route.bound())
            return {};
        any = all.bound() ? either(any, route) : route;
        all = both(all, route);
    }
    return all.bound() && all.names().front().empty() ? any : all;
}

bool may_carry(region_bound const& bound, std::string_view region,
               std::string_view caller_region)
{
    return bound.allows(region) || region == caller_region;
}

std::string to_string(region_bound const& bound)
{
    if (!bound.bound())
        return "any";
    std::string text;
    for (auto const& name : bound.names())
        text += (text.empty() ? "" : ",") + name;
    return text.empty() ? "none" : text;
}

std::optional<duration> refusal_without_upstream(region_bound const& bound,
                                                 region_supply const& supply, instant now,
                                                 region_options const& opts)
{
    if (!bound.bound() || supply.inside || !supply.outside)
        return std::nullopt;
    if (now - supply.known_since < opts.settle_time)
        return std::nullopt;
    return opts.retry_after;
}

std::optional<duration> refusal_at_owner(region_bound const& bound,
                                         std::string_view owner,
                                         std::optional<std::string> const& successor,
                                         region_options const& opts)
{
    if (bound.allows(owner))
        return std::nullopt;
    bool const comes = successor && bound.allows(*successor);
    return comes ? opts.moving_retry_after : opts.retry_after;
}

} // namespace buckthornusher
