// The state of a coordinator, and its handlers for each event.
//
// The implementation is split by subject: coordinator.cpp (events, replica, store),
// coordinator_config.cpp, coordinator_evacuations.cpp, coordinator_membership.cpp,
// coordinator_evictions.cpp, coordinator_assignments.cpp and coordinator_eras.cpp.
#ifndef BUCKTHORNUSHER_COORDINATION_COORDINATOR_IMPL_HPP
#define BUCKTHORNUSHER_COORDINATION_COORDINATOR_IMPL_HPP

#include "buckthornusher/coordinator.hpp"

#include "buckthornusher/store_rewind.hpp"
#include "coordination/assigner.hpp"
#include "coordination/config_sync.hpp"
#include "coordination/evacuation_sync.hpp"
#include "coordination/placement_gate.hpp"
#include "coordination/store_reader.hpp"
#include "coordination/store_writer.hpp"

#include <set>

namespace buckthornusher
{

// Number of members that may write a shard group or continue an eviction. They are
// ranked; each rank waits for takeover_delay_per_rank longer than the one before it.
inline constexpr std::size_t max_workers_per_task = 3;
inline constexpr duration takeover_delay_per_rank = 500ms;
// Sent and logged as an age if nothing is known of the store.
inline constexpr duration unknown_age = 1h;

struct coordinator::impl
{
    // The phase of the membership; phases are entered in this order only, except that a
    // conflicting registration returns to listing.
    enum class phase
    {
        listing,     // reads the store's objects
        registering, // writes its own record
        member,
        ended,
    };

    // An eviction of another member, as seen by this member.
    struct eviction_work
    {
        instant first_seen;
        bool marked_here = false; // this member started the eviction
        std::optional<eviction> procedure;
        instant next_refuse;
    };

    explicit impl(coordinator_options o)
        : opts(std::move(o)), copy(std::move(opts.known)), lease(opts.lease, opts.guard),
          watcher(opts.lease), writer(opts.seed, opts.guard),
          shards(opts.guard, opts.granted_upstreams),
          fleet_reader({.kind = object_kind::fleet,
                        .watch_gap = fleet_watch_gap,
                        .seed = opts.seed}),
          config_reader({.kind = object_kind::configuration,
                         .watch_wait = opts.config_watch_wait,
                         .seed = opts.seed + 1}),
          evacuation_reader(
              {.kind = object_kind::evacuations,
               .watch_wait = evacuation_times_for(opts.evacuation_bound).watch_wait,
               .seed = opts.seed + 2}),
          config({.max_age = opts.max_config_age}), evacuations(opts.evacuation_bound),
          era(opts.lease.max_lease_duration() + restore_time)
    {
        config.hold(copy.version_of(config_object));
        for (auto const& domain : copy.evacuated_domains())
            evacuations.note_old(domain);
    }

    static constexpr duration fleet_watch_gap = 200ms;
    // In which members learn that the store came back, and write again what it forgot.
    static constexpr duration restore_time = 3s;

    coordinator_options opts;
    replica copy;
    lease_holder lease;
    lease_watcher watcher;
    store_writer writer;
    shard_ownership shards;
    store_reader fleet_reader;
    store_reader config_reader;
    store_reader evacuation_reader; // makes no calls unless evacuations are read
    config_sync config;
    evacuation_sync evacuations;
    rewind_guard era;      // of the store
    instant restores_from; // when to write again what the store forgot
    coordinator_counts counts;
    std::vector<effect> effects;

    phase current_phase = phase::listing;
    bool leaving = false;
    std::uint64_t next_call_id = 1;
    instant last_tick;
    instant started;
    std::optional<instant> last_contact; // when a remote member was last heard
    bool resumed = false;                // follows an incarnation that was evicted
    instant next_probe;
    std::size_t probes_sent = 0;
    std::vector<member_id> remote; // cached remote_members()
    std::uint64_t remote_change_count = 0;
    instant next_renewal;
    instant next_watcher_review;
    instant next_watcher_change; // while a majority of the present ones is left
    instant next_member_review;
    instant next_registration;
    instant watchers_since;                     // when the current watchers were accepted
    bool targets_known = false;                 // set_targets() was called
    std::vector<upstream_incarnation> departed; // for the own record
    // Version of the record by which this process took over a generation. Once the
    // replica has reached it, everything the earlier process may have acted on is known.
    std::uint64_t takeover_version = 0;
    owner_id current_owner; // owner id of the current generation; none before the first
    // No shard is released and the generation does not end before this time, because the
    // upstreams may still run requests of the earlier process.
    instant releases_from;

