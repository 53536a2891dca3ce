// What a node that is behind its work takes, alone and under load.
#include "buckthornusher/intake.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace buckthornusher
{
namespace
{

constexpr intake_options options{};
constexpr duration objective = 600ms;
constexpr duration caller_timeout = 1500ms;

arrival after(duration unread, std::uint32_t rank = 1)
{
    return {.unread = unread, .caller_timeout = caller_timeout, .rank = rank};
}

TEST(intake, takes_what_was_read_soon)
{
    EXPECT_EQ(overload_retry_after(after(0ms), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(200ms), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(201ms), options), 402ms);
    EXPECT_EQ(overload_retry_after(after(5s), options), options.max_retry_after);
}

TEST(intake, the_more_urgent_rank_may_wait_longer)
{
    EXPECT_EQ(overload_retry_after(after(140ms, 2), options), 280ms);
    EXPECT_EQ(overload_retry_after(after(140ms, 1), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(300ms, 1), options), 600ms);
    EXPECT_EQ(overload_retry_after(after(300ms, 0), options), std::nullopt);
}

TEST(intake, a_caller_with_little_time_is_told_sooner)
{
    arrival const a{.unread = 26ms, .caller_timeout = 100ms};
    EXPECT_EQ(overload_retry_after(a, options), options.min_retry_after);
    EXPECT_EQ(overload_retry_after({.unread = 25ms, .caller_timeout = 100ms}, options),
              std::nullopt);
}

// A processor that reads requests in the order in which they came; callers leave when
// their time is over, and what they left behind costs little.
struct processor
{
    duration serve = 4ms;     // a request that is taken
    duration refuse = 1ms;    // one that is refused
    duration discard = 200us; // one whose caller has left

    // The share of requests that are answered in time, at so many times what the
    // processor can serve.
    double in_time(double load, bool refuses) const
    {
        constexpr duration length = 20s;
        auto const gap = duration(
            static_cast<duration::rep>(static_cast<double>(serve.count()) / load));
        duration now{0};
        int sent = 0;
        int served = 0;
        for (duration came{0}; came < length; came += gap)
        {
            ++sent;
            now = std::max(now, came);
            auto const unread = now - came;
            if (unread >= caller_timeout)
                now += discard;
            else if (refuses && overload_retry_after(after(unread), options))
                now += refuse;
            else
            {
                now += serve;
                served += now - came <= objective ? 1 : 0;
            }
        }
        return static_cast<double>(served) / sent;
    }
};

TEST(intake, under_three_times_its_load_a_processor_still_answers_in_time)
{
    processor const p;
    EXPECT_LT(p.in_time(3, false), 0.1) << "what is late is served first, for nobody";
    // Of the processor's time a third could serve 1 in 9, were all others refused.
    EXPECT_GT(p.in_time(3, true), 0.1);
    EXPECT_GT(p.in_time(2, true), 3 * p.in_time(2, false));
}

TEST(intake, below_its_load_nothing_is_refused)
{
    EXPECT_EQ(processor{}.in_time(0.95, true), 1.0);
}

} // namespace
} // namespace buckthornusher
