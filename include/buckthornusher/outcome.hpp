// What a caller learns about a request: three outcomes, kept apart end to end.
//
//   answered  the upstream's whole answer
//   refused   the request did not run; it may be sent again after `retry_after`
//   unknown   the request may have run; only an idempotent one, or one with an operation
//             id, may be sent again
//
// A refusal is made only by a part that knows that nothing ran: before a request left
// it, or on the word of the owner.
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
    no_owner,          // nobody owned the shard within the deadline
    overloaded,        // no slot within the deadline
    deadline,          // the deadline passed before the request was sent on
    not_reached,       // the owner could not be reached
    stale,             // the message had waited too long on its way
    upstream_refused,  // the upstream says that it did not run the request
    lease_over,        // the owner's lease ended before the request was sent on
    operation_unknown, // the operation id is from an owner that has been lost
    operation_running, // the operation is running for an earlier attempt
    operation_invalid, // not an operation id of this service
    operations_full,   // the owner's table of operations is full
    answer_lost,       // sent to the upstream, but no whole answer came
    owner_lost,        // sent to the owner, but no answer came
    stopping,          // the node is stopping
    no_configuration,  // the node knows no configuration yet
    behind,            // the node's processor is behind its work
};

// "no-route" and so on.
std::string_view to_string(outcome_reason reason);

// The HTTP status for a refused (`ran` false) or unknown (`ran` true) request.
int http_status(outcome_reason reason, bool ran);

} // namespace buckthornusher

#endif