    std::map<member_id, eviction_work> evictions;
    std::map<member_id, instant> first_seen; // when a member entered the replica
    std::map<owner_id, instant> gone_since; // when a generation was first seen to be over
    instant last_planned_move;

    struct received_load
    {
        service_load load;
        instant received;
    };
    std::map<std::string, received_load> loads;  // by service
    std::map<std::string, placement_gate> gates; // by service

    release_table announced_releases; // received as assigner
    release_table confirmed_releases; // own releases whose state was handed over
    std::map<std::string, instant> write_due_since; // by shard group object
    std::uint64_t planned_change_count = 0;         // of the replica, at the last plan
    instant next_plan;
    instant next_release_send;
    std::size_t release_sends = 0;
    std::set<shard_id> to_announce; // confirmed, not sent yet
    instant announced_at;           // when the latest of them was confirmed

    // Roles derived from the members, cached per change of the member records.
    std::uint64_t roles_change_count = 0;
    bool roles_stale = true;
    bool fleet_subscriber = false;  // of fleet objects
    std::size_t region_rank = 0;    // among the region's candidates for subscriptions
    bool config_subscriber = false; // of the configuration
    std::map<std::string, std::size_t> assigner_ranks; // by shard group object

    std::string config_sender;     // of the present configuration; empty: the store
    instant config_stand_in_until; // subscribes until then without being chosen

    // When a change that this replica lacks was first heard of.
    std::optional<instant> behind_since;
    std::optional<member_id> ahead_peer; // last such peer not yet sent a pull
    std::uint64_t max_peer_revision = 0; // highest revision seen at a peer
    instant next_pull;
    instant stand_in_until; // subscribes until then in place of the region's subscriber

    // ---- sending ----

    void send(member_id const& to, control_message message);

    std::uint64_t call(store_operation operation);

    void write(store_write w, instant now);

    void write_record(std::string const& name, record value, instant now);

    // ---- the replica ----

    member_record const* own_record() const { return copy.member(opts.self); }

    // Applies and forwards changes of (from, to] from the store or from `sender`.
    void apply_changes(std::uint64_t from, std::uint64_t to,
                       std::vector<object> const& objects,
                       std::optional<member_id> const& sender, instant now);

    // Updates the state derived from one changed object.
    void on_object_changed(object const& o, instant now);

    void on_member_changed(member_record const& m, instant now);

    void on_shard_group_changed(shard_group_record const& c);

    void note_drained(shard_id const& shard);

    // Whether everything is known that the node's earlier process may have acted on, such
    // as a move for which it has released a shard.
    bool has_takeover_state() const;

    // Whether the current generation owns shards for this incarnation of the upstream.
    bool owns_for_upstream(std::string const& service,
                           std::string const& incarnation) const;

    // Returns the version of the object that holds the shard's assignment.
    std::uint64_t group_version(shard_id const& shard) const;

    // Whether objects older than the shard's assignment are missing. The previous owner
    // may have acted on any of them.
    bool has_gap_before(shard_id const& shard) const;

    // Whether nothing is missing that an earlier owner of the shard may have acted on.
    bool has_caught_up(shard_id const& shard);

    void refresh_subjects(instant now);

    // Applies and forwards a configuration from the store or from `sender`.
    void apply_config(std::vector<object> const& objects,
                      std::optional<member_id> const& sender, instant now);

    // Returns the members to which changes from `sender`, or from the store if there is
    // none, are forwarded.
    std::vector<member_id> forward_targets(std::optional<member_id> const& sender,
                                           object_kind kind) const;

