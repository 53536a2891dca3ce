// Where shards are placed.
//
// The planner is a pure function of the members and the present assignments, so that
// planners of different chunks agree without talking. It keeps owners where they are and
// proposes as few changes as the bounds allow:
//   - shards without an owner, and those of draining members, go in blocks of neighbours
//     to the targets that have most room below an even share. Neighbours stay together
//     where they can, as a range is told to an upstream as one;
//   - neighbours, or one hot shard, of a target filled above the imbalance bound move to
//     the target with the lowest load, when that lowers the highest load.
// Load is the shards' weight over the target's capacity: measured requests over what the
// upstream can do, or, without a measurement, the number of shards over its slots.
//
// A target that is silent may be cut off from callers; it gets nothing new while there
// are others.
//
//   load it answers: keys of which few get most requests, and change; upstreams of
//   different speeds; one that is lost, cut off, leaves, joins or turns slow.
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
    bool silent = false; // nothing is heard of it: it keeps what it has and gets no more
    friend bool operator==(plan_target const&, plan_target const&) = default;
};

struct plan_options
{
    double imbalance_bound = 1.10; // highest over mean load that is left alone
    double min_load = 0;           // a target below this load is left alone as well
    std::size_t max_moves = 8;     // chosen moves of neighbours together in one plan
};

// `weights` are the shards' loads, one each if empty.
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

// Changes in the order of their shards. An owner that is not among the targets counts
// as lost.
std::vector<plan_change> plan(plan_input const& input, plan_options const& opts);

// Highest load over mean load of the targets that do not drain; 1 is even.
double imbalance(plan_input const& input);

} // namespace buckthornusher

#endif
