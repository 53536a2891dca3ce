// Which members do work for others: a pure function of the member records.
//
// Roles are rendezvous choices, computed by each member from its replica. Members whose
// replicas differ may disagree for a moment; every role's work is safe to do twice.
#ifndef BUCKTHORNUSHER_COORDINATION_ROLES_HPP
#define BUCKTHORNUSHER_COORDINATION_ROLES_HPP

#include "buckthornusher/messages.hpp"
#include "buckthornusher/replica.hpp"

#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

// Members of a region that watch the store for the others. Writers tell their peers of
// their own changes, so that one is enough for the fleet's objects; nobody but the
// listeners sees what operators write.
inline constexpr std::size_t fleet_subscribers_per_region = 1;
inline constexpr std::size_t config_subscribers_per_region = 2;

// The watchers for a member: `count` others, of the same region where possible, none in
// its own failure domain and each in another domain where possible, none that is leaving
// where possible. Fewer if there are fewer; an odd number, as an even one tolerates no
// more losses. `suspects` are passed over.
std::vector<member_id> choose_watchers(replica const& copy, member_record const& self,
                                       std::size_t count,
                                       std::vector<member_id> const& suspects);

// How good a set of watchers is; a higher value is better. Sets of equal value are not
// worth a change.
int watchers_value(replica const& copy, member_record const& self,
                   std::vector<member_id> const& watchers,
                   std::vector<member_id> const& suspects);

bool is_subscriber(replica const& copy, member_record const& self, object_kind kind);

// The first listener to the configuration in each other region.
std::vector<member_id> other_regions_subscribers(replica const& copy,
                                                 member_record const& self);

// What answers a peer's request for changes; without objects if it lacks nothing.
deltas changes_for(replica const& copy, pull const& request);

// Whom a member tells of changes. `from_store`: it learnt them from the store or made
// them itself; otherwise a peer told it.
std::vector<member_id> push_targets(replica const& copy, member_record const& self,
                                    bool from_store);

// The member's place among those who may do a named piece of work; 0 does it at once,
// each further one after a delay. Nothing if the member is not live.
std::optional<std::size_t> work_rank(replica const& copy, member_id const& self,
                                     std::string const& work);

// The member in that place, if there is one.
member_id member_at_rank(replica const& copy, std::string const& work, std::size_t rank);

} // namespace buckthornusher

#endif
