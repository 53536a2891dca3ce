// Implementation of the gate; see the header.
#include "coordination/placement_gate.hpp"

namespace buckthornusher
{

bool placement_gate::open(std::vector<plan_target> const& targets, double unowned_share,
                          instant now)
{
    std::vector<owner_id> ids;
    ids.reserve(targets.size());
    for (auto const& t : targets)
        ids.push_back(t.id);
    if (ids != m_targets)
    {
        m_targets = std::move(ids);
        m_last_change = now;
    }
    if (unowned_share < m_options.most)
    {
        m_waiting_since.reset();
        return true;
    }
    if (targets.empty())
        return false;
    if (!m_waiting_since)
        m_waiting_since = now;
    return now - m_last_change >= m_options.settle ||
           now - *m_waiting_since >= m_options.max_wait;
}

} // namespace buckthornusher
