// Implementation of shard_ownership; see the header.
#include "buckthornusher/ownership.hpp"

namespace buckthornusher
{

bool shard_ownership::on_assignment(shard_id const& shard, assignment const& a)
{
    bool const names_self = m_self && (a.owner == m_self || a.successor == m_self);
    auto const it = m_shards.find(shard);
    if (it == m_shards.end())
    {
        if (!names_self)
            return false;
        auto& s = m_shards[shard];
        s.current = a;
        s.draining = a.successor && !m_drain_on_demand;
        return release_if_drained(s);
    }
    auto& s = it->second;
    if (a.epoch > s.current.epoch || a.owner != s.current.owner)
    {
        s.released = false;
        s.draining = false;
    }
    s.current = a;
    if (a.successor && !m_drain_on_demand)
        s.draining = true;
    bool const newly_released = release_if_drained(s);
    if (!names_self && s.running == 0)
        m_shards.erase(it);
    return newly_released;
}

bool shard_ownership::admits(state const& s) const
{
    if (!owns(s))
        return false;
    return !s.draining || !m_guards.release_before_move;
}

bool shard_ownership::release_if_drained(state& s) const
{
    if (s.released || s.current.owner != m_self || !s.draining || s.running > 0)
        return false;
    s.released = true;
    return true;
}

admission_check shard_ownership::try_begin(shard_id const& shard, instant now,
                                           instant lease_until)
{
    auto const it = m_shards.find(shard);
    if (it == m_shards.end())
        return owned_elsewhere{};
    auto& s = it->second;
    if (admits(s))
    {
        if (now >= lease_until)
            return not_yet{};
        ++s.running;
        return may_run{.epoch = s.current.epoch, .lease_until = lease_until};
    }
    if (s.current.owner == m_self)
        return owned_elsewhere{.owner = s.current.successor,
                               .epoch = s.current.epoch + 1};
    if (s.current.successor == m_self)
        return not_yet{};
    return owned_elsewhere{.owner = s.current.owner, .epoch = s.current.epoch};
}

bool shard_ownership::may_send(shard_id const& shard, std::uint64_t epoch, instant now,
                               instant lease_until) const
{
    if (!m_guards.check_before_send)
        return true;
    auto const it = m_shards.find(shard);
    return it != m_shards.end() && owns(it->second) &&
           it->second.current.epoch == epoch && now < lease_until;
}

bool shard_ownership::end(shard_id const& shard)
{
    auto const it = m_shards.find(shard);
    if (it == m_shards.end() || it->second.running == 0)
        return false;
    auto& s = it->second;
    --s.running;
    bool const newly_released = release_if_drained(s);
    if (s.running == 0 && s.current.owner != m_self && s.current.successor != m_self)
        m_shards.erase(it);
    return newly_released;
}

bool shard_ownership::begin_drain(shard_id const& shard)
{
    auto const it = m_shards.find(shard);
    if (it == m_shards.end() || !owns(it->second) || !it->second.current.successor)
        return false;
    it->second.draining = true;
    return release_if_drained(it->second);
}

std::vector<owned_shard> shard_ownership::owned_shards(std::string const& service) const
{
    std::vector<owned_shard> found;
    for (auto it = m_shards.lower_bound({.service = service, .index = 0});
         it != m_shards.end() && it->first.service == service; ++it)
        if (owns(it->second) && !it->second.draining)
            found.push_back({.index = it->first.index,
                             .epoch = it->second.current.epoch,
                             .handover = it->second.current.handover,
                             .moving = static_cast<bool>(it->second.current.successor)});
    return found;
}

std::size_t shard_ownership::incoming(std::string const& service) const
{
    std::size_t count = 0;
    for (auto it = m_shards.lower_bound({.service = service, .index = 0});
         it != m_shards.end() && it->first.service == service; ++it)
    {
        auto const& a = it->second.current;
        count += m_self && a.successor == m_self && a.owner != m_self ? 1 : 0;
    }
    return count;
}

std::vector<shard_release> shard_ownership::releases() const
{
    std::vector<shard_release> found;
    for (auto const& [id, s] : m_shards)
        if (s.released && s.current.owner == m_self)
            found.push_back({.shard = id, .epoch = s.current.epoch});
    return found;
}

std::size_t shard_ownership::owned() const
{
    std::size_t count = 0;
    for (auto const& entry : m_shards)
        count += owns(entry.second) ? 1 : 0;
    return count;
}

std::size_t shard_ownership::running() const
{
    std::size_t count = 0;
    for (auto const& entry : m_shards)
        count += entry.second.running;
    return count;
}

} // namespace buckthornusher
