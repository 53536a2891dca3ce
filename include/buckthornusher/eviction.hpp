// Eviction: ends the lease of a member that does not answer.
//
// An eviction takes three steps. Each step is recorded or can be repeated, so any other
// member can complete an eviction whose evictor fails:
//   1. The member's record is marked `evicting`. Its watchers are fixed from then on.
//   2. The watchers are asked to refuse the member until a majority has confirmed. The
//      evictor then waits for the maximum lease duration, counted from the last ack that
//      each of them gave.
//   3. The record is marked `gone`. From then on its shards may be assigned to others.
// Two evictors of one member repeat each other's work without harm.
//
// A watcher that cannot be reached counts as refusing once its own record is gone and the
// maximum lease duration has passed since; lease.hpp explains the permission to watch.
//
// Members that failed together may have watched each other, in which case none of them
// can be evicted first. A restart resolves this: a node's record names its current
// process, which is the only one at its endpoint. An earlier process can neither renew
// nor ack, so after the maximum lease duration it no longer counts as a watcher.
//
// A lease granted by an earlier set of watchers, or to an earlier process of the node,
// may still run, and the current watchers may not know of it. Each renewal therefore
// carries the number of times the watchers have changed, and only acks to renewals with
// a sufficiently high number count:
//   - An ack after the last change covers all leases granted before that change.
//   - Two of three watchers that also belonged to the previous set cover the leases that
//     the previous set granted up to the later of their last acks. Acks from before the
//     last change therefore count where there are three watchers.
//   - A watcher without an ack that counts (it never acked, or it left the set and came
//     back) is assumed to have acked just now.
//
// An eviction object keeps the times of step 2 for one member. Each evictor starts them
// anew. Not thread-safe. Cost: O(log n) or O(n log n) in
// the watchers for each operation.
#ifndef BUCKTHORNUSHER_EVICTION_HPP
#define BUCKTHORNUSHER_EVICTION_HPP

#include "buckthornusher/lease.hpp"

#include <map>
#include <optional>
#include <vector>

namespace buckthornusher
{

class eviction
{
public:
    // `record` is the member's record, in the state `evicting`.
    eviction(member_record const& record, lease_options opts, guards checks);

    // The minimum number of watcher changes that a renewal must carry for its ack to
    // count.
    std::uint64_t min_watcher_changes() const { return m_min_watcher_changes; }

    // The watcher has promised to refuse the member. `elapsed` is the time since its last
    // ack that counts, or nothing if it knows of none.
    void on_refused(member_id const& watcher, std::optional<duration> elapsed,
                    instant now);

    // The watcher's own record is known to be gone, or names a later process.
    void on_watcher_gone(member_id const& watcher, instant now);

    // Requires that the eviction is under way since `now`. Ends the lease of a member
    // that never had watchers.
    void on_started(instant now);

    // Returns the watchers that have neither confirmed nor gone.
    std::vector<member_id> unconfirmed_watchers() const;

    // Returns when the member's lease has certainly expired, or nothing while no majority
    // refuses.
    std::optional<instant> lease_expired_at() const;

private:
    lease_options m_options;
    guards m_guards;
    std::vector<member_id> m_watchers;
    std::uint64_t m_min_watcher_changes;
    bool m_inherited;
    // When the acks of each refusing watcher have expired.
    std::map<member_id, instant> m_acks_expired_at;
    std::optional<instant> m_unwatched_expired_at; // of a member without watchers
};

} // namespace buckthornusher

#endif
