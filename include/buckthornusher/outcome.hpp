// Outcomes of a request. The three kinds are kept apart from the upstream to the caller:
//
//   answered  the upstream's complete answer
//   refused   the request did not run; it may be sent again after `retry_after`
//   unknown   the request may have run; only an idempotent one, or one with an operation
//             id, may be sent again
//
// A component reports "refused" only if it knows that nothing ran: before it sent the
// request on, or if the owner said so.
#ifndef BUCKTHORNUSHER_OUTCOME_HPP
#define BUCKTHORNUSHER_OUTCOME_HPP

#include "buckthornusher/time.hpp"

#include <string_view>

namespace buckthornusher
{

enum class outcome_reason
{
    none,
    no_route,          // no service has the path
    no_key,            // the service is keyed and the request has no key
    no_owner,          // the shard had no owner within the deadline
    overloaded,        // no slot within the deadline
    deadline,          // the deadline passed before the request was sent on
    not_reached,       // the owner could not be reached
    stale,             // the message was delayed too long in transit
    upstream_refused,  // the upstream reports that it did not run the request
    lease_over,        // the owner's lease ended before the request was sent on
    operation_unknown, // the owner that issued the operation id was lost
    operation_running, // the operation is running for an earlier attempt
    operation_invalid, // not an operation id of this service
    operations_full,   // the owner's operation table is full
    answer_lost,       // sent to the upstream, but no complete answer came
    owner_lost,        // sent to the owner, but no answer came
    stopping,          // the node is stopping
    no_configuration,  // the node has not received a configuration yet
    behind,            // the node's processor is overloaded
    config_unverified, // the node may lack a newer configuration that allows the request
    no_region,         // the regions to which it is bound have no usable upstream
};

// Returns the name on the wire, such as "no-route".
std::string_view to_string(outcome_reason reason);

// Returns the HTTP status for a refused (`ran` false) or unknown (`ran` true) request.
int http_status(outcome_reason reason, bool ran);

} // namespace buckthornusher

#endif
