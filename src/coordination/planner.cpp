// Implementation of plan() and imbalance(); see the header.
#include "buckthornusher/planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

namespace buckthornusher
{

namespace
{

// The loads of the targets while a plan is computed. Invariant: m_load is the weight of
// the shards that each target owns or will own.
class load_table
{
public:
    explicit load_table(plan_input const& input) : m_input(input)
    {
        for (auto const& target : input.targets)
        {
            m_targets[target.id] = &target;
            if (target.draining)
                continue;
            m_capacity += target.capacity;
            m_all_silent = m_all_silent && target.silent;
        }
        for (std::uint32_t shard = 0; shard < input.assignments.size(); ++shard)
        {
            m_total += weight(shard);
            if (auto const holder = holder_of(input.assignments[shard]))
                m_load[holder] += weight(shard);
        }
    }

    double weight(std::uint32_t shard) const
    {
        return shard < m_input.weights.size() ? m_input.weights[shard] : 1.0;
    }

    // Returns the member that owns the shard, or will own it after its move; none if that
    // member is not a target.
    owner_id holder_of(assignment const& a) const
    {
        if (a.successor && m_targets.contains(a.successor))
            return a.successor;
        return m_targets.contains(a.owner) ? a.owner : owner_id{};
    }

    bool draining(owner_id const& id) const { return m_targets.at(id)->draining; }

    double utilization(owner_id const& id) const
    {
        return load(id) / m_targets.at(id)->capacity;
    }
    double utilization_with(owner_id const& id, double added) const
    {
        return (load(id) + added) / m_targets.at(id)->capacity;
    }
    double mean() const { return m_capacity <= 0 ? 0 : m_total / m_capacity; }

    void move(owner_id const& from, owner_id const& to, double w)
    {
        if (from)
            m_load[from] -= w;
        m_load[to] += w;
    }

    // Returns the least loaded target that may receive shards, or none.
    owner_id least_loaded() const
    {
        owner_id best;
        for (auto const& target : m_input.targets)
            if (may_receive(target) &&
                (!best || utilization(target.id) < utilization(best)))
                best = target.id;
        return best;
    }

    owner_id most_loaded() const
    {
        owner_id best;
        for (auto const& target : m_input.targets)
            if (!target.draining && (!best || utilization(target.id) > utilization(best)))
                best = target.id;
        return best;
    }

    // Returns the weight that the target can take on up to an even share.
    double headroom(plan_target const& target) const
    {
        return mean() * target.capacity - load(target.id);
    }

    // Returns the target with the most headroom that may receive shards, or none.
    owner_id most_headroom() const
    {
        plan_target const* best = nullptr;
        for (auto const& target : m_input.targets)
            if (may_receive(target) &&
                (best == nullptr || headroom(target) > headroom(*best)))
                best = &target;
        return best == nullptr ? owner_id{} : best->id;
    }

    bool has_headroom(owner_id const& id, double w) const
    {
        auto const it = m_targets.find(id);
        return it != m_targets.end() && may_receive(*it->second) &&
               headroom(*it->second) >= w / 2;
    }

private:
    // A silent target receives shards only if all targets that are not draining are
    // silent.
    bool may_receive(plan_target const& target) const
    {
        return !target.draining && (!target.silent || m_all_silent);
    }

    double load(owner_id const& id) const
    {
        auto const it = m_load.find(id);
        return it == m_load.end() ? 0 : it->second;
    }

    plan_input const& m_input;
    std::map<owner_id, plan_target const*> m_targets;
    std::map<owner_id, double> m_load;
    double m_capacity = 0;
    double m_total = 0;
    bool m_all_silent = true; // all targets that are not draining
};

// Places the shards for which `needs_placement` returns true in blocks of adjacent
// shards. Each goes to the target of the previous shard while that has headroom, else to
// the target with the most headroom.
template <class NeedsPlacement>
void place_in_blocks(plan_input const& input, load_table& loads,
                     std::vector<plan_change>& changes, NeedsPlacement needs_placement)
{
    owner_id last; // owns or receives the previous shard
    for (std::uint32_t shard = 0; shard < input.assignments.size(); ++shard)
    {
        auto const holder = loads.holder_of(input.assignments[shard]);
        if (!needs_placement(input.assignments[shard], holder))
        {
            last = holder;
            continue;
        }
        auto const w = loads.weight(shard);
        auto const to = loads.has_headroom(last, w) ? last : loads.most_headroom();
        if (!to)
            return;
        loads.move(holder, to, w);
        changes.push_back({.shard = shard, .to = to});
        last = to;
    }
}

void place_unowned(plan_input const& input, load_table& loads,
                   std::vector<plan_change>& changes)
{
    place_in_blocks(input, loads, changes,
                    [](assignment const&, owner_id const& holder) { return !holder; });
}

void place_draining(plan_input const& input, load_table& loads,
                    std::vector<plan_change>& changes)
{
    place_in_blocks(input, loads, changes,
                    [&](assignment const& a, owner_id const& holder)
                    { return holder && holder == a.owner && loads.draining(holder); });
}

// Adjacent shards that would move together.
struct block
{
    std::uint32_t first = 0;
    std::uint32_t last = 0; // inclusive
    double weight = 0;
};

// Searches for the block to move from `from` to `to` with the best ratio of gain to cost.
// The gain is the decrease of the higher of the two loads, ignoring any decrease below
// the bound; the cost grows with each moved shard and each additional range. A block is a
// single shard, or the beginning or end of a run of adjacent shards.
class block_search
{
public:
    block_search(load_table const& loads, owner_id const& from, owner_id const& to,
                 double bound)
        : m_loads(loads), m_from(from), m_to(to), m_bound(bound),
          m_initial_utilization(loads.utilization(from))
    {
    }

