// Load shedding on arrival: single decisions, and a simulated overloaded processor.
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

TEST(intake, accepts_requests_that_were_read_soon)
{
    EXPECT_EQ(overload_retry_after(after(0ms), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(200ms), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(201ms), options), 402ms);
    EXPECT_EQ(overload_retry_after(after(5s), options), options.max_retry_after);
}

TEST(intake, a_more_urgent_rank_may_wait_longer)
{
    EXPECT_EQ(overload_retry_after(after(140ms, 2), options), 280ms);
    EXPECT_EQ(overload_retry_after(after(140ms, 1), options), std::nullopt);
    EXPECT_EQ(overload_retry_after(after(300ms, 1), options), 600ms);
    EXPECT_EQ(overload_retry_after(after(300ms, 0), options), std::nullopt);
}

TEST(intake, a_short_caller_timeout_lowers_the_maximum_wait)
{
    arrival const a{.unread = 26ms, .caller_timeout = 100ms};
    EXPECT_EQ(overload_retry_after(a, options), options.min_retry_after);
    EXPECT_EQ(overload_retry_after({.unread = 25ms, .caller_timeout = 100ms}, options),
              std::nullopt);
}

// Simulates a processor that reads requests in order of arrival. Callers disconnect at
// their timeout, and discarding such a request costs little.
struct processor
{
    duration serve = 4ms;     // cost of an accepted request
    duration refuse = 1ms;    // cost of a refused request
    duration discard = 200us; // cost of a request whose caller has left

    // Returns the share of requests answered within the objective. `load`: offered load
    // as a multiple of the processor's capacity. `refuses`: whether it sheds load.
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

TEST(intake, at_three_times_its_capacity_a_processor_still_answers_within_the_objective)
{
    processor const p;
    EXPECT_LT(p.in_time(3, false), 0.1)
        << "without shedding, late requests are served first";
    // Even with all others refused, a third of the processor's time would serve 1 in 9.
    EXPECT_GT(p.in_time(3, true), 0.1);
    EXPECT_GT(p.in_time(2, true), 3 * p.in_time(2, false));
}

TEST(intake, below_its_capacity_nothing_is_refused)
{
    EXPECT_EQ(processor{}.in_time(0.95, true), 1.0);
}

} // namespace
} // namespace buckthornusher
