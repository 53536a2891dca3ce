// Tests of burn rates against known numbers of requests and failures.
#include "buckthornusher/burn.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

instant at_minute(int m)
{
    return instant(std::chrono::minutes(m));
}

TEST(burn, burn_rates_match_the_counted_failures)
{
    burn_recorder recorder;
    for (int i = 0; i < 1'000; ++i)
        recorder.count("s", i % 100 != 0, i % 50 == 1,
                       at_minute(10)); // 10 failed, 20 slow
    auto const counts = recorder.window(5min, at_minute(10)).at("s");
    EXPECT_EQ(counts, (burn_counts{.total = 1'000, .failed = 10, .slow = 20}));
    EXPECT_NEAR(availability_burn(counts, {.availability = 0.999}), 10.0, 1e-9);
    EXPECT_NEAR(latency_burn(counts, {.within_latency = 0.99}), 20.0 / 990 / 0.01, 1e-9);
}

TEST(burn, a_window_excludes_older_minutes)
{
    burn_recorder recorder;
    recorder.count("s", false, false, at_minute(100));
    EXPECT_EQ(recorder.window(5min, at_minute(104)).at("s").failed, 1U);
    EXPECT_FALSE(recorder.window(5min, at_minute(105)).contains("s"));
    EXPECT_EQ(recorder.window(360min, at_minute(400)).at("s").failed, 1U);
    EXPECT_FALSE(recorder.window(360min, at_minute(460)).contains("s"));
}

TEST(burn, counts_of_a_restarted_node_add_to_the_others)
{
    burn_recorder old_node;
    burn_recorder restarted;
    for (int i = 0; i < 100; ++i)
        old_node.count("s", i >= 10, false, at_minute(7));
    restarted.count("s", true, false, at_minute(8));
    auto const sum = old_node.window(60min, at_minute(8)).at("s") +
                     restarted.window(60min, at_minute(8)).at("s");
    EXPECT_EQ(sum, (burn_counts{.total = 101, .failed = 10, .slow = 0}));
}

TEST(burn, no_requests_give_a_burn_rate_of_zero)
{
    EXPECT_EQ(availability_burn({}, {}), 0.0);
}

} // namespace
} // namespace buckthornusher
