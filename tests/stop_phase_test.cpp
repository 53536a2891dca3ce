// Tests of the phases of a planned stop.
#include "buckthornusher/planned_stop.hpp"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr instant began{100s};

planned_stop_options const platform{.grace = 6s,
                                    .deadline_check_after = 2500ms,
                                    .min_serving_time = 3s,
                                    .releases_shards = true,
                                    .ends_on_repeated_request = false};

planned_stop_options staying()
{
    auto opts = platform;
    opts.releases_shards = false;
    return opts;
}

std::chrono::milliseconds draw_ms(int from, int below)
{
    return std::chrono::milliseconds(*rc::gen::inRange(from, below));
}

RC_GTEST_PROP(planned_stop,
              a_request_accepted_after_the_deadline_check_ends_before_the_process, ())
{
    planned_stop const stop({.grace = draw_ms(1'000, 30'000),
                             .deadline_check_after = draw_ms(0, 3'000),
                             .min_serving_time = draw_ms(0, 3'000),
                             .releases_shards = *rc::gen::arbitrary<bool>()},
                            began);
    auto const now = began + 3s + draw_ms(0, 40'000);
    auto const deadline = now + draw_ms(1, 10'000);
    if (stop.accepts(deadline, now))
        RC_ASSERT(stop.phase({.shards_released = true, .idle = false}, deadline - 1us) !=
                  stop_phase::ending);
}

TEST(planned_stop, accepts_all_requests_until_the_deadline_check_begins)
{
    planned_stop const stop(platform, began);
    EXPECT_TRUE(stop.accepts(began + 60s, began + 2499ms));
    EXPECT_FALSE(stop.accepts(began + 60s, began + 2500ms));
    EXPECT_TRUE(stop.accepts(began + 5300ms, began + 2500ms));
}

TEST(planned_stop, closing_starts_at_the_same_time_with_and_without_releasing_shards)
{
    for (auto const& opts : {platform, staying()})
    {
        planned_stop const stop(opts, began);
        stop_progress const busy{.shards_released = opts.releases_shards, .idle = false};
        EXPECT_EQ(stop.phase(busy, began + 2999ms), stop_phase::serving);
        EXPECT_EQ(stop.phase(busy, began + 3s), stop_phase::closing);
        EXPECT_EQ(stop.phase(busy, began + 5299ms), stop_phase::closing);
        EXPECT_EQ(stop.phase(busy, began + 5300ms), stop_phase::ending);
    }
}

TEST(planned_stop, serves_its_shards_until_they_are_released)
{
    planned_stop const stop(platform, began);
    EXPECT_EQ(stop.phase({.shards_released = false, .idle = true}, began + 5299ms),
              stop_phase::serving);
    EXPECT_EQ(stop.phase({.shards_released = true, .idle = true}, began + 5s),
              stop_phase::ending);
}

TEST(planned_stop, an_idle_process_serves_for_the_minimum_time)
{
    planned_stop const stop(staying(), began);
    EXPECT_EQ(stop.phase({.idle = true}, began + 2999ms), stop_phase::serving);
    EXPECT_EQ(stop.phase({.idle = true}, began + 3s), stop_phase::ending);
}

TEST(planned_stop, a_repeated_request_ends_the_process_only_if_enabled)
{
    planned_stop const ours({.grace = 20s}, began);
    EXPECT_EQ(ours.phase({.stop_requests = 2}, began), stop_phase::ending);
    planned_stop const theirs(platform, began);
    EXPECT_EQ(theirs.phase({.stop_requests = 2}, began), stop_phase::serving);
}

} // namespace
} // namespace buckthornusher