    // Notes a peer's revision. If the peer is ahead, sends it a pull unless the missing
    // changes arrive within the pull delay. A message from another peer that is not ahead
    // does not cancel the pull.
    void note_peer_revision(member_id const& peer, std::uint64_t revision, instant now);

    // Notes a peer's version of the configuration, and fetches it if it is later.
    void note_config_version(member_id const& peer, std::uint64_t version, instant now);

    // Fetches a later configuration from a peer that has it, if that is due.
    void fetch_config(instant now);

    // Asks a member that may watch the store how current the configuration is, if that is
    // due.
    void ask_config(instant now);

    // Returns the answer to a pull, and counts the documents sent.
    deltas answer(pull const& request);

    // Returns what this member knows; `sequence`: of the question, 0 if there was none.
    config_status status_for(std::uint64_t sequence, instant now) const;

    // The age for messages and logs, which have no value for "unknown".
    duration config_age(instant now) const;

    // Sends one pull to the last peer seen ahead, once the pull delay has passed.
    void pull_if_behind(instant now);

    // Sends a pull and sets `next_pull`, before which no further pull is sent.
    void send_pull(member_id const& peer, instant now);

    // The peer knows an assignment of the shard at that epoch: requests the assignment if
    // it is unknown here, or the changes missing before it.
    void note_epoch(std::string const& peer, shard_id const& shard, std::uint64_t epoch,
                    instant now);

    // ---- the store came back from an older copy ----

    // Notes the era of a version from the store or from a peer.
    void learn_era(std::uint64_t version, instant now);
    // The version of the object in the store; 0 if the store has forgotten it.
    std::uint64_t store_version(std::string const& name) const;
    // Continues the write of the own record, whose outcome must become known, in this
    // era.
    void rebase_own_record(instant now);
    // Whether the generation of the node's record may be taken over. By the copy that the
    // store came back from it may own shards that it has lost.
    bool may_inherit(member_record const& before) const;
    // Writes again what this member knows and the store does not.
    void restore_forgotten(instant now);
    era_rule assignment_rule(instant now) const;

    // ---- evacuations ----

    void read_evacuations(instant now);
    void on_evacuations_read(std::uint64_t call_id, store_answer const& answer,
                             instant now);
    // Returns whether any of the objects brought something new.
    bool apply_evacuations(std::vector<object> const& objects, instant now);
    // Applies and relays a digest, if the objects are one.
    void apply_digest(std::vector<object> const& objects, member_id const& sender,
                      instant now);
    // Returns all evacuations. `current`: they have just been read.
    deltas evacuation_digest(bool current) const;
    void send_digest(std::optional<member_id> const& sender, bool current);

    // ---- membership and lease ----

    void end_membership(bool planned);

    void register_self(instant now);

    void retry_registration(instant now);

    // Starts from the replica of an earlier incarnation of this process.
    void resume(instant now);

    // The own record was accepted: its watchers and its generation are in force.
    void apply_own_record(member_record const& record, std::uint64_t version,
                          instant now);
    void begin_generation(owner_id const& owner);

    // Whether the service may have shards. True as long as no service is known.
    bool may_have_shards(std::string const& service) const;

    // Whether an upstream in the record is missing or has another incarnation. One of a
    // service without shards doesn't count: the generation owns nothing for it.
    bool upstream_lost(member_record const& record) const;

    // Whether the generation must end once its last request has finished.
    bool generation_ends() const;

    // Registers once all objects have been listed.
    void register_if_listed(instant now);

    // Whether a change is known and missing although there was time to pull it.
    bool is_behind_for_long(instant now) const;

    // Watchers that have not acked within two renewal intervals.
    std::vector<member_id> silent_watchers(instant now) const;

    // ---- network isolation with the store reachable ----
    //
    // A member that can reach the store but no other member would evict all its subjects,
    // replace its watchers whenever they are about to evict it, and rejoin in a new
    // incarnation after each eviction, each time with shards that it cannot serve.

