// Tests of when and how the shards of a large service get their owners.
#include "coordination/placement_gate.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr std::size_t large_service = 41; // targets
constexpr std::uint32_t shards = 1'024;

instant at_ms(int ms)
{
    return instant{} + 1h + std::chrono::milliseconds(ms);
}

std::vector<plan_target> first_targets(std::size_t count)
{
    std::vector<plan_target> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({.id = {.node = "n" + std::to_string(100 + i), .generation = 1},
                           .domain = "d" + std::to_string(i % 8),
                           .capacity = 11});
    return targets;
}

plan_input input_of(std::size_t targets)
{
    return {.service = "s",
            .targets = first_targets(targets),
            .assignments = std::vector<assignment>(shards),
            .weights = {}};
}

void carry_out(plan_input& input, std::vector<plan_change> const& changes)
{
    for (auto const& c : changes)
        input.assignments[c.shard] = {.owner = c.to, .epoch = 1};
}

TEST(placement_gate, a_fleet_that_starts_gets_its_owners_once_all_targets_are_known)
{
    placement_gate gate({});
    EXPECT_FALSE(gate.open({}, 1, at_ms(0)));
    std::size_t placed_on = 0;
    // A target becomes known each 40 ms; the shards are planned each 20 ms.
    for (int ms = 0; ms < 5'000 && placed_on == 0; ms += 20)
    {
        auto const known = std::min<std::size_t>(large_service, 1 + ms / 40);
        if (gate.open(first_targets(known), 1, at_ms(ms)))
            placed_on = known;
    }
    EXPECT_EQ(placed_on, large_service);
}

TEST(placement_gate, a_fleet_that_never_settles_gets_its_owners_within_the_bound)
{
    placement_gate gate({});
    int opened_at = 0;
    for (int ms = 0; ms < 10'000 && opened_at == 0; ms += 100)
        if (gate.open(first_targets(1 + ms / 100 % 7), 1, at_ms(ms)))
            opened_at = ms;
    EXPECT_EQ(opened_at, 3'000);
}

TEST(placement_gate, the_loss_of_a_part_of_a_fleet_is_not_held_up)
{
    placement_gate gate({});
    EXPECT_TRUE(gate.open(first_targets(large_service), 0, at_ms(0)));
    EXPECT_TRUE(gate.open(first_targets(large_service / 2), 0.5, at_ms(100)));
    EXPECT_FALSE(gate.open(first_targets(3), 0.9, at_ms(200)))
        << "most of the fleet is lost and comes back";
    EXPECT_TRUE(gate.open(first_targets(3), 0.9, at_ms(1'200)));
}

// What the gate avoids: placed on the first two targets, the shards of a large service
// take many plans of eight moves to reach all targets.
TEST(placement_gate, a_placement_on_all_targets_is_even_at_once)
{
    auto input = input_of(large_service);
    carry_out(input, plan(input, {.max_moves = 0}));
    EXPECT_LT(imbalance(input), 1.1);
}

TEST(placement_gate, moves_in_proportion_to_the_targets_spread_late_joiners_in_few_plans)
{
    auto input = input_of(large_service / 2);
    carry_out(input, plan(input, {.max_moves = 0}));
    input.targets = first_targets(large_service);
    int plans = 0;
    while (imbalance(input) > 1.3 && plans < 10)
    {
        carry_out(input, plan(input, {.max_moves = large_service / 3}));
        ++plans;
    }
    EXPECT_LE(plans, 3);
}

} // namespace
} // namespace buckthornusher
