// Tests of the bound on the requests to a cold upstream, alone, in the queue and in the
// choice of other nodes. The load: a service whose upstreams come back cold under more
// requests than they bear.
#include "buckthornusher/placement.hpp"
#include "buckthornusher/start_limit.hpp"
#include "buckthornusher/upstream_queue.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

namespace buckthornusher
{
namespace
{

constexpr std::size_t bound = 26; // 12 x 1.5 + 8

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

start_limit_options cold_service()
{
    return {.rate = 12, .ratio = 1.5, .reserve = 8, .cold_time = 4s};
}

// Of a process that has just started: its first requests follow no silence.
start_limit_options cold_service_since(instant started)
{
    auto opts = cold_service();
    opts.started = started;
    return opts;
}

// Returns the largest number of these times within any second.
std::size_t most_in_a_second(std::vector<instant> const& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        while (times[i] - times[first] >= 1s)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

// Starts as many requests as may start.
std::size_t start_all(start_limit& limit, instant now, std::uint64_t& id)
{
    std::size_t started = 0;
    for (; limit.may_start(now) && started < 1'000; ++started)
    {
        limit.on_start(++id, now);
        limit.on_sent(id, now);
    }
    return started;
}

TEST(start_limit, a_cold_upstream_gets_at_most_its_bound_in_any_second_and_most_of_it)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        start_limit limit(cold_service());
        std::vector<instant> sent;
        std::vector<std::pair<instant, std::uint64_t>> unsent; // written then
        std::uint64_t id = 0;
        for (std::int64_t ms = 10'000; ms < 20'000; ms += 5)
        {
            auto const now = at_ms(ms);
            if (ms % 1'000 == 0)
                limit.on_report(4s, now);
            for (auto const& u : unsent)
                if (u.first <= now)
                {
                    limit.on_sent(u.second, now);
                    sent.push_back(now);
                }
            std::erase_if(unsent, [&](auto const& u) { return u.first <= now; });
            // Connections that take long now and then.
            while (limit.may_start(now))
            {
                limit.on_start(++id, now);
                auto const takes = random() % 20 == 0 ? 900ms : 0ms;
                unsent.emplace_back(now + takes, id);
            }
        }
        EXPECT_LE(most_in_a_second(sent), bound) << "seed " << seed;
        EXPECT_GE(sent.size(), 170U) << "seed " << seed; // of 18 per second
    }
}

TEST(start_limit, requests_that_wait_for_connections_count_until_they_are_written)
{
    start_limit limit(cold_service());
    auto now = at_ms(10'000);
    limit.on_report(60s, now);
    std::uint64_t id = 0;
    for (; now < at_ms(15'000); now += 5ms)
        if (limit.may_start(now))
            limit.on_start(++id, now);
    EXPECT_LE(limit.unsent().size(), bound);
    for (auto const each : limit.unsent())
        limit.on_sent(each, now);
    EXPECT_FALSE(limit.may_start(now + 999ms));
    EXPECT_TRUE(limit.may_start(now + 1'050ms));
}

TEST(start_limit, a_request_that_did_not_run_is_not_counted)
{
    start_limit limit(cold_service());
    auto const now = at_ms(10'000);
    limit.on_report(4s, now);
    std::uint64_t id = 0;
    auto const first = start_all(limit, now, id);
    EXPECT_EQ(first, 8U);
    limit.on_not_counted(id);
    limit.on_not_counted(id); // once
    limit.on_not_counted(99); // never started
    EXPECT_EQ(start_all(limit, now, id), 1U);
}

TEST(start_limit, an_upstream_is_not_bounded_while_it_is_warm_or_without_a_rate)
{
    auto const now = at_ms(10'000);
    std::uint64_t id = 0;
    start_limit warm(cold_service_since(now));
    warm.on_report(0s, now);
    warm.on_report(-5s, now);
    EXPECT_EQ(start_all(warm, now, id), 1'000U);
    start_limit unlimited;
    unlimited.on_report(4s, now);
    unlimited.on_connect_failed(now);
    EXPECT_EQ(start_all(unlimited, now, id), 1'000U);
    EXPECT_FALSE(unlimited.is_cold(now));
    EXPECT_EQ(unlimited.until_start(50, now), 0us);
}

TEST(start_limit, the_bound_ends_when_the_upstream_is_warm)
{
    start_limit limit(cold_service_since(at_ms(10'000)));
    limit.on_report(2s, at_ms(10'000));
    EXPECT_TRUE(limit.is_cold(at_ms(11'999)));
    EXPECT_FALSE(limit.is_cold(at_ms(12'000)));
    std::uint64_t id = 0;
    EXPECT_EQ(start_all(limit, at_ms(12'000), id), 1'000U);
    EXPECT_LE(limit.until_start(100, at_ms(11'000)), 1s);
}

// A warm upstream that becomes cold has got more than its bound: nothing for a second.
TEST(start_limit, what_was_sent_while_the_upstream_was_warm_counts_once_it_is_cold)
{
    start_limit limit(cold_service());
    limit.on_report(0s, at_ms(10'000));
    for (std::uint64_t i = 0; i < 60; ++i)
    {
        limit.on_start(i, at_ms(10'000 + 10 * static_cast<std::int64_t>(i)));
        limit.on_sent(i, at_ms(10'000 + 10 * static_cast<std::int64_t>(i)));
    }
    limit.on_report(3s, at_ms(10'700));
    EXPECT_FALSE(limit.may_start(at_ms(11'300)));
    EXPECT_TRUE(limit.may_start(at_ms(11'400)));
}

TEST(start_limit, an_earlier_process_may_have_used_the_bound)
{
    auto const opts = cold_service_since(at_ms(10'000));
    start_limit limit(opts);
    limit.on_report(4s, at_ms(10'200));
    EXPECT_FALSE(limit.may_start(at_ms(10'999)));
    EXPECT_GT(limit.until_start(0, at_ms(10'500)), 500ms);
    EXPECT_TRUE(limit.may_start(at_ms(11'050)));
    start_limit warm(opts);
    warm.on_report(0s, at_ms(10'200));
    EXPECT_TRUE(warm.may_start(at_ms(10'200)));
}

TEST(start_limit, an_upstream_counts_as_cold_after_a_failed_connection_until_it_reports)
{
    start_limit limit(cold_service());
    limit.on_report(0s, at_ms(10'000));
    limit.on_connect_failed(at_ms(10'500));
    EXPECT_EQ(limit.cold_for(at_ms(10'500)), 4s);
    limit.on_report(0s, at_ms(10'600)); // may have been sent before
    EXPECT_TRUE(limit.is_cold(at_ms(10'600)));
    limit.on_report(0s, at_ms(11'600));
    EXPECT_FALSE(limit.is_cold(at_ms(11'600)));
    limit.on_connect_failed(at_ms(12'000)); // and no report comes
    EXPECT_FALSE(limit.is_cold(at_ms(16'000)));
}

TEST(start_limit, one_lost_connection_is_no_sign_and_two_at_once_are)
{
    start_limit limit(cold_service());
    limit.on_connection_lost(at_ms(10'000));
    EXPECT_FALSE(limit.is_cold(at_ms(10'000)));
    limit.on_connection_lost(at_ms(12'000));
    EXPECT_FALSE(limit.is_cold(at_ms(12'000)));
    limit.on_connection_lost(at_ms(12'100));
    EXPECT_TRUE(limit.is_cold(at_ms(12'100)));
}

// An upstream may have become cold while its failure domain was evacuated.
TEST(start_limit, after_a_silence_starts_are_bounded_until_the_next_report)
{
    start_limit limit(cold_service_since(at_ms(10'000)));
    std::uint64_t id = 0;
    limit.on_report(0s, at_ms(10'000));
    EXPECT_EQ(start_all(limit, at_ms(10'000), id), 1'000U);
    limit.on_report(0s, at_ms(15'000));
    EXPECT_EQ(start_all(limit, at_ms(15'500), id), 8U);
    EXPECT_FALSE(limit.is_cold(at_ms(15'500))); // others are told nothing
    limit.on_report(0s, at_ms(16'000));
    EXPECT_EQ(start_all(limit, at_ms(16'000), id), 1'000U);
}

// A node that starts while its failure domain is evacuated has sent nothing at its end.
TEST(start_limit, the_first_requests_long_after_the_start_are_bounded_until_a_report)
{
    start_limit limit(cold_service_since(at_ms(10'000)));
    std::uint64_t id = 0;
    limit.on_report(0s, at_ms(19'900));
    EXPECT_EQ(start_all(limit, at_ms(20'000), id), 8U);
    limit.on_report(0s, at_ms(20'400));
    EXPECT_EQ(start_all(limit, at_ms(20'400), id), 1'000U);
}

TEST(start_limit, a_rate_as_good_as_none_gives_no_time_beyond_an_hour)
{
    for (double const ratio : {0.0, 1e-300})
    {
        auto opts = cold_service();
        opts.ratio = ratio;
        start_limit limit(opts);
        limit.on_report(4s, at_ms(10'000));
        EXPECT_LE(limit.until_start(50, at_ms(10'000)), 4s);
        EXPECT_GT(limit.until_start(50, at_ms(10'000)), 0s);
        limit.on_report(0s, at_ms(10'000));
        EXPECT_LE(limit.until_start(50, at_ms(20'000)), 1h); // after a silence
        EXPECT_GT(limit.until_start(50, at_ms(20'000)), 0s);
    }
}

TEST(start_limit, a_new_incarnation_inherits_what_was_sent_to_the_one_before)
{
    start_limit before(cold_service());
    std::uint64_t id = 0;
    before.on_report(4s, at_ms(10'000));
    start_all(before, at_ms(10'000), id);
    start_limit after(cold_service());
    after.on_report(4s, at_ms(10'010));
    after.continue_from(before, at_ms(10'010));
    EXPECT_FALSE(after.may_start(at_ms(10'010)));
}

queued_request request_at(std::uint64_t id, instant now, duration due_in)
{
    return {.id = id,
            .request_class = "c",
            .due = now + due_in,
            .deadline = now + 2 * due_in,
            .start_until = now + due_in};
}

// Three times the requests that a cold upstream may get, at an upstream with free slots.
TEST(cold_queue, keeps_the_bound_and_refuses_what_cannot_start_in_time)
{
    upstream_queue queue({.slots = 100});
    queue.starts().set_options(cold_service());
    queue.starts().on_report(60s, at_ms(10'000));
    std::vector<instant> started;
    std::size_t refused = 0;
    std::uint64_t id = 0;
    auto const run = [&](std::uint64_t which, instant now)
    {
        started.push_back(now);
        queue.starts().on_sent(which, now);
        queue.leave(which, request_end::completed, 40ms, now);
    };
    for (std::int64_t ms = 10'000; ms < 20'000; ms += 20)
    {
        auto const now = at_ms(ms);
        EXPECT_TRUE(queue.expire(now).empty()); // what was accepted starts in time
        while (auto const next = queue.start_next(now))
            run(*next, now);
        auto const verdict = queue.arrive(request_at(++id, now, 600ms), now);
        if (std::holds_alternative<starts_now>(verdict))
            run(id, now);
        else if (std::holds_alternative<has_no_room>(verdict))
            ++refused;
    }
    EXPECT_LE(most_in_a_second(started), bound);
    EXPECT_GE(started.size(), 165U);
    EXPECT_GE(started.size() + refused + queue.queued(), 500U);
    auto const backlog = queue.backlog(at_ms(20'000));
    ASSERT_EQ(backlog.size(), 1U);
    EXPECT_GE(backlog[0].time, static_cast<int>(queue.queued()) * 1'000ms / 18 - 60ms);
    EXPECT_GE(queue.queued(), 5U);
}

TEST(cold_queue, a_request_for_which_the_upstream_was_the_wrong_one_is_not_counted)
{
    upstream_queue queue({.slots = 100});
    queue.starts().set_options(cold_service());
    auto const now = at_ms(10'000);
    queue.starts().on_report(60s, now);
    for (std::uint64_t id = 1; id <= 100; ++id)
    {
        ASSERT_TRUE(std::holds_alternative<starts_now>(
            queue.arrive(request_at(id, now, 1s), now)));
        queue.starts().on_sent(id, now);
        queue.leave(id, request_end::not_sent, 1ms, now);
    }
}

// Fifty entries see the same report of a cold upstream and of one that is busier.
TEST(cold_placement, a_cold_upstream_counts_as_having_the_slots_that_its_rate_occupies)
{
    upstream_load cold{.slots = 50, .running = 3, .service = 100ms};
    upstream_load const warm{.slots = 50, .running = 20, .service = 110ms};
    auto const chosen = [&](instant now)
    {
        placement p({});
        p.on_load("cold", cold, at_ms(10'000));
        p.on_load("warm", warm, at_ms(10'000));
        return p
            .choose({{.node = "cold", .slots = 50}, {.node = "warm", .slots = 50}}, {}, 0,
                    now)
            ->node;
    };
    EXPECT_EQ(chosen(at_ms(10'010)), "cold");
    cold.start_rate = 18;
    cold.bounded_for = 200ms;
    EXPECT_EQ(chosen(at_ms(10'010)), "warm");
    EXPECT_EQ(chosen(at_ms(10'201)), "cold"); // warm by now
}

TEST(cold_placement, the_bound_travels_with_the_load_and_broken_figures_bound_nothing)
{
    upstream_load const load{.slots = 5, .start_rate = 18, .bounded_for = 3s};
    wire::Load sent;
    encode(load, sent);
    EXPECT_EQ(decode(sent), load);
    for (double const broken : {-1.0, std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN()})
    {
        sent.set_start_rate(broken);
        EXPECT_EQ(decode(sent).start_rate, 0);
    }
    sent.set_bounded_for(std::numeric_limits<std::uint64_t>::max());
    EXPECT_LE(decode(sent).bounded_for, 1h);
}

} // namespace
} // namespace buckthornusher
