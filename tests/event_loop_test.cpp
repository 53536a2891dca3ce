// The event loop's own promises: whose turn it is when there is more work than time.
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

TEST(event_loop, hooks_without_end_do_not_hold_up_timers)
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

TEST(event_loop, hooks_that_have_more_to_do_go_on_without_waiting)
{
    event_loop loop;
    constexpr int many = 100;
    int passes = 0;
    loop.after_round([&] { return ++passes < many; });
    while (passes < many)
        loop.run_once(); // no timer and no descriptor would wake it
}

} // namespace
} // namespace buckthornusher
