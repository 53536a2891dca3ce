// Tests of what a node remembers of its upstreams, across restarts of its process.
#include "buckthornusher/upstream_history.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

upstream_report report_of(std::string id, std::uint64_t started, std::uint64_t sequence)
{
    upstream_report report;
    report.service = "s";
    report.incarnation = {.id = std::move(id), .started = started};
    report.sequence = sequence;
    return report;
}

member_record record_with(std::vector<target> targets,
                          std::vector<upstream_incarnation> departed = {})
{
    member_record record;
    record.targets = std::move(targets);
    record.departed = std::move(departed);
    return record;
}

target target_of(upstream_incarnation const& incarnation, bool draining = false)
{
    return {.service = "s",
            .slots = 1,
            .incarnation = to_string(incarnation),
            .draining = draining};
}

TEST(upstream_incarnation, its_text_is_read_back)
{
    for (upstream_incarnation const& i :
         {upstream_incarnation{.id = "i-7", .started = 12},
          {.id = "a@b", .started = 3},
          {.id = "", .started = 0}})
        EXPECT_EQ(parse_incarnation(to_string(i)), i);
    EXPECT_EQ(parse_incarnation("i-7"), upstream_incarnation{.id = "i-7"});
    EXPECT_EQ(parse_incarnation("i@x").id, "i@x");
}

TEST(upstream_history, reports_of_a_departed_upstream_are_told_by_the_next_process)
{
    upstream_history before;
    before.classify(report_of("u", 10, 4));
    auto const departed = before.note_departure({.id = "u", .arrived = 50});
    EXPECT_EQ(departed, (upstream_incarnation{.id = "u", .started = 10}));
    EXPECT_EQ(before.classify(report_of("u", 10, 5)), report_verdict::departed);

    upstream_history after;
    after.restore(record_with({}, before.departed()));
    EXPECT_EQ(after.classify(report_of("u", 10, 4)), report_verdict::departed);
    EXPECT_EQ(after.classify(report_of("u", 11, 1)), report_verdict::new_incarnation)
        << "a restart under the same id";
}

TEST(upstream_history, an_exit_of_an_unknown_upstream_ends_all_that_started_before)
{
    upstream_history history;
    history.note_departure({.id = "u", .arrived = 50});
    EXPECT_EQ(history.classify(report_of("u", 49, 1)), report_verdict::departed);
    EXPECT_EQ(history.classify(report_of("u", 51, 1)), report_verdict::new_incarnation);
}

// Guards against a late exit of an earlier incarnation with the same id.
TEST(upstream_history, an_exit_that_names_its_incarnation_does_not_end_a_later_one)
{
    upstream_history history;
    history.classify(report_of("u", 20, 1));
    history.note_departure({.id = "u", .started = 10, .arrived = 50});
    EXPECT_EQ(history.classify(report_of("u", 20, 2)), report_verdict::next);
}

TEST(upstream_history, an_exit_of_a_restored_upstream_names_its_incarnation)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "u", .started = 10})}));
    EXPECT_EQ(history.note_departure({.id = "u", .arrived = 50}).started, 10U);
}

TEST(upstream_history, the_next_process_ignores_incarnations_before_the_recorded_one)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "v", .started = 20})}));
    EXPECT_EQ(history.classify(report_of("u", 10, 9)), report_verdict::stale_incarnation);
    EXPECT_EQ(history.classify(report_of("v", 20, 9)), report_verdict::new_incarnation);
    EXPECT_EQ(history.classify(report_of("v", 20, 10)), report_verdict::next);
    EXPECT_EQ(history.classify(report_of("v", 20, 9)), report_verdict::late);
}

TEST(upstream_history, a_drain_is_known_to_the_next_process)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "u", .started = 10}, true)}));
    EXPECT_TRUE(history.was_draining({.id = "u", .started = 10}));
    EXPECT_FALSE(history.was_draining({.id = "u", .started = 11}));
}

TEST(upstream_history, a_promise_is_recorded_once_the_next_process_would_know_it)
{
    upstream_incarnation const u{.id = "u", .started = 10};
    EXPECT_FALSE(is_recorded({u, announced::drain}, record_with({target_of(u)})));
    EXPECT_TRUE(is_recorded({u, announced::drain}, record_with({target_of(u, true)})));
    EXPECT_FALSE(
        is_recorded({u, announced::departure}, record_with({target_of(u, true)})));
    EXPECT_TRUE(is_recorded({u, announced::departure}, record_with({}, {u})));
    EXPECT_TRUE(is_recorded({u, announced::drain}, record_with({}, {u})));
}

TEST(upstream_history, the_list_of_departures_is_bounded_and_keeps_the_latest)
{
    std::vector<upstream_incarnation> list;
    for (std::uint64_t n = 1; n <= 9; ++n)
        add_departure(list, {.id = "u" + std::to_string(n), .started = n});
    EXPECT_EQ(list.size(), 4U);
    EXPECT_EQ(list.back().id, "u9");
    add_departure(list, {.id = "u9", .started = 8});
    EXPECT_EQ(list.size(), 4U) << "already covered";
}

} // namespace
} // namespace buckthornusher
