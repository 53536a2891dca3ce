// Conditions that a drained shard must meet before it is announced as released: the
// successor has confirmed the shard's operations, and the upstream no longer holds its
// keys.
//
//   pending_releases releases;
//   releases.on_drained(shard, epoch, {.operations_gone = false, .give_up = now + 1s});
//   releases.on_operations_gone(shard, epoch); // the successor has confirmed them
//   releases.on_upstream_done(shard, epoch, handover);
//   if (auto r = releases.take_complete(shard, true)) announce(*r);
//
// Events may arrive late and in any order: a move can be cancelled and planned again at a
// later epoch while events of the first move are in flight. Only the latest epoch seen
// counts; events of earlier epochs are dropped.
//
// Not thread-safe. Cost: O(log n) for an event; memory is
// one entry for each moving shard.
#ifndef BUCKTHORNUSHER_PENDING_RELEASES_HPP
#define BUCKTHORNUSHER_PENDING_RELEASES_HPP

#include "buckthornusher/ownership.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

struct drained_options
{
    bool operations_transferred = false; // the successor has the operations or needs none
    instant confirm_deadline; // end of the wait for the successor's confirmation
};

class pending_releases
{
public:
    // No request of the shard is running on this node.
    void on_drained(shard_id const& shard, std::uint64_t epoch,
                    drained_options const& opts);
    void on_operations_transferred(shard_id const& shard, std::uint64_t epoch);
    // The upstream holds none of the shard's keys.
    void on_upstream_done(shard_id const& shard, std::uint64_t epoch,
                          std::string handover);

    // Returns shards whose successor did not confirm before the deadline. From then on
    // the confirmation counts as received.
    std::vector<shard_id> expire(instant now);

    // Removes and returns the release if all its conditions are met.
    // `needs_upstream_report`: the upstream must report that it has released the keys.
    std::optional<shard_release> take_complete(shard_id const& shard,
                                               bool needs_upstream_report);

    void clear() { m_pending.clear(); }

private:
    struct entry
    {
        std::uint64_t epoch = 0;
        bool drained = false;
        bool operations_transferred = false;
        bool upstream_done = false;
        std::string handover; // from the upstream
        instant confirm_deadline;
    };

    // Returns null if a later epoch of the shard has been seen.
    entry* find_or_add(shard_id const& shard, std::uint64_t epoch);

    std::map<shard_id, entry> m_pending;
};

} // namespace buckthornusher

#endif
