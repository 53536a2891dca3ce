// One member's coordination logic, without sockets, clocks or threads.
//
// The coordinator registers the member, renews its lease, watches other members, evicts
// those that fall silent, keeps a replica of the store's objects and forwards changes to
// peers, assigns shards to owners, and knows which shards this member serves.
//
// The embedder feeds events and executes effects:
//
//   coordinator c({.self = {"node-1", incarnation},
//                  .endpoint = "tcp://10.0.0.1:7000", ...});
//   c.start(now);
//   c.on_message(from, message, now);      // a peer's message
//   c.on_store_answer(call_id, answer, now);
//   c.tick(now);                           // about every 100 ms
//   for (auto& e : c.take_effects()) ...   // after each call above
//
// Messages may be lost, duplicated, delayed and reordered. A store call whose outcome is
// unknown is answered with store_no_answer. `now` must not go back; a long gap between
// ticks is treated as a pause of this process.
//
// The effect `membership_ended` means that this incarnation's lease was ended by other
// members, or that it left. The coordinator does nothing further; create a new one with a
// higher incarnation.
//
// Cost of a tick: O(watchers + subjects + evictions + pending writes). When the replica
// has changed, additionally O(members * shard groups), and the cost of plan() for members
// that assign shards.
#ifndef BUCKTHORNUSHER_COORDINATOR_HPP
#define BUCKTHORNUSHER_COORDINATOR_HPP

