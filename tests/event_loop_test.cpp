// Tests of the event loop's fairness: hooks with endless work must not starve timers, and
// pending hook work must not wait for the next event.
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

TEST(event_loop, hooks_that_always_have_work_do_not_starve_timers)
{
    event_loop loop;
    constexpr int many = 10'000;
    int passes = 0;
    bool timer_ran = false;
    loop.after_round([&] { return ++passes < many; });
    loop.timers().at(boot_now(), [](instant) {});
    loop.run_once();
    loop.timers().at(boot_now(), [&](instant) { timer_ran = true; });
    loop.run_once();
    EXPECT_TRUE(timer_ran);
    EXPECT_LT(passes, many);
}

TEST(event_loop, hooks_with_more_work_continue_without_waiting)
{
    event_loop loop;
    constexpr int many = 100;
    int passes = 0;
    loop.after_round([&] { return ++passes < many; });
    while (passes < many)
        loop.run_once(); // no timer or descriptor wakes the loop
}

} // namespace
} // namespace buckthornusher
