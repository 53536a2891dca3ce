// Whether a node that is behind its work takes a request of its callers.
//
// On a small VM the node's own processor can be what binds. Requests then wait unread,
// each answer would be late, and callers leave before it: work is done, and nobody gets
// anything of it. So a request that has waited unread for long is refused at once, which
// costs far less than to run it, and says when to come back. What is left is read soon
// again. The more urgent the rank, the longer the wait that is borne.
//
//   load it answers: more callers than the processor can serve, for seconds or for good;
//   callers that repeat at once.
//
// Safety: a request is refused before anything is done for it, so it has not run.
// Cost: O(1).
#ifndef BUCKTHORNUSHER_INTAKE_HPP
#define BUCKTHORNUSHER_INTAKE_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>

namespace buckthornusher
{

struct intake_options
{
    duration max_unread = 200ms;     // of the wait of a request of rank 1
    double max_timeout_share = 0.25; // of its caller's time, that it may wait at the most
    duration min_retry_after = 100ms; // that a refusal names
    duration max_retry_after = 1s;    // the same
    friend bool operator==(intake_options const&, intake_options const&) = default;
};

struct arrival
{
    duration unread{0};         // for how long it may have waited until it was read
    duration caller_timeout{0}; // after which nobody waits for it
    std::uint32_t rank = 1;
    friend bool operator==(arrival const&, arrival const&) = default;
};

// When the caller is to come back; nothing if the request is taken.
std::optional<duration> overload_retry_after(arrival const& a,
                                             intake_options const& opts);

} // namespace buckthornusher

#endif
