// The lease of a member, and the watchers that grant it.
//
// A member owns its shards only while its lease runs. The lease is kept by a small
// set of other members, its watchers, named in the member's record. About once a
// second the member asks each watcher to renew. An ack to a request that the member
// sent at t0 counts until t0 + length on the member's own clock, and the lease runs
// while acks of a majority of the watchers count. To end the lease of a member that
// does not answer, an evictor marks its record, has a majority of its watchers refuse
// all further acks, and waits until every ack that they gave has run out. A majority
// that renews and a majority that refuses have a watcher in common, so after the wait
// the lease is over, whatever the member believes of the world.
//
// The store is not called to renew, so leases go on through a store outage of any
// length. Watchers keep soft state only.
//
// Two kinds of ack keep a fleet from locking itself out. Every ack extends the
// member's *permission to watch*; only acks from watchers that had that permission
// extend its *lease*. An evictor that cannot reach a watcher may take it as refusing
// once that watcher itself has been evicted and a lease length has passed: such a
// watcher has no permission any more. If acks required a lease in place of a
// permission, a fleet that starts (or resumes after a pause) would have no lease to
// begin with.
//
// Only durations on one process's clock are compared. `drift` bounds how much faster
// one clock runs than another; clocks that differ by more break the guarantee.
//
//   lease_holder lease(options);
//   lease.set_watchers({a, b, c});
//   auto const seq = lease.start_renewal(now);   // send `seq` to each watcher
//   lease.on_ack(a, seq, true);
//   if (now < lease.valid_until()) ...
//
// Cost: each operation is O(watchers).
#ifndef BUCKTHORNUSHER_LEASE_HPP
#define BUCKTHORNUSHER_LEASE_HPP

#include "buckthornusher/member.hpp"
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
    duration silence_timeout = 1'800ms; // a member that is silent for so long is evicted
    std::int64_t drift_ppm = 1'000;
    duration margin = 20ms;
    std::size_t watchers = 3;

    // What an evictor waits after a watcher's last ack.
    duration max_lease_duration() const
    {
        return length + length * drift_ppm / 1'000'000 + margin;
    }
};

// Each guard of the protocol can be switched off, so that the tests can show that
// their checks notice. Never switched off elsewhere.
struct guards
{
    bool wait_after_refusal = true;
    bool check_incarnation = true; // acks of a restarted watcher do not count
    bool watch_permission = true;  // acks of an unwatched watcher do not extend the lease
    bool permission_without_lease = true; // any ack, not only a lease, permits to watch
    bool joint_majority = true;     // both watcher sets while their change is in doubt
    bool settle_lost_writes = true; // a write without an answer is repeated until decided
    bool release_before_move = true; // a successor waits for the owner's release
    bool check_before_send = true;   // the lease is checked again before bytes leave
    bool count_from_sending = true; // acks count from the request, not from their arrival
    // What was granted under a lease from earlier watchers, or to an earlier process, is
    // waited for.
    bool wait_for_earlier_leases = true;
};

// The member's side.
class lease_holder
{
public:
    lease_holder(lease_options opts, guards g) : m_options(opts), m_guards(g) {}

    // The accepted set of watchers; an empty one never gives a lease.
    void set_watchers(std::vector<member_id> const& watchers);

    // The store has been asked to replace the watchers; until the result is known a
    // majority of both sets is required.
    void begin_watcher_change(std::vector<member_id> const& proposed);
    void end_watcher_change(bool accepted);
    bool watcher_change_pending() const { return m_proposed.has_value(); }

    // Starts a round of renewals; returns the sequence number to send.
    std::uint64_t start_renewal(instant now);

    // Acks for unknown rounds or from others than the watchers are ignored.
    void on_ack(member_id const& watcher, std::uint64_t sequence, bool permitted,
                instant now);

    // Ends the lease for good. Called when the member learns that it is being evicted,
    // and before it announces that it has left.
    void revoke() { m_revoked = true; }

    // The lease runs before this instant.
    instant valid_until() const;
    // The member may ack others' leases with permission before this instant.
    instant permitted_until() const;

    std::vector<member_id> const& watchers() const { return m_watchers; }
    // All that are to be asked: the watchers, and those proposed.
    std::vector<member_id> renewal_targets() const;
    // When the watcher last acked, as the sending time of the request.
    std::optional<instant> last_ack(member_id const& watcher) const;

private:
    struct ack_times
    {
        instant last;           // acked, counted from the request's sending
        instant last_permitted; // the same for acks with permission
    };

    instant majority_ack_time(std::vector<member_id> const& set,
                              instant ack_times::*kind) const;
    instant expiry(instant ack_times::*kind) const;

    lease_options m_options;
    guards m_guards;
    bool m_revoked = false;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, instant>
        m_round_sent_at; // sending times of the latest rounds
    std::vector<member_id> m_watchers;
    std::optional<std::vector<member_id>> m_proposed;
    std::map<member_id, ack_times> m_ack_times;
};

// The watcher's side: which members it acks, and what it has promised to refuse.
class lease_watcher
{
public:
    explicit lease_watcher(lease_options opts) : m_options(opts) {}

    // The members whose live records name this one. A member that was refused stays
    // refused, whatever an old copy of its record says.
    void set_subjects(std::vector<member_id> const& subjects, instant now);

    // Whether to ack the renewal. Only a subject that was not refused is acked.
    // `changes`: of the watchers, as its renewal tells.
    bool on_renew(member_id const& from, std::uint64_t watcher_changes, instant now);

    // Refuses the member for good. Returns the time since the last ack to it, or nothing
    // if this watcher never acked a renewal of so many changes of the watchers or more.
    std::optional<duration> refuse(member_id const& subject,
                                   std::uint64_t watcher_changes, instant now);

    // Drops the refusal of a member whose record is known to be gone: no later copy of
    // the record can be live.
    void forget(member_id const& gone) { m_refused.erase(gone); }

    // Subjects that have not renewed for longer than the silence, oldest first.
    std::vector<member_id> silent_subjects(instant now) const;

    // This process was paused: silence so far proves nothing.
    void reset_silence(instant now);

private:
    lease_options m_options;
    std::map<member_id, instant> m_subjects; // when each was last heard
    std::set<member_id> m_refused;           // disjoint from m_subjects
    struct sent_ack
    {
        instant sent_at;
        std::uint64_t watcher_changes = 0; // of the watchers, as the renewal told
    };
    // The last ack to each member, subject or not, until it has run out: a member that is
    // no longer a subject may still hold a lease from it.
    std::map<member_id, sent_ack> m_last_acks;
};

} // namespace buckthornusher

#endif
