// Conversion of upstream requests, their results, load reports and operations that change
// hands to and from protobuf.
//
// On the wire an upstream request is a `Forward`, its result is a `Reply`, and the reason
// phrase of a response is `status_text`.
#ifndef BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP
#define BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP

#include "buckthornusher/operation_table.hpp"
#include "process/agent.hpp"

namespace buckthornusher
{

namespace wire
{
class Forward;
class Handover;
class Load;
class Reply;
} // namespace wire

// Leaves out the request's instants: the sender adds them as a clock token and remaining
// times, since the clocks of nodes differ.
void encode(upstream_request const& request, wire::Forward& out);
upstream_request decode(wire::Forward const& in);

void encode(request_result const& result, wire::Reply& out);
// Decodes a result. An unrecognised outcome becomes an unknown result, an unrecognised
// reason becomes outcome_reason::none. An answer that is not sound (see http_codec.hpp)
// is lost: the request may have run.
request_result decode(wire::Reply const& in);

void encode(upstream_load const& load, wire::Load& out);
upstream_load decode(wire::Load const& in);

void encode(operation_handover const& handover, wire::Handover& out);
// Leaves out operations whose id is none. The outcome of one whose answer is not sound is
// unknown.
operation_handover decode(wire::Handover const& in);

} // namespace buckthornusher

#endif
