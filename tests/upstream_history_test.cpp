// Tests of what a node remembers of its upstreams, across restarts of its process.
#include "buckthornusher/upstream_history.hpp"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr instant now{100s};

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
    before.classify(report_of("u", 10, 4), now);
    auto const departed = before.note_departure({.id = "u", .arrived = 50});
    EXPECT_EQ(departed, (upstream_incarnation{.id = "u", .started = 10}));
    EXPECT_EQ(before.classify(report_of("u", 10, 5), now), report_verdict::departed);

    upstream_history after;
    after.restore(record_with({}, before.departed()), now);
    EXPECT_EQ(after.classify(report_of("u", 10, 4), now), report_verdict::departed);
    EXPECT_EQ(after.classify(report_of("u", 11, 1), now), report_verdict::new_incarnation)
        << "a restart under the same id";
}

TEST(upstream_history, an_exit_of_an_unknown_upstream_ends_all_that_started_before)
{
    upstream_history history;
    history.note_departure({.id = "u", .arrived = 50});
    EXPECT_EQ(history.classify(report_of("u", 49, 1), now), report_verdict::departed);
    EXPECT_EQ(history.classify(report_of("u", 51, 1), now),
              report_verdict::new_incarnation);
}

// Guards against a late exit of an earlier incarnation with the same id.
TEST(upstream_history, an_exit_that_names_its_incarnation_does_not_end_a_later_one)
{
    upstream_history history;
    history.classify(report_of("u", 20, 1), now);
    history.note_departure({.id = "u", .started = 10, .arrived = 50});
    EXPECT_EQ(history.classify(report_of("u", 20, 2), now), report_verdict::next);
}

TEST(upstream_history, an_exit_of_a_restored_upstream_names_its_incarnation)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "u", .started = 10})}), now);
    EXPECT_EQ(history.note_departure({.id = "u", .arrived = 50}).started, 10U);
}

TEST(upstream_history, the_next_process_ignores_incarnations_before_the_recorded_one)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "v", .started = 20})}), now);
    EXPECT_EQ(history.classify(report_of("u", 10, 9), now),
              report_verdict::stale_incarnation);
    EXPECT_EQ(history.classify(report_of("v", 20, 9), now),
              report_verdict::new_incarnation);
    EXPECT_EQ(history.classify(report_of("v", 20, 10), now), report_verdict::next);
    EXPECT_EQ(history.classify(report_of("v", 20, 9), now), report_verdict::late);
}

TEST(upstream_history, a_drain_is_known_to_the_next_process)
{
    upstream_history history;
    history.restore(record_with({target_of({.id = "u", .started = 10}, true)}), now);
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

// ---- who may speak ----

upstream_report stranger_report(std::uint64_t started, std::uint64_t sequence)
{
    auto report = report_of("log-shipper-1", started, sequence);
    report.service = "log-shipper";
    return report;
}

TEST(upstream_history, only_own_and_named_services_speak)
{
    upstream_history history("own");
    auto report = report_of("u", 10, 1); // of service `s`
    EXPECT_EQ(history.classify(report, now), report_verdict::stranger)
        << "no configuration is known";
    history.add_services({"s", "t"});
    EXPECT_EQ(history.classify(report, now), report_verdict::new_incarnation);
    history.add_services({"t"}); // a later configuration
    EXPECT_EQ(history.classify(report_of("u", 10, 2), now), report_verdict::next)
        << "its upstreams still run";
    EXPECT_EQ(history.classify(stranger_report(99, 1), now), report_verdict::stranger);
    report.service = "own";
    EXPECT_EQ(history.classify(report, now), report_verdict::new_incarnation);
}

// Guards against reports of another program on the VM that silence the upstream: whatever
// they say and whenever they come, the upstream is answered as if there were none.
RC_GTEST_PROP(upstream_history, reports_of_strangers_change_nothing, ())
{
    upstream_history undisturbed("s");
    upstream_history disturbed("s");
    undisturbed.add_services({"s"});
    disturbed.add_services({"s"});
    std::uint64_t started = 10;
    std::uint64_t sequence = 0;
    auto at = now;
    for (int step = 0; step < 30; ++step)
    {
        at += std::chrono::milliseconds(*rc::gen::inRange(0, 3'000));
        auto const what = *rc::gen::inRange(0, 6);
        if (what == 0)
        {
            started += *rc::gen::inRange(1, 5);
            sequence = 0;
        }
        if (what > 2)
        {
            auto report = stranger_report(*rc::gen::inRange<std::uint64_t>(0, 200),
                                          *rc::gen::inRange<std::uint64_t>(0, 50));
            report.incarnation.id = *rc::gen::element<std::string>("u", "x", "u\xff");
            RC_ASSERT(disturbed.classify(report, at) == report_verdict::stranger);
            continue;
        }
        bool const late = *rc::gen::inRange(0, 4) == 0;
        auto const report = report_of("u", started, late ? sequence : ++sequence);
        RC_ASSERT(disturbed.classify(report, at) == undisturbed.classify(report, at));
    }
}

// Two voices of one service: a restart speaks from its first report on, and one of both
// that goes on reporting alone speaks in the end.
RC_GTEST_PROP(upstream_history, one_voice_speaks_at_a_time_and_none_is_lost_for_good, ())
{
    upstream_history history("s");
    auto at = now;
    std::uint64_t sequence = 0;
    auto const speaks = [&](std::string const& id, std::uint64_t started)
    {
        auto const verdict = history.classify(report_of(id, started, ++sequence), at);
        return verdict == report_verdict::new_incarnation ||
               verdict == report_verdict::next;
    };
    RC_ASSERT(speaks("first", 10));
    RC_ASSERT(speaks("second", 20));
    auto later_heard = at;
    for (int step = 0; step < 40; ++step)
    {
        at += std::chrono::milliseconds(*rc::gen::inRange(0, 4'000));
        if (*rc::gen::inRange(0, 4) == 0)
        {
            RC_ASSERT(speaks("second", 20));
            later_heard = at;
        }
        else
            RC_ASSERT(speaks("first", 10) == (at - later_heard >= voice_lapse));
    }
    at += voice_lapse;
    RC_ASSERT(speaks("first", 10));
}

TEST(upstream_history,
     a_later_start_at_the_address_ends_the_earlier_one_while_it_is_heard)
{
    auto earlier = report_of("u", 10, 1);
    auto later = report_of("v", 20, 1);
    later.service = "another";
    EXPECT_TRUE(supersedes(later, 0us, earlier));
    EXPECT_TRUE(supersedes(later, voice_lapse - 1us, earlier));
    EXPECT_FALSE(supersedes(later, voice_lapse, earlier)) << "it has fallen silent";
    EXPECT_FALSE(supersedes(earlier, 0us, later));
    later.port = 81;
    EXPECT_FALSE(supersedes(later, 0us, earlier)) << "another address";
}

} // namespace
} // namespace buckthornusher
