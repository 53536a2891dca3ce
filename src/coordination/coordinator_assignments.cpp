// Implementation of coordinator: shard group assignments, load reports and releases.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration release_repeat_interval = 300ms;
// Time since the last planned move, and the last change of the service's targets, before
// owned shards are moved.
constexpr duration rebalance_delay_unmeasured = 3s;
constexpr duration plan_interval = 500ms; // when nothing has changed
// Shorter when request rates are measured, because hot keys change within seconds.
constexpr duration rebalance_delay_measured = 1'500ms;
constexpr duration max_load_age = 5s; // older load reports are ignored
// As a share of an upstream's capacity: below it, an uneven share costs callers less than
// a move.
constexpr double min_measured_load = 0.55;
constexpr std::size_t load_recipients_per_group = 2;
// In a large fleet targets come and go all the time. After this many delays without a
// planned move, shards are moved regardless.
constexpr int max_rebalance_delays = 2;
constexpr std::size_t targets_per_move = 3; // of one plan, in a large service

// Returns the share of the shards that have no owner, or one whose generation is over.
double unowned_share(replica const& copy, plan_input const& input)
{
    auto const unowned =
        std::count_if(input.assignments.begin(), input.assignments.end(),
                      [&](assignment const& a) { return has_no_owner(copy, a); });
    return static_cast<double>(unowned) /
           std::max<double>(1, static_cast<double>(input.assignments.size()));
}
} // namespace

std::set<owner_id> coordinator::impl::unfenced_owners(instant now)
{
    std::set<owner_id> unfenced;
    if (opts.unfenced_wait == 0us)
        return unfenced;
    for (auto const& service : opts.services)
        for (std::uint32_t shard = 0; shard < service.shards; ++shard)
        {
            auto const* a = copy.find_assignment({service.name, shard});
            if (a == nullptr || !copy.is_over(a->owner))
                continue;
            // If the node has joined again, the record in which this generation was gone
            // may not have been seen here.
            auto const since = gone_since.try_emplace(a->owner, now).first->second;
            if (now - since < opts.unfenced_wait)
                unfenced.insert(a->owner);
        }
    return unfenced;
}

void coordinator::impl::refresh_roles()
{
    if (roles_change_count == copy.member_change_count() && !roles_stale)
        return;
    roles_change_count = copy.member_change_count();
    roles_stale = false;
    assigner_ranks.clear();
    auto const* self = own_record();
    fleet_subscriber = self != nullptr && is_subscriber(copy, *self, object_kind::fleet);
    config_subscriber =
        self != nullptr && is_subscriber(copy, *self, object_kind::configuration);
    region_rank = self == nullptr ? 0 : subscriber_rank(copy, *self);
    for (auto const& service : opts.services)
        for (std::uint32_t first = 0; first < service.shards; first += shards_per_group)
        {
            auto const name = shard_group_object(service.name, first);
            auto const rank = work_rank(copy, opts.self, "keep/" + name);
            if (rank && *rank < max_workers_per_task)
                assigner_ranks[name] = *rank;
        }
}

void coordinator::impl::write_assignments(instant now)
{
    refresh_roles();
    if (copy.change_count() == planned_change_count && now < next_plan)
        return;
    planned_change_count = copy.change_count();
    next_plan = now + plan_interval;
    auto const unfenced = unfenced_owners(now);
    auto const rule = assignment_rule(now);
    for (auto const& service : opts.services)
    {
        bool may_place = false;
        std::optional<std::vector<plan_change>> changes;
        auto const* load = recent_load(service.name, now);
        for (std::uint32_t first = 0; first < service.shards; first += shards_per_group)
        {
            auto const name = shard_group_object(service.name, first);
            auto const rank = assigner_ranks.find(name);
            if (rank == assigner_ranks.end() || writer.busy(name))
                continue;
            if (!changes)
            {
                auto const input = make_plan_input(copy, service, load, now);
                auto& gate =
                    gates.try_emplace(service.name, placement_gate({})).first->second;
                may_place = gate.open(input.targets, unowned_share(copy, input), now);
                changes = plan(input, planning_for(load, input, gate.last_change(), now));
            }
            auto next =
                next_shard_group(copy, service, first, *changes, announced_releases,
                                 unfenced, may_place, opts.guard, rule);
            if (!next)
            {
                write_due_since.erase(name);
                continue;
            }
            auto const since = write_due_since.try_emplace(name, now).first->second;
            if (now - since < takeover_delay_per_rank * rank->second)
                continue;
            ++counts.shard_group_writes;
            note_planned_moves(*next, now);
            write_record(name, std::move(*next), now);
        }
    }
}

service_load const* coordinator::impl::recent_load(std::string const& service,
                                                   instant now)
{
    auto const it = loads.find(service);
    if (it == loads.end())
        return nullptr;
    if (now - it->second.received > max_load_age)
    {
        loads.erase(it);
        return nullptr;
    }
    return &it->second.load;
}

