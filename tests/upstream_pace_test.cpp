// Tests of the pace of upstreams that have just started or recovered, against starts of
// known shape. The load: always more requests than the upstream has slots.
#include "buckthornusher/upstream_pace.hpp"
#include "buckthornusher/upstream_queue.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <vector>

namespace buckthornusher
{
namespace
{

constexpr std::uint32_t slots = 20;
constexpr std::int64_t begin_ms = 10'000;

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

// How an upstream answers a request that starts `ms` after the upstream, beside `running`
// others.
struct behaviour
{
    double factor = 1; // of the usual time of the class
    double bad = 0;    // probability of a failure
};
using shape = std::function<behaviour(std::int64_t ms, std::size_t running)>;

// Keeps as many requests at the upstream as the pace allows.
struct trial
{
    explicit trial(shape const& s, std::int64_t for_ms, std::uint32_t seed)
    {
        struct request
        {
            std::int64_t began;
            std::int64_t ends;
            bool good;
            std::string request_class;
        };
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> share(0, 1);
        std::vector<request> open;
        pace.begin(at_ms(begin_ms));
        for (std::int64_t ms = 0; ms < for_ms; ++ms)
        {
            auto const now = at_ms(begin_ms + ms);
            for (auto const& r : open)
                if (r.ends == ms)
                {
                    ++(r.good ? good : bad);
                    pace.on_answer({.request_class = r.request_class,
                                    .good = r.good,
                                    .took = at_ms(ms) - at_ms(r.began),
                                    .started = at_ms(begin_ms + r.began)},
                                   slots, now);
                }
            std::erase_if(open, [&](auto const& r) { return r.ends == ms; });
            auto const limit = pace.limit(slots, now);
            limits.push_back(limit);
            while (open.size() < limit)
            {
                bool const quick = share(random) < 0.5;
                auto const b = s(ms, open.size());
                bool const fails = share(random) < b.bad;
                // Work varies by a half either way.
                auto const took = (quick ? 60 : 200) * b.factor * (0.5 + share(random));
                open.push_back({.began = ms,
                                .ends = ms + std::max<std::int64_t>(
                                                 1, fails ? 5 : std::int64_t(took)),
                                .good = !fails,
                                .request_class = quick ? "quick" : "long"});
            }
            most = std::max(most, open.size());
        }
    }

    // Returns when the limit reached all slots for good, or -1.
    std::int64_t full_from() const
    {
        auto ms = static_cast<std::int64_t>(limits.size());
        while (ms > 0 && limits[static_cast<std::size_t>(ms - 1)] == slots)
            --ms;
        return ms == static_cast<std::int64_t>(limits.size()) ? -1 : ms;
    }
    std::uint32_t limit_at(std::size_t ms) const { return limits[ms]; }
    std::uint32_t most_between(std::size_t from, std::size_t to) const
    {
        return *std::max_element(limits.begin() + static_cast<std::ptrdiff_t>(from),
                                 limits.begin() + static_cast<std::ptrdiff_t>(to));
    }

