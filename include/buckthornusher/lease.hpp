// The lease of a member, and the watchers that grant it.
//
// A member owns its shards only while its lease is valid. The lease is granted by a
// small set of other members, its watchers, which the member's record names. About once
// a second the member asks each watcher to renew. An ack to a request that the member
// sent at t0 counts until t0 + length on the member's own clock, and the lease is valid
// while acks of a majority of the watchers count. To end the lease of a member that does
// not answer, an evictor marks its record, has a majority of its watchers refuse all
// further acks, and waits until every ack that they gave has expired. A majority that
// renews and a majority that refuses share at least one watcher, so the lease is over
// after the wait, whatever the member itself assumes.
//
// Renewals do not involve the store, so leases survive a store outage of any length.
// Watchers keep soft state only.
//
// Acks are of two kinds, because a fleet could deadlock otherwise. Every ack extends the
// member's *permission to watch*; only acks from watchers that had that permission extend
// its *lease*. An evictor that cannot reach a watcher may count it as refusing once that
// watcher itself has been evicted and a lease duration has passed, because the watcher's
// permission has then expired. If acks required a lease instead of a permission, a fleet
// that starts (or resumes after a pause) could never obtain its first lease.
//
// Only durations on one process's clock are compared. `drift_ppm` bounds how much faster
// one clock runs than another; clocks that differ by more break the guarantee.
//
// Not thread-safe.
//
//   lease_holder lease(options, guards{});
//   lease.set_watchers({a, b, c});
//   auto const seq = lease.start_renewal(now);   // send `seq` to each watcher
//   lease.on_ack(a, seq, true, now);
//   if (now < lease.valid_until()) ...
//
// Cost: each operation is O(watchers).
#ifndef BUCKTHORNUSHER_LEASE_HPP
#define BUCKTHORNUSHER_LEASE_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/sent_times.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace buckthornusher
{

struct lease_options
{
    duration length = 2'400ms;
    duration renew_interval = 800ms;
    duration silence_timeout = 1'800ms; // without renewals, until eviction
    std::int64_t drift_ppm = 1'000;
    duration margin = 20ms;
    std::size_t watchers = 3;

    // The time that an evictor waits after a watcher's last ack.
    duration max_lease_duration() const
    {
        return length + length * drift_ppm / 1'000'000 + margin;
    }
};

// Safety rules of the protocol. Tests switch single rules off to show that their checks
// detect the violation. All rules are on everywhere else.
struct guards
{
    bool wait_after_refusal = true;
    bool check_incarnation = true; // acks of a restarted watcher do not count
    // Acks of a watcher without permission to watch do not extend the lease.
    bool watch_permission = true;
    bool permission_without_lease = true; // any ack gives permission to watch
    bool joint_majority = true;           // of both watcher sets during a change
    bool settle_lost_writes = true;       // writes are repeated until decided
    bool release_before_move = true;      // a successor waits for the owner's release
    bool check_before_send = true;        // the lease is checked again before bytes leave
    bool count_from_sending = true; // acks count from the request, not from their arrival
    // An evictor waits for leases granted by earlier watchers or to an earlier process. A
    // restarted process waits for the lease of its predecessor before it releases a
    // shard.
    bool wait_for_earlier_leases = true;
};

// The member's side.
class lease_holder
{
public:
    lease_holder(lease_options opts, guards g) : m_options(opts), m_guards(g) {}

    // Sets the accepted watchers. An empty set never gives a lease.
    void set_watchers(std::vector<member_id> const& watchers);

    // The store has been asked to replace the watchers. A majority of each set is
    // required until the result is known.
    void begin_watcher_change(std::vector<member_id> const& proposed);
    void end_watcher_change(bool accepted);
    bool watcher_change_pending() const { return m_proposed.has_value(); }

    // Starts a round of renewals and returns the sequence number to send.
    std::uint64_t start_renewal(instant now);

    // Ignores acks to unknown rounds and acks from members that are not watchers.
    void on_ack(member_id const& watcher, std::uint64_t sequence, bool permitted,
                instant now);

    // Ends the lease permanently. Called when the member sees that it is being evicted,
    // and before it announces that it has left.
    void revoke() { m_revoked = true; }

    // The lease is valid before this instant.
    instant valid_until() const;
    // Before this instant the member has permission to watch: its acks extend the leases
    // of other members.
    instant permitted_until() const;

    std::vector<member_id> const& watchers() const { return m_watchers; }
    // Members to send renewals to: the watchers and the proposed ones.
    std::vector<member_id> renewal_targets() const;
    // Sending time of the latest request that the watcher acked.
    std::optional<instant> last_ack(member_id const& watcher) const;
    // Returns when the round began; nothing if that is not known any more.
    std::optional<instant> sent_at(std::uint64_t sequence) const
    {
        return m_rounds.find(sequence);
    }

private:
    static constexpr std::size_t max_remembered_rounds = 8;

    struct ack_times
    {
        instant last;           // sending time of the latest request that was acked
        instant last_permitted; // the same, for acks from watchers with permission
    };

    instant majority_ack_time(std::vector<member_id> const& set,
                              instant ack_times::*kind) const;
    instant expiry(instant ack_times::*kind) const;

    lease_options m_options;
    guards m_guards;
    bool m_revoked = false;
    sent_times m_rounds{max_remembered_rounds};
    std::vector<member_id> m_watchers;
    std::optional<std::vector<member_id>> m_proposed;
    std::map<member_id, ack_times> m_ack_times;
};

// The watcher's side: the members that it acks and those that it has promised to refuse.
class lease_watcher
{
public:
    explicit lease_watcher(lease_options opts) : m_options(opts) {}

    // Sets the members whose live records name this one as a watcher. A refused member
    // stays refused even if an outdated copy of its record names this watcher.
    void set_subjects(std::vector<member_id> const& subjects, instant now);

    // Returns whether to ack the renewal. Only subjects that were not refused are acked.
    // `watcher_changes` is the number of watcher changes that the renewal carries.
    bool on_renew(member_id const& from, std::uint64_t watcher_changes, instant now);

    // Refuses the member permanently. Returns the time since the last ack to it, or
    // nothing if this watcher has acked no renewal with `watcher_changes` or more.
    std::optional<duration> refuse(member_id const& subject,
                                   std::uint64_t watcher_changes, instant now);

    // Drops the refusal of a member whose record is known to be gone. No later copy of
    // the record can be live.
    void forget(member_id const& gone) { m_refused.erase(gone); }

    // Subjects that have not renewed for longer than `silence_timeout`, longest first.
    std::vector<member_id> silent_subjects(instant now) const;

    // Restarts the silence timeout of all subjects. Called after this process was paused:
    // renewals may have been missed during the pause.
    void reset_silence(instant now);

private:
    lease_options m_options;
    // Time of the last renewal, or of the restart of the silence timeout.
    std::map<member_id, instant> m_subjects;
    std::set<member_id> m_refused; // disjoint from m_subjects
    struct sent_ack
    {
        instant sent_at;
        std::uint64_t watcher_changes = 0; // as carried by the renewal
    };
    // The last ack to each member until it expires. Former subjects are included, because
    // they may still have a lease from that ack.
    std::map<member_id, sent_ack> m_last_acks;
};

} // namespace buckthornusher

#endif
