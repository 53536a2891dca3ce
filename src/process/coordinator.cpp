// One member's part in the fleet: see the header.
#include "buckthornusher/coordinator.hpp"

#include "process/store_writer.hpp"
#include "version/roles.hpp"
#include "version/steward.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr duration pause_threshold = 600ms; // between ticks
constexpr duration quick_renewal = 200ms;   // while there is no lease
constexpr duration evictor_stagger = 250ms; // between the watchers of a member
constexpr duration refuse_repeat = 250ms;
constexpr duration keeper_stagger = 500ms; // between the keepers of a chunk
constexpr std::size_t keepers = 3;
constexpr duration watcher_change_interval = 1s;
constexpr duration watcher_review_interval = 200ms;
constexpr duration member_review_interval = 500ms;
constexpr duration release_repeat = 300ms;
constexpr duration pull_patience = 300ms;
constexpr duration quiet_before_placing = 1s;   // after the last join
constexpr duration quiet_before_rebalance = 3s; // after the last join, loss or move
constexpr duration unwatched_limit = 10s;       // a member without watchers is ended
constexpr duration plan_interval = 500ms;       // when nothing has changed
constexpr duration gone_record_kept = 60s;
constexpr duration longest_store_backoff = 3s;

template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace

struct coordinator::impl
{
    // How far this member has come. Each state is only left downwards.
    enum class phase
    {
        listing,     // reads the store's objects
        registering, // writes its own record
        member,
        ended,
    };

    // A member's eviction, as this member sees it.
    struct eviction_work
    {
        instant first_seen;
        bool own = false; // this member marked the record
        std::optional<eviction> steps;
        instant next_refuse;
    };

    explicit impl(coordinator_options o)
        : opts(std::move(o)), copy(std::move(opts.known)), lease(opts.lease, opts.guard),
          watcher(opts.lease), writer(opts.seed, opts.guard),
          shards(opts.self, opts.guard), random(opts.seed)
    {
    }

    coordinator_options opts;
    replica copy;
    lease_holder lease;
    lease_watcher watcher;
    store_writer writer;
    shard_ownership shards;
    std::mt19937_64 random;
    coordinator_counts counts;
    std::vector<effect> effects;

    phase at = phase::listing;
    bool leaving = false;
    std::uint64_t next_call_id = 1;
    instant last_tick;
    instant next_renewal;
    instant next_watcher_change;
    instant next_member_review;
    instant watchers_since; // when the present watchers were accepted

    // Store reads: one list until it is answered, then one watch if this member listens.
    std::optional<std::uint64_t> list_call;
    std::optional<std::uint64_t> watch_call;
    instant next_store_read;
    duration store_backoff = 100ms;

    std::map<member_id, eviction_work> evictions;
    std::map<member_id, instant> first_seen; // members in the replica
    std::map<member_id, instant> gone_since; // gone members in the replica
    instant last_membership_change;
    instant last_planned_move;

    release_table announced; // releases that owners have sent to this keeper
    release_table confirmed; // own releases whose state has been handed over
    std::map<std::string, instant>
        work_since;                       // by chunk object: since when it needs a write
    std::uint64_t planned_generation = 0; // of the replica, at the last plan
    instant next_plan;
    instant next_release_send;
    std::size_t release_sends = 0;

    // Roles that follow from the members, for one generation of them.
    std::uint64_t roles_generation = 0;
    bool roles_stale = true;
    bool listens = false;
    std::map<std::string, std::size_t> keeper_ranks; // by chunk object

    std::optional<instant> behind_since; // a peer's replica is ahead of ours
    std::uint64_t highest_revision = 0;  // that a peer has had
    instant next_pull;

    // ---- sending ----

    void send(member_id const& to, control_message message)
    {
        effects.emplace_back(send_message{.to = to, .message = std::move(message)});
    }

    std::uint64_t call(store_operation operation)
    {
        ++counts.store_calls;
        effects.emplace_back(
            call_store{.id = next_call_id, .operation = std::move(operation)});
        return next_call_id++;
    }

