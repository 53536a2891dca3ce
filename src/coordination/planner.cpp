// Where shards are placed: see the header.
#include "buckthornusher/planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace buckthornusher
{

namespace
{

// The loads while a plan is made. Invariant: `load` is the weight of the shards that
// each target owns or will own.
class load_table
{
public:
    explicit load_table(plan_input const& input) : m_input(input)
    {
        for (auto const& target : input.targets)
        {
            m_targets[target.id] = &target;
            if (!target.draining)
                m_slots += target.slots;
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

    // The member that has the shard, or will have it when its move is done; none if lost.
    owner_id holder_of(assignment const& a) const
    {
        if (a.successor && m_targets.contains(a.successor))
            return a.successor;
        return m_targets.contains(a.owner) ? a.owner : owner_id{};
    }

    bool draining(owner_id const& id) const { return m_targets.at(id)->draining; }

    double relative(owner_id const& id) const
    {
        return load(id) / m_targets.at(id)->slots;
    }
    double relative_with(owner_id const& id, double added) const
    {
        return (load(id) + added) / m_targets.at(id)->slots;
    }
    double mean() const { return m_slots == 0 ? 0 : m_total / m_slots; }

    void move(owner_id const& from, owner_id const& to, double w)
    {
        if (from)
            m_load[from] -= w;
        m_load[to] += w;
    }

    // The target with the lowest load; none if all drain.
    owner_id lowest() const
    {
        owner_id best;
        for (auto const& target : m_input.targets)
            if (!target.draining && (!best || relative(target.id) < relative(best)))
                best = target.id;
        return best;
    }

    owner_id highest() const
    {
        owner_id best;
        for (auto const& target : m_input.targets)
            if (!target.draining && (!best || relative(target.id) > relative(best)))
                best = target.id;
        return best;
    }

    // The highest rendezvous score among targets that stay at or below `bound`.
    owner_id place(std::uint32_t shard, double bound) const
    {
        auto const subject = m_input.service + "/" + std::to_string(shard);
        owner_id best;
        std::uint64_t best_score = 0;
        for (auto const& target : m_input.targets)
        {
            if (target.draining || relative_with(target.id, weight(shard)) > bound)
                continue;
            // By node, not incarnation: a restarted node scores as before.
            auto const score = rendezvous_score(subject, target.id.node);
            if (!best || score > best_score)
            {
                best = target.id;
                best_score = score;
            }
        }
        return best ? best : lowest();
    }

private:
    double load(owner_id const& id) const
    {
        auto const it = m_load.find(id);
        return it == m_load.end() ? 0 : it->second;
    }

    plan_input const& m_input;
    std::map<owner_id, plan_target const*> m_targets;
    std::map<owner_id, double> m_load;
    double m_slots = 0;
    double m_total = 0;
};

void place_unowned(plan_input const& input, load_table& loads,
                   std::vector<plan_change>& changes)
{
    // One shard more than an even share, so that a placement always exists.
    auto const smallest = std::min_element(input.targets.begin(), input.targets.end(),
                                           [](plan_target const& a, plan_target const& b)
                                           { return a.slots < b.slots; });
    auto const bound = loads.mean() + 1.0 / smallest->slots;
    for (std::uint32_t shard = 0; shard < input.assignments.size(); ++shard)
    {
        if (loads.holder_of(input.assignments[shard]))
            continue;
        auto const to = loads.place(shard, bound);
        if (!to)
            return;
        loads.move({}, to, loads.weight(shard));
        changes.push_back({.shard = shard, .to = to});
    }
}

void drain(plan_input const& input, load_table& loads, std::vector<plan_change>& changes)
{
    for (std::uint32_t shard = 0; shard < input.assignments.size(); ++shard)
    {
        auto const& a = input.assignments[shard];
        auto const holder = loads.holder_of(a);
        if (!holder || holder != a.owner || !loads.draining(holder))
            continue;
        auto const to = loads.lowest();
        if (!to)
            return;
        loads.move(holder, to, loads.weight(shard));
        changes.push_back({.shard = shard, .to = to});
    }
}

// The shard of `from` whose move to `to` brings both closest to each other, if any
// lowers the higher of the two.
std::int64_t best_shard(plan_input const& input, load_table const& loads,
                        std::vector<bool> const& moved, owner_id const& from,
                        owner_id const& to)
{
    std::int64_t best = -1;
    auto best_peak = loads.relative(from);
    for (std::uint32_t shard = 0; shard < input.assignments.size(); ++shard)
    {
        auto const& a = input.assignments[shard];
        if (moved[shard] || a.successor || a.owner != from)
            continue;
        auto const w = loads.weight(shard);
        auto const peak =
            std::max(loads.relative_with(from, -w), loads.relative_with(to, w));
        if (peak < best_peak)
        {
            best_peak = peak;
            best = shard;
        }
    }
    return best;
}

void rebalance(plan_input const& input, plan_options const& opts, load_table& loads,
               std::vector<plan_change>& changes)
{
    std::vector<bool> moved(input.assignments.size(), false);
    for (auto const& change : changes)
        moved[change.shard] = true;
    for (std::size_t moves = 0; moves < opts.max_moves; ++moves)
    {
        auto const from = loads.highest();
        auto const to = loads.lowest();
        if (!from || from == to ||
            loads.relative(from) <= loads.mean() * opts.imbalance_bound)
            return;
        auto const shard = best_shard(input, loads, moved, from, to);
        if (shard < 0)
            return;
        auto const index = static_cast<std::uint32_t>(shard);
        moved[index] = true;
        loads.move(from, to, loads.weight(index));
        changes.push_back({.shard = index, .to = to});
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
    drain(input, loads, changes);
    rebalance(input, opts, loads, changes);
    std::sort(changes.begin(), changes.end(),
              [](plan_change const& a, plan_change const& b)
              { return a.shard < b.shard; });
    return changes;
}

double imbalance(plan_input const& input)
{
    load_table const loads(input);
    auto const highest = loads.highest();
    if (!highest || loads.mean() <= 0)
        return 1.0;
    return loads.relative(highest) / loads.mean();
}

} // namespace buckthornusher
