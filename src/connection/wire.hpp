// Conversion between values and their protobuf and JSON forms.
//
// Decoding validates its input and does not throw. Input that cannot be decoded
// completely is rejected; decode_record() also returns the reason.
//
// In both forms an owner generation is `tenure`, a shard group is a `chunk`, and the
// incarnation of an upstream is `life`.
#ifndef BUCKTHORNUSHER_CONNECTION_WIRE_HPP
#define BUCKTHORNUSHER_CONNECTION_WIRE_HPP

#include "buckthornusher/messages.hpp"
#include "buckthornusher/record.hpp"

#include <boost/outcome/result.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace buckthornusher
{

namespace wire
{
class Envelope;
class MemberId;
class OwnerId;
} // namespace wire

struct decode_error
{
    std::string step; // what was being decoded
    std::string reason;
    friend bool operator==(decode_error const&, decode_error const&) = default;
};

template <class T>
using decoded = boost::outcome_v2::basic_result<T, decode_error,
                                                boost::outcome_v2::policy::all_narrow>;

void encode(member_id const& id, wire::MemberId& out);
member_id decode(wire::MemberId const& in);
void encode(owner_id const& id, wire::OwnerId& out);
owner_id decode(wire::OwnerId const& in);

// ---- control messages ----
void encode(control_message const& message, wire::Envelope& out);
// Returns nothing if the envelope holds no valid control message.
std::optional<control_message> decode_control(wire::Envelope const& in);

// ---- records as JSON, as stored in the platform's store ----
std::string encode_record(record const& value);
decoded<record> decode_record(std::string_view json);

} // namespace buckthornusher

#endif
