// The random fault plan of one run: the kind, target, start and length of each fault.
//
// Faults overlap: each starts up to 2.5 s after the one before and lasts up to 5 s. One
// in three affects a second target of its kind, drawn at random, from the same time on.
// The same seed and options give the same plan on every machine; the timing of the
// processes may still differ.
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
    node_kill, // each fault that ends a process starts a new one when the fault ends
    node_pause,
    node_stop, // a planned stop by SIGTERM
    upstream_kill,
    upstream_pause,
    store_down,
    store_hang,
    store_reset,
    store_slow,
    store_lose_answers,
    store_late_writes,
    store_forget,      // discards its history, so that watches must restart
    store_refuse_some, // answers 503 to one node
    link_delay,
    link_reset,
    link_cut_to,   // holds back bytes to the listening side
    link_cut_from, // holds back bytes from the listening side
    link_silence,  // both directions
    link_trickle,
    configure, // an operator changes the configuration
};

constexpr std::size_t fault_kind_count = 20;

char const* to_string(fault_kind kind);

// Invariant: `target` is the index of an upstream for upstream faults, of a link for link
// faults, and of a node for all others. `configure` and the store faults other than
// `store_refuse_some` do not use it.
struct fault
{
    duration start{0}; // since the traffic began
    fault_kind kind = fault_kind::configure;
    std::uint32_t target = 0;
    duration length{0};
    friend bool operator==(fault const&, fault const&) = default;
};

struct fault_plan_options
{
    std::uint64_t seed = 1;
    duration length = 20s; // of the run; every fault ends within it
    std::uint32_t nodes = 6;
    std::uint32_t upstreams = 18;
    std::uint32_t links = 0;
};

// Returns the faults ordered by start.
std::vector<fault> draw_faults(fault_plan_options const& options);

// Returns one line of text for reports.
std::string describe(fault const& f);

} // namespace buckthornusher::soak

#endif