    void write(store_write w, instant now)
    {
        ++counts.store_calls;
        auto c = writer.start(std::move(w), next_call_id++, now);
        effects.emplace_back(call_store{.id = c.id, .operation = std::move(c.operation)});
    }

    void write_record(std::string const& name, record value, instant now)
    {
        write(
            {.name = name, .expected = copy.version_of(name), .value = std::move(value)},
            now);
    }

    // ---- the replica ----

    member_record const* own_record() const { return copy.member(opts.self); }

    // Changes of (from, to] have come from the store or from `sender`.
    void learn(std::uint64_t from, std::uint64_t to, std::vector<object> const& objects,
               std::optional<member_id> const& sender, instant now)
    {
        std::vector<object> news;
        for (auto const& o : objects)
            if (copy.apply(o))
                news.push_back(o);
        auto const before = copy.revision();
        bool const contiguous = copy.apply_range(from, to, {});
        if (!contiguous && sender)
            note_revision(*sender, to, now);
        for (auto const& o : news)
            follow(o, now);
        if (news.empty() && copy.revision() == before)
            return;
        refresh_subjects(now);
        if (!news.empty())
            effects.emplace_back(replica_changed{});
        if (at != phase::member)
            return;
        if (auto const* self = own_record(); self != nullptr)
            for (auto const& to_member : push_targets(copy, *self, !sender))
                if (to_member != sender && !news.empty())
                    send(to_member, deltas{.from = from, .to = to, .objects = news});
    }

    // Consequences of one changed object.
    void follow(object const& o, instant now)
    {
        if (!o.value)
            return;
        if (auto const* m = std::get_if<member_record>(&*o.value))
            follow_member(*m, now);
        if (auto const* c = std::get_if<chunk_record>(&*o.value))
            follow_chunk(*c);
    }

    void follow_member(member_record const& m, instant now)
    {
        if (first_seen.try_emplace(m.id, now).second || m.state != member_state::live)
            last_membership_change = now;
        if (m.state == member_state::evicting)
            evictions.try_emplace(m.id, eviction_work{.first_seen = now});
        if (m.state == member_state::gone)
        {
            gone_since.try_emplace(m.id, now);
            evictions.erase(m.id);
            watcher.forget(m.id);
        }
        if (m.id == opts.self && m.state != member_state::live && at == phase::member)
            end_membership(leaving);
    }

    void follow_chunk(chunk_record const& c)
    {
        for (std::uint32_t i = 0; i < c.assignments.size(); ++i)
        {
            shard_id const shard{c.service, c.first_shard + i};
            if (shards.on_assignment(shard, c.assignments[i]))
                note_drained(shard);
            auto const release = announced.find(shard);
            if (release != announced.end() && release->second < c.assignments[i].epoch)
                announced.erase(release);
        }
    }

    void note_drained(shard_id const& shard)
    {
        auto const* a = copy.find_assignment(shard);
        effects.emplace_back(shard_drained{.release = {.shard = shard, .epoch = a->epoch},
                                           .successor = a->successor});
    }

    void refresh_subjects(instant now)
    {
        std::vector<member_id> subjects;
        for (auto const& [id, m] : copy.members())
            if (m.state == member_state::live &&
                std::find(m.watchers.begin(), m.watchers.end(), opts.self) !=
                    m.watchers.end())
                subjects.push_back(id);
        watcher.set_subjects(subjects, now);
    }

    // A peer has applied more than we have; ask it if that does not pass by itself. A
    // peer that is behind as well says nothing about the others.
    void note_revision(member_id const& peer, std::uint64_t revision, instant now)
    {
        if (revision > copy.revision() && !behind_since)
            behind_since = now;
        highest_revision = std::max(highest_revision, revision);
        if (copy.revision() >= highest_revision)
            behind_since.reset();
        if (revision <= copy.revision() || now - *behind_since < pull_patience ||
            now < next_pull)
            return;
        next_pull = now + pull_patience;
        ++counts.pulls;
        send(peer, pull{.from = copy.revision()});
    }

    // ---- membership and lease ----

