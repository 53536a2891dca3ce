// The lease of a member, and the watchers that grant it: see the header.
#include "buckthornusher/lease.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

constexpr std::size_t remembered_rounds = 8;

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
    auto const all = asked();
    std::erase_if(m_grants,
                  [&](auto const& entry) { return !contains(all, entry.first); });
}

void lease_holder::begin_change(std::vector<member_id> const& proposed)
{
    m_proposed = proposed;
}

void lease_holder::end_change(bool accepted)
{
    if (!m_proposed)
        return;
    auto const proposed = *m_proposed;
    m_proposed.reset();
    set_watchers(accepted ? proposed : m_watchers);
}

std::uint64_t lease_holder::start_renewal(instant now)
{
    m_rounds[++m_sequence] = now;
    if (m_rounds.size() > remembered_rounds)
        m_rounds.erase(m_rounds.begin());
    return m_sequence;
}

void lease_holder::on_ack(member_id const& watcher, std::uint64_t sequence,
                          bool permitted, instant now)
{
    auto const round = m_rounds.find(sequence);
    auto const all = asked();
    if (round == m_rounds.end())
        return;
    auto id = watcher;
    if (!contains(all, watcher))
    {
        if (m_guards.check_incarnation || !contains_node(all, watcher.node))
            return;
        id = *std::find_if(all.begin(), all.end(),
                           [&](member_id const& w) { return w.node == watcher.node; });
    }
    auto const start = m_guards.count_from_sending ? round->second : now;
    auto& g = m_grants[id];
    g.any = std::max(g.any, start);
    if (permitted || !m_guards.watch_permission)
        g.permitted = std::max(g.permitted, start);
}

instant lease_holder::majority_instant(std::vector<member_id> const& set,
                                       instant grant::*kind) const
{
    if (set.empty())
        return instant::min();
    std::vector<instant> starts;
    for (auto const& id : set)
    {
        auto const it = m_grants.find(id);
        starts.push_back(it == m_grants.end() ? instant::min() : it->second.*kind);
    }
    auto const nth =
        starts.begin() + static_cast<std::ptrdiff_t>(majority_of(set.size()) - 1);
    std::nth_element(starts.begin(), nth, starts.end(), std::greater<>());
    return *nth;
}

instant lease_holder::until(instant grant::*kind) const
{
    if (m_revoked)
        return instant::min();
    auto start = majority_instant(m_watchers, kind);
    if (m_proposed && m_guards.joint_majority)
        start = std::min(start, majority_instant(*m_proposed, kind));
    if (m_proposed && !m_guards.joint_majority)
        start = std::max(start, majority_instant(*m_proposed, kind));
    // A zero instant stands for "never acked with permission".
    return start <= instant{} ? instant::min() : start + m_options.length;
}

instant lease_holder::valid_until() const
{
    return until(&grant::permitted);
}

instant lease_holder::permitted_until() const
{
    return until(&grant::any);
}

std::vector<member_id> lease_holder::asked() const
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
    auto const it = m_grants.find(watcher);
    if (it == m_grants.end())
        return std::nullopt;
    return it->second.any;
}

void lease_watcher::set_subjects(std::vector<member_id> const& subjects, instant now)
{
    std::erase_if(m_subjects,
                  [&](auto const& s) { return !contains(subjects, s.first); });
    std::erase_if(m_last_acks, [&](auto const& ack)
                  { return now - ack.second.at > m_options.longest_lease(); });
    for (auto const& id : subjects)
        if (!m_refused.contains(id))
            m_subjects.try_emplace(id, now);
}

bool lease_watcher::on_renew(member_id const& from, std::uint64_t changes, instant now)
{
    auto const it = m_subjects.find(from);
    if (it == m_subjects.end())
        return false;
    it->second = now;
    auto& ack = m_last_acks[from];
    ack = {.at = now, .changes = std::max(ack.changes, changes)};
    return true;
}

std::optional<duration> lease_watcher::refuse(member_id const& subject,
                                              std::uint64_t changes, instant now)
{
    m_subjects.erase(subject);
    m_refused.insert(subject);
    auto const ack = m_last_acks.find(subject);
    if (ack == m_last_acks.end() || ack->second.changes < changes)
        return std::nullopt;
    return now - ack->second.at;
}

std::vector<member_id> lease_watcher::silent(instant now) const
{
    std::vector<std::pair<instant, member_id>> found;
    for (auto const& [id, last_heard] : m_subjects)
        if (now - last_heard > m_options.silence)
            found.emplace_back(last_heard, id);
    std::sort(found.begin(), found.end());
    std::vector<member_id> ids;
    ids.reserve(found.size());
    for (auto& entry : found)
        ids.push_back(std::move(entry.second));
    return ids;
}

void lease_watcher::forgive(instant now)
{
    for (auto& entry : m_subjects)
        entry.second = now;
}

} // namespace buckthornusher
