// Tests of the classification of upstream reports.
#include "buckthornusher/report_order.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

upstream_incarnation const first{.id = "u", .started = 10};
upstream_incarnation const second{.id = "v", .started = 20};

TEST(report_order, an_overtaken_report_is_late)
{
    report_order order;
    EXPECT_EQ(order.classify(first, 4), report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 6), report_verdict::next);
    EXPECT_EQ(order.classify(first, 5), report_verdict::late);
    EXPECT_EQ(order.classify(first, 6), report_verdict::late);
    EXPECT_EQ(order.classify(first, 7), report_verdict::next);
}

TEST(report_order, a_report_of_an_earlier_incarnation_is_stale_and_changes_nothing)
{
    report_order order;
    order.classify(first, 4);
    EXPECT_EQ(order.classify(second, 1), report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 5), report_verdict::stale_incarnation);
    EXPECT_EQ(order.classify(second, 2), report_verdict::next);
}

TEST(report_order, a_restart_under_the_same_id_is_a_new_incarnation)
{
    report_order order;
    order.classify(first, 9);
    EXPECT_EQ(order.classify({.id = "u", .started = 11}, 1),
              report_verdict::new_incarnation);
    EXPECT_EQ(order.classify(first, 10), report_verdict::stale_incarnation);
}

TEST(report_order, reports_without_numbers_count_in_order_of_arrival)
{
    report_order order;
    order.classify(first, 0);
    EXPECT_EQ(order.classify(first, 0), report_verdict::next);
}

} // namespace
} // namespace buckthornusher
