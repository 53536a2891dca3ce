// What a node tells its upstream with an order, and what an answer means.
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
    upstream_incarnation incarnation;   // the run of the upstream that is meant
    std::string origin;                 // the service beside which the request began
    duration time_left{0};              // until nobody waits for the answer
    std::optional<std::uint32_t> shard; // of a keyed service
    std::uint64_t epoch = 0;
    instant lease_until;
    std::string operation;     // an operation id, or empty
    std::uint64_t sending = 0; // another one for each order that is sent to the upstream
    friend bool operator==(upstream_call const&, upstream_call const&) = default;
};

enum class answer_meaning
{
    answered, // the upstream's own answer, good or bad
    failed,   // the same, and it tells of a failure of the upstream
    no_room,  // it did not run: the upstream takes no more now
    not_held, // it did not run: another run of it, or not the holder of the key
    spoilt,   // not the upstream's whole answer; it may have run
};

} // namespace buckthornusher

#endif
