// Placement of shards on targets.
//
// plan() is a pure function of the members and the current assignments, so assigners of
// different shard groups agree without communicating. It keeps existing owners and
// proposes as few changes as the bounds allow:
//   - Shards without an owner, and those of draining members, go in blocks of adjacent
//     shards to the targets with the most headroom below an even share. Adjacent shards
//     stay together where possible, because an upstream is granted them as one range.
//   - Adjacent shards, or one hot shard, move from a target loaded above the imbalance
//     bound to the least loaded target if that lowers the maximum load.
// Load is the weight of the shards over the capacity of the target: measured requests
// over the upstream's throughput or, if nothing was measured, the number of shards over
// its slots.
//
// A silent target may be unreachable for callers. It receives no shards while other
// targets are available.
//
// The planner is built for skewed and changing key popularity, upstreams of different
// speeds, and targets that fail, become unreachable, leave, join or slow down.
//
// Cost: O(shards * moves + shards * targets) in the worst case.
#ifndef BUCKTHORNUSHER_PLANNER_HPP
#define BUCKTHORNUSHER_PLANNER_HPP

#include "buckthornusher/shard_map.hpp"

#include <cstdint>
#include <vector>

namespace buckthornusher
{

struct plan_target
{
    owner_id id;
    std::string domain;
    double capacity = 1; // in the unit of the shards' weights; above 0
    bool draining = false;
    bool silent = false; // sends no reports: keeps its shards and receives no more
    friend bool operator==(plan_target const&, plan_target const&) = default;
};

struct plan_options
{
    double imbalance_bound = 1.10; // maximum over mean load that triggers no move
    double min_load = 0;           // a target at or below this load triggers no move
    std::size_t max_moves = 8;     // rebalancing moves of one block each, per plan
};

// `weights` are the loads of the shards; each shard weighs 1 if empty.
struct plan_input
{
    std::string service;
    std::vector<plan_target> targets;
    std::vector<assignment> assignments;
    std::vector<double> weights;
};

struct plan_change
{
    std::uint32_t shard = 0;
    owner_id to;
    friend bool operator==(plan_change const&, plan_change const&) = default;
};

// Returns the changes in the order of their shards. An owner that is not among the
// targets counts as lost.
std::vector<plan_change> plan(plan_input const& input, plan_options const& opts);

// Returns the maximum load over the mean load of the targets that are not draining; 1 is
// even.
double imbalance(plan_input const& input);

} // namespace buckthornusher

#endif
