// Tests of the memory budget: who finds room, and who is closed, while clients hold more
// than they should.
#include "buckthornusher/memory_budget.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace buckthornusher
{
namespace
{

constexpr std::uint64_t megabyte = 1'000'000;
constexpr instant start{100s};

// A budget of 100 MB, 8 MB of them for ordinary requests.
memory_budget make_budget()
{
    return memory_budget({.process_bytes = 148 * megabyte});
}

TEST(memory_budget, a_process_of_unknown_memory_is_taken_for_the_smallest)
{
    EXPECT_EQ(memory_budget(make_memory_options(0)).limit(), 112 * megabyte);
    EXPECT_EQ(memory_budget(make_memory_options(260 * megabyte)).limit(), 212 * megabyte);
}

TEST(memory_budget, a_tiny_or_huge_memory_bounds_nothing_away)
{
    EXPECT_EQ(memory_budget(make_memory_options(1)).limit(), 16 * megabyte);
    auto const huge = std::numeric_limits<std::uint64_t>::max();
    memory_budget budget(make_memory_options(huge));
    memory_hold hold(&budget);
    EXPECT_TRUE(hold.try_set(megabyte));
    EXPECT_FALSE(hold.try_set(huge));
    EXPECT_EQ(hold.bytes(), megabyte);
}

// Load: large bodies take all that they may; ordinary requests go on.
TEST(memory_budget, large_bodies_leave_room_for_ordinary_requests)
{
    auto budget = make_budget();
    std::vector<memory_hold> large;
    for (int n = 0; n < 200; ++n)
    {
        memory_hold hold(&budget);
        if (hold.try_set(megabyte))
            large.push_back(std::move(hold));
    }
    EXPECT_EQ(large.size(), 92U);
    EXPECT_EQ(budget.held(), 92 * megabyte);
    memory_hold ordinary(&budget);
    EXPECT_TRUE(ordinary.try_set(30'000));
    // What counts is a request's own size, not how often it is held.
    EXPECT_TRUE(memory_hold(&budget).try_set(72'000, 24'000));
    EXPECT_FALSE(memory_hold(&budget).try_set(72'000, 72'000));
    large.pop_back();
    EXPECT_TRUE(memory_hold(&budget).try_set(900'000));
}

TEST(memory_budget, tells_what_never_has_room_from_what_has_none_now)
{
    auto budget = make_budget();
    memory_hold other(&budget);
    EXPECT_TRUE(other.try_set(92 * megabyte));
    EXPECT_FALSE(memory_hold(&budget).try_set(megabyte));
    EXPECT_TRUE(budget.ever_has_room(90 * megabyte, 30 * megabyte));
    EXPECT_FALSE(budget.ever_has_room(93 * megabyte, 31 * megabyte));
}

TEST(memory_budget, holds_give_back_what_they_have)
{
    auto budget = make_budget();
    {
        memory_hold a(&budget);
        ASSERT_TRUE(a.try_set(megabyte));
        memory_hold b = std::move(a);
        a = memory_hold(&budget);
        EXPECT_EQ(budget.held(), megabyte);
        EXPECT_TRUE(b.try_set(10));
        EXPECT_EQ(budget.held(), 10U);
    }
    EXPECT_EQ(budget.held(), 0U);
    memory_hold without;
    EXPECT_TRUE(without.try_set(std::numeric_limits<std::uint64_t>::max()));
}

TEST(memory_budget, answers_may_exceed_it_until_somebody_is_closed)
{
    auto budget = make_budget();
    memory_hold answer(&budget);
    answer.set(101 * megabyte);
    EXPECT_TRUE(budget.exceeded());
    answer.set(99 * megabyte);
    EXPECT_FALSE(budget.exceeded());
}

// Load: bodies that stop short of their end, beside one that is being sent.
TEST(memory_budget, of_the_stalled_the_one_that_holds_most_is_closed)
{
    std::vector<memory_holder> const holders{
        {.bytes = 3 * megabyte, .last_progress = start + 9s},
        {.bytes = 1 * megabyte, .last_progress = start},
        {.bytes = 2 * megabyte, .last_progress = start + 5s}};
    EXPECT_EQ(choose_victim(holders, victim_search::stalled, start + 9s, {}), 2U);
    EXPECT_EQ(choose_victim(holders, victim_search::stalled, start + 500ms, {}),
              std::nullopt);
}

// Load: answers that many clients read slowly, none of them for long yet.
TEST(memory_budget, without_a_stalled_one_the_slowest_is_closed_if_it_must_be)
{
    std::vector<memory_holder> const holders{
        {.bytes = 1'000, .last_progress = start},
        {.bytes = 2 * megabyte, .last_progress = start + 30ms},
        {.bytes = 3 * megabyte, .last_progress = start + 60ms}};
    EXPECT_EQ(choose_victim(holders, victim_search::any, start + 90ms, {}), 1U);
    EXPECT_EQ(choose_victim({}, victim_search::any, start, {}), std::nullopt);
    EXPECT_EQ(choose_victim({{.bytes = 0}}, victim_search::any, start, {}), std::nullopt);
}

} // namespace
} // namespace buckthornusher
