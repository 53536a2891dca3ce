// The state of a coordinator, and what it does with each event.
//
// The parts stand in files by subject: coordinator.cpp (events, replica, store),
// coordinator_membership.cpp, coordinator_evictions.cpp and coordinator_chunks.cpp.
#ifndef BUCKTHORNUSHER_COORDINATION_COORDINATOR_IMPL_HPP
#define BUCKTHORNUSHER_COORDINATION_COORDINATOR_IMPL_HPP

#include "buckthornusher/coordinator.hpp"

#include "coordination/assigner.hpp"
#include "coordination/store_reader.hpp"
#include "coordination/store_writer.hpp"

#include <set>

namespace buckthornusher
{

// Members that may write a chunk or carry on an eviction, one after the other.
inline constexpr std::size_t max_workers_per_task = 3;
inline constexpr duration takeover_delay_per_rank = 500ms;

struct coordinator::impl
{
    // How remote this member has come. Each state is only left downwards.
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
        bool marked_here = false; // this member marked the record
        std::optional<eviction> steps;
        instant next_refuse;
    };

    explicit impl(coordinator_options o)
        : opts(std::move(o)), copy(std::move(opts.known)), lease(opts.lease, opts.guard),
          watcher(opts.lease), writer(opts.seed, opts.guard),
          shards(opts.guard, opts.granted_upstreams),
          fleet_reader({.kind = object_kind::fleet,
                        .watch_gap = fleet_watch_gap,
                        .seed = opts.seed}),
          config_reader({.kind = object_kind::configuration, .seed = opts.seed + 1})
    {
    }

    static constexpr duration fleet_watch_gap = 200ms;

    coordinator_options opts;
    replica copy;
    lease_holder lease;
    lease_watcher watcher;
    store_writer writer;
    shard_ownership shards;
    store_reader fleet_reader;
    store_reader config_reader;
    coordinator_counts counts;
    std::vector<effect> effects;

    phase current_phase = phase::listing;
    bool leaving = false;
    std::uint64_t next_call_id = 1;
    instant last_tick;
    instant started;
    std::optional<instant>
        last_contact;     // a remote member was last_reports, since the start
    bool resumed = false; // follows an incarnation that was evicted
    instant next_probe;
    std::size_t probes_sent = 0;
    std::vector<member_id>
        remote; // remote_members(), for one change_count of the members
    std::uint64_t remote_change_count = 0;
    instant next_renewal;
    instant next_watcher_change;
    instant next_member_review;
    instant next_registration;
    instant watchers_since;     // when the present watchers were accepted
    bool targets_known = false; // the upstreams have been received since the start
    // Of the record by which this process took over a generation: what its predecessor
    // may have acted on is known once the replica has come so remote.
    std::uint64_t takeover_version = 0;
    owner_id current_owner; // the present generation; none before the first
    // The earlier process's upstreams may run what it sent them: no shard is released
    // before, and the generation does not end.
    instant releases_from;

    std::map<member_id, eviction_work> evictions;
    std::map<member_id, instant> first_seen; // members in the replica
    std::map<owner_id, instant> gone_since;  // tenures seen here to be over
    instant last_membership_change;
    instant last_planned_move;

    struct received_load
    {
        service_load load;
        instant received;
    };
    std::map<std::string, received_load> loads; // by service

    release_table announced_releases; // releases that owners have sent to this keeper
    release_table confirmed_releases; // own releases whose state has been handed over
    std::map<std::string, instant>
        write_due_since; // by chunk object: since when it needs a write
    std::uint64_t planned_change_count = 0; // of the replica, at the last plan
    instant next_plan;
    instant next_release_send;
    std::size_t release_sends = 0;

    // Roles that on_object_changed from the members, for one change_count of them.
    std::uint64_t roles_change_count = 0;
    bool roles_stale = true;
    bool fleet_subscriber = false;                     // to the fleet's objects
    bool config_subscriber = false;                    // to the configuration
    std::map<std::string, std::size_t> assigner_ranks; // by chunk object

    instant config_watch_confirmed; // when some member was last seen to watch it

    std::optional<instant> behind_since; // a peer's replica is ahead_peer of ours
    std::optional<member_id> ahead_peer; // the last such peer, unless it has been asked
    std::uint64_t max_peer_revision = 0; // that a peer has had
    std::uint64_t max_peer_config_version = 0; // the same of the configuration's version
    instant next_pull;

    // ---- sending ----

    void send(member_id const& to, control_message message);

    std::uint64_t call(store_operation operation);

    void write(store_write w, instant now);

    void write_record(std::string const& name, record value, instant now);

    // ---- the replica ----

    member_record const* own_record() const { return copy.member(opts.self); }

    // Changes of (from, to] have come from the store or from `sender`.
    void apply_changes(std::uint64_t from, std::uint64_t to,
                       std::vector<object> const& objects,
                       std::optional<member_id> const& sender, instant now);

    // Consequences of one changed object.
    void on_object_changed(object const& o, instant now);

    void on_member_changed(member_record const& m, instant now);

    void on_shard_group_changed(shard_group_record const& c);

    void note_drained(shard_id const& shard);

    // Whether all is known that the node's earlier process may have acted on, such as a
    // move for which it has released a shard.
    bool has_takeover_state() const;

    // The present generation is that of this run of the upstream.
    bool owns_for_upstream(std::string const& service, std::string const& life) const;

    std::uint64_t group_version(shard_id const& shard) const; // of its assignment