    void end_membership(bool planned)
    {
        lease.revoke();
        at = phase::ended;
        effects.emplace_back(membership_ended{.planned = planned});
    }

    void register_self(instant now)
    {
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

    // Begins with the objects that an earlier incarnation of this process knew.
    void resume(instant now)
    {
        for (auto const& o : copy.changed_since(0))
            follow(o, now);
        refresh_subjects(now);
        register_self(now);
    }

    // Watchers that have not acked for two rounds.
    std::vector<member_id> silent_watchers(instant now) const
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

    // Brings this member's own record up to date, one write at a time.
    void update_self(instant now)
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
            auto const better =
                choose_watchers(copy, next, opts.lease.watchers, suspects);
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

    // No assignment names this member, and nothing runs here.
    bool has_left() const
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

    void renew_lease(instant now)
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

    instant watch_permission() const
    {
        return opts.guard.permission_without_lease ? lease.permitted_until()
                                                   : lease.valid_until();
    }

    // ---- evictions ----

    void start_eviction(member_id const& subject, instant now)
    {
        auto const* m = copy.member(subject);
        auto const name = member_object(subject);
        if (m == nullptr || m->state != member_state::live || writer.busy(name))
            return;
        ++counts.evictions_started;
        auto next = *m;
        next.state = member_state::evicting;
        evictions.try_emplace(subject, eviction_work{.first_seen = now})
            .first->second.own = true;
        write_record(name, next, now);
    }

    void start_evictions(instant now)
    {
        for (auto const& id : watcher.silent(now))
            if (auto const* m = copy.member(id); m != nullptr && my_turn(*m, now))
                start_eviction(id, now);
        if (now < next_member_review)
            return;
        next_member_review = now + member_review_interval;
        for (auto const& [id, m] : copy.members())
        {
            if (m.state != member_state::live || id == opts.self)
                continue;
            bool const predecessor =
                id.node == opts.self.node && id.incarnation < opts.self.incarnation;
            bool const unwatched =
                m.watchers.empty() && now - first_seen[id] > unwatched_limit;
            if (predecessor || unwatched)
                start_eviction(id, now);
        }
    }

    // The member's watchers begin one after the other, so that mostly one does.
    bool my_turn(member_record const& m, instant now) const
    {
        auto const it = std::find(m.watchers.begin(), m.watchers.end(), opts.self);
        auto const rank = static_cast<std::size_t>(it - m.watchers.begin());
        auto const silent = watcher.silent(now - evictor_stagger * rank);
        return std::find(silent.begin(), silent.end(), m.id) != silent.end();
    }

    // Whether this member carries the eviction on. Others take over from one that fails.
    bool carries(member_id const& subject, eviction_work const& work, instant now) const
    {
        if (work.own)
            return true;
        auto const rank = work_rank(copy, opts.self, "evict/" + subject.node);
        return rank && *rank < keepers &&
               now - work.first_seen >
                   2 * opts.lease.longest_lease() + keeper_stagger * *rank;
    }

    void continue_evictions(instant now)
    {
        counts.evictions_waiting = 0;
        for (auto& [subject, work] : evictions)
        {
            auto const* m = copy.member(subject);
            if (m == nullptr || m->state != member_state::evicting ||
                !carries(subject, work, now))
                continue;
            if (!work.steps)
                work.steps.emplace(*m, opts.lease, opts.guard);
            note_ended(subject, *work.steps, now);
            if (now >= work.next_refuse)
                ask_to_refuse(subject, work, now);
            auto const over = work.steps->over_at();
            counts.evictions_waiting += over ? 0 : 1;
            auto const name = member_object(subject);
            if (!over || now < *over || writer.busy(name))
                continue;
            auto next = *m;
            next.state = member_state::gone;
            write_record(name, next, now);
        }
    }

    // The member cannot ack any more, but its last acks may still count.
    bool has_ended(member_id const& id) const
    {
        auto const* o = copy.find(member_object(id));
        if (o == nullptr)
            return false;
        return !o->value ||
               std::get<member_record>(*o->value).state == member_state::gone ||
               is_replaced(std::get<member_record>(*o->value));
    }

    // A later incarnation has the member's endpoint.
    bool is_replaced(member_record const& m) const
    {
        for (auto it = copy.members().upper_bound(m.id);
             it != copy.members().end() && it->first.node == m.id.node; ++it)
            if (it->second.endpoint == m.endpoint)
                return true;
        return false;
    }

    void note_ended(member_id const& subject, eviction& steps, instant now) const
    {
        auto const* m = copy.member(subject);
        if (is_replaced(*m))
            steps.on_replaced(now);
        for (auto const& id : m->watchers)
            if (has_ended(id))
                steps.on_watcher_gone(id, now);
    }

    void ask_to_refuse(member_id const& subject, eviction_work& work, instant now)
    {
        work.next_refuse = now + refuse_repeat;
        for (auto const& id : work.steps->missing())
        {
            if (id == opts.self)
                work.steps->on_refused(id, watcher.refuse(subject, now), now);
            else
                send(id, refuse{.subject = subject});
        }
    }

    // Deletes records of members that nothing refers to any more.
    void delete_gone(instant now)
    {
        for (auto const& [id, since] : gone_since)
        {
            auto const* m = copy.member(id);
            auto const name = member_object(id);
            if (m == nullptr || now - since < gone_record_kept || writer.busy(name) ||
                work_rank(copy, opts.self, "delete/" + id.node) != 0 || referred_to(id))
                continue;
            write({.name = name, .expected = copy.version_of(name), .value = {}}, now);
        }
        std::erase_if(gone_since, [&](auto const& entry)
                      { return copy.member(entry.first) == nullptr; });
    }

    bool referred_to(member_id const& id) const
    {
        for (auto const& entry : copy.members())
        {
            auto const& m = entry.second;
            if (m.state != member_state::gone &&
                std::find(m.watchers.begin(), m.watchers.end(), id) != m.watchers.end())
                return true;
        }
        for (auto const& service : opts.services)
            for (std::uint32_t shard = 0; shard < service.shards; ++shard)
                if (auto const* a = copy.find_assignment({service.name, shard});
                    a != nullptr && (a->owner == id || a->successor == id))
                    return true;
        return false;
    }

    // ---- chunks ----

    // Gone owners whose upstreams may still run a request.
    std::set<member_id> held_owners(instant now) const
    {
        std::set<member_id> held;
        if (opts.unfenced_wait > 0us)
            for (auto const& [id, since] : gone_since)
                if (now - since < opts.unfenced_wait)
                    held.insert(id);
        return held;
    }

    // This member's places among the keepers of chunks, by chunk object.
    void refresh_roles()
    {
        if (roles_generation == copy.member_generation() && !roles_stale)
            return;
        roles_generation = copy.member_generation();
        roles_stale = false;
        keeper_ranks.clear();
        auto const* self = own_record();
        listens = self != nullptr && is_listener(copy, *self);
        for (auto const& service : opts.services)
            for (std::uint32_t first = 0; first < service.shards;
                 first += shards_per_chunk)
            {
                auto const name = chunk_object(service.name, first);
                auto const rank = work_rank(copy, opts.self, "keep/" + name);
                if (rank && *rank < keepers)
                    keeper_ranks[name] = *rank;
            }
    }

    void keep_chunks(instant now)
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
            for (std::uint32_t first = 0; first < service.shards;
                 first += shards_per_chunk)
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

    void note_planned_moves(chunk_record const& next, instant now)
    {
        for (auto const& a : next.assignments)
            if (a.successor)
                last_planned_move = now;
    }

    void send_releases(instant now)
    {
        if (now < next_release_send)
            return;
        auto all = shards.releases();
        std::erase_if(
            all, [&](shard_release const& r)
            { return !confirmed.contains(r.shard) || confirmed[r.shard] != r.epoch; });
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

    // ---- messages ----

    void on(member_id const& from, renew const& m, instant now)
    {
        if (watcher.on_renew(from, now))
        {
            // It is alive: an eviction that has not been marked yet is dropped. Should
            // the mark land all the same, the eviction goes on from the record.
            writer.drop(member_object(from));
            send(from, renew_ack{.sequence = m.sequence,
                                 .permitted = now < watch_permission(),
                                 .revision = copy.revision()});
        }
        note_revision(from, m.revision, now);
    }

    void on(member_id const& from, renew_ack const& m, instant now)
    {
        lease.on_ack(from, m.sequence, m.permitted, now);
        note_revision(from, m.revision, now);
    }

    void on(member_id const& from, refuse const& m, instant now)
    {
        send(from,
             refused{.subject = m.subject, .elapsed = watcher.refuse(m.subject, now)});
    }

    void on(member_id const& from, refused const& m, instant now)
    {
        auto const it = evictions.find(m.subject);
        if (it != evictions.end() && it->second.steps)
            it->second.steps->on_refused(from, m.elapsed, now);
    }

    void on(member_id const& from, deltas const& m, instant now)
    {
        learn(m.from, m.to, m.objects, from, now);
    }

    void on(member_id const& from, pull const& m, instant /*now*/)
    {
        if (m.from < copy.revision())
            send(from, deltas{.from = m.from,
                              .to = copy.revision(),
                              .objects = copy.changed_since(m.from)});
    }

    void on(member_id const& /*from*/, released const& m, instant now)
    {
        for (auto const& r : m.shards)
        {
            auto const* a = copy.find_assignment(r.shard);
            if (a != nullptr && a->epoch <= r.epoch)
                announced[r.shard] = r.epoch;
        }
        next_plan = now;
        keep_chunks(now);
    }

    // ---- the store ----

    void read_store(instant now)
    {
        if (list_call || watch_call || now < next_store_read)
            return;
        if (at == phase::listing)
            list_call = call(store_list{});
        refresh_roles();
        if (at == phase::member && listens)
            watch_call = call(store_watch{.since = copy.revision()});
    }

    void back_off_reads(instant now)
    {
        ++counts.store_no_answers;
        auto const jitter = std::uniform_int_distribution<duration::rep>(
            store_backoff.count() / 2, store_backoff.count())(random);
        next_store_read = now + duration(jitter);
        store_backoff = std::min(2 * store_backoff, longest_store_backoff);
    }

    void on_read(bool listed, store_answer const& answer, instant now)
    {
        auto const* found = std::get_if<store_objects>(&answer);
        if (found == nullptr)
            return back_off_reads(now);
        store_backoff = 100ms;
        // A list holds all objects, a watch those after the revision that it named.
        learn(listed ? 0 : copy.revision(), found->revision, found->objects, std::nullopt,
              now);
        if (listed && at == phase::listing)
            register_self(now);
    }

    void on_decision(write_decision const& decision, instant now)
    {
        auto const& name = decision.write.name;
        if (name == member_object(opts.self))
            on_own_decision(decision, now);
        auto const version = decision.current.version;
        if (version > 0 && decision.accepted)
            learn(version - 1, version, {decision.current}, std::nullopt, now);
        else if (version > 0 && copy.apply(decision.current))
            after_conflict(decision.current, now);
    }

    void on_own_decision(write_decision const& decision, instant now)
    {
        if (decision.accepted)
            watchers_since = now;
        lease.end_change(decision.accepted);
        if (at != phase::registering)
            return;
        if (!decision.accepted)
            return end_membership(false); // evicted before it knew that it had joined
        at = phase::member;
        lease.set_watchers(std::get<member_record>(*decision.write.value).watchers);
    }

    void after_conflict(object const& current, instant now)
    {
        follow(current, now);
        refresh_subjects(now);
        effects.emplace_back(replica_changed{});
    }
};

coordinator::coordinator(coordinator_options opts)
    : m_impl(std::make_unique<impl>(std::move(opts)))
{
}

coordinator::~coordinator() = default;

void coordinator::start(instant now)
{
    m_impl->last_tick = now;
    m_impl->last_membership_change = now;
    if (m_impl->copy.revision() > 0)
        m_impl->resume(now);
    else
        m_impl->read_store(now);
}

void coordinator::on_message(member_id const& from, control_message const& message,
                             instant now)
{
    if (m_impl->at == impl::phase::ended)
        return;
    std::visit([&](auto const& m) { m_impl->on(from, m, now); }, message);
    if (m_impl->at == impl::phase::member)
        m_impl->send_releases(now);
}

void coordinator::on_store_answer(std::uint64_t call_id, store_answer const& answer,
                                  instant now)
{
    auto& s = *m_impl;
    if (s.at == impl::phase::ended)
        return;
    if (s.list_call == call_id || s.watch_call == call_id)
    {
        bool const listed = s.list_call == call_id;
        (listed ? s.list_call : s.watch_call).reset();
        s.on_read(listed, answer, now);
        s.read_store(now);
        return;
    }
    if (std::holds_alternative<store_no_answer>(answer))
        ++s.counts.store_no_answers;
    if (auto const decision = s.writer.on_answer(call_id, answer, now))
        s.on_decision(*decision, now);
}

void coordinator::tick(instant now)
{
    auto& s = *m_impl;
    if (s.at == impl::phase::ended)
        return;
    if (now - s.last_tick > pause_threshold)
    {
        ++s.counts.pauses;
        s.watcher.forgive(now);
    }
    s.last_tick = now;
    s.read_store(now);
    for (auto& c : s.writer.repeat(s.next_call_id, now))
    {
        ++s.counts.store_calls;
        s.effects.emplace_back(
            call_store{.id = c.id, .operation = std::move(c.operation)});
    }
    if (s.at != impl::phase::member)
        return;
    s.update_self(now);
    s.renew_lease(now);
    s.start_evictions(now);
    s.continue_evictions(now);
    s.send_releases(now);
    s.keep_chunks(now);
    s.delete_gone(now);
}

std::vector<effect> coordinator::take_effects()
{
    return std::exchange(m_impl->effects, {});
}

void coordinator::leave(instant now)
{
    m_impl->leaving = true;
    if (m_impl->at == impl::phase::listing)
        return m_impl->end_membership(true);
    if (m_impl->at == impl::phase::member)
        m_impl->update_self(now);
}

void coordinator::set_services(std::vector<keyed_service> services)
{
    m_impl->opts.services = std::move(services);
    m_impl->roles_stale = true;
}

void coordinator::set_targets(std::vector<target> targets)
{
    m_impl->opts.targets = std::move(targets);
}

admission_check coordinator::try_begin(shard_id const& shard, instant now)
{
    // The owner before may have acted on any object that was older than this assignment,
    // such as a configuration: none of them may be missing here.
    auto const first = shard.index / shards_per_chunk * shards_per_chunk;
    if (copy().revision() < copy().version_of(chunk_object(shard.service, first)))
        return not_yet{};
    return m_impl->shards.try_begin(shard, now, lease_until());
}

bool coordinator::may_send(shard_id const& shard, std::uint64_t epoch, instant now) const
{
    return m_impl->shards.may_send(shard, epoch, now, lease_until());
}

void coordinator::end(shard_id const& shard)
{
    if (m_impl->shards.end(shard))
        m_impl->note_drained(shard);
}

void coordinator::confirm_release(shard_release const& release, instant now)
{
    m_impl->confirmed[release.shard] = release.epoch;
    m_impl->next_release_send = now;
    m_impl->send_releases(now);
}

instant coordinator::lease_until() const
{
    if (m_impl->at != impl::phase::member)
        return instant::min();
    return m_impl->lease.valid_until();
}

replica const& coordinator::copy() const
{
    return m_impl->copy;
}

replica coordinator::take_copy()
{
    return std::move(m_impl->copy);
}

shard_ownership const& coordinator::shards() const
{
    return m_impl->shards;
}

coordinator_counts const& coordinator::counts() const
{
    return m_impl->counts;
}

member_id const& coordinator::self() const
{
    return m_impl->opts.self;
}

} // namespace buckthornusher