    // Live members outside this member's failure domain, or all others if there are fewer
    // than two other domains.
    std::vector<member_id> const& remote_members();
    bool is_remote(std::string const& node);
    // Whether no remote member was heard for more than a renewal interval. False again
    // after `assume_sole_member_after`: this member then assumes that it is the only one
    // left.
    bool seems_cut_off(instant now);
    // Whether this node was evicted and has not heard a remote member since, up to a
    // maximum wait.
    bool waits_for_contact(instant now);
    // Sends pulls to some remote members in turn, so that any reachable one answers.
    void probe_members(instant now);

    // Returns the recorded departures with those of this process.
    std::vector<upstream_incarnation>
    with_departures(std::vector<upstream_incarnation> recorded) const;

    // Updates this member's own record, one write at a time.
    void update_self(instant now);

    // Whether no assignment names this member as owner and no request runs here.
    bool may_review_watchers(instant now);
    bool has_left() const;

    void renew_lease(instant now);

    instant watch_permission() const;

    // ---- evictions ----

    void start_eviction(member_id const& subject, instant now);

    void start_evictions(instant now);

    // The member's watchers start the eviction at staggered times, so that usually only
    // one of them does.
    bool is_evictor_turn(member_record const& m, instant now) const;

    // Whether this member executes the eviction. Other members take over if the one that
    // started it fails.
    bool drives_eviction(member_id const& subject, eviction_work const& work,
                         instant now) const;

    void continue_evictions(instant now);

    void note_gone_watchers(member_id const& subject, eviction& procedure,
                            instant now) const;

    void send_refuse(member_id const& subject, eviction_work& work, instant now);

    // Deletes records of members gone for the retention period, once nothing refers to
    // them.
    void delete_gone(instant now);

    bool is_referenced(member_record const& gone) const;

    // ---- shard groups ----

    // Owners that are gone but whose unfenced upstreams may still run a request.
    std::set<owner_id> unfenced_owners(instant now);

    // Updates this member's ranks as assigner of the shard groups and its subscriptions.
    void refresh_roles();

    void write_assignments(instant now);

    void note_planned_moves(shard_group_record const& next, instant now);

    // Own releases that are confirmed and not yet visible in the shard map.
    std::vector<shard_release> unsettled_releases() const;
    // Sends each release to the assigner of that rank of its shard group. Only the first
    // assigner, rank 0, acts without a delay.
    void send_releases_to(std::size_t rank, std::vector<shard_release> const& releases,
                          instant now);
    // Sends the releases confirmed since the last call to their first assigners: those of
    // one moment together, so that one write moves them, and no earlier ones.
    void announce_releases();
    void repeat_releases(instant now); // sends unsettled ones again

    // Returns the load reported by the owners of the service; null if it is too old.
    service_load const* recent_load(std::string const& service, instant now);

    plan_options planning_for(service_load const* load, plan_input const& input,
                              instant targets_changed, instant now) const;

    void send_load(load_report const& report, instant now);

    // ---- messages ----

    void on(member_id const& from, load_report const& m, instant now);

    void on(member_id const& from, renew const& m, instant now);

    void on(member_id const& from, renew_ack const& m, instant now);

    void on(member_id const& from, refuse const& m, instant now);

    void on(member_id const& from, refused const& m, instant now);

    void on(member_id const& from, deltas const& m, instant now);

    void on(member_id const& from, pull const& m, instant /*now*/);

    void on(member_id const& from, config_question const& m, instant now);

    void on(member_id const& from, config_status const& m, instant now);

    void on(member_id const& /*from*/, released const& m, instant now);

    // ---- the store ----

    void read_store(instant now);

    // Notes the age of the last known watch, as reported by a peer with the same
    // configuration.

    // Whether the lease has not been extended for two renewal intervals: changes may not
    // arrive from peers either, so the store must be watched directly.
    bool renewals_unacknowledged(instant now) const;

    void on_fleet_read(std::uint64_t call_id, store_answer const& answer, instant now);

    void on_config_read(std::uint64_t call_id, store_answer const& answer, instant now);

    void on_decision(write_decision const& decision, instant now);

    void on_own_decision(write_decision const& decision, instant now);

    void after_conflict(object const& current, instant now);
};

} // namespace buckthornusher

#endif
