// One member's part in the fleet: the decisions, without sockets, clocks or threads.
//
// The coordinator joins the fleet, keeps its lease, watches others, ends the leases of
// those that fall silent, keeps its replica of the store's objects and passes changes
// on, places shards, and knows which shards this member serves.
//
// The embedder feeds events and carries out effects:
//
//   coordinator c({.self = {"node-1", incarnation}, .endpoint = "tcp://10.0.0.1:7000",
//   ...}); c.start(now); c.on_message(from, message, now);      // a peer's message
//   c.on_store_answer(call_id, answer, now);
//   c.tick(now);                           // every 100 ms or so
//   for (auto& e : c.take_effects()) ...   // after each of the above
//
// Messages may be lost, doubled, delayed and reordered. A store call may be answered
// with store_no_answer when its fate is unknown. `now` must not go back; a long gap
// between ticks is taken for a pause of this process.
//
// When effect `membership_ended` is seen the coordinator is dead: others have ended its
// lease. Make a new one with a higher incarnation.
//
// Cost of a tick: O(watchers + subjects + evictions + pending writes), and when the
// replica has changed O(members * chunks), for the members that place shards also the
// cost of plan().
#ifndef BUCKTHORNUSHER_COORDINATOR_HPP
#define BUCKTHORNUSHER_COORDINATOR_HPP

#include "buckthornusher/eviction.hpp"
#include "buckthornusher/lease.hpp"
#include "buckthornusher/messages.hpp"
#include "buckthornusher/ownership.hpp"
#include "buckthornusher/planner.hpp"
#include "buckthornusher/replica.hpp"

#include <cstdint>
#include <memory>
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
    // A shard of a lost owner is given away no earlier than this after the loss: zero if
    // the upstreams check epochs, otherwise the longest request.
    duration unfenced_wait = 0ms;
    // A new owner must not act on an older configuration than the owner before.
    bool ordered_configuration = false;
    // The upstreams serve only what they are granted, and are told of a move first: the
    // embedder calls begin_drain() for shards that are to move. Otherwise a new life of
    // an upstream takes orders that were meant for the one before.
    bool granted_upstreams = false;
    // A member that knows of nobody who watches the configuration for so long watches it
    // itself.
    duration max_config_watch_gap = 2s;
    lease_options lease;
    plan_options planning;
    guards guard;
    std::uint64_t seed = 0; // of the jitter
    // What an earlier incarnation in this process knew, so that nothing known goes back.
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

// This member's lease has been ended by others, or it has left.
struct membership_ended
{
    bool planned = false;
    friend bool operator==(membership_ended const&, membership_ended const&) = default;
};

// A shard has drained for its successor. The embedder hands over what belongs to the
// shard and then calls confirm_release(); until then the release is not announced.
struct shard_drained
{
    shard_release release;
    owner_id successor;
    friend bool operator==(shard_drained const&, shard_drained const&) = default;
};

using effect = std::variant<send_message, call_store, replica_changed, membership_ended,
                            shard_drained>;

// Counts since the start, for metrics and tests.
struct coordinator_counts
{
    std::uint64_t renewals = 0;
    std::uint64_t evictions_started = 0;
    std::uint64_t evictions_finished = 0;
    std::uint64_t evictions_waiting = 0; // now: no majority of watchers has confirmed
    std::uint64_t watcher_changes = 0;
    std::uint64_t pauses = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t store_no_answers = 0;
    std::uint64_t shard_group_writes = 0;
    std::uint64_t pulls = 0;
    friend bool operator==(coordinator_counts const&,
                           coordinator_counts const&) = default;
};

// Which objects of the store this member watches, and for how long at most nobody may
// have watched the configuration.
struct store_subscriptions
{
    bool fleet = false;
    bool configuration = false;
    duration config_age{0};
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
    // A message of another kind has come from a peer (a node's name): perhaps this member
    // is not cut off.
    void note_contact(std::string const& peer, instant now);
    void on_store_answer(std::uint64_t call_id, store_answer const& answer, instant now);
    void tick(instant now);
    std::vector<effect> take_effects();

    // Gives up all shards by planned moves, then leaves. Ends with membership_ended.
    void leave(instant now);

    // Keyed services of a new configuration, and what they ask for; see
    // coordinator_options.
    void set_services(std::vector<keyed_service> services, duration unfenced_wait,
                      bool ordered_configuration);
    // The upstreams beside this node; the member's record follows. Until the first call a
    // restarted member goes on with those that its record names. If one of them has gone
    // or has another life, the member begins a new generation, without shards; so the
    // caller must be sure that nothing that the old life was granted is still held.
    void set_targets(std::vector<target> targets);

    // What this member's shards are asked for; to be told about once a second.
    void report_load(load_report const& report, instant now);

    // ---- requests ----
    // A request for the shard came from a peer (a node's name) that knows of an owner at
    // that epoch; to be called before try_begin().
    void note_epoch(std::string const& peer, shard_id const& shard, std::uint64_t epoch,
                    instant now);
    admission_check try_begin(shard_id const& shard, instant now);
    bool may_send(shard_id const& shard, std::uint64_t epoch, instant now) const;
    void end(shard_id const& shard);

    // Of a shard with a successor: no further requests from now on. Only with
    // granted_upstreams.
    void begin_drain(shard_id const& shard);
    // What this member owns and that run of its upstream may serve; nothing while the
    // member has no lease, has not learnt all that it must, or owns for another run.
    std::optional<std::vector<owned_shard>>
    servable(std::string const& service, std::string const& life, instant now);
    // The shard's state has been handed over, or given up on.
    void confirm_release(shard_release const& release, instant now);

    instant lease_until() const;
    store_subscriptions subscriptions(instant now) const;
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
