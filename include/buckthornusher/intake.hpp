// Load shedding on arrival, for a node whose own event loop is overloaded.
//
// On a small VM the node's processor can be the bottleneck. Requests then wait unread in
// socket buffers, every answer is late, and callers time out before it: work is done that
// is of no use. A request that has waited unread for too long is therefore refused at
// once with a retry time, which costs far less than running it, and the remaining
// requests are read sooner. More urgent ranks are allowed a longer wait.
//
// Built for more callers than the processor can serve, for seconds or permanently, and
// for callers that retry immediately.
//
// Safety: a request is refused before any work is done for it, so it has not run.
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
    duration max_unread = 200ms;      // wait of a request of rank 1
    double max_timeout_share = 0.25;  // maximum wait as a share of the caller's timeout
    duration min_retry_after = 100ms; // smallest retry time in a refusal
    duration max_retry_after = 1s;    // largest retry time in a refusal
    friend bool operator==(intake_options const&, intake_options const&) = default;
};

struct arrival
{
    duration unread{0};         // upper bound of its wait until it was read
    duration caller_timeout{0}; // after it the caller no longer waits
    std::uint32_t rank = 1;
    friend bool operator==(arrival const&, arrival const&) = default;
};

// Returns the time after which a refused caller may retry, or nothing if the request is
// accepted.
std::optional<duration> overload_retry_after(arrival const& a,
                                             intake_options const& opts);

} // namespace buckthornusher

#endif
