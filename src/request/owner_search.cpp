// Search for the owner of a shard; see the header.
#include "buckthornusher/owner_search.hpp"

#include <algorithm>

namespace buckthornusher
{

bool owner_search::denied(named_owner const& candidate, instant now) const
{
    return std::any_of(m_denials.begin(), m_denials.end(),
                       [&](denial const& d)
                       { return d.candidate == candidate && now < d.until; });
}

std::optional<named_owner> owner_search::next(named_owner const& by_replica, instant now)
{
    bool const named_is_newer =
        m_named_by_node.owner && m_named_by_node.epoch > by_replica.epoch;
    auto const& first = named_is_newer ? m_named_by_node : by_replica;
    auto const& second = named_is_newer ? by_replica : m_named_by_node;
    for (auto const* candidate : {&first, &second})
    {
        if (!candidate->owner || denied(*candidate, now))
            continue;
        m_asked = *candidate;
        return m_asked;
    }
    return std::nullopt;
}

void owner_search::on_moved(named_owner const& named, instant now)
{
    std::erase_if(m_denials, [&](denial const& d) { return d.candidate == m_asked; });
    m_denials.push_back(
        {.candidate = m_asked, .until = now + m_options.denial_retry_interval});
    if (named.owner && named.epoch >= m_named_by_node.epoch)
        m_named_by_node = named;
}

void owner_search::forget()
{
    m_named_by_node = {};
    m_denials.clear();
}

} // namespace buckthornusher
