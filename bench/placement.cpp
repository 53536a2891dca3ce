// Compares the planner with other placement algorithms by imbalance and churn.
//
//   bench_placement
//
// Simulates placement alone, in rounds, on the sizes of the two users and on one large
// fleet. Load is distributed over the shards by Zipf's law or evenly; the ten hottest
// shards change places every 20 rounds, three targets are lost and return, and at the end
// the targets are replaced one by one. Churn is the share of shards whose owner changed;
// it is needed where the old owner was lost and chosen otherwise. Imbalance is the
// highest load of a target divided by the mean.
#include "buckthornusher/planner.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <random>

namespace
{

using namespace buckthornusher;

struct scenario
{
    char const* name = "";
    std::uint32_t shards = 64;
    std::uint32_t targets = 4;
    std::uint32_t slots = 20;
    double zipf = 0.9;
};

// Returns the owner of each shard among the present targets; `before` holds the owners of
// the last round.
using placement = std::function<std::vector<owner_id>(
    plan_input const& input, std::vector<owner_id> const& before)>;

std::string shard_name(std::uint32_t shard)
{
    return "shard/" + std::to_string(shard);
}

std::vector<owner_id> consistent_hashing(plan_input const& input, double bound)
{
    constexpr int virtual_nodes = 100;
    std::vector<std::pair<std::uint64_t, owner_id>> ring;
    for (auto const& t : input.targets)
        for (int v = 0; v < virtual_nodes; ++v)
            ring.emplace_back(
                rendezvous_score("ring", t.id.node + "#" + std::to_string(v)), t.id);
    std::sort(ring.begin(), ring.end());
    auto const total = std::accumulate(input.weights.begin(), input.weights.end(), 0.0);
    auto const limit = bound * total / static_cast<double>(input.targets.size());
    std::map<owner_id, double> load;
    std::vector<owner_id> owners;
    for (std::uint32_t s = 0; s < input.assignments.size(); ++s)
    {
        auto it = std::lower_bound(
            ring.begin(), ring.end(),
            std::pair{rendezvous_score("ring", shard_name(s)), owner_id{}});
        for (std::size_t tries = 0; tries < ring.size(); ++tries, ++it)
        {
            if (it == ring.end())
                it = ring.begin();
            if (bound <= 0 || load[it->second] + input.weights[s] <= limit)
                break;
        }
        if (it == ring.end())
            it = ring.begin();
        load[it->second] += input.weights[s];
        owners.push_back(it->second);
    }
    return owners;
}

std::vector<owner_id> rendezvous(plan_input const& input)
{
    std::vector<owner_id> owners;
    for (std::uint32_t s = 0; s < input.assignments.size(); ++s)
        owners.push_back(
            std::max_element(input.targets.begin(), input.targets.end(),
                             [&](plan_target const& a, plan_target const& b)
                             {
                                 return rendezvous_score(shard_name(s), a.id.node) <
                                        rendezvous_score(shard_name(s), b.id.node);
                             })
                ->id);
    return owners;
}

// Shard n belongs to target n modulo the initial number of targets; the shards of a lost
// target go to the next one.
std::vector<owner_id> static_table(plan_input const& input, std::uint32_t targets)
{
    std::vector<owner_id> owners;
    for (std::uint32_t s = 0; s < input.assignments.size(); ++s)
        for (std::uint32_t k = 0; k < targets; ++k)
        {
            auto const node = "t" + std::to_string((s + k) % targets);
            auto const it =
                std::find_if(input.targets.begin(), input.targets.end(),
                             [&](plan_target const& t) { return t.id.node == node; });
            if (it == input.targets.end())
                continue;
            owners.push_back(it->id);
            break;
        }
    return owners;
}

std::vector<owner_id> planned(plan_input input, std::vector<owner_id> const& before)
{
    for (std::size_t s = 0; s < before.size(); ++s)
        input.assignments[s].owner = before[s];
    std::vector<owner_id> owners = before;
    for (auto const& change : plan(input, {.imbalance_bound = 1.15, .max_moves = 8}))
        owners[change.shard] = change.to;
    return owners;
}

struct result
{
    double needed = 0;
    double voluntary = 0;
    double imbalance_sum = 0;
    double imbalance_max = 0;
    int rounds = 0;
};

class simulation
{
public:
    explicit simulation(scenario const& s) : m_scenario(s), m_random(7)
    {
        for (std::uint32_t t = 0; t < s.targets; ++t)
            m_incarnations.push_back(1);
        m_shards_by_load.resize(s.shards);
        std::iota(m_shards_by_load.begin(), m_shards_by_load.end(), 0U);
        std::shuffle(m_shards_by_load.begin(), m_shards_by_load.end(), m_random);
    }