    // Objects are missing that are older than the shard's assignment: the owner before
    // may have acted on any of them.
    bool has_gap_before(shard_id const& shard) const;

    // Whether nothing is missing that an earlier owner of the shard may have acted on.
    bool has_caught_up(shard_id const& shard);

    void refresh_subjects(instant now);

    // The configuration, from the store or from `sender`.
    void apply_config(std::vector<object> const& objects,
                      std::optional<member_id> const& sender, instant now);

    // Whom to tell what came from `sender`, or from the store if there is none.
    std::vector<member_id> forward_targets(std::optional<member_id> const& sender,
                                           object_kind kind) const;

    // A peer has applied more than we have; ask it if that does not pass by itself. A
    // peer that is behind as well says nothing about the others.
    void note_peer_revision(member_id const& peer, std::uint64_t revision,
                            std::uint64_t config_version, instant now);

    // Asks the peer that was ahead_peer, once for what it received.
    void pull_if_behind(instant now);

    // Nobody is asked again before `next_pull`.
    void send_pull(member_id const& peer, instant now);

    // The peer knows of an assignment of the shard at that epoch: asks it for the
    // assignment if it is news here, or for what is missing before it.
    void note_epoch(std::string const& peer, shard_id const& shard, std::uint64_t epoch,
                    instant now);

    // ---- membership and lease ----

    void end_membership(bool planned);

    void register_self(instant now);

    void retry_registration(instant now);

    // Begins with the objects that an earlier incarnation of this process knew.
    void resume(instant now);

    // The own record is in force: its watchers count, and its generation.
    void apply_own_record(member_record const& record, std::uint64_t version,
                          instant now);
    void begin_generation(owner_id const& owner);

    // An upstream that the record names has gone or has been started anew.
    bool upstream_lost(member_record const& record) const;

    // The generation cannot go on, and ends once nothing is in work any more.
    bool generation_ends() const;

    // Registers once all objects have been listed.
    void register_if_listed(instant now);

    // Watchers that have not acked for two rounds.
    std::vector<member_id> silent_watchers(instant now) const;

    // ---- cut off, with the store in reach ----
    //
    // A member that hears nobody, while the store hears it, would evict all whom it
    // watches, replace its watchers as soon as they are about to evict it, and come back
    // in a new incarnation once they have, each time with shards that it cannot serve.

    // Live members outside of this one's failure domain, or all others if there are less
    // than two other domains.
    std::vector<member_id> const& remote_members();
    bool is_remote(std::string const& node);
    // No member outside of the failure domain was last_reports for a while. After a long
    // one this member takes itself for the only one left.
    bool seems_cut_off(instant now);
    // It was evicted, and may still be cut off. Not for ever.
    bool waits_for_contact(instant now);
    // Asks some members, in turn, so that one that can be reached is last_reports.
    void probe_members(instant now);

    // Brings this member's own record up to date, one write at a time.
    void update_self(instant now);

    // No assignment names this member, and nothing runs here.
    bool has_left() const;

    void renew_lease(instant now);

    instant watch_permission() const;

    // ---- evictions ----

    void start_eviction(member_id const& subject, instant now);

    void start_evictions(instant now);

    // The member's watchers begin one after the other, so that mostly one does.
    bool is_evictor_turn(member_record const& m, instant now) const;

    // Whether this member drives_eviction the eviction on. Others take over from one that
    // fails.
    bool drives_eviction(member_id const& subject, eviction_work const& work,
                         instant now) const;

    void continue_evictions(instant now);

    void note_gone_watchers(member_id const& subject, eviction& steps, instant now) const;

    void send_refuse(member_id const& subject, eviction_work& work, instant now);

    // Deletes records of members that nothing refers to any more.
    void delete_gone(instant now);

    bool referred_to(member_record const& gone) const;

    // ---- chunks ----

    // Owners of shards that are gone and whose upstreams may still run a request.
    std::set<owner_id> unfenced_owners(instant now);

    // This member's places among the max_workers_per_task of chunks, by chunk object.
    void refresh_roles();

    void write_assignments(instant now);

    void note_planned_moves(shard_group_record const& next, instant now);

    void send_releases(instant now);

    // What owners have reported of the service, null if that is too old.
    service_load const* recent_load(std::string const& service, instant now);

    plan_options planning_for(service_load const* load, instant now) const;

    void send_load(load_report const& report, instant now);

    // ---- messages ----

    void on(member_id const& from, load_report const& m, instant now);

    void on(member_id const& from, renew const& m, instant now);

    void on(member_id const& from, renew_ack const& m, instant now);

    void on(member_id const& from, refuse const& m, instant now);

    void on(member_id const& from, refused const& m, instant now);

    void on(member_id const& from, deltas const& m, instant now);

    void on(member_id const& from, pull const& m, instant /*now*/);

    void on(member_id const& /*from*/, released const& m, instant now);

    // ---- the store ----

    void read_store(instant now);

    // A peer of that configuration knows who watches it.
    void note_config_age(std::uint64_t version, duration age, instant now);

    // Those who would tell of changes do not answer: the store has to be asked.
    bool is_unacknowledged(instant now) const;

    void on_fleet_read(std::uint64_t call_id, store_answer const& answer, instant now);

    void on_config_read(std::uint64_t call_id, store_answer const& answer, instant now);

    void on_decision(write_decision const& decision, instant now);

    void on_own_decision(write_decision const& decision, instant now);

    void after_conflict(object const& current, instant now);
};

} // namespace buckthornusher

#endif
