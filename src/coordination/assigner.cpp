// Implementation of the assigner; see the header.
#include "coordination/assigner.hpp"

#include "buckthornusher/store_rewind.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

target const* target_of(member_record const& m, std::string const& service)
{
    auto const it = std::find_if(m.targets.begin(), m.targets.end(),
                                 [&](target const& t) { return t.service == service; });
    return it == m.targets.end() ? nullptr : &*it;
}

bool can_own(member_record const& m, std::string const& service)
{
    return m.state == member_state::live && !m.watchers.empty() &&
           target_of(m, service) != nullptr;
}

assignment change_owner(assignment const& a, owner_id const& owner, std::string handover,
                        era_rule const& rule)
{
    return {.owner = owner,
            .epoch = next_epoch(a.epoch, rule.era),
            .successor = {},
            .handover = std::move(handover)};
}

} // namespace

namespace
{

// Shards without requests get a small weight, so that they are spread as well.
constexpr double idle_weight_share = 0.05; // of the total weight, for all shards together
constexpr duration max_report_gap = 2'500ms; // of a node that reports each second

// Replaces shard counts by measured request rates.
void apply_load(plan_input& input, service_load const& load)
{
    double total = 0;
    for (auto const& entry : load.rates)
        total += entry.second;
    auto const shards = static_cast<double>(input.assignments.size());
    input.weights.assign(input.assignments.size(), idle_weight_share * total / shards);
    for (auto const& [shard, rate] : load.rates)
        if (shard < input.weights.size())
            input.weights[shard] += rate;
    // An unmeasured upstream is assumed to have the average capacity per slot of the
    // others.
    double known = 0;
    double known_slots = 0;
    for (auto const& target : input.targets)
        if (auto const it = load.capacities.find(target.id.node);
            it != load.capacities.end())
        {
            known += it->second;
            known_slots += target.capacity;
        }
    auto const per_slot = known_slots > 0 ? known / known_slots : 1.0;
    for (auto& target : input.targets)
    {
        auto const it = load.capacities.find(target.id.node);
        target.capacity =
            it == load.capacities.end() ? target.capacity * per_slot : it->second;
    }
}

} // namespace

bool has_no_owner(replica const& copy, assignment const& a)
{
    return !a.owner || copy.is_over(a.owner);
}

bool service_load::is_silent(std::string const& node, instant now) const
{
    auto const it = last_reports.find(node);
    return it != last_reports.end() && now - it->second > max_report_gap;
}

bool service_load::most_nodes_silent(instant now) const
{
    auto const silent =
        std::count_if(last_reports.begin(), last_reports.end(),
                      [&](auto const& entry) { return is_silent(entry.first, now); });
    return static_cast<std::size_t>(silent) * 2 > last_reports.size();
}

plan_input make_plan_input(replica const& copy, keyed_service const& service,
                           service_load const* load, instant now)
{
    plan_input input;
    input.service = service.name;
    bool const hears_most = load != nullptr && !load->most_nodes_silent(now);
    for (auto const& entry : copy.members())
    {
        auto const& m = entry.second;
        if (!can_own(m, service.name))
            continue;
        auto const* t = target_of(m, service.name);
        input.targets.push_back(
            {.id = m.owner(),
             .domain = m.domain,
             .capacity = std::max(1.0, static_cast<double>(t->slots)),
             .draining = m.draining || t->draining || !service.regions.allows(m.region) ||
                         copy.is_evacuated(m.domain),
             .silent = hears_most && load->is_silent(m.id.node, now)});
    }
    for (std::uint32_t shard = 0; shard < service.shards; ++shard)
    {
        auto const* a = copy.find_assignment({service.name, shard});
        input.assignments.push_back(a == nullptr ? assignment{} : *a);
    }
    if (load != nullptr && !load->rates.empty())
        apply_load(input, *load);
    return input;
}

void note_release(release_table& releases, shard_release const& release)
{
    auto& noted = releases[release.shard];
    if (release.epoch >= noted.epoch)
        noted = {.epoch = release.epoch, .handover = release.handover};
}

// A shard without an epoch may have had one in what the store forgot.
bool era_rule::allows(assignment const& a) const
{
    bool const outdated = a.epoch == 0 ? has_copy : !is_epoch_of(a.epoch, era);
    return settled || !outdated;
}

std::optional<shard_group_record>
next_shard_group(replica const& copy, keyed_service const& service,
                 std::uint32_t first_shard, std::vector<plan_change> const& changes,
                 release_table const& releases, std::set<owner_id> const& unfenced,
                 bool may_place, guards const& g, era_rule const& rule)
{
    auto const count = std::min(shards_per_group, service.shards - first_shard);
    auto const* present = copy.shard_group({service.name, first_shard});
    shard_group_record next{
        .service = service.name, .first_shard = first_shard, .assignments = {}};
    if (present != nullptr)
        next = *present;
    next.assignments.resize(count);
    auto change = changes.begin();
    for (std::uint32_t offset = 0; offset < count; ++offset)
    {
        auto const shard = first_shard + offset;
        auto& a = next.assignments[offset];
        while (change != changes.end() && change->shard < shard)
            ++change;
        if (!rule.allows(a))
            continue;
        bool const has_change = change != changes.end() && change->shard == shard;
        auto const* successor = a.successor ? copy.serving(a.successor) : nullptr;
        bool const successor_fit = successor != nullptr &&
                                   can_own(*successor, service.name) &&
                                   service.regions.allows(successor->region) &&
                                   !copy.is_evacuated(successor->domain);
        if (has_no_owner(copy, a))
        {
            if (unfenced.contains(a.owner) || !may_place)
                continue;
            if (successor_fit)
                a = change_owner(a, a.successor, {}, rule);
            else if (has_change)
                a = change_owner(a, change->to, {}, rule);
            continue;
        }
        auto const release = releases.find({service.name, shard});
        bool const announced =
            release != releases.end() && release->second.epoch == a.epoch;
        bool const is_released = !g.release_before_move || announced;
        auto const handover = announced ? release->second.handover : std::string();
        // The owner's present process cannot know that it is the last epoch.
        auto const* owner = copy.serving(a.owner);
        bool const needs_epoch = !is_epoch_of(a.epoch, rule.era) && owner != nullptr &&
                                 owner->inherited && owner->store_era == rule.era;
        bool const cancels_move = a.successor && !successor_fit;
        if (needs_epoch || cancels_move)
            a = change_owner(a, a.owner, handover, rule);
        else if (a.successor && is_released)
            a = change_owner(a, a.successor, handover, rule);
        else if (!a.successor && has_change && change->to != a.owner)
            a.successor = change->to; // the owner may be live but without its upstream
    }
    if (present != nullptr && *present == next)
        return std::nullopt;
    return next;
}

} // namespace buckthornusher