#include "buckthornusher/config_standing.hpp"
#include "buckthornusher/evacuation.hpp"
#include "buckthornusher/eviction.hpp"
#include "buckthornusher/lease.hpp"
#include "buckthornusher/messages.hpp"
#include "buckthornusher/ownership.hpp"
#include "buckthornusher/planner.hpp"
#include "buckthornusher/replica.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornusher
{

struct coordinator_options
{
    member_id self;
    std::string endpoint;
    std::string region;
    std::string domain;
    std::vector<target> targets;
    std::vector<keyed_service> services;
    // Time to wait after the loss of an owner before its shards are reassigned: zero if
    // the upstreams check epochs, otherwise the duration of the longest request.
    duration unfenced_wait = 0ms;
    // A new owner must not act on an older configuration than the previous owner did.
    bool ordered_configuration = false;
    // The upstreams serve only the shards granted to them and are told of a move first:
    // the embedder calls begin_drain() for shards that are to move. Without grants, a new
    // incarnation of an upstream accepts requests meant for the previous one.
    bool granted_upstreams = false;
    // A member reads the configuration from the store itself, and denies nothing, if it
    // does not know that its version was the store's newest within this time.
    duration max_config_age = 2s;
    // How long the store holds a watch of the configuration open without changes.
    duration config_watch_wait = 2s;
    // From then on after an evacuation was accepted no request reaches an upstream of the
    // domain; see evacuation.hpp. 0: evacuations are not read.
    duration evacuation_bound{0};
    lease_options lease;
    plan_options planning;
    guards guard;
    std::uint64_t seed = 0; // of the jitter
    // The replica of the previous incarnation in this process, so that known state never
    // goes back.
    replica known = {};
};

// ---- effects ----

struct send_message
{
    member_id to;
    control_message message;
    friend bool operator==(send_message const&, send_message const&) = default;
};

struct call_store
{
    std::uint64_t id = 0;
    store_operation operation;
    friend bool operator==(call_store const&, call_store const&) = default;
};

// The replica has changed: routes, owners or the configuration may differ.
struct replica_changed
{
    friend bool operator==(replica_changed const&, replica_changed const&) = default;
};

// This member's lease was ended by other members, or the member has left.
struct membership_ended
{
    bool planned = false;
    friend bool operator==(membership_ended const&, membership_ended const&) = default;
};

// A shard has drained for its successor. The embedder hands over the shard's state and
// then calls confirm_release(); until then the release is not announced.
struct shard_drained
{
    shard_release release;
    owner_id successor;
    friend bool operator==(shard_drained const&, shard_drained const&) = default;
};

using effect = std::variant<send_message, call_store, replica_changed, membership_ended,
                            shard_drained>;

// Counters since the start, for metrics and tests.
struct coordinator_counts
{
    std::uint64_t renewals = 0;
    std::uint64_t evictions_started = 0;
    std::uint64_t evictions_finished = 0;
    // Gauge: evictions run by this member in which no majority of the watchers has
    // refused or is gone yet.
    std::uint64_t evictions_waiting = 0;
    std::uint64_t watcher_changes = 0;
    std::uint64_t pauses = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t store_no_answers = 0;
    std::uint64_t shard_group_writes = 0;
    std::uint64_t pulls = 0;
    std::uint64_t config_questions = 0; // asked, see config_sync
    // Messages with the configuration's document, and the bytes of these documents.
    std::uint64_t config_documents_sent = 0;
    std::uint64_t config_bytes_sent = 0;
    std::uint64_t config_documents_received = 0;
    std::uint64_t config_bytes_received = 0;
    std::uint64_t evacuation_digests_sent = 0;
    std::uint64_t evacuation_stand_ins = 0; // times that evidence was found too old
    std::uint64_t store_era_rises = 0;      // the store came back from an older copy
    std::uint64_t records_restored = 0;     // writes of what it had forgotten
    friend bool operator==(coordinator_counts const&,
                           coordinator_counts const&) = default;
};

// Which store objects this member watches, and the time since its configuration is known
// to have been the store's newest; an hour if nothing is known.
struct store_subscriptions
{
    bool fleet = false;
    bool configuration = false;
    duration config_age{0};
    bool evacuations = false;
    duration evacuation_age{0}; // the same, of the evacuations
    friend bool operator==(store_subscriptions const&,
                           store_subscriptions const&) = default;
};

class coordinator
{
public:
    explicit coordinator(coordinator_options opts);
    ~coordinator();
    coordinator(coordinator const&) = delete;
    coordinator& operator=(coordinator const&) = delete;

    void start(instant now);
    void on_message(member_id const& from, control_message const& message, instant now);
    // Notes that a message of another kind came from a peer (a node name), which shows
    // that this member is not cut off.
    void note_contact(std::string const& peer, instant now);
    void on_store_answer(std::uint64_t call_id, store_answer const& answer, instant now);
    void tick(instant now);
    std::vector<effect> take_effects();

    // Gives up all shards by planned moves, then leaves. Ends with membership_ended.
    void leave(instant now);

    // Sets the keyed services of a new configuration and its safety requirements; see
    // coordinator_options.
    void set_services(std::vector<keyed_service> services, duration unfenced_wait,
                      bool ordered_configuration);
    // Sets the upstreams beside this node and updates the member's record. Until the
    // first call, a restarted member keeps the upstreams in its record. If one of them is
    // missing or has another incarnation, the member begins a new generation without
    // shards; the caller must ensure that no grant of the old incarnation is still in
    // force.
    void set_targets(std::vector<target> targets);
    // Sets the upstreams that have announced their exit, for the member's record. The
    // record keeps those that it has, up to the limit of upstream_history.hpp.
    void set_departed(std::vector<upstream_incarnation> departed);
    // Returns the node's record, by this or an earlier process. Null if there is none.
    member_record const* node_record() const;
    // Whether node_record() is known: the store's objects, or a peer's, have been read.
    bool knows_node_record() const { return copy().revision() > 0; }

    // Reports the request rates of this member's shards; call about once a second.
    void report_load(load_report const& report, instant now);

    // ---- requests ----
    // Notes that a request for the shard came from a peer (a node name) that knows an
    // owner at that epoch. Call before try_begin().
    void note_epoch(std::string const& peer, shard_id const& shard, std::uint64_t epoch,
                    instant now);
    admission_check try_begin(shard_id const& shard, instant now);
    bool may_send(shard_id const& shard, std::uint64_t epoch, instant now) const;
    void end(shard_id const& shard);

    // Stops admitting requests for a shard that has a successor. Only with
    // granted_upstreams.
    void begin_drain(shard_id const& shard);
    // Returns the owned shards that the given incarnation of the upstream may serve.
    // Returns nothing while the member has no lease, lacks state it must know, or owns
    // shards for another incarnation.
    std::optional<std::vector<owned_shard>>
    servable(std::string const& service, std::string const& incarnation, instant now);
    // The shard's state was handed over, or the handover was abandoned.
    void confirm_release(shard_release const& release, instant now);

    instant lease_until() const;
    store_subscriptions subscriptions(instant now) const;
    // Whether a denial may be based on the configuration. Also asks for evidence if there
    // is none.
    config_standing verify_config(instant now);
    // Returns the answer to a pull from any member, known or not.
    deltas answer(pull const& request);
    // Returns what a member that pulls is told of evacuations, as a message of its own;
    // nothing if there were none.
    std::optional<deltas> known_evacuations() const;
    // Returns nothing if the domain is not evacuated.
    std::optional<evacuation_window> evacuation(std::string const& domain) const;
    // The node from which the present configuration came; empty: the store.
    std::string const& config_sender() const;
    replica const& copy() const;
    // For `known` of the next incarnation, once this one has ended.
    replica take_copy();
    shard_ownership const& shards() const;
    owner_id owner() const; // none before the member has joined
    coordinator_counts const& counts() const;
    member_id const& self() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
