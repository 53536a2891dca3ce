// What the keeper of a chunk writes into it next.
//
// A pure function of the replica, the services and the releases that owners have
// announced. The owner of a shard changes in three cases only: the shard never had one,
// the owner's generation is over, or the owner has released the shard for its successor.
// Each raises the epoch. A move that is cancelled raises it too, as the owner may have
// released the shard already.
#ifndef BUCKTHORNUSHER_COORDINATION_ASSIGNER_HPP
#define BUCKTHORNUSHER_COORDINATION_ASSIGNER_HPP

#include "buckthornusher/lease.hpp"
#include "buckthornusher/ownership.hpp"
#include "buckthornusher/planner.hpp"
#include "buckthornusher/replica.hpp"

#include <map>
#include <optional>
#include <set>

namespace buckthornusher
{

// A shard that its owner has released.
struct accepted_release
{
    std::uint64_t epoch = 0;
    std::string handover;
    friend bool operator==(accepted_release const&, accepted_release const&) = default;
};
using release_table = std::map<shard_id, accepted_release>;

// Releases may be last_reports of out of order: the table keeps that of the latest epoch.
void note_release(release_table& releases, shard_release const& release);

// What owners have reported of a service lately.
struct service_load
{
    std::map<std::uint32_t, double> rates;    // requests a second, by shard
    std::map<std::string, double> capacities; // the same that upstreams can do, by node
    std::map<std::string, instant> last_reports; // when each node reported last

    // It has reported before, and no more.
    bool is_silent(std::string const& node, instant now) const;
    // Most are silent: it is rather this node that is cut off.
    bool is_mostly_silent(instant now) const;
    friend bool operator==(service_load const&, service_load const&) = default;
};

// The targets and present assignments of a service. `load`: null if nothing is known.
plan_input make_plan_input(replica const& copy, keyed_service const& service,
                           service_load const* load, instant now);

// The chunk as it should be, or nothing if it is right as it is. `changes` are the
// plan for the whole service. Shards of `unfenced` owners wait, though the owners are
// gone; `place_new` allows first owners.
std::optional<shard_group_record>
next_shard_group(replica const& copy, keyed_service const& service,
                 std::uint32_t first_shard, std::vector<plan_change> const& changes,
                 release_table const& releases, std::set<owner_id> const& unfenced,
                 bool place_new, guards const& g);

} // namespace buckthornusher

#endif
