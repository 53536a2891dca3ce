// Where shards are placed.
//
// The planner is a pure function of the members and the present assignments. It keeps
// owners where they are and proposes as few changes as the bounds allow:
//   - a shard without an owner goes to the target with the highest rendezvous score
//     among those with room, so that planners of different chunks agree without talking,
//     and the shards of a lost member spread over all others;
//   - a shard of a draining member, or of a target filled above the imbalance bound,
//     moves to the target with the lowest load, when that lowers the highest load.
// Load is the number of shards (or their measured weight) over the target's slots.
//
// Cost: O(shards * targets) in the worst case.
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
    std::uint32_t slots = 1;
    bool draining = false;
    friend bool operator==(plan_target const&, plan_target const&) = default;
};

struct plan_options
{
    double imbalance_bound = 1.10; // highest over mean load that is left alone
    std::size_t max_moves = 64;    // chosen moves in one plan
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
