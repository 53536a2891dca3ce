// Whom to ask next for a request with a key: see the header.
#include "buckthornusher/owner_search.hpp"

#include <algorithm>

namespace buckthornusher
{

bool owner_search::denied(named_owner const& who, instant now) const
{
    return std::any_of(m_denials.begin(), m_denials.end(),
                       [&](denial const& d) { return d.who == who && now < d.until; });
}

std::optional<named_owner> owner_search::next(named_owner const& by_replica, instant now)
{
    bool const named_is_newer = m_named.owner && m_named.epoch > by_replica.epoch;
    auto const& first = named_is_newer ? m_named : by_replica;
    auto const& second = named_is_newer ? by_replica : m_named;
    for (auto const* who : {&first, &second})
    {
        if (!who->owner || denied(*who, now))
            continue;
        m_asked = *who;
        return m_asked;
    }
    return std::nullopt;
}

void owner_search::on_moved(named_owner const& named, instant now)
{
    std::erase_if(m_denials, [&](denial const& d) { return d.who == m_asked; });
    m_denials.push_back({.who = m_asked, .until = now + m_options.denial});
    if (named.owner && named.epoch >= m_named.epoch)
        m_named = named;
}

void owner_search::forget()
{
    m_named = {};
    m_denials.clear();
}

} // namespace buckthornusher
