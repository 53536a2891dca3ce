// A coordinator as keeper of chunks, and as owner that releases shards.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration release_repeat = 300ms;
constexpr duration quiet_before_placing = 1s;   // after the last join
constexpr duration quiet_before_rebalance = 3s; // after the last join, loss or move
constexpr duration plan_interval = 500ms;       // when nothing has changed
} // namespace

std::set<owner_id> coordinator::impl::held_owners(instant now) const
{
    std::set<owner_id> held;
    if (opts.unfenced_wait > 0us)
        for (auto const& [id, since] : gone_since)
            if (now - since < opts.unfenced_wait)
                held.insert(id);
    return held;
}

void coordinator::impl::refresh_roles()
{
    if (roles_generation == copy.member_generation() && !roles_stale)
        return;
    roles_generation = copy.member_generation();
    roles_stale = false;
    keeper_ranks.clear();
    auto const* self = own_record();
    listens = self != nullptr && is_listener(copy, *self, object_kind::fleet);
    config_listens =
        self != nullptr && is_listener(copy, *self, object_kind::configuration);
    for (auto const& service : opts.services)
        for (std::uint32_t first = 0; first < service.shards; first += shards_per_chunk)
        {
            auto const name = chunk_object(service.name, first);
            auto const rank = work_rank(copy, opts.self, "keep/" + name);
            if (rank && *rank < keepers)
                keeper_ranks[name] = *rank;
        }
}

void coordinator::impl::keep_chunks(instant now)
{
    refresh_roles();
    if (copy.generation() == planned_generation && now < next_plan)
        return;
    planned_generation = copy.generation();
    next_plan = now + plan_interval;
    auto const held = held_owners(now);
    auto planning = opts.planning;
    if (now - last_membership_change < quiet_before_rebalance ||
        now - last_planned_move < quiet_before_rebalance)
        planning.max_moves = 0;
    bool const place_new = now - last_membership_change >= quiet_before_placing;
    for (auto const& service : opts.services)
    {
        std::optional<std::vector<plan_change>> changes;
        for (std::uint32_t first = 0; first < service.shards; first += shards_per_chunk)
        {
            auto const name = chunk_object(service.name, first);
            auto const rank = keeper_ranks.find(name);
            if (rank == keeper_ranks.end() || writer.busy(name))
                continue;
            if (!changes)
                changes = plan(service_input(copy, service), planning);
            auto next = next_chunk(copy, service, first, *changes, announced, held,
                                   place_new, opts.guard);
            if (!next)
            {
                work_since.erase(name);
                continue;
            }
            auto const since = work_since.try_emplace(name, now).first->second;
            if (now - since < keeper_stagger * rank->second)
                continue;
            ++counts.chunk_writes;
            note_planned_moves(*next, now);
            write_record(name, std::move(*next), now);
        }
    }
}

void coordinator::impl::note_planned_moves(chunk_record const& next, instant now)
{
    for (auto const& a : next.assignments)
        if (a.successor)
            last_planned_move = now;
}

void coordinator::impl::send_releases(instant now)
{
    if (now < next_release_send || now < releases_from)
        return;
    std::vector<shard_release> all;
    for (auto& r : shards.releases())
    {
        auto const it = confirmed.find(r.shard);
        if (it == confirmed.end() || it->second.epoch != r.epoch)
            continue;
        r.handover = it->second.handover;
        all.push_back(std::move(r));
    }
    if (all.empty())
    {
        release_sends = 0;
        return;
    }
    next_release_send = now + release_repeat;
    // Mostly the first keeper; in turn the others, in case the first has failed.
    auto const rank = release_sends++ % keepers;
    std::map<std::string, released> by_chunk;
    for (auto const& r : all)
    {
        auto const first = r.shard.index / shards_per_chunk * shards_per_chunk;
        by_chunk[chunk_object(r.shard.service, first)].shards.push_back(r);
    }
    for (auto& [chunk, message] : by_chunk)
    {
        auto const keeper = member_at_rank(copy, "keep/" + chunk, rank);
        if (keeper == opts.self)
            on(opts.self, message, now);
        else if (keeper)
            send(keeper, std::move(message));
    }
}

} // namespace buckthornusher
