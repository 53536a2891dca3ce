// What an upstream says of itself to the node beside it, and what it is answered.
#ifndef BUCKTHORNUSHER_UPSTREAM_REPORT_HPP
#define BUCKTHORNUSHER_UPSTREAM_REPORT_HPP

#include "buckthornusher/shard_map.hpp"
#include "buckthornusher/time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher
{

// One run of an upstream. Of two runs with one id the one that was started later counts.
struct upstream_incarnation
{
    std::string id;
    std::uint64_t started = 0; // on the upstream's clock; 0: unknown
    friend auto operator<=>(upstream_incarnation const&,
                            upstream_incarnation const&) = default;
};

std::string to_string(upstream_incarnation const& incarnation);

// Numeric keys that the upstream holds, or still works on.
struct held_range
{
    key_range keys;
    std::uint64_t epoch = 0;
    friend bool operator==(held_range const&, held_range const&) = default;
};

// Numeric keys that it has released, and what the next holder is to be given.
struct freed_range
{
    key_range keys;
    std::string handover;
    friend bool operator==(freed_range const&, freed_range const&) = default;
};

enum class upstream_state
{
    ready,
    draining, // serves on for a while, takes nothing new
};

struct upstream_report
{
    std::string service;
    upstream_incarnation incarnation;
    std::uint64_t sequence = 0; // rises with each report of a life; 0: not numbered
    std::string ip;             // where it takes requests
    int port = 0;
    std::uint32_t slots = 0;       // requests at once
    std::uint32_t connections = 0; // at once, from all callers; 0: not said
    upstream_state state = upstream_state::ready;
    duration warm_up_left{0};         // it is slow for so much longer
    bool serves_only_granted = false; // it serves only keys that it is granted in answers
    std::vector<held_range> holds;
    std::vector<freed_range> freed;
    friend bool operator==(upstream_report const&, upstream_report const&) = default;
};

struct granted_range
{
    key_range keys;
    std::uint64_t epoch = 0;
    std::string handover; // of the holder before; may be empty
    friend bool operator==(granted_range const&, granted_range const&) = default;
};

// Everything that the upstream is to hold, for `hold` from when it sent its report.
struct upstream_grant
{
    std::vector<granted_range> ranges;
    duration valid_for{0};
    friend bool operator==(upstream_grant const&, upstream_grant const&) = default;
};

} // namespace buckthornusher

#endif
