// Implementation of eviction; see the header.
#include "buckthornusher/eviction.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// In a set of this many watchers, any two share a member with every majority.
constexpr std::size_t min_overlapping_watchers = 3;

std::uint64_t min_counted_changes(member_record const& record, guards const& checks)
{
    if (!checks.wait_for_earlier_leases || record.watcher_changes == 0)
        return 0;
    return record.watchers.size() < min_overlapping_watchers ? record.watcher_changes
                                                             : record.watcher_changes - 1;
}

} // namespace

eviction::eviction(member_record const& record, lease_options opts, guards checks)
    : m_options(opts), m_guards(checks), m_watchers(record.watchers),
      m_min_watcher_changes(min_counted_changes(record, checks)),
      m_inherited(record.inherited && checks.wait_for_earlier_leases)
{
}

void eviction::on_refused(member_id const& watcher, std::optional<duration> elapsed,
                          instant now)
{
    if (std::find(m_watchers.begin(), m_watchers.end(), watcher) == m_watchers.end())
        return;
    auto wait = duration{0};
    if (elapsed && m_guards.wait_after_refusal)
        wait = std::max(duration{0}, m_options.max_lease_duration() - *elapsed);
    if (!elapsed && m_guards.wait_for_earlier_leases)
        wait = m_options.max_lease_duration();
    m_acks_expired_at.try_emplace(watcher, now + wait);
}

void eviction::on_watcher_gone(member_id const& watcher, instant now)
{
    if (std::find(m_watchers.begin(), m_watchers.end(), watcher) == m_watchers.end())
        return;
    m_acks_expired_at.try_emplace(watcher, now + m_options.max_lease_duration());
}

void eviction::on_started(instant now)
{
    if (!m_watchers.empty() || m_unwatched_expired_at)
        return;
    m_unwatched_expired_at = m_inherited ? now + m_options.max_lease_duration() : now;
}

std::vector<member_id> eviction::unconfirmed_watchers() const
{
    std::vector<member_id> ids;
    for (auto const& id : m_watchers)
        if (!m_acks_expired_at.contains(id))
            ids.push_back(id);
    return ids;
}

std::optional<instant> eviction::lease_expired_at() const
{
    if (m_watchers.empty())
        return m_unwatched_expired_at;
    auto const needed = majority_of(m_watchers.size());
    if (m_acks_expired_at.size() < needed)
        return std::nullopt;
    std::vector<instant> ends;
    for (auto const& entry : m_acks_expired_at)
        ends.push_back(entry.second);
    std::sort(ends.begin(), ends.end());
    return ends[needed - 1];
}

} // namespace buckthornusher
