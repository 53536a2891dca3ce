// A coordinator as a member: its record, its watchers and its lease.
#include "process/coordinator_impl.hpp"

#include "version/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration quick_renewal = 200ms; // while there is no lease
constexpr duration watcher_change_interval = 1s;
constexpr duration watcher_review_interval = 200ms;
} // namespace

void coordinator::impl::end_membership(bool planned)
{
    lease.revoke();
    at = phase::ended;
    effects.emplace_back(membership_ended{.planned = planned});
}

void coordinator::impl::register_self(instant now)
{
    // Of two members at one endpoint the later incarnation is the one that lives, so this
    // one must be later than all before it. The embedder makes a new one.
    auto const later = copy.members().upper_bound(opts.self);
    if (later != copy.members().end() && later->first.node == opts.self.node)
        return end_membership(false);
    member_record self{.id = opts.self,
                       .endpoint = opts.endpoint,
                       .region = opts.region,
                       .domain = opts.domain,
                       .state = member_state::live,
                       .watchers = {},
                       .targets = opts.targets,
                       .draining = false};
    self.watchers = choose_watchers(copy, self, opts.lease.watchers, {});
    at = phase::registering;
    write({.name = member_object(opts.self), .expected = 0, .value = self}, now);
}

void coordinator::impl::resume(instant now)
{
    for (auto const& o : copy.changed_since(0))
        follow(o, now);
    refresh_subjects(now);
    register_self(now);
}

std::vector<member_id> coordinator::impl::silent_watchers(instant now) const
{
    std::vector<member_id> silent;
    for (auto const& id : lease.watchers())
    {
        auto const acked = lease.last_ack(id).value_or(watchers_since);
        if (now - std::max(acked, watchers_since) > 2 * opts.lease.renew_interval)
            silent.push_back(id);
    }
    return silent;
}

void coordinator::impl::update_self(instant now)
{
    auto const name = member_object(opts.self);
    auto const* current = own_record();
    if (current == nullptr || writer.busy(name))
        return;
    auto next = *current;
    next.targets = opts.targets;
    if (leaving && !next.draining)
        next.draining = true;
    else if (leaving && has_left())
    {
        next.state = member_state::gone;
        lease.revoke(); // from here this member serves nothing
    }
    else if (now >= next_watcher_change)
    {
        next_watcher_change = now + watcher_review_interval;
        auto const suspects = silent_watchers(now);
        auto const better = choose_watchers(copy, next, opts.lease.watchers, suspects);
        if (watchers_value(copy, next, better, suspects) >
            watchers_value(copy, next, next.watchers, suspects))
            next.watchers = better;
    }
    if (next == *current)
        return;
    if (next.watchers != current->watchers)
    {
        ++counts.watcher_changes;
        next_watcher_change = now + watcher_change_interval;
        lease.begin_change(next.watchers);
    }
    write_record(name, next, now);
}

bool coordinator::impl::has_left() const
{
    if (shards.running() > 0)
        return false;
    for (auto const& service : opts.services)
        for (std::uint32_t shard = 0; shard < service.shards; ++shard)
            if (auto const* a = copy.find_assignment({service.name, shard});
                a != nullptr && a->owner == opts.self)
                return false;
    return true;
}

void coordinator::impl::renew_lease(instant now)
{
    if (now < next_renewal)
        return;
    auto const interval =
        now < lease.valid_until() ? opts.lease.renew_interval : quick_renewal;
    next_renewal = now + interval;
    ++counts.renewals;
    auto const sequence = lease.start_renewal(now);
    for (auto const& id : lease.asked())
        send(id, renew{.sequence = sequence, .revision = copy.revision()});
}

instant coordinator::impl::watch_permission() const
{
    return opts.guard.permission_without_lease ? lease.permitted_until()
                                               : lease.valid_until();
}

} // namespace buckthornusher
