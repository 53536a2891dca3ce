// Tests of what follows from the load that upstreams tell. The load: VMs whose speed
// changes many times per second, and a process that starts beside an upstream which still
// works for its predecessor.
#include "buckthornusher/placement.hpp"
#include "buckthornusher/reported_load.hpp"
#include "buckthornusher/upstream_queue.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <random>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

TEST(upstream_condition, the_slowness_is_a_mean_while_it_changes_many_times_a_second)
{
    upstream_condition c;
    EXPECT_EQ(c.slowness(at_ms(1'000)), 1);
    std::mt19937 random(1);
    for (std::int64_t ms = 1'000; ms < 5'000; ms += 20)
    {
        double const told = random() % 2 == 0 ? 1.0 : 3.0;
        c.on_answer({.running = 1, .slots = 10, .slowness = told}, 1, at_ms(ms));
        if (ms > 2'000)
        {
            EXPECT_GT(c.slowness(at_ms(ms)), 1.2);
            EXPECT_LT(c.slowness(at_ms(ms)), 2.8);
        }
    }
    // Without answers it fades.
    auto const last = c.slowness(at_ms(4'980));
    EXPECT_NEAR(c.slowness(at_ms(5'480)), 1 + (last - 1) / 2, 0.01);
    EXPECT_NEAR(c.slowness(at_ms(20'000)), 1, 0.001);
}

TEST(upstream_condition, the_slowness_follows_a_lasting_change_within_half_a_second)
{
    upstream_condition c;
    for (std::int64_t ms = 1'000; ms <= 2'500; ms += 20)
        c.on_answer({.running = 1, .slots = 10, .slowness = ms < 2'000 ? 1.0 : 2.0}, 1,
                    at_ms(ms));
    EXPECT_GT(c.slowness(at_ms(2'500)), 1.85);
}

TEST(upstream_condition, extreme_figures_are_bounded)
{
    upstream_condition c;
    c.on_answer({.running = 0, .slots = 10, .slowness = 1e9}, 1, at_ms(1'000));
    EXPECT_LE(c.slowness(at_ms(1'000)), 20);
    for (double const broken : {-1.0, 0.0, std::numeric_limits<double>::infinity(),
                                std::numeric_limits<double>::quiet_NaN()})
        EXPECT_EQ(fade_slowness(broken, 0ms), 1);
    upstream_condition full;
    full.on_answer({.running = 100'000, .waiting = 100'000, .slots = 1}, 1, at_ms(1'001));
    EXPECT_EQ(full.occupied(10, at_ms(1'001)), 10U);
    upstream_queue queue({.slots = 10});
    queue.set_occupied(full.occupied(10, at_ms(1'001)));
    EXPECT_EQ(queue.limit(), 1U); // an answer is needed to learn more
}

// A process starts while the upstream runs eight requests of its predecessor.
TEST(upstream_condition, the_requests_of_an_earlier_process_take_slots_until_they_end)
{
    upstream_condition c;
    c.on_running(1, at_ms(1'000));
    c.on_answer({.running = 9, .waiting = 0, .slots = 12}, 1, at_ms(1'100));
    EXPECT_EQ(c.occupied(12, at_ms(1'100)), 8U);
    c.on_answer({.running = 3, .waiting = 0, .slots = 12}, 2, at_ms(1'200));
    EXPECT_EQ(c.occupied(12, at_ms(1'200)), 1U);
    c.on_answer({.running = 2, .waiting = 0, .slots = 12}, 2, at_ms(1'300));
    EXPECT_EQ(c.occupied(12, at_ms(1'300)), 0U);
    c.on_answer({.running = 9, .waiting = 0, .slots = 12}, 1, at_ms(2'000));
    EXPECT_GT(c.occupied(12, at_ms(2'000)), 0U);
    EXPECT_EQ(c.occupied(12, at_ms(3'000)), 0U); // no answer for a second
}

// All requests are this node's; answers are read up to 100 ms late and out of order.
TEST(upstream_condition, answers_read_late_make_no_unknown_requests)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random(seed);
        upstream_condition c;
        struct answer
        {
            std::int64_t ends;
            std::int64_t read;
            std::uint32_t running = 0;
        };
        std::vector<answer> open;
        for (std::int64_t ms = 1'000; ms < 10'000; ++ms)
        {
            auto const at_upstream = [&]
            {
                return static_cast<std::uint32_t>(
                    std::count_if(open.begin(), open.end(),
                                  [&](auto const& a) { return a.ends >= ms; }));
            };
            if (random() % 10 == 0 && open.size() < 12)
            {
                auto const ends = ms + 20 + static_cast<std::int64_t>(random() % 200);
                open.push_back(
                    {.ends = ends,
                     .read = ends + 1 + static_cast<std::int64_t>(random() % 100)});
                c.on_running(static_cast<std::uint32_t>(open.size()), at_ms(ms));
            }
            for (auto& a : open)
                if (a.ends == ms)
                    a.running = at_upstream();
            for (auto const& a : open)
                if (a.read == ms)
                    c.on_answer({.running = a.running, .slots = 12},
                                static_cast<std::uint32_t>(open.size()), at_ms(ms));
            std::erase_if(open, [&](auto const& a) { return a.read == ms; });
            EXPECT_EQ(c.occupied(12, at_ms(ms)), 0U) << "seed " << seed << " at " << ms;
        }
    }
}

TEST(upstream_condition, an_upstream_that_tells_nothing_is_served_as_before)
{
    upstream_condition c;
    for (std::int64_t ms = 1'000; ms < 2'000; ms += 10)
        c.on_running(50, at_ms(ms));
    EXPECT_EQ(c.slowness(at_ms(2'000)), 1);
    EXPECT_EQ(c.occupied(12, at_ms(2'000)), 0U);
}

void run(upstream_queue& queue, duration took, int count)
{
    for (std::uint64_t id = 1; count > 0; --count, ++id)
    {
        queue.arrive({.id = id,
                      .request_class = "c",
                      .due = at_ms(100'000),
                      .deadline = at_ms(100'000),
                      .start_until = at_ms(100'000)},
                     at_ms(1'000));
        queue.leave(id, request_end::completed, took, at_ms(1'000));
    }
}

TEST(reported_load, times_are_learnt_without_the_slowness_and_expected_with_it)
{
    upstream_queue queue({.slots = 4});
    run(queue, 100ms, 20);
    queue.set_slowness(3);
    EXPECT_EQ(queue.expected_service("c"), 300ms);
    EXPECT_EQ(queue.mean_service(), 300ms);
    run(queue, 300ms, 50);
    EXPECT_EQ(queue.expected_service("c"), 300ms);
    queue.set_slowness(1);
    EXPECT_EQ(queue.expected_service("c"), 100ms);
}

TEST(reported_load, a_request_that_cannot_end_in_time_on_a_slow_vm_is_refused)
{
    auto const verdict = [](double slowness)
    {
        upstream_queue queue({.slots = 1});
        run(queue, 100ms, 5);
        queue.set_slowness(slowness);
        queued_request r{.id = 100,
                         .request_class = "c",
                         .due = at_ms(1'500),
                         .deadline = at_ms(1'500),
                         .start_until = at_ms(1'500)};
        queue.arrive(r, at_ms(1'000));
        ++r.id;
        return queue.arrive(r, at_ms(1'000));
    };
    EXPECT_TRUE(std::holds_alternative<waits>(verdict(1)));
    EXPECT_TRUE(std::holds_alternative<has_no_room>(verdict(3)));
}

// Entries prefer the other upstream while the VM of one is slow, and come back soon.
TEST(reported_load, others_count_the_slowness_as_far_as_the_report_is_recent)
{
    placement p({});
    upstream_load const usual{.slots = 20, .running = 1, .service = 100ms};
    upstream_load const slow{.slots = 20, .running = 1, .service = 300ms, .slowness = 3};
    auto const chosen = [&](instant now)
    {
        return p
            .choose({{.node = "usual", .away = distance::other_region, .slots = 20},
                     {.node = "slow", .slots = 20}},
                    {.request_class = "c"}, 0, now)
            ->node;
    };
    p.on_load("usual", usual, at_ms(1'000), "c");
    p.on_load("slow", slow, at_ms(1'000), "c");
    EXPECT_EQ(chosen(at_ms(1'010)), "usual");
    EXPECT_EQ(chosen(at_ms(3'000)), "slow");
}

TEST(reported_load, the_slowness_travels_with_the_load)
{
    for (double const slowness : {1.0, 2.5})
    {
        upstream_load const load{.slots = 5, .slowness = slowness};
        wire::Load sent;
        encode(load, sent);
        EXPECT_EQ(sent.speed(), slowness == 1 ? 0 : slowness);
        EXPECT_EQ(decode(sent), load);
    }
    wire::Load forged;
    forged.set_speed(-7);
    EXPECT_EQ(decode(forged).slowness, 1);
    forged.set_speed(1e300);
    EXPECT_LE(decode(forged).slowness, 20);
}

} // namespace
} // namespace buckthornusher
