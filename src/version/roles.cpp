// Which members do work for others: see the header.
#include "version/roles.hpp"

#include <algorithm>
#include <set>

namespace buckthornusher
{

namespace
{

bool contains(std::vector<member_id> const& set, member_id const& id)
{
    return std::find(set.begin(), set.end(), id) != set.end();
}

bool usable(member_record const& m)
{
    return m.state == member_state::live && !m.draining;
}

// The usable members that match, by falling rendezvous score.
template <class Match>
std::vector<member_record const*> ranked(replica const& copy, std::string const& subject,
                                         Match match)
{
    std::vector<std::pair<std::uint64_t, member_record const*>> scored;
    for (auto const& entry : copy.members())
        if (usable(entry.second) && match(entry.second))
            scored.emplace_back(rendezvous_score(subject, entry.first.node),
                                &entry.second);
    std::sort(scored.begin(), scored.end(),
              [](auto const& a, auto const& b) {
                  return a.first != b.first ? a.first > b.first
                                            : a.second->id > b.second->id;
              });
    std::vector<member_record const*> members;
    members.reserve(scored.size());
    for (auto const& entry : scored)
        members.push_back(entry.second);
    return members;
}

// What makes a watcher useful; lower is better.
int watcher_cost(member_record const& self, member_record const& watcher,
                 std::set<std::string> const& used_domains)
{
    return (watcher.region != self.region ? 4 : 0) +
           (watcher.domain == self.domain ? 2 : 0) +
           (used_domains.contains(watcher.domain) ? 1 : 0);
}

} // namespace

std::vector<member_id> choose_watchers(replica const& copy, member_record const& self,
                                       std::size_t count,
                                       std::vector<member_id> const& suspects)
{
    auto candidates =
        ranked(copy, "watch/" + self.id.node,
               [&](member_record const& m)
               { return m.id.node != self.id.node && !contains(suspects, m.id); });
    count = std::min(count, candidates.size());
    if (count > 0 && count % 2 == 0)
        --count;
    std::vector<member_id> chosen;
    std::set<std::string> domains;
    while (chosen.size() < count)
    {
        auto const best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](member_record const* a, member_record const* b) {
                return watcher_cost(self, *a, domains) < watcher_cost(self, *b, domains);
            });
        chosen.push_back((*best)->id);
        domains.insert((*best)->domain);
        candidates.erase(best);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

int watchers_value(replica const& copy, member_record const& self,
                   std::vector<member_id> const& watchers,
                   std::vector<member_id> const& suspects)
{
    constexpr int per_watcher = 100;
    int value = 0;
    std::set<std::string> domains;
    for (auto const& id : watchers)
    {
        auto const* m = copy.member(id);
        if (m == nullptr || !usable(*m) || contains(suspects, id))
            continue;
        value += per_watcher - watcher_cost(self, *m, domains);
        domains.insert(m->domain);
    }
    return value;
}

bool is_listener(replica const& copy, member_record const& self)
{
    auto const members =
        ranked(copy, "listen/" + self.region,
               [&](member_record const& m) { return m.region == self.region; });
    auto const end =
        members.begin() +
        static_cast<std::ptrdiff_t>(std::min(listeners_per_region, members.size()));
    return std::any_of(members.begin(), end,
                       [&](member_record const* m) { return m->id == self.id; });
}

std::vector<member_id> push_targets(replica const& copy, member_record const& self,
                                    bool from_store)
{
    // For each domain of the region, its members by rank; the first is the relay.
    std::map<std::string, std::vector<std::pair<std::uint64_t, member_id>>> domains;
    for (auto const& [id, m] : copy.members())
        if (m.state == member_state::live && m.region == self.region)
            domains[m.domain].emplace_back(rendezvous_score("relay/" + m.domain, id.node),
                                           id);
    std::vector<member_id> targets;
    for (auto& [domain, members] : domains)
    {
        auto const relay = std::max_element(members.begin(), members.end())->second;
        if (domain != self.domain && from_store)
            targets.push_back(relay);
        if (domain != self.domain || (!from_store && relay != self.id))
            continue;
        for (auto const& member : members)
            if (member.second != self.id)
                targets.push_back(member.second);
    }
    return targets;
}

std::optional<std::size_t> work_rank(replica const& copy, member_id const& self,
                                     std::string const& work)
{
    auto const members = ranked(copy, work, [](member_record const&) { return true; });
    auto const it = std::find_if(members.begin(), members.end(),
                                 [&](member_record const* m) { return m->id == self; });
    if (it == members.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - members.begin());
}

member_id member_at_rank(replica const& copy, std::string const& work, std::size_t rank)
{
    auto const members = ranked(copy, work, [](member_record const&) { return true; });
    return rank < members.size() ? members[rank]->id : member_id{};
}

} // namespace buckthornusher
