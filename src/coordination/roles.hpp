// Assigns shared work to members: a pure function of the member records.
//
// Roles are chosen by rendezvous hashing; each member computes them from its replica.
// Members whose replicas differ may disagree temporarily; all work is safe to do twice.
#ifndef BUCKTHORNUSHER_COORDINATION_ROLES_HPP
#define BUCKTHORNUSHER_COORDINATION_ROLES_HPP

#include "buckthornusher/messages.hpp"
#include "buckthornusher/replica.hpp"

#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

// Number of members per region that watch the store for the others. One is enough for
// fleet objects, because writers send their own changes to peers, and members that find
// changes missing stand in for a subscriber that is cut off. Operators' writes are seen
// only by the configuration subscribers.
inline constexpr std::size_t fleet_subscribers_per_region = 1;
inline constexpr std::size_t config_subscribers_per_region = 2;

// Chooses the watchers of a member: `count` other members, preferring those that are not
// draining, in the same region, outside its failure domain, and each in a different
// domain. Returns fewer if there are fewer. The number is odd unless zero: an even number
// tolerates no more losses. `suspects` are skipped.
std::vector<member_id> choose_watchers(replica const& copy, member_record const& self,
                                       std::size_t count,
                                       std::vector<member_id> const& suspects);

// Scores a set of watchers; higher is better. Replacing a set by one of equal score is
// not worth the change.
int watchers_score(replica const& copy, member_record const& self,
                   std::vector<member_id> const& watchers,
                   std::vector<member_id> const& suspects);

// Returns the member's rank among the candidates for the subscriptions of its region; the
// number of candidates if it is none.
std::size_t subscriber_rank(replica const& copy, member_record const& self);

bool is_subscriber(replica const& copy, member_record const& self, object_kind kind);

// Returns the first configuration subscriber of each other region.
std::vector<member_id> other_regions_subscribers(replica const& copy,
                                                 member_record const& self);

// Returns the members to ask how current the configuration is, other than the member
// itself: its region's configuration subscribers, then the first of each other region.
std::vector<member_id> config_sources(replica const& copy, member_record const& self);

// Returns the answer to a pull; without objects if the peer lacks nothing.
deltas changes_for(replica const& copy, pull const& request);

// Returns the members to which a member forwards changes. `from_store`: the changes came
// from the store or are its own writes; otherwise they came from a peer.
std::vector<member_id> push_targets(replica const& copy, member_record const& self,
                                    bool from_store);

// Returns the member's rank for a named piece of work. Rank 0 acts at once, each further
// rank after a delay. Empty if the member is not live.
std::optional<std::size_t> work_rank(replica const& copy, member_id const& self,
                                     std::string const& work);

// Returns the member with that rank; none if there are fewer members.
member_id member_at_rank(replica const& copy, std::string const& work, std::size_t rank);

} // namespace buckthornusher

#endif
