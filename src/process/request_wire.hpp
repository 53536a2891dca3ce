// Orders and their results in their protobuf forms.
#ifndef BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP
#define BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP

#include "process/agent.hpp"

namespace buckthornusher
{

namespace wire
{
class Forward;
class Load;
class Reply;
} // namespace wire

// Its instants are not part of it: they travel as a clock token and times left.
void encode(order const& request, wire::Forward& out);
order decode(wire::Forward const& in);

void encode(order_result const& result, wire::Reply& out);
// A result that cannot be read counts as unknown.
order_result decode(wire::Reply const& in);

void encode(upstream_load const& load, wire::Load& out);
upstream_load decode(wire::Load const& in);

} // namespace buckthornusher

#endif
