// Memory of answered requests; see the header.
#include "buckthornusher/answered_memory.hpp"

namespace buckthornusher
{

void answered_memory::note(std::string const& id, instant ends_at, instant now)
{
    if (id.empty())
        return;
    while (!m_by_end_time.empty() && m_by_end_time.begin()->first <= now)
        evict_first();
    if (auto const known = m_end_times.extract(id))
        m_by_end_time.erase({known.mapped(), id});
    else if (m_end_times.size() >= m_options.max_entries)
        evict_first();
    auto const until = ends_at + m_options.margin;
    m_end_times.emplace(id, until);
    m_by_end_time.emplace(until, id);
}

bool answered_memory::contains(std::string const& id, instant now) const
{
    auto const it = m_end_times.find(id);
    return it != m_end_times.end() && now < it->second;
}

void answered_memory::evict_first()
{
    auto const first = m_by_end_time.extract(m_by_end_time.begin());
    m_end_times.erase(first.value().second);
}

} // namespace buckthornusher