    result run(placement const& place)
    {
        constexpr int rounds = 300;
        std::vector<owner_id> owners(m_scenario.shards);
        result r;
        for (int round = 0; round < rounds; ++round)
        {
            change(round);
            auto const input = make_input();
            auto const next = place(input, owners);
            if (round > 0)
                count(input, owners, next, r);
            owners = next;
        }
        return r;
    }

private:
    // The hot shards change every 20 rounds. The losses at rounds 60, 120 and 180 last 15
    // rounds. From round 220 on one target is replaced every 10 rounds.
    void change(int round)
    {
        if (round % 20 == 19)
            std::shuffle(m_shards_by_load.begin(), m_shards_by_load.begin() + 10,
                         m_random);
        m_lost = -1;
        for (int const start : {60, 120, 180})
            if (round >= start && round < start + 15)
                m_lost = start / 60 % static_cast<int>(m_scenario.targets);
        if (round >= 220 && round % 10 == 0)
        {
            auto const t = static_cast<std::size_t>((round - 220) / 10);
            if (t < m_incarnations.size())
                ++m_incarnations[t];
        }
    }

    plan_input make_input() const
    {
        plan_input input{.service = "s", .targets = {}, .assignments = {}, .weights = {}};
        for (std::uint32_t t = 0; t < m_scenario.targets; ++t)
            if (static_cast<int>(t) != m_lost)
                input.targets.push_back(
                    {.id = {"t" + std::to_string(t), m_incarnations[t]},
                     .domain = "",
                     .capacity = static_cast<double>(m_scenario.slots)});
        input.assignments.resize(m_scenario.shards);
        input.weights.resize(m_scenario.shards);
        for (std::uint32_t rank = 0; rank < m_scenario.shards; ++rank)
            input.weights[m_shards_by_load[rank]] =
                1.0 / std::pow(rank + 1.0, m_scenario.zipf);
        return input;
    }

    static void count(plan_input input, std::vector<owner_id> const& before,
                      std::vector<owner_id> const& next, result& r)
    {
        for (std::size_t s = 0; s < next.size(); ++s)
        {
            input.assignments[s].owner = next[s];
            if (next[s] == before[s])
                continue;
            bool const owner_present =
                std::any_of(input.targets.begin(), input.targets.end(),
                            [&](plan_target const& t) { return t.id == before[s]; });
            (owner_present ? r.voluntary : r.needed) +=
                1.0 / static_cast<double>(next.size());
        }
        auto const current_imbalance = imbalance(input);
        r.imbalance_sum += current_imbalance;
        r.imbalance_max = std::max(r.imbalance_max, current_imbalance);
        ++r.rounds;
    }

    scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<std::uint32_t> m_shards_by_load; // shards by descending load
    int m_lost = -1;
};

} // namespace

int main()
{
    for (auto const& s :
         {scenario{.name = "svecnik-uniform", .slots = 20, .zipf = 0},
          scenario{.name = "svecnik-zipf", .slots = 20, .zipf = 0.6},
          scenario{.name = "tui-uniform", .slots = 12, .zipf = 0},
          scenario{.name = "tui-zipf", .slots = 12, .zipf = 0.6},
          scenario{
              .name = "two-years-uniform", .shards = 8'320, .targets = 520, .zipf = 0}})
    {
        std::vector<std::pair<char const*, placement>> const placements{
            {"planner",
             [](auto const& i, auto const& b)
             {
                 return planned(i, b);
             }},
            {"consistent-hashing",
             [](auto const& i, auto const&)
             {
                 return consistent_hashing(i, 0);
             }},
            {"bounded-loads",
             [](auto const& i, auto const&)
             {
                 return consistent_hashing(i, 1.15);
             }},
            {"rendezvous",
             [](auto const& i, auto const&)
             {
                 return rendezvous(i);
             }},
            {"static-table", [&](auto const& i, auto const&)
             {
                 return static_table(i, s.targets);
             }}};
        for (auto const& [name, place] : placements)
        {
            if (s.targets > 100 && name != std::string("planner") &&
                name != std::string("static-table"))
                continue; // these take minutes at this size
            auto const r = simulation(s).run(place);
            std::cout << std::fixed << std::setprecision(3) << s.name << " " << name
                      << " imbalance_mean " << r.imbalance_sum / r.rounds
                      << " imbalance_max " << r.imbalance_max << " churn_chosen "
                      << r.voluntary << " churn_needed " << r.needed << "\n";
        }
    }
    return 0;
}
