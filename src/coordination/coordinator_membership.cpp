// Implementation of coordinator: its record, its watchers and its lease.
#include "coordination/coordinator_impl.hpp"

#include "buckthornusher/upstream_history.hpp"
#include "coordination/roles.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration registration_retry = 1s;
constexpr duration renewal_interval_without_lease = 200ms;
constexpr duration watcher_change_interval = 1s;
constexpr duration watcher_review_interval = 200ms;
constexpr duration probe_interval = 200ms;
constexpr std::size_t probes_per_round = 3;
// After this time other members, if there are any, have evicted a member that is cut off.
constexpr duration assume_sole_member_after = 5s;
// A member that was evicted and has heard no other member within this time joins again,
// because the members that evicted it may be permanently gone.
constexpr duration max_wait_for_contact = 15s;
constexpr std::size_t min_remote_domains = 2;
} // namespace

void coordinator::impl::end_membership(bool planned)
{
    lease.revoke();
    current_phase = phase::ended;
    effects.emplace_back(membership_ended{.planned = planned});
}

void coordinator::impl::register_self(instant now)
{
    auto const name = member_object(opts.self.node);
    auto const* before = copy.node(opts.self.node);
    // The later of two incarnations of a node wins, so this one must be later than all
    // before it. The embedder creates a new one.
    if (before != nullptr && before->id.incarnation >= opts.self.incarnation)
        return end_membership(false);
    bool const over = before == nullptr || before->state == member_state::gone;
    // The same node name at another endpoint: that member has to be evicted by its
    // watchers.
    if (!over && before->endpoint != opts.endpoint)
        return;
    if (writer.busy(name) || waits_for_contact(now))
        return;
    member_record self{.id = opts.self,
                       .generation = opts.self.incarnation,
                       .inherited = false,
                       .endpoint = opts.endpoint,
                       .region = opts.region,
                       .domain = opts.domain,
                       .state = member_state::live,
                       .watchers = {},
                       .targets = opts.targets,
                       .departed = departed,
                       .draining = false,
                       .store_era = era.value()};
    if (before != nullptr)
    {
        self.generation = std::max(self.generation, before->generation + 1);
        self.departed = with_departures(before->departed);
    }
    bool const inherits = !over && may_inherit(*before);
    // The upstream may hold shards that the earlier process granted; others get them as
    // soon as its generation ends.
    auto const granted_until =
        started + opts.lease.max_lease_duration() + opts.unfenced_wait;
    if (!over && !inherits && now < granted_until)
        return;
    if (inherits)
    {
        self.generation = before->generation;
        self.inherited = true;
        bool const lost = targets_known && upstream_lost(*before);
        if (lost && opts.granted_upstreams)
            self.generation = std::max(opts.self.incarnation, before->generation + 1);
        else if (lost || !targets_known)
            self.targets = before->targets; // a lost upstream ends the generation later
    }
    self.watchers = choose_watchers(copy, self, opts.lease.watchers, {});
    self.watcher_changes = before == nullptr ? 1 : before->watcher_changes + 1;
    current_phase = phase::registering;
    auto const* o = copy.find(name);
    write({.name = name,
           .expected = o != nullptr && o->value ? store_version(name) : 0,
           .value = self},
          now);
}

// Repeats the listing while this member cannot register: another member with the node's
// name is registered, or this one waits for contact.
void coordinator::impl::retry_registration(instant now)
{
    next_registration = now + registration_retry;
    if (fleet_reader.list_wanted())
        return; // the answer triggers the registration
    fleet_reader.want_list();
}

void coordinator::impl::apply_own_record(member_record const& record,
                                         std::uint64_t version, instant now)
{
    if (current_phase == phase::registering)
    {
        current_phase = phase::member;
        takeover_version = record.inherited ? version : 0;
        // The upstream may still run requests that the earlier process sent within its
        // lease.
        if (record.inherited && opts.guard.wait_for_earlier_leases)
            releases_from = now + opts.lease.max_lease_duration() + opts.unfenced_wait;
    }
    if (record.watchers != lease.watchers())
        watchers_since = now;
    lease.set_watchers(record.watchers);
    begin_generation(record.owner());
}

void coordinator::impl::begin_generation(owner_id const& owner)
{
    if (owner == current_owner)
        return;
    current_owner = owner;
    shards.set_self(owner);
    for (auto const& o : copy.changed_since(0))
        if (o.value && std::holds_alternative<shard_group_record>(*o.value))
            on_shard_group_changed(std::get<shard_group_record>(*o.value));
}

bool coordinator::impl::generation_ends() const
{
    auto const* record = own_record();
    return targets_known && record != nullptr && upstream_lost(*record);
}

void coordinator::impl::register_if_listed(instant now)
{
    if (current_phase == phase::listing && !fleet_reader.list_wanted() &&
        !config_reader.list_wanted())
        register_self(now);
}

bool coordinator::impl::may_have_shards(std::string const& service) const
{
    return opts.services.empty() ||
           std::any_of(opts.services.begin(), opts.services.end(),
                       [&](keyed_service const& s) { return s.name == service; });
}

bool coordinator::impl::upstream_lost(member_record const& record) const
{
    return std::any_of(record.targets.begin(), record.targets.end(),
                       [&](target const& was)
                       {
                           return may_have_shards(was.service) &&
                                  std::none_of(opts.targets.begin(), opts.targets.end(),
                                               [&](target const& is) {
                                                   return is.service == was.service &&
                                                          is.incarnation ==
                                                              was.incarnation;
                                               });
                       });
}