    upstream_pace pace;
    std::vector<std::uint32_t> limits; // by millisecond
    std::size_t most = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
};

constexpr std::uint32_t seeds = 20;

TEST(upstream_pace, one_that_is_healthy_at_once_is_full_well_before_the_line)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t([](auto, auto) { return behaviour{}; }, 5'000, seed);
        EXPECT_EQ(t.limit_at(0), slots / 4) << "seed " << seed;
        EXPECT_GE(t.full_from(), 0) << "seed " << seed;
        EXPECT_LE(t.full_from(), 1'500) << "seed " << seed;
        EXPECT_EQ(t.pace.steps_down(), 0U) << "seed " << seed;
        EXPECT_FALSE(t.pace.is_paced()) << "seed " << seed;
    }
}

// Fewer requests would make it no faster.
TEST(upstream_pace, one_that_is_cold_for_3_s_at_half_speed_is_neither_flooded_nor_idle)
{
    auto const cold = [](std::int64_t ms, auto)
    {
        return behaviour{.factor = ms < 3'000 ? 2.0 : 1.0};
    };
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t(cold, 5'000, seed);
        EXPECT_LE(t.most_between(0, 100), slots / 4 + 1) << "seed " << seed;
        EXPECT_LE(t.full_from(), 3'000) << "seed " << seed;
        EXPECT_GE(t.full_from(), 0) << "seed " << seed;
    }
}

// For ten seconds every request beyond five at once makes all of them slower.
TEST(upstream_pace, one_that_is_slow_for_10_s_gets_few_until_it_bears_more)
{
    auto const slow = [](std::int64_t ms, std::size_t running)
    {
        if (ms >= 10'000)
            return behaviour{};
        return behaviour{.factor = 3 * std::max(1.0, static_cast<double>(running) / 5)};
    };
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t(slow, 26'000, seed);
        double sum = 0;
        for (std::size_t ms = 2'000; ms < 10'000; ++ms)
            sum += t.limit_at(ms);
        EXPECT_LE(sum / 8'000, 0.75 * slots) << "seed " << seed;
        EXPECT_GE(t.full_from(), 0) << "seed " << seed;
        EXPECT_LE(t.full_from(), 10'000 + 12'500) << "seed " << seed;
        EXPECT_LE(t.pace.steps_down(), 6U) << "seed " << seed;
    }
}

TEST(upstream_pace, one_that_fails_for_good_gets_one_or_two_at_a_time)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t([](auto, auto) { return behaviour{.bad = 1}; }, 20'000, seed);
        EXPECT_LE(t.most, slots / 4) << "seed " << seed;
        EXPECT_LE(t.most_between(1'000, 20'000), 2U) << "seed " << seed;
        EXPECT_TRUE(t.pace.is_paced()) << "seed " << seed;
    }
}

// For five seconds it refuses what exceeds half of its slots.
TEST(upstream_pace, one_that_bears_half_of_its_slots_is_used_without_swinging)
{
    auto const half = [](std::int64_t ms, std::size_t running)
    {
        return behaviour{.bad = ms < 5'000 && running >= slots / 2 ? 1.0 : 0.0};
    };
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t(half, 20'000, seed);
        EXPECT_LE(t.pace.steps_down(), 5U) << "seed " << seed;
        EXPECT_GE(t.full_from(), 5'000) << "seed " << seed;
        EXPECT_LE(t.full_from(), 5'000 + 12'000) << "seed " << seed;
        double used = 0;
        for (std::size_t ms = 0; ms < 5'000; ++ms)
            used += std::min(t.limit_at(ms), slots / 2);
        EXPECT_GE(used / 5'000, 0.6 * slots / 2) << "seed " << seed;
    }
}

// Failing part of the requests is no matter of their number.
TEST(upstream_pace, one_that_fails_part_of_its_requests_keeps_its_first_limit)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t([](auto, auto) { return behaviour{.bad = 0.5}; }, 10'000, seed);
        double sum = 0;
        for (auto const limit : t.limits)
            sum += limit;
        EXPECT_GE(sum / static_cast<double>(t.limits.size()), slots / 4 - 1)
            << "seed " << seed;
    }
}

TEST(upstream_pace, a_rare_failure_changes_nothing)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        trial const t([](auto, auto) { return behaviour{.bad = 0.01}; }, 5'000, seed);
        EXPECT_EQ(t.pace.steps_down(), 0U) << "seed " << seed;
        EXPECT_LE(t.full_from(), 3'000) << "seed " << seed;
    }
}

// No requests come, so no answers tell anything.
TEST(upstream_pace, without_answers_all_slots_are_free_after_the_line)
{
    upstream_pace pace;
    EXPECT_EQ(pace.limit(slots, at_ms(0)), slots);
    pace.begin(at_ms(begin_ms));
    EXPECT_EQ(pace.limit(slots, at_ms(begin_ms)), 5U);
    EXPECT_EQ(pace.limit(slots, at_ms(begin_ms + 3'000)), slots);
    EXPECT_EQ(pace.limit(1, at_ms(begin_ms)), 1U);
    EXPECT_EQ(pace.limit(0, at_ms(begin_ms)), 1U); // nothing starts without slots
}

TEST(upstream_pace, the_queue_runs_as_many_as_the_smallest_limit)
{
    upstream_queue queue({.slots = slots});
    queue.set_pace_limit(5);
    EXPECT_EQ(queue.limit(), 5U);
    queue.set_occupied(3);
    EXPECT_EQ(queue.limit(), 2U);
    queue.set_pace_limit(0);
    EXPECT_EQ(queue.limit(), 1U);
    queue.set_pace_limit(slots);
    queue.set_occupied(0);
    EXPECT_EQ(queue.limit(), slots);
}

} // namespace
} // namespace buckthornusher
