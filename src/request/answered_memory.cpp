// Which requests an upstream has answered lately: see the header.
#include "buckthornusher/answered_memory.hpp"

namespace buckthornusher
{

void answered_memory::note(std::string const& id, instant over, instant now)
{
    if (id.empty())
        return;
    while (!m_by_end.empty() && m_by_end.begin()->first <= now)
        forget_first();
    if (auto const known = m_over.extract(id))
        m_by_end.erase({known.mapped(), id});
    else if (m_over.size() >= m_options.max_entries)
        forget_first();
    auto const until = over + m_options.margin;
    m_over.emplace(id, until);
    m_by_end.emplace(until, id);
}

bool answered_memory::contains(std::string const& id, instant now) const
{
    auto const it = m_over.find(id);
    return it != m_over.end() && now < it->second;
}

void answered_memory::forget_first()
{
    auto const first = m_by_end.extract(m_by_end.begin());
    m_over.erase(first.value().second);
}

} // namespace buckthornusher
