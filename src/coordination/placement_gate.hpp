// Decides whether the targets of a service are complete enough for shards to be placed
// on them from nothing.
//
// When a whole fleet starts, or comes back after the loss of most of it, its targets
// become known one after the other within seconds. Placed at once, all shards go to the
// first few, and spreading them over the others takes many moves while callers wait. The
// gate holds such a placement until no target has come or gone for a while, but not for
// long: a fleet in which something changes all the time must get its owners, too.
//
// Built for fleets of any size that start at once, and for the loss of power of most of a
// fleet. A lost part of a fleet is not held up by the gate.
//
// Cost: O(targets) for each call.
#ifndef BUCKTHORNUSHER_COORDINATION_PLACEMENT_GATE_HPP
#define BUCKTHORNUSHER_COORDINATION_PLACEMENT_GATE_HPP

#include "buckthornusher/planner.hpp"
#include "buckthornusher/time.hpp"

#include <optional>
#include <vector>

namespace buckthornusher
{

struct placement_gate_options
{
    duration settle = 1s;   // without a change of the targets
    duration max_wait = 3s; // from the first call at which most shards had no owner
    double most = 0.66;     // share of shards without an owner that counts as most
    friend bool operator==(placement_gate_options const&,
                           placement_gate_options const&) = default;
};

class placement_gate
{
public:
    explicit placement_gate(placement_gate_options opts) : m_options(opts) {}

    // Notes the targets, and returns whether shards without an owner may get one.
    // `unowned_share`: the share of the service's shards without an owner.
    bool open(std::vector<plan_target> const& targets, double unowned_share, instant now);

    // Returns the last change of the targets that open() has seen.
    instant last_change() const { return m_last_change; }

private:
    placement_gate_options m_options;
    std::vector<owner_id> m_targets; // at the last call
    instant m_last_change;
    std::optional<instant> m_waiting_since; // empty: most shards have owners
};

} // namespace buckthornusher

#endif
