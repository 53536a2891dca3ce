// Tests of the classification of upstream reports.
#include "buckthornusher/report_order.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

upstream_incarnation const first{.id = "u", .started = 10};
upstream_incarnation const second{.id = "v", .started = 20};
constexpr instant now{100s};

TEST(report_order, an_overtaken_report_is_late)
{
    report_order order;
    EXPECT_EQ(order.classify(first, 4, now), report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 6, now), report_verdict::next);
    EXPECT_EQ(order.classify(first, 5, now), report_verdict::late);
    EXPECT_EQ(order.classify(first, 6, now), report_verdict::late);
    EXPECT_EQ(order.classify(first, 7, now), report_verdict::next);
}

TEST(report_order, a_report_of_an_earlier_incarnation_is_stale_and_changes_nothing)
{
    report_order order;
    order.classify(first, 4, now);
    EXPECT_EQ(order.classify(second, 1, now), report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 5, now), report_verdict::stale_incarnation);
    EXPECT_EQ(order.classify(second, 2, now), report_verdict::next);
}

TEST(report_order, a_restart_under_the_same_id_is_a_new_incarnation)
{
    report_order order;
    order.classify(first, 9, now);
    EXPECT_EQ(order.classify({.id = "u", .started = 11}, 1, now),
              report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 10, now), report_verdict::stale_incarnation);
}

TEST(report_order, reports_without_numbers_count_in_order_of_arrival)
{
    report_order order;
    order.classify(first, 0, now);
    EXPECT_EQ(order.classify(first, 0, now), report_verdict::next);
}

// Guards against an upstream that loses its voice for good to a later start that another
// program claimed once.
TEST(report_order, an_incarnation_that_goes_on_reporting_speaks_again_after_the_lapse)
{
    report_order order;
    order.classify(first, 4, now);
    order.classify(second, 1, now);
    EXPECT_EQ(order.classify(first, 5, now + voice_lapse - 1us),
              report_verdict::stale_incarnation);
    EXPECT_EQ(order.classify(first, 6, now + voice_lapse),
              report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 7, now + voice_lapse + 1s), report_verdict::next);
}

TEST(report_order, a_later_incarnation_keeps_its_voice_while_it_reports)
{
    report_order order;
    order.classify(first, 4, now);
    for (int second_of_test = 0; second_of_test < 60; ++second_of_test)
    {
        auto const at = now + second_of_test * 1s;
        order.classify(second, 1 + second_of_test, at);
        EXPECT_EQ(order.classify(first, 5 + second_of_test, at + 500ms),
                  report_verdict::stale_incarnation);
    }
}

} // namespace
} // namespace buckthornusher
