// Computes the next assignments that the assigner of a shard group writes.
//
// A pure function of the replica, the services and the announced releases. The owner of a
// shard changes in three cases only: the shard never had an owner, the owner's generation
// is over, or the owner has released the shard for its successor. Each change raises the
// epoch. Cancelling a move raises it too, because the owner may already have released the
// shard.
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

// A release of a shard by its owner.
struct accepted_release
{
    std::uint64_t epoch = 0;
    std::string handover;
    friend bool operator==(accepted_release const&, accepted_release const&) = default;
};
using release_table = std::map<shard_id, accepted_release>;

// Adds a release. Releases may arrive out of order: the table keeps the latest epoch.
void note_release(release_table& releases, shard_release const& release);

// What owners have reported of a service recently.
struct service_load
{
    std::map<std::uint32_t, double> rates;       // requests per second, by shard
    std::map<std::string, double> capacities;    // requests per second, by node
    std::map<std::string, instant> last_reports; // time of each node's last report

    // Whether the node has reported before but not within the maximum report gap.
    bool is_silent(std::string const& node, instant now) const;
    // Whether most nodes are silent, in which case this node is more likely cut off
    // itself.
    bool most_nodes_silent(instant now) const;
    friend bool operator==(service_load const&, service_load const&) = default;
};

// Returns whether the shard has no owner, or one whose generation is over.
bool has_no_owner(replica const& copy, assignment const& a);

// Returns the targets and current assignments of a service. `load`: null if unknown.
plan_input make_plan_input(replica const& copy, keyed_service const& service,
                           service_load const* load, instant now);

// Which assignments of earlier eras of the store may be acted on (store_rewind.hpp).
struct era_rule
{
    std::uint64_t era = 0; // in which new epochs are given out
    bool settled = true;   // nobody can know more than the store any more
    bool has_copy = false; // records of an earlier era stand in the store
    bool allows(assignment const& a) const;
    friend bool operator==(era_rule const&, era_rule const&) = default;
};

// Returns the updated shard group, or nothing if no change is needed. `changes` is the
// plan for the whole service. Shards of `unfenced` owners wait although those owners are
// gone; while not `may_place`, all shards without an owner do. What the rule does not
// allow stays as it is.
std::optional<shard_group_record>
next_shard_group(replica const& copy, keyed_service const& service,
                 std::uint32_t first_shard, std::vector<plan_change> const& changes,
                 release_table const& releases, std::set<owner_id> const& unfenced,
                 bool may_place, guards const& g, era_rule const& rule = {});

} // namespace buckthornusher

#endif
