// Implementation of coordinator: evictions of members that have fallen silent.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration evictor_stagger = 250ms; // between the watchers of a member
constexpr duration refuse_repeat_interval = 250ms;
constexpr duration member_review_interval = 500ms;
constexpr duration max_time_unwatched = 10s; // a member without watchers is then evicted
constexpr duration gone_record_retention = 60s;
} // namespace

void coordinator::impl::start_eviction(member_id const& subject, instant now)
{
    auto const* m = copy.member(subject);
    auto const name = member_object(subject.node);
    if (m == nullptr || m->state != member_state::live || writer.busy(name) ||
        !era.may_act_on(m->store_era, now))
        return;
    ++counts.evictions_started;
    auto next = *m;
    next.state = member_state::evicting;
    evictions.try_emplace(subject, eviction_work{.first_seen = now})
        .first->second.marked_here = true;
    write_record(name, next, now);
}

void coordinator::impl::start_evictions(instant now)
{
    if (seems_cut_off(now))
        return; // this member is probably cut off itself
    for (auto const& id : watcher.silent_subjects(now))
        if (auto const* m = copy.member(id); m != nullptr && is_evictor_turn(*m, now))
            start_eviction(id, now);
    if (now < next_member_review)
        return;
    next_member_review = now + member_review_interval;
    for (auto const& [id, m] : copy.members())
    {
        if (m.state != member_state::live || id == opts.self)
            continue;
        if (m.watchers.empty() && now - first_seen[id] > max_time_unwatched)
            start_eviction(id, now);
    }
}

bool coordinator::impl::is_evictor_turn(member_record const& m, instant now) const
{
    auto const it = std::find(m.watchers.begin(), m.watchers.end(), opts.self);
    auto const rank = static_cast<std::size_t>(it - m.watchers.begin());
    auto const silent = watcher.silent_subjects(now - evictor_stagger * rank);
    return std::find(silent.begin(), silent.end(), m.id) != silent.end();
}

bool coordinator::impl::drives_eviction(member_id const& subject,
                                        eviction_work const& work, instant now) const
{
    if (work.marked_here)
        return true;
    auto const rank = work_rank(copy, opts.self, "evict/" + subject.node);
    return rank && *rank < max_workers_per_task &&
           now - work.first_seen >
               2 * opts.lease.max_lease_duration() + takeover_delay_per_rank * *rank;
}

void coordinator::impl::continue_evictions(instant now)
{
    counts.evictions_waiting = 0;
    for (auto& [subject, work] : evictions)
    {
        auto const* m = copy.member(subject);
        if (m == nullptr || m->state != member_state::evicting ||
            !era.may_act_on(m->store_era, now) || !drives_eviction(subject, work, now))
            continue;
        if (!work.procedure)
            work.procedure.emplace(*m, opts.lease, opts.guard);
        work.procedure->on_started(now);
        note_gone_watchers(subject, *work.procedure, now);
        if (now >= work.next_refuse)
            send_refuse(subject, work, now);
        auto const over = work.procedure->lease_expired_at();
        counts.evictions_waiting += over ? 0 : 1;
        auto const name = member_object(subject.node);
        if (!over || now < *over || writer.busy(name))
            continue;
        auto next = *m;
        next.state = member_state::gone;
        write_record(name, next, now);
    }
}

void coordinator::impl::note_gone_watchers(member_id const& subject, eviction& procedure,
                                           instant now) const
{
    auto const* m = copy.member(subject);
    for (auto const& id : m->watchers)
        if (copy.is_gone(id))
            procedure.on_watcher_gone(id, now);
}

void coordinator::impl::send_refuse(member_id const& subject, eviction_work& work,
                                    instant now)
{
    work.next_refuse = now + refuse_repeat_interval;
    auto const min_changes = work.procedure->min_watcher_changes();
    for (auto const& id : work.procedure->unconfirmed_watchers())
    {
        if (id == opts.self)
            work.procedure->on_refused(id, watcher.refuse(subject, min_changes, now),
                                       now);
        else
            send(id, refuse{.subject = subject, .watcher_changes = min_changes});
    }
}

void coordinator::impl::delete_gone(instant now)
{
    for (auto const& [owner, since] : gone_since)
    {
        auto const* m = copy.node(owner.node);
        auto const name = member_object(owner.node);
        if (m == nullptr || m->owner() != owner || now - since < gone_record_retention ||
            writer.busy(name) ||
            work_rank(copy, opts.self, "delete/" + owner.node) != 0 || is_referenced(*m))
            continue;
        if (auto const version = store_version(name); version > 0)
            write({.name = name, .expected = version, .value = {}}, now);
    }
    std::erase_if(gone_since,
                  [&](auto const& entry)
                  {
                      auto const* m = copy.node(entry.first.node);
                      bool const present = m != nullptr && m->owner() == entry.first;
                      return !present && now - entry.second > gone_record_retention;
                  });
}

bool coordinator::impl::is_referenced(member_record const& gone) const
{
    for (auto const& entry : copy.members())
    {
        auto const& m = entry.second;
        if (m.state != member_state::gone &&
            std::find(m.watchers.begin(), m.watchers.end(), gone.id) != m.watchers.end())
            return true;
    }
    auto const named = [&](owner_id const& owner)
    {
        return owner.node == gone.id.node;
    };
    for (auto const& service : opts.services)
        for (std::uint32_t shard = 0; shard < service.shards; ++shard)
            if (auto const* a = copy.find_assignment({service.name, shard});
                a != nullptr && (named(a->owner) || named(a->successor)))
                return true;
    return false;
}

} // namespace buckthornusher
