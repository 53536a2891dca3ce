// Implementation of lease_holder and lease_watcher; see the header.
#include "buckthornusher/lease.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

bool contains(std::vector<member_id> const& set, member_id const& id)
{
    return std::find(set.begin(), set.end(), id) != set.end();
}

bool contains_node(std::vector<member_id> const& set, std::string const& node)
{
    return std::any_of(set.begin(), set.end(),
                       [&](member_id const& id) { return id.node == node; });
}

} // namespace

void lease_holder::set_watchers(std::vector<member_id> const& watchers)
{
    m_watchers = watchers;
    auto const all = renewal_targets();
    std::erase_if(m_ack_times,
                  [&](auto const& entry) { return !contains(all, entry.first); });
}

void lease_holder::begin_watcher_change(std::vector<member_id> const& proposed)
{
    m_proposed = proposed;
}

void lease_holder::end_watcher_change(bool accepted)
{
    if (!m_proposed)
        return;
    auto const proposed = *m_proposed;
    m_proposed.reset();
    set_watchers(accepted ? proposed : m_watchers);
}

std::uint64_t lease_holder::start_renewal(instant now)
{
    return m_rounds.add(now);
}

void lease_holder::on_ack(member_id const& watcher, std::uint64_t sequence,
                          bool permitted, instant now)
{
    auto const sent = m_rounds.find(sequence);
    auto const all = renewal_targets();
    if (!sent)
        return;
    auto id = watcher;
    if (!contains(all, watcher))
    {
        if (m_guards.check_incarnation || !contains_node(all, watcher.node))
            return;
        id = *std::find_if(all.begin(), all.end(),
                           [&](member_id const& w) { return w.node == watcher.node; });
    }
    auto const start = m_guards.count_from_sending ? *sent : now;
    auto& times = m_ack_times[id];
    times.last = std::max(times.last, start);
    if (permitted || !m_guards.watch_permission)
        times.last_permitted = std::max(times.last_permitted, start);
}

instant lease_holder::majority_ack_time(std::vector<member_id> const& set,
                                        instant ack_times::*kind) const
{
    if (set.empty())
        return instant::min();
    std::vector<instant> starts;
    for (auto const& id : set)
    {
        auto const it = m_ack_times.find(id);
        starts.push_back(it == m_ack_times.end() ? instant::min() : it->second.*kind);
    }
    auto const nth =
        starts.begin() + static_cast<std::ptrdiff_t>(majority_of(set.size()) - 1);
    std::nth_element(starts.begin(), nth, starts.end(), std::greater<>());
    return *nth;
}

instant lease_holder::expiry(instant ack_times::*kind) const
{
    if (m_revoked)
        return instant::min();
    auto start = majority_ack_time(m_watchers, kind);
    if (m_proposed && m_guards.joint_majority)
        start = std::min(start, majority_ack_time(*m_proposed, kind));
    if (m_proposed && !m_guards.joint_majority)
        start = std::max(start, majority_ack_time(*m_proposed, kind));
    // A zero instant stands for "never acked with permission".
    return start <= instant{} ? instant::min() : start + m_options.length;
}

instant lease_holder::valid_until() const
{
    return expiry(&ack_times::last_permitted);
}

instant lease_holder::permitted_until() const
{
    return expiry(&ack_times::last);
}

std::vector<member_id> lease_holder::renewal_targets() const
{
    auto all = m_watchers;
    if (m_proposed)
        for (auto const& id : *m_proposed)
            if (!contains(all, id))
                all.push_back(id);
    return all;
}

std::optional<instant> lease_holder::last_ack(member_id const& watcher) const
{
    auto const it = m_ack_times.find(watcher);
    if (it == m_ack_times.end())
        return std::nullopt;
    return it->second.last;
}

void lease_watcher::set_subjects(std::vector<member_id> const& subjects, instant now)
{
    std::erase_if(m_subjects,
                  [&](auto const& s) { return !contains(subjects, s.first); });
    std::erase_if(m_last_acks, [&](auto const& ack)
                  { return now - ack.second.sent_at > m_options.max_lease_duration(); });
    for (auto const& id : subjects)
        if (!m_refused.contains(id))
            m_subjects.try_emplace(id, now);
}

bool lease_watcher::on_renew(member_id const& from, std::uint64_t watcher_changes,
                             instant now)
{
    auto const it = m_subjects.find(from);
    if (it == m_subjects.end())
        return false;
    it->second = now;
    auto& ack = m_last_acks[from];
    ack = {.sent_at = now,
           .watcher_changes = std::max(ack.watcher_changes, watcher_changes)};
    return true;
}

std::optional<duration> lease_watcher::refuse(member_id const& subject,
                                              std::uint64_t watcher_changes, instant now)
{
    m_subjects.erase(subject);
    m_refused.insert(subject);
    auto const ack = m_last_acks.find(subject);
    if (ack == m_last_acks.end() || ack->second.watcher_changes < watcher_changes)
        return std::nullopt;
    return now - ack->second.sent_at;
}

std::vector<member_id> lease_watcher::silent_subjects(instant now) const
{
    std::vector<std::pair<instant, member_id>> found;
    for (auto const& [id, last_heard] : m_subjects)
        if (now - last_heard > m_options.silence_timeout)
            found.emplace_back(last_heard, id);
    std::sort(found.begin(), found.end());
    std::vector<member_id> ids;
    ids.reserve(found.size());
    for (auto& entry : found)
        ids.push_back(std::move(entry.second));
    return ids;
}

void lease_watcher::reset_silence(instant now)
{
    for (auto& entry : m_subjects)
        entry.second = now;
}

} // namespace buckthornusher
