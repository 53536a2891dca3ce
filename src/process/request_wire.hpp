// Orders and their results in their protobuf forms.
#ifndef BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP
#define BUCKTHORNUSHER_PROCESS_REQUEST_WIRE_HPP

#include "process/agent.hpp"

namespace buckthornusher
{

namespace wire
{
class Forward;
class Reply;
} // namespace wire

// The deadline is not part of it: it travels as a clock token and a budget.
void encode(order const& o, wire::Forward& out);
order decode(wire::Forward const& in);

void encode(order_result const& result, wire::Reply& out);
// A result that cannot be read counts as unknown.
order_result decode(wire::Reply const& in);

} // namespace buckthornusher

#endif
