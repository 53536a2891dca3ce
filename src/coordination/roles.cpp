// Implementation of the assignment of roles; see the header.
#include "coordination/roles.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace buckthornusher
{

namespace
{

bool contains(std::vector<member_id> const& set, member_id const& id)
{
    return std::find(set.begin(), set.end(), id) != set.end();
}

bool is_live(member_record const& m)
{
    return m.state == member_state::live;
}

// The live members that match, by descending rendezvous score; draining members come
// last, because they can do the work only for a short time.
template <class Match>
std::vector<member_record const*> ranked(replica const& copy, std::string const& subject,
                                         Match match)
{
    std::vector<std::pair<std::uint64_t, member_record const*>> scored;
    for (auto const& entry : copy.members())
        if (is_live(entry.second) && match(entry.second))
            scored.emplace_back(rendezvous_score(subject, entry.first.node),
                                &entry.second);
    std::sort(scored.begin(), scored.end(),
              [](auto const& a, auto const& b)
              {
                  return std::tuple(a.second->draining, b.first, b.second->id) <
                         std::tuple(b.second->draining, a.first, a.second->id);
              });
    std::vector<member_record const*> members;
    members.reserve(scored.size());
    for (auto const& entry : scored)
        members.push_back(entry.second);
    return members;
}

// The candidates for the subscriptions of a region, by rank.
std::vector<member_record const*> subscribers(replica const& copy,
                                              std::string const& region)
{
    return ranked(copy, "listen/" + region,
                  [&](member_record const& m) { return m.region == region; });
}

// The cost of a watcher; lower is better.
int watcher_cost(member_record const& self, member_record const& watcher,
                 std::set<std::string> const& used_domains)
{
    return (watcher.draining ? 8 : 0) + (watcher.region != self.region ? 4 : 0) +
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

int watchers_score(replica const& copy, member_record const& self,
                   std::vector<member_id> const& watchers,
                   std::vector<member_id> const& suspects)
{
    constexpr int per_watcher = 100;
    int score = 0;
    std::size_t able = 0;
    std::set<std::string> domains;
    for (auto const& id : watchers)
    {
        auto const* m = copy.member(id);
        if (m == nullptr || !is_live(*m) || contains(suspects, id))
            continue;
        ++able;
        score += per_watcher - watcher_cost(self, *m, domains);
        domains.insert(m->domain);
    }
    // Without a majority there is no lease.
    return watchers.empty() || able < majority_of(watchers.size()) ? 0 : score;
}

std::size_t subscriber_rank(replica const& copy, member_record const& self)
{
    auto const members = subscribers(copy, self.region);
    auto const it =
        std::find_if(members.begin(), members.end(),
                     [&](member_record const* m) { return m->id == self.id; });
    return static_cast<std::size_t>(it - members.begin());
}

bool is_subscriber(replica const& copy, member_record const& self, object_kind kind)
{
    auto const count = kind == object_kind::fleet ? fleet_subscribers_per_region
                                                  : config_subscribers_per_region;
    auto const* listed = copy.member(self.id);
    return listed != nullptr && is_live(*listed) && subscriber_rank(copy, self) < count;
}

std::vector<member_id> other_regions_subscribers(replica const& copy,
                                                 member_record const& self)
{
    std::set<std::string> regions;
    for (auto const& entry : copy.members())
        if (entry.second.region != self.region)
            regions.insert(entry.second.region);
    std::vector<member_id> found;
    for (auto const& region : regions)
        if (auto const members = subscribers(copy, region); !members.empty())
            found.push_back(members.front()->id);
    return found;
}

std::vector<member_id> config_sources(replica const& copy, member_record const& self)
{
    std::vector<member_id> sources;
    auto const candidates = subscribers(copy, self.region);
    for (std::size_t i = 0;
         i < std::min(candidates.size(), config_subscribers_per_region); ++i)
        if (candidates[i]->id != self.id)
            sources.push_back(candidates[i]->id);
    for (auto& id : other_regions_subscribers(copy, self))
        sources.push_back(std::move(id));
    return sources;
}

deltas changes_for(replica const& copy, pull const& request)
{
    deltas reply{.from = request.from, .to = copy.revision(), .objects = {}};
    if (request.from < copy.revision())
        reply.objects = copy.changed_since(request.from);
    if (auto const* config = copy.find(config_object);
        config != nullptr && config->version > request.config_version)
        reply.objects.push_back(*config);
    return reply;
}

std::vector<member_id> push_targets(replica const& copy, member_record const& self,
                                    bool from_store)
{
    // The members of each domain in the region, with their scores; the highest is the
    // relay.
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
