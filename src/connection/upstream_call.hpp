// The metadata that a node sends to its upstream with a request, and the classification
// of the upstream's responses.
#ifndef BUCKTHORNUSHER_CONNECTION_UPSTREAM_CALL_HPP
#define BUCKTHORNUSHER_CONNECTION_UPSTREAM_CALL_HPP

#include "buckthornusher/time.hpp"
#include "buckthornusher/upstream_report.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthornusher
{

struct upstream_call
{
    upstream_incarnation incarnation;   // the incarnation for which the request is meant
    std::string origin;                 // the service of the node that took the request
    duration time_left{0};              // until the caller's deadline
    std::optional<std::uint32_t> shard; // set for keyed services
    std::uint64_t epoch = 0;
    instant lease_until;
    std::string operation;     // an operation id, or empty
    std::uint64_t sending = 0; // unique for each request sent to the upstream
    friend bool operator==(upstream_call const&, upstream_call const&) = default;
};

enum class answer_meaning
{
    answered,   // the upstream's own response, whatever its status
    failed,     // likewise, and the status reports a server error
    no_room,    // did not run: the upstream accepts no further requests now
    not_held,   // did not run: another incarnation, or the upstream does not hold the key
    unverified, // not verifiably the upstream's own complete response; may have run
};

} // namespace buckthornusher

#endif
