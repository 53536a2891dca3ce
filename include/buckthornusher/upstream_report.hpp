// Reports from an upstream to the node beside it, and the node's answers.
#ifndef BUCKTHORNUSHER_UPSTREAM_REPORT_HPP
#define BUCKTHORNUSHER_UPSTREAM_REPORT_HPP

#include "buckthornusher/shard_map.hpp"
#include "buckthornusher/time.hpp"
#include "buckthornusher/upstream_incarnation.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher
{

// Numeric keys that the upstream holds or still processes requests for.
struct held_range
{
    key_range keys;
    std::uint64_t epoch = 0;
    friend bool operator==(held_range const&, held_range const&) = default;
};

// Numeric keys that the upstream has released, and its handover for their next holder.
struct freed_range
{
    key_range keys;
    std::string handover;
    friend bool operator==(freed_range const&, freed_range const&) = default;
};

enum class upstream_state
{
    ready,
    draining, // serves what it has for a while, accepts nothing new
};

struct upstream_report
{
    std::string service;
    upstream_incarnation incarnation;
    std::uint64_t sequence = 0; // rises within an incarnation; 0: not numbered
    std::string ip;             // address for requests
    int port = 0;
    std::uint32_t slots = 0;       // maximum of concurrent requests
    std::uint32_t connections = 0; // maximum, from all callers; 0: not given
    upstream_state state = upstream_state::ready;
    duration warm_up_left{0};         // the upstream is slow for this long
    bool serves_only_granted = false; // it rejects keys that no answer granted
    std::vector<held_range> holds;
    std::vector<freed_range> freed;
    friend bool operator==(upstream_report const&, upstream_report const&) = default;
};

struct granted_range
{
    key_range keys;
    std::uint64_t epoch = 0;
    std::string handover; // from the previous holder; may be empty
    friend bool operator==(granted_range const&, granted_range const&) = default;
};

// All keys granted to the upstream. The grant is valid for `valid_for` from the time at
// which the upstream sent its report.
struct upstream_grant
{
    std::vector<granted_range> ranges;
    duration valid_for{0};
    friend bool operator==(upstream_grant const&, upstream_grant const&) = default;
};

} // namespace buckthornusher

#endif
