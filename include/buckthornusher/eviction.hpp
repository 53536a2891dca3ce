// Ending the lease of a member that no longer answers.
//
// An eviction goes through three steps, each recorded or repeatable, so that any other
// member can finish what an evictor that fails has begun:
//   1. the member's record is marked `evicting`; from here its watchers are fixed;
//   2. the watchers are told to refuse it, until a majority has confirmed, and the
//      longest lease is waited for from the last ack that each of them gave;
//   3. the record is marked `gone`; from here its shards may be given to others.
// Two evictors of one member do the same work twice; neither can do harm.
//
// A watcher that cannot be reached counts as refusing once its own record is gone and
// the longest lease has passed since: see lease.hpp on the permission to watch.
//
// Members that were lost together may have watched each other, so that none of them can
// be ended first. What unties them is their restart: a node's record names its present
// process, which is the only one at its endpoint. An earlier process can neither renew
// nor ack any more, and a longest lease later it is over as a watcher.
//
// What a member was granted by an earlier set of watchers, or an earlier process of its
// node, may go on for the rest of that lease, and its present watchers may know nothing
// of it. So each renewal tells how often the watchers have changed, and only acks to late
// enough ones count:
//   - an ack after the last change covers whatever was granted before that;
//   - two of three watchers that were in the set before as well cover what that set
//     granted by the later of their last acks, so acks from before the last change count
//     where three watch;
//   - a watcher that has none that counts (it never acked, or left the set and came back)
//     is taken to have acked just now.
//
// The part keeps the times of step 2 for one member. They begin anew with each evictor.
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

    // Of how many changes of the watchers a renewal must tell for its ack to count.
    std::uint64_t min_watcher_changes() const { return m_min_watcher_changes; }

    // A watcher has promised to refuse the member; `elapsed` is the time since its last
    // ack that counts, nothing if it knows of none.
    void on_refused(member_id const& watcher, std::optional<duration> elapsed,
                    instant now);

    // The watcher's own record is known to be gone, or names a later process.
    void on_watcher_gone(member_id const& watcher, instant now);

    // Requires that the eviction is under way since `now`; ends a member that never had
    // watchers.
    void on_started(instant now);

    // Watchers that have neither confirmed nor gone.
    std::vector<member_id> unconfirmed_watchers() const;

    // When the member's lease is certainly over; nothing while no majority refuses.
    std::optional<instant> lease_expired_at() const;

private:
    lease_options m_options;
    guards m_guards;
    std::vector<member_id> m_watchers;
    std::uint64_t m_min_watcher_changes;
    bool m_inherited;
    // When the acks of each refusing watcher have run out.
    std::map<member_id, instant> m_acks_expired_at;
    std::optional<instant> m_unwatched_expired_at; // of a member without watchers
};

} // namespace buckthornusher

#endif
