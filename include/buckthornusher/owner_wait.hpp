// The longest time that a request waits for the owner of its shard.
//
// While a shard moves or its owner is lost, requests for it wait, at the entry for an
// owner to be known and at the owner until it may serve the shard. A wait that goes on is
// a sign that the owner will not be there in time. The request, which has not run, is
// then refused while its caller still has time to come back, instead of at its deadline,
// when the caller has left without an answer.
//
// Built for owners that are cut off from the store, moves that take long, and losses.
#ifndef BUCKTHORNUSHER_OWNER_WAIT_HPP
#define BUCKTHORNUSHER_OWNER_WAIT_HPP

#include "buckthornusher/time.hpp"

#include <algorithm>

namespace buckthornusher
{

// The wait that is allowed, as a share of the time from a request's arrival to its
// deadline.
inline constexpr int max_wait_for_owner_percent = 40; // until an owner is known
inline constexpr int max_wait_at_owner_percent = 60;  // until it may serve the shard

// A move takes up to a second, and its callers are not to notice it: a known owner is
// waited for at least as long.
inline constexpr duration min_wait_at_owner = 1s;

// Returns whether a request has waited since `since` for as long as it may for an owner
// to be known.
inline bool has_waited_long_for_owner(instant since, instant arrived, instant deadline,
                                      instant now)
{
    return now - since >= (deadline - arrived) * max_wait_for_owner_percent / 100;
}

// Returns the same for a known owner that does not serve the shard yet.
inline bool has_waited_long_at_owner(instant since, instant arrived, instant deadline,
                                     instant now)
{
    duration const share = (deadline - arrived) * max_wait_at_owner_percent / 100;
    return now - since >= std::max(share, min_wait_at_owner);
}

} // namespace buckthornusher

#endif