    void try_run(std::uint32_t first, std::uint32_t last)
    {
        block front{.first = first, .last = first, .weight = 0};
        block back{.first = last, .last = last, .weight = 0};
        for (std::uint32_t n = 0; n <= last - first; ++n)
        {
            front.last = first + n;
            front.weight += m_loads.weight(front.last);
            consider(front);
            back.first = last - n;
            back.weight += m_loads.weight(back.first);
            consider(back);
            // A shard from the middle splits its range in two.
            consider({.first = first + n,
                      .last = first + n,
                      .weight = m_loads.weight(first + n)},
                     middle_cost);
        }
    }

    // Returns nothing if no block lowers the higher of the two loads.
    std::optional<block> best() const { return m_best; }

private:
    // Fixed costs of a move, in the unit of moved shards.
    static constexpr double end_cost = 8;     // shifts the boundary between two ranges
    static constexpr double middle_cost = 10; // splits a range in two

    void consider(block const& b, double cost = end_cost)
    {
        auto const peak = std::max(m_loads.utilization_with(m_from, -b.weight),
                                   m_loads.utilization_with(m_to, b.weight));
        auto const gain = (m_initial_utilization - std::max(peak, m_bound)) /
                          (cost + static_cast<double>(b.last - b.first + 1));
        if (gain <= m_gain)
            return;
        m_gain = gain;
        m_best = b;
    }

    load_table const& m_loads;
    owner_id m_from;
    owner_id m_to;
    double m_bound;
    double m_initial_utilization; // of `from`, before the move
    double m_gain = 0;
    std::optional<block> m_best;
};

std::optional<block> best_block(plan_input const& input, load_table const& loads,
                                std::vector<bool> const& moved, owner_id const& from,
                                owner_id const& to, double bound)
{
    block_search search(loads, from, to, bound);
    auto const movable = [&](std::uint32_t shard)
    {
        auto const& a = input.assignments[shard];
        return !moved[shard] && !a.successor && a.owner == from;
    };
    auto const count = static_cast<std::uint32_t>(input.assignments.size());
    for (std::uint32_t first = 0; first < count; ++first)
    {
        if (!movable(first))
            continue;
        auto last = first;
        while (last + 1 < count && movable(last + 1))
            ++last;
        search.try_run(first, last);
        first = last;
    }
    return search.best();
}

void rebalance(plan_input const& input, plan_options const& opts, load_table& loads,
               std::vector<plan_change>& changes)
{
    std::vector<bool> moved(input.assignments.size(), false);
    for (auto const& change : changes)
        moved[change.shard] = true;
    for (std::size_t moves = 0; moves < opts.max_moves; ++moves)
    {
        auto const from = loads.most_loaded();
        auto const to = loads.least_loaded();
        if (!from || from == to || loads.utilization(from) <= opts.min_load ||
            loads.utilization(from) <= loads.mean() * opts.imbalance_bound)
            return;
        auto const b = best_block(input, loads, moved, from, to,
                                  loads.mean() * opts.imbalance_bound);
        if (!b)
            return;
        loads.move(from, to, b->weight);
        for (auto shard = b->first; shard <= b->last; ++shard)
        {
            moved[shard] = true;
            changes.push_back({.shard = shard, .to = to});
        }
    }
}

} // namespace

std::vector<plan_change> plan(plan_input const& input, plan_options const& opts)
{
    std::vector<plan_change> changes;
    if (input.targets.empty())
        return changes;
    load_table loads(input);
    place_unowned(input, loads, changes);
    place_draining(input, loads, changes);
    rebalance(input, opts, loads, changes);
    std::sort(changes.begin(), changes.end(),
              [](plan_change const& a, plan_change const& b)
              { return a.shard < b.shard; });
    return changes;
}

double imbalance(plan_input const& input)
{
    load_table const loads(input);
    auto const most_loaded = loads.most_loaded();
    if (!most_loaded || loads.mean() <= 0)
        return 1.0;
    return loads.utilization(most_loaded) / loads.mean();
}

} // namespace buckthornusher
