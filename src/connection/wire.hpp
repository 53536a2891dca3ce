// Conversion between values and their protobuf and JSON forms.
//
// Decoding never throws and never trusts: what cannot be decoded whole is rejected, with
// the reason.
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
// Nothing if the envelope holds no control message.
std::optional<control_message> decode_control(wire::Envelope const& in);

// ---- records as JSON, as the store holds them ----
std::string encode_record(record const& value);
decoded<record> decode_record(std::string_view json);

} // namespace buckthornusher

#endif
