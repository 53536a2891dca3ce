// Tests of the decisions on an upstream's liveness.
#include "buckthornusher/upstream_liveness.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr duration interval = 1s;

TEST(upstream_liveness, an_upstream_that_reports_serves)
{
    EXPECT_EQ(standing_of({.since_report = 900ms}, interval), upstream_standing::serving);
    EXPECT_EQ(standing_of({.since_report = 2'900ms}, interval),
              upstream_standing::serving);
    EXPECT_EQ(standing_of({.since_report = 900ms, .connect_failed = true}, interval),
              upstream_standing::serving);
}

TEST(upstream_liveness, an_upstream_without_grants_is_gone_when_it_departs_or_is_lost)
{
    EXPECT_EQ(standing_of({.since_report = 100ms, .departed = true}, interval),
              upstream_standing::gone);
    EXPECT_EQ(standing_of({.since_report = 3s}, interval), upstream_standing::gone);
    EXPECT_EQ(standing_of({.since_report = 1'600ms, .connect_failed = true}, interval),
              upstream_standing::gone);
}

TEST(upstream_liveness, an_upstream_with_grants_ends_slowly)
{
    EXPECT_EQ(
        standing_of({.since_report = 1'600ms, .grants_left = 1s, .connect_failed = true},
                    interval),
        upstream_standing::serving);
    EXPECT_EQ(standing_of({.since_report = 3s, .grants_left = 1ms}, interval),
              upstream_standing::ending);
    EXPECT_EQ(standing_of({.grants_left = 1ms, .departed = true}, interval),
              upstream_standing::ending);
}

// Guards against a failed connect or a late report being taken for a death.
RC_GTEST_PROP(upstream_liveness, nothing_frees_keys_before_their_grants_have_expired, ())
{
    auto const any_duration = rc::gen::inRange<duration::rep>(0, 60'000'000);
    upstream_evidence const evidence{.since_report = duration(*any_duration),
                                     .since_answer = duration(*any_duration),
                                     .grants_left = duration(1 + *any_duration),
                                     .departed = *rc::gen::arbitrary<bool>(),
                                     .connect_failed = *rc::gen::arbitrary<bool>()};
    auto const report_interval = duration(1 + *any_duration);
    RC_ASSERT(standing_of(evidence, report_interval) != upstream_standing::gone);
}

TEST(upstream_liveness, a_silent_upstream_has_neither_reported_nor_answered)
{
    EXPECT_FALSE(is_silent({.since_report = 4s, .since_answer = 1s}, interval));
    EXPECT_FALSE(is_silent({.since_report = 2s, .since_answer = 9s}, interval));
    EXPECT_TRUE(is_silent({.since_report = 4s, .since_answer = 3s}, interval));
}

TEST(upstream_liveness, the_first_report_is_awaited_until_earlier_leases_have_ended)
{
    EXPECT_EQ(first_report_wait(1s, 2s), 6s);
    EXPECT_EQ(first_report_wait(100ms, 2s), 2s) << "leases outlast the reports";
}

} // namespace
} // namespace buckthornusher
