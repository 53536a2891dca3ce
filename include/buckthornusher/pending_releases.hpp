// What is still awaited before a shard that has drained is announced as released.
//
//   pending_releases releases;
//   releases.on_drained(shard, epoch, {.operations_gone = false, .give_up = now + 1s});
//   releases.on_operations_gone(shard, epoch); // the successor has confirmed them
//   releases.on_upstream_done(shard, epoch, handover);
//   if (auto r = releases.take_complete(shard, true)) announce(*r);
//
// Events may come in any order, and late: a move can be called off and planned anew while
// something of it is under way, at a later epoch. Only the latest epoch that was heard of
// counts; what belongs to an earlier one is dropped.
//
// Cost: O(log n) for an event; memory is one entry for each shard that is moving.
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
    bool operations_transferred =
        false;                // the successor has the shard's operations, or need not
    instant confirm_deadline; // on the successor's confirmation
};

class pending_releases
{
public:
    // No request of the shard is in work here.
    void on_drained(shard_id const& shard, std::uint64_t epoch,
                    drained_options const& opts);
    void on_operations_transferred(shard_id const& shard, std::uint64_t epoch);
    // The upstream holds none of its keys.
    void on_upstream_done(shard_id const& shard, std::uint64_t epoch,
                          std::string handover);

    // Shards whose successors have had their time to confirm; it counts as given.
    std::vector<shard_id> expire(instant now);

    // Removes and returns the release if nothing of it is awaited. `by_report`: the
    // upstream has to say that it is done.
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

    // Null: of an earlier epoch than one that was heard of.
    entry* find_or_add(shard_id const& shard, std::uint64_t epoch);

    std::map<shard_id, entry> m_pending;
};

} // namespace buckthornusher

#endif
