// The faults of one run, drawn from a seed: which, on what, when and for how long.
//
// Faults come in series and overlap: each starts up to two and a half seconds after the
// one before, lasts up to five, and one in three strikes a second target at once. A seed
// and options give the same plan on every machine; how the processes take it may differ.
#ifndef BUCKTHORNUSHER_SOAK_FAULT_PLAN_HPP
#define BUCKTHORNUSHER_SOAK_FAULT_PLAN_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher::soak
{

enum class fault_kind
{
    node_kill, // and a new process when the fault ends; so for all that end a process
    node_pause,
    node_stop, // a planned stop
    upstream_kill,
    upstream_pause,
    store_down,
    store_hang,
    store_reset,
    store_slow,
    store_lose_answers,
    store_late_writes,
    store_forget,      // its history, so that watches must begin anew
    store_refuse_some, // answers 503 to one node
    link_delay,
    link_reset,
    link_cut_to,   // bytes to the listening side wait
    link_cut_from, // bytes from the listening side wait
    link_silence,  // both
    link_trickle,
    configure, // an operator changes the configuration
};

constexpr std::size_t fault_kind_count = 20;

char const* to_string(fault_kind kind);

// Invariant: `target` counts nodes, upstreams or links, as the kind demands.
struct fault
{
    duration start{0}; // after the begin of traffic
    fault_kind kind = fault_kind::configure;
    std::uint32_t target = 0;
    duration length{0};
    friend bool operator==(fault const&, fault const&) = default;
};

struct fault_plan_options
{
    std::uint64_t seed = 1;
    duration length = 20s; // every fault has ended by then
    std::uint32_t nodes = 6;
    std::uint32_t upstreams = 18;
    std::uint32_t links = 0;
};

// Ordered by time.
std::vector<fault> draw_faults(fault_plan_options const& options);

std::string describe(fault const& f);

} // namespace buckthornusher::soak

#endif
