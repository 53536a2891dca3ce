// Tests of reconstructing a request's path and the cause of its end from several logs.
#include "process/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace buckthornusher
{
namespace
{

std::string line(std::string const& at, std::string const& node, std::string const& rest)
{
    return "ts=2026-12-04T08:10:" + at + " level=info node=" + node + " event=" + rest +
           "\n";
}

std::vector<log_record> records_of(std::string const& log, std::string const& request)
{
    std::vector<log_record> records;
    std::istringstream in(log);
    read_records(in, request, records);
    sort_records(records);
    return records;
}

std::string cause(std::string const& log)
{
    return cause_of(records_of(log, "r1"));
}

TEST(explain, parses_a_line_with_a_prefix_and_quoted_values)
{
    auto const record =
        parse_log_line("  12.3 vm-4 | ts=2026-12-04T08:10:36.123456 level=info node=n1 "
                       "event=reply reason=\"no \\\"room\\\" left\" took_ms=3");
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(record->get("event"), "reply");
    EXPECT_EQ(record->get("reason"), "no \"room\" left");
    EXPECT_EQ(record->get("took_ms"), "3");
    EXPECT_EQ(record->get("absent"), "");
}

TEST(explain, skips_lines_that_no_node_wrote)
{
    for (auto const* text :
         {"", "request=r1", "ts=", "ts=yesterday node=n event=e request=r1",
          "starts=2026-12-04T08:10:36.123456 node=n event=e", "ts=\"unfinished"})
        EXPECT_FALSE(parse_log_line(text).has_value()) << text;
}

TEST(explain, merges_the_nodes_lines_by_time_and_keeps_one_request_only)
{
    auto const log = line("36.000300", "n1", "ended request=r1 outcome=answered") +
                     line("36.000100", "n1", "taken request=r1") +
                     line("36.000200", "n2", "order request=r1") +
                     line("36.000200", "n2", "order request=r11");
    auto const records = records_of(log, "r1");
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records[0].get("event"), "taken");
    EXPECT_EQ(records[1].get("node"), "n2");
    EXPECT_EQ(format_records(records), "    0.000 ms  n1  taken\n"
                                       "    0.100 ms  n2  order\n"
                                       "    0.200 ms  n1  ended outcome=answered\n");
}

TEST(explain, an_overload_refusal_names_the_upstream_and_its_load)
{
    auto const said =
        cause(line("36.0", "n1", "x") + line("36.000100", "n1", "taken request=r1") +
              line("36.000200", "n2",
                   "queue request=r1 verdict=no-room running=18 slots=18 waiting=7 "
                   "service_ms=200 due_ms=240") +
              line("36.000300", "n1",
                   "ended request=r1 outcome=refused reason=overloaded status=429"));
    EXPECT_EQ(said,
              "refused, it did not run: overloaded: the upstream at n2 had 18 of 18 "
              "slots in use and 7 requests waiting; the service time is 200 ms, "
              "and the request was due in 240 ms");
}

TEST(explain, a_lost_answer_names_the_upstream_the_step_and_why_it_was_not_retried)
{
    auto const said = cause(
        line("36.000200", "n2",
             "upstream request=r1 outcome=no-answer step=answer peer=10.0.0.8:80 "
             "took_ms=31") +
        line("36.000250", "n1", "repeat request=r1 allowed=no denied_by=not-repeatable") +
        line("36.000300", "n1",
             "ended request=r1 outcome=unknown reason=answer-lost status=504"));
    EXPECT_EQ(said,
              "unknown, it may have run: the upstream at n2 returned no complete "
              "response: step 'answer', after 31 ms; retry denied by: not-repeatable");
}

TEST(explain, an_unverified_answer_is_not_said_to_be_lost_on_its_way)
{
    auto const said =
        cause(line("36.000200", "n2", "upstream request=r1 outcome=spoilt status=200") +
              line("36.000300", "n1",
                   "ended request=r1 outcome=unknown reason=answer-lost status=502"));
    EXPECT_EQ(said, "unknown, it may have run: the upstream at n2 answered with status "
                    "200, but the answer was not verified and not passed on");
}

TEST(explain, a_request_without_a_key_is_not_said_to_lack_a_shard)
{
    auto const said =
        cause(line("36.000000", "n1", "taken request=r1 shard=-") +
              line("36.300000", "n1",
                   "ended request=r1 outcome=refused reason=not-reached status=503"));
    EXPECT_EQ(said, "refused, it did not run: no upstream of the service was reached "
                    "before the deadline");
}

TEST(explain, a_request_that_no_region_can_take_names_its_regions_and_why)
{
    auto const said =
        cause(line("36.000000", "n1", "taken request=r1 shard=3") +
              line("36.000001", "n1", "bound request=r1 regions=here config=7") +
              line("36.000002", "n1",
                   "outside request=r1 regions=here "
                   "why=\"the shard is owned by n2 in there\"") +
              line("36.000003", "n1",
                   "ended request=r1 outcome=refused reason=no-region status=503"));
    EXPECT_EQ(said, "refused, it did not run: it is bound to the regions here; the shard "
                    "is owned by n2 in there");
}

TEST(explain, a_late_answer_names_the_longest_step)
{
    auto const said =
        cause(line("36.000000", "n1", "taken request=r1") +
              line("36.010000", "n2", "order-waits request=r1 for=shard") +
              line("36.910000", "n2", "started request=r1") +
              line("37.000000", "n1",
                   "ended request=r1 outcome=answered reason=none status=200 late=yes"));
    EXPECT_EQ(said, "answered late: 900 ms passed between 'order-waits' on n2 and "
                    "'started' on n2");
}

TEST(explain, a_shard_without_an_owner_and_a_caller_that_disconnected)
{
    EXPECT_EQ(cause(line("36.000000", "n1", "waits request=r1 for=owner replica=77") +
                    line("36.300000", "n1",
                         "ended request=r1 outcome=refused reason=no-owner status=503")),
              "refused, it did not run: no owner was known to n1 at revision 77");
    EXPECT_EQ(
        cause(line("36.000000", "n1", "sent request=r1 to=n2") +
              line("36.300000", "n1", "left request=r1 took_ms=300")),
        "the caller disconnected after 300 ms; 300 ms passed between 'sent' on n1 and "
        "'left' on n1");
}

TEST(explain, says_so_if_the_logs_do_not_show_the_end)
{
    EXPECT_TRUE(cause("").starts_with("no line of this request"));
    EXPECT_TRUE(cause(line("36.000000", "n2", "order request=r1"))
                    .starts_with("the node that accepted it logged no end"));
}

} // namespace
} // namespace buckthornusher