void coordinator::impl::resume(instant now)
{
    for (auto const& o : copy.changed_since(0))
        on_object_changed(o, now);
    refresh_subjects(now);
    // Other members may have received changes that this one has missed.
    fleet_reader.want_list();
    resumed = true;
    probe_members(now);
}

std::vector<member_id> const& coordinator::impl::remote_members()
{
    if (remote_change_count == copy.member_change_count())
        return remote;
    remote_change_count = copy.member_change_count();
    remote.clear();
    std::vector<member_id> all;
    std::set<std::string> domains;
    for (auto const& [id, m] : copy.members())
    {
        if (m.state != member_state::live || id.node == opts.self.node)
            continue;
        all.push_back(id);
        if (m.domain == opts.domain)
            continue;
        remote.push_back(id);
        domains.insert(m.domain);
    }
    // If there is only one other domain, its silence may be its own failure.
    if (domains.size() < min_remote_domains)
        remote = std::move(all);
    return remote;
}

bool coordinator::impl::is_remote(std::string const& node)
{
    auto const& all = remote_members();
    return std::any_of(all.begin(), all.end(),
                       [&](member_id const& id) { return id.node == node; });
}

bool coordinator::impl::seems_cut_off(instant now)
{
    auto const silent = now - last_contact.value_or(started);
    return silent > opts.lease.renew_interval && silent < assume_sole_member_after &&
           !remote_members().empty();
}

bool coordinator::impl::waits_for_contact(instant now)
{
    return resumed && !last_contact && now - started < max_wait_for_contact &&
           !remote_members().empty();
}

void coordinator::impl::probe_members(instant now)
{
    if (now < next_probe || !(waits_for_contact(now) || seems_cut_off(now)))
        return;
    next_probe = now + probe_interval;
    auto const& asked = remote_members();
    for (std::size_t i = 0; i < std::min(probes_per_round, asked.size()); ++i)
        send(asked[probes_sent++ % asked.size()],
             pull{.from = copy.revision(), .config_version = no_config_wanted});
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

std::vector<upstream_incarnation>
coordinator::impl::with_departures(std::vector<upstream_incarnation> recorded) const
{
    for (auto const& incarnation : departed)
        add_departure(recorded, incarnation);
    return recorded;
}

void coordinator::impl::update_self(instant now)
{
    auto const name = member_object(opts.self.node);
    auto const* current = own_record();
    if (current == nullptr || writer.busy(name))
        return;
    auto next = *current;
    next.store_era = era.value();
    next.departed = with_departures(current->departed);
    if (targets_known)
    {
        next.targets = opts.targets;
        if (upstream_lost(*current))
        {
            bool const may_run = shards.running() > 0 || now < releases_from;
            if (may_run && !opts.granted_upstreams)
                next.targets = current->targets;
            else
            {
                ++next.generation;
                next.inherited = false;
            }
        }
    }
    if (leaving && !next.draining)
        next.draining = true;
    else if (leaving && has_left())
    {
        next.state = member_state::gone;
        lease.revoke(); // from here on this member serves nothing
    }
    else if (may_review_watchers(now) && !seems_cut_off(now))
    {
        next_watcher_review = now + watcher_review_interval;
        auto const suspects = silent_watchers(now);
        auto const better = choose_watchers(copy, next, opts.lease.watchers, suspects);
        if (watchers_score(copy, next, better, suspects) >
            watchers_score(copy, next, next.watchers, suspects))
            next.watchers = better;
    }
    if (next == *current)
        return;
    if (next.watchers != current->watchers)
    {
        ++counts.watcher_changes;
        ++next.watcher_changes;
        next_watcher_change = now + watcher_change_interval;
        lease.begin_watcher_change(next.watchers);
    }
    write_record(name, next, now);
}

// Acks of a new set take a while to come, so the next change waits. There is nothing to
// wait for if no majority of the set is left, as when a whole fleet starts and members
// choose others that are yet to restart.
bool coordinator::impl::may_review_watchers(instant now)
{
    if (now < next_watcher_review)
        return false;
    auto const* self = own_record();
    return now >= next_watcher_change ||
           watchers_score(copy, *self, self->watchers, {}) == 0;
}

bool coordinator::impl::has_left() const
{
    if (shards.running() > 0)
        return false;
    for (auto const& service : opts.services)
        for (std::uint32_t shard = 0; shard < service.shards; ++shard)
            if (auto const* a = copy.find_assignment({service.name, shard});
                a != nullptr && a->owner == current_owner)
                return false;
    return true;
}

void coordinator::impl::renew_lease(instant now)
{
    if (now < next_renewal)
        return;
    auto const interval = now < lease.valid_until() ? opts.lease.renew_interval
                                                    : renewal_interval_without_lease;
    next_renewal = now + interval;
    ++counts.renewals;
    auto const sequence = lease.start_renewal(now);
    auto const* record = own_record();
    auto const changes = record == nullptr ? 0 : record->watcher_changes;
    for (auto const& id : lease.renewal_targets())
        send(id, renew{.sequence = sequence,
                       .watcher_changes = changes,
                       .revision = copy.revision(),
                       .config_version = copy.version_of(config_object),
                       .config_age = config_age(now)});
}

instant coordinator::impl::watch_permission() const
{
    return opts.guard.permission_without_lease ? lease.permitted_until()
                                               : lease.valid_until();
}

} // namespace buckthornusher