plan_options coordinator::impl::planning_for(service_load const* load,
                                             plan_input const& input,
                                             instant targets_changed, instant now) const
{
    auto planning = opts.planning;
    planning.max_moves =
        std::max(planning.max_moves, input.targets.size() / targets_per_move);
    bool const measured = load != nullptr;
    if (measured && load->most_nodes_silent(now))
        planning.max_moves = 0;
    auto const rebalance_delay =
        measured ? rebalance_delay_measured : rebalance_delay_unmeasured;
    auto const since_move = now - last_planned_move;
    bool const settled = now - targets_changed >= rebalance_delay ||
                         since_move >= max_rebalance_delays * rebalance_delay;
    if (since_move < rebalance_delay || !settled)
        planning.max_moves = 0;
    if (measured)
        planning.min_load = min_measured_load;
    return planning;
}

void coordinator::impl::on(member_id const& from, load_report const& m, instant now)
{
    auto const* sender = copy.node(from.node);
    if (sender == nullptr)
        return;
    auto& known = loads[m.service];
    known.received = now;
    known.load.last_reports[from.node] = now;
    std::erase_if(known.load.last_reports,
                  [&](auto const& entry)
                  {
                      auto const* reporter = copy.node(entry.first);
                      return reporter == nullptr || reporter->state != member_state::live;
                  });
    auto& rates = known.load.rates;
    std::erase_if(rates,
                  [&](auto const& entry)
                  {
                      auto const* a = copy.find_assignment({m.service, entry.first});
                      return a != nullptr && a->owner == sender->owner();
                  });
    for (auto const& r : m.rates)
        rates[r.shard] = r.rate;
    if (m.capacity > 0)
        known.load.capacities[from.node] = m.capacity;
}

// Sends the report to the first assigners of each shard group.
void coordinator::impl::send_load(load_report const& report, instant now)
{
    std::set<member_id> recipients;
    for (auto const& service : opts.services)
        for (std::uint32_t first = 0;
             service.name == report.service && first < service.shards;
             first += shards_per_group)
            for (std::size_t rank = 0; rank < load_recipients_per_group; ++rank)
                if (auto const assigner = member_at_rank(
                        copy, "keep/" + shard_group_object(service.name, first), rank))
                    recipients.insert(assigner);
    for (auto const& assigner : recipients)
        if (assigner == opts.self)
            on(opts.self, report, now);
        else
            send(assigner, report);
}

void coordinator::impl::note_planned_moves(shard_group_record const& next, instant now)
{
    for (auto const& a : next.assignments)
        if (a.successor)
            last_planned_move = now;
}

std::vector<shard_release> coordinator::impl::unsettled_releases() const
{
    std::vector<shard_release> unsettled;
    for (auto& r : shards.releases())
    {
        auto const it = confirmed_releases.find(r.shard);
        if (it == confirmed_releases.end() || it->second.epoch != r.epoch)
            continue;
        r.handover = it->second.handover;
        unsettled.push_back(std::move(r));
    }
    return unsettled;
}

void coordinator::impl::send_releases_to(std::size_t rank,
                                         std::vector<shard_release> const& releases,
                                         instant now)
{
    std::map<std::string, released> releases_by_group;
    for (auto const& r : releases)
    {
        auto const first = r.shard.index / shards_per_group * shards_per_group;
        releases_by_group[shard_group_object(r.shard.service, first)].shards.push_back(r);
    }
    for (auto& [group_name, message] : releases_by_group)
    {
        auto const assigner = member_at_rank(copy, "keep/" + group_name, rank);
        if (assigner == opts.self)
            on(opts.self, message, now);
        else if (assigner)
            send(assigner, std::move(message));
    }
}

void coordinator::impl::announce_releases()
{
    auto const confirmed = std::exchange(to_announce, {});
    if (confirmed.empty() || announced_at < releases_from)
        return;
    auto announced = unsettled_releases();
    std::erase_if(announced,
                  [&](shard_release const& r) { return !confirmed.contains(r.shard); });
    if (announced.empty())
        return;
    if (release_sends == 0)
    {
        release_sends = 1;
        next_release_send = announced_at + release_repeat_interval;
    }
    send_releases_to(0, announced, announced_at);
}

void coordinator::impl::repeat_releases(instant now)
{
    if (now < next_release_send || now < releases_from)
        return;
    auto const unsettled = unsettled_releases();
    if (unsettled.empty())
    {
        release_sends = 0;
        return;
    }
    next_release_send = now + release_repeat_interval;
    // Cycles through the assigners, in case the first has failed.
    send_releases_to(release_sends++ % max_workers_per_task, unsettled, now);
}

} // namespace buckthornusher
