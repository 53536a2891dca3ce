// Decisions about requests under load: queue, placement, offers and retry budget. Checks
// their invariants on random input and their effect on callers in simulations.
#include "buckthornusher/attempt_history.hpp"
#include "buckthornusher/offer_memory.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/retry_budget.hpp"
#include "buckthornusher/upstream_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

duration ms(double count)
{
    return duration(static_cast<duration::rep>(count * 1'000));
}

queued_request request(std::uint64_t id, instant deadline, std::uint32_t rank = 1)
{
    return {.id = id,
            .request_class = "c",
            .rank = rank,
            .due = deadline,
            .deadline = deadline,
            .start_until = deadline};
}

// ---- the queue ----

// Random arrivals and ends: the slots are never exceeded, each waiting request is
// returned exactly once, and none starts that cannot end by its deadline.
RC_GTEST_PROP(upstream_queue, never_exceeds_its_slots_and_returns_each_request_once, ())
{
    upstream_queue_options const opts{.slots = *rc::gen::inRange<std::uint32_t>(1, 8),
                                      .max_queue = 10,
                                      .default_service = 5ms};
    upstream_queue queue(opts);
    std::map<std::uint64_t, instant> waiting; // id to deadline
    std::vector<std::uint64_t> running;
    std::uint64_t next_id = 1;
    auto now = at_ms(1'000);
    auto const start = [&]
    {
        while (auto const id = queue.start_next(now))
        {
            RC_ASSERT(waiting.contains(*id));
            RC_ASSERT(now + queue.expected_service("c") <= waiting[*id] + 5ms);
            waiting.erase(*id);
            running.push_back(*id);
        }
    };
    for (int i = 0; i < 200; ++i)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 5));
        if (*rc::gen::inRange(0, 2) == 0)
        {
            auto const r = request(
                next_id++, now + std::chrono::milliseconds(*rc::gen::inRange(0, 50)),
                *rc::gen::inRange<std::uint32_t>(0, 3));
            auto const verdict = queue.arrive(r, now);
            if (std::holds_alternative<starts_now>(verdict))
                running.push_back(r.id);
            if (std::holds_alternative<waits>(verdict))
                waiting[r.id] = r.deadline;
        }
        else if (!running.empty())
        {
            auto const id = running.back();
            running.pop_back();
            queue.leave(id,
                        *rc::gen::element(request_end::completed, request_end::shed,
                                          request_end::not_sent, request_end::failed),
                        5ms, now);
        }
        start();
        for (auto const id : queue.expire(now))
            RC_ASSERT(waiting.erase(id) == 1U);
        RC_ASSERT(running.size() <= opts.slots);
        RC_ASSERT(queue.running() == running.size());
        RC_ASSERT(queue.queued() == waiting.size());
    }
    for (auto const id : queue.clear())
        RC_ASSERT(waiting.erase(id) == 1U);
    RC_ASSERT(waiting.empty());
}

// A request that can no longer end by its deadline must not keep slots idle until
// expire() removes it.
TEST(upstream_queue, an_expired_request_does_not_block_those_behind_it)
{
    upstream_queue queue({.slots = 1, .default_service = 5ms});
    EXPECT_TRUE(std::holds_alternative<starts_now>(
        queue.arrive(request(1, at_ms(100)), at_ms(0))));
    EXPECT_TRUE(
        std::holds_alternative<waits>(queue.arrive(request(2, at_ms(50)), at_ms(0))));
    EXPECT_TRUE(
        std::holds_alternative<waits>(queue.arrive(request(3, at_ms(200)), at_ms(0))));
    queue.leave(1, request_end::completed, 1ms, at_ms(60));
    EXPECT_EQ(queue.start_next(at_ms(60)), 3U);
    queue.leave(3, request_end::completed, 1ms, at_ms(61));
    EXPECT_EQ(queue.start_next(at_ms(61)), std::nullopt);
    EXPECT_EQ(queue.expire(at_ms(62)), std::vector<std::uint64_t>{2});
}

TEST(upstream_queue, orders_by_rank_and_then_by_due_time)
{
    upstream_queue queue({.slots = 1, .default_service = 1ms});
    queue.arrive(request(1, at_ms(100)), at_ms(0));
    queue.arrive(request(2, at_ms(50), 2), at_ms(0));
    queue.arrive(request(3, at_ms(90), 1), at_ms(0));
    queue.arrive(request(4, at_ms(80), 1), at_ms(0));
    queue.leave(1, request_end::completed, 1ms, at_ms(1));
    for (std::uint64_t const expected : {4, 3, 2})
    {
        EXPECT_EQ(queue.start_next(at_ms(1)), expected);
        queue.leave(expected, request_end::completed, 1ms, at_ms(1));
    }
}

queued_request of_class(std::uint64_t id, std::string const& name, std::uint32_t rank,
                        instant due, instant deadline)
{
    return {.id = id,
            .request_class = name,
            .rank = rank,
            .due = due,
            .deadline = deadline,
            .start_until = deadline};
}

// A queue with its one slot in use and measured service times: "long" 400 ms, "short"
// 40 ms.
upstream_queue busy_queue()
{
    upstream_queue queue({.slots = 1});
    queue.arrive(of_class(1, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(0));
    queue.leave(1, request_end::completed, 400ms, at_ms(0));
    queue.arrive(of_class(2, "short", 1, at_ms(10'000), at_ms(10'000)), at_ms(0));
    queue.leave(2, request_end::completed, 40ms, at_ms(0));
    queue.arrive(of_class(3, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(0));
    return queue;
}

// An upstream calls a service whose queue is full of longer, less urgent requests. The
// call has become late in transit, but the caller holds a slot elsewhere while it waits.
TEST(upstream_queue, a_short_call_that_is_late_goes_before_less_urgent_requests)
{
    auto queue = busy_queue();
    for (std::uint64_t id = 10; id < 20; ++id)
        queue.arrive(of_class(id, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(0));
    ASSERT_TRUE(std::holds_alternative<waits>(
        queue.arrive(of_class(20, "short", 1, at_ms(100), at_ms(700)), at_ms(70))));
    queue.leave(3, request_end::completed, 400ms, at_ms(400));
    EXPECT_EQ(queue.start_next(at_ms(400)), 20U);
}

// Its answer would miss the due time but not the deadline, and is still of use.
TEST(upstream_queue, a_short_call_is_not_refused_for_being_late)
{
    auto queue = busy_queue();
    EXPECT_TRUE(std::holds_alternative<waits>(
        queue.arrive(of_class(20, "short", 1, at_ms(100), at_ms(700)), at_ms(0))));
    EXPECT_TRUE(std::holds_alternative<has_no_room>(
        queue.arrive(of_class(21, "short", 1, at_ms(100), at_ms(110)), at_ms(0))))
        << "it cannot end before its deadline";
}

// On arrival it can no longer meet its due time; requests that can are started first.
TEST(upstream_queue, a_request_that_is_late_on_arrival_goes_after_those_that_are_not)
{
    auto queue = busy_queue();
    ASSERT_TRUE(std::holds_alternative<waits>(
        queue.arrive(of_class(20, "long", 2, at_ms(300), at_ms(10'000)), at_ms(0))));
    ASSERT_TRUE(std::holds_alternative<waits>(
        queue.arrive(of_class(21, "long", 2, at_ms(2'000), at_ms(10'000)), at_ms(0))));
    queue.leave(3, request_end::completed, 400ms, at_ms(400));
    EXPECT_EQ(queue.start_next(at_ms(400)), 21U);
    queue.leave(21, request_end::completed, 400ms, at_ms(800));
    EXPECT_EQ(queue.start_next(at_ms(800)), 20U);
}

// Later arrivals go before a late request, so it is refused at once if it would wait
// long.
TEST(upstream_queue, a_late_request_is_refused_while_the_queue_is_long)
{
    auto queue = busy_queue();
    for (std::uint64_t id = 10; id < 14; ++id)
        queue.arrive(of_class(id, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(0));
    EXPECT_TRUE(std::holds_alternative<has_no_room>(
        queue.arrive(of_class(20, "long", 2, at_ms(300), at_ms(3'000)), at_ms(0))));
}

// The running request was expected to take 400 ms and still runs after 1.6 s. A waiting
// request is refused as soon as it becomes late, not only when its deadline is near.
TEST(upstream_queue, a_request_that_becomes_late_is_refused_while_the_queue_is_long)
{
    auto queue = busy_queue();
    ASSERT_TRUE(std::holds_alternative<waits>(
        queue.arrive(of_class(20, "long", 2, at_ms(2'000), at_ms(4'000)), at_ms(0))));
    for (std::uint64_t id = 10; id < 14; ++id)
        queue.arrive(of_class(id, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(1'500));
    EXPECT_TRUE(queue.expire(at_ms(1'590)).empty()) << "it can still meet its due time";
    EXPECT_EQ(queue.expire(at_ms(1'610)), std::vector<std::uint64_t>{20});
    EXPECT_EQ(queue.queued(), 4U);
}

TEST(upstream_queue, backlog_is_the_slot_time_of_waiting_requests_by_rank)
{
    auto queue = busy_queue();
    EXPECT_TRUE(queue.backlog().empty());
    EXPECT_GT(queue.until_free_slot(), 0ms);
    for (std::uint64_t id = 20; id < 22; ++id)
        queue.arrive(of_class(id, "short", 1, at_ms(10'000), at_ms(10'000)), at_ms(0));
    queue.arrive(of_class(22, "long", 2, at_ms(10'000), at_ms(10'000)), at_ms(0));
    std::vector<rank_backlog> const expected{{.rank = 1, .time = 80ms},
                                             {.rank = 2, .time = 400ms}};
    EXPECT_EQ(queue.backlog(), expected);
}

TEST(upstream_queue, refuses_at_once_what_would_miss_its_deadline_with_a_retry_time)
{
    upstream_queue queue({.slots = 2, .default_service = 100ms});
    for (std::uint64_t id = 1; id <= 6; ++id)
        queue.arrive(request(id, at_ms(10'000)), at_ms(0));
    auto late = request(7, at_ms(300));
    late.due = at_ms(10'001);
    auto const verdict = queue.arrive(late, at_ms(0));
    ASSERT_TRUE(std::holds_alternative<has_no_room>(verdict));
    // A slot becomes free after 50 ms on average, and four requests of 100 ms wait for
    // two slots: 50 + 200 ms.
    EXPECT_EQ(std::get<has_no_room>(verdict).retry_after, 250ms);
    auto short_wait = request(8, at_ms(10'001));
    short_wait.start_until = at_ms(100);
    EXPECT_TRUE(std::holds_alternative<has_no_room>(queue.arrive(short_wait, at_ms(0))))
        << "its sender would have tried another node by then";
}

// Simulates an upstream under all the load that the queue admits. `sheds` decides from
// the number of running requests whether it sheds one. Records the limits of the second
// half.
struct shedding_upstream
{
    static constexpr std::uint32_t slots = 10;
    upstream_queue queue{{.slots = slots, .default_service = 10ms}};
    std::deque<std::uint64_t> running;
    std::uint64_t next_id = 0;
    std::uint32_t min_limit = slots;
    std::uint32_t max_limit = 0;
    double mean_limit = 0;

    template <class Sheds>
    void play(int requests, Sheds const& sheds)
    {
        min_limit = slots;
        max_limit = 0;
        double sum = 0;
        for (int i = 0; i < requests; ++i)
        {
            auto const now = at_ms(i);
            while (running.size() >= queue.limit())
                end_first(now);
            auto const id = ++next_id;
            queue.arrive(request(id, now + 10s), now);
            if (sheds(running.size()))
                queue.leave(id, request_end::shed, 0us, now);
            else
                running.push_back(id);
            if (i <= requests / 2)
                continue;
            min_limit = std::min(min_limit, queue.limit());
            max_limit = std::max(max_limit, queue.limit());
            sum += queue.limit();
        }
        mean_limit = 2 * sum / requests;
        while (!running.empty())
            end_first(at_ms(requests));
    }

    void end_first(instant now)
    {
        queue.leave(running.front(), request_end::completed, 10ms, now);
        running.pop_front();
    }
};

TEST(upstream_queue, an_upstream_that_sheds_when_crowded_keeps_at_least_half_of_its_slots)
{
    shedding_upstream u;
    u.play(1'000, [](std::size_t running) { return running >= 5; });
    EXPECT_EQ(u.min_limit, 5U);
    EXPECT_LE(u.max_limit, 7U) << "the limit is probed upwards repeatedly";
    u.play(200, [](std::size_t) { return false; });
    EXPECT_EQ(u.queue.limit(), 10U);
}

TEST(upstream_queue, sheds_that_are_independent_of_load_do_not_lower_the_limit)
{
    std::mt19937_64 random(3);
    shedding_upstream u;
    u.play(2'000, [&](std::size_t) { return random() % 100 < 55; });
    EXPECT_GE(u.mean_limit, 9);
}

// Simulates a load on one upstream, with an unbounded first-come-first-served queue or
// with upstream_queue.
struct load
{
    double per_second = 0;
    duration aim{0};
    duration deadline{0};
};

struct played
{
    double within = 0;           // share answered within the objective
    double wasted = 0;           // share of slot time spent on answers after the deadline
    double refusal_delay_ms = 0; // mean time until a refusal
};

enum class policy
{
    first_come,
    ours,
};

played play(load const& l, policy p)
{
    constexpr std::uint32_t slots = 18;
    constexpr double mean_ms = 200;
    constexpr double seconds = 60;
    std::mt19937_64 random(11);
    std::exponential_distribution<> gap(l.per_second / 1'000);
    std::lognormal_distribution<> work(std::log(mean_ms) - 0.25 * 0.25 / 2, 0.25);
    upstream_queue queue({.slots = slots});
    std::queue<std::uint64_t> line; // for policy::first_come
    std::uint32_t busy = 0;
    std::map<std::uint64_t, instant> arrived;
    using end = std::pair<instant, std::uint64_t>;
    std::priority_queue<end, std::vector<end>, std::greater<>> ends;
    std::map<std::uint64_t, instant> started;
    double within = 0;
    double refused = 0;
    double refused_after = 0;
    double wasted = 0;
    double used = 0;
    auto const start = [&](std::uint64_t id, instant now)
    {
        started[id] = now;
        ends.emplace(now + ms(work(random)), id);
    };
    auto const start_more = [&](instant now)
    {
        if (p == policy::ours)
        {
            while (auto const id = queue.start_next(now))
                start(*id, now);
            for (auto const id : queue.expire(now))
            {
                ++refused;
                refused_after += std::chrono::duration<double>(now - arrived[id]).count();
            }
            return;
        }
        while (busy < slots && !line.empty())
        {
            ++busy;
            start(line.front(), now);
            line.pop();
        }
    };
    auto now = at_ms(0);
    auto const last = now + ms(seconds * 1'000);
    std::uint64_t id = 0;
    for (auto next = now + ms(gap(random)); now < last;)
    {
        if (!ends.empty() && ends.top().first <= next)
        {
            auto const [at, done] = ends.top();
            ends.pop();
            now = at;
            auto const took = now - started[done];
            auto const whole = now - arrived[done];
            used += std::chrono::duration<double>(took).count();
            if (whole <= l.aim)
                ++within;
            if (whole > l.deadline)
                wasted += std::chrono::duration<double>(took).count();
            if (p == policy::ours)
                queue.leave(done, request_end::completed, took, now);
            else
                --busy;
            start_more(now);
            continue;
        }
        now = next;
        next = now + ms(gap(random));
        arrived[++id] = now;
        if (p == policy::first_come)
            line.push(id);
        else
        {
            auto const verdict = queue.arrive({.id = id,
                                               .request_class = "c",
                                               .rank = 1,
                                               .due = now + l.aim,
                                               .deadline = now + l.deadline,
                                               .start_until = now + l.deadline},
                                              now);
            if (std::holds_alternative<starts_now>(verdict))
                start(id, now);
            if (std::holds_alternative<has_no_room>(verdict))
                ++refused;
        }
        start_more(now);
    }
    return {.within = within / static_cast<double>(id),
            .wasted = used > 0 ? wasted / used : 0,
            .refusal_delay_ms = refused > 0 ? refused_after / refused * 1'000 : 0};
}

TEST(upstream_queue, under_twice_its_capacity_slots_are_not_spent_on_late_answers)
{
    load const twice{.per_second = 180, .aim = 600ms, .deadline = 1'500ms};
    auto const before = play(twice, policy::first_come);
    auto const ours = play(twice, policy::ours);
    EXPECT_LT(before.within, 0.1) << "every request waits, and every answer is late";
    // The capacity suffices for half of the requests.
    EXPECT_GT(ours.within, 0.4);
    EXPECT_LT(ours.wasted, 0.01);
    EXPECT_LT(ours.refusal_delay_ms, 150) << "refusals are immediate";
}

TEST(upstream_queue, below_its_capacity_nearly_all_answers_meet_the_objective)
{
    load const light{.per_second = 60, .aim = 600ms, .deadline = 1'500ms};
    EXPECT_GT(play(light, policy::ours).within, 0.98);
}

// ---- placement ----

placement_candidate near_one(std::string node, std::uint32_t slots = 10)
{
    return {.node = std::move(node), .away = distance::same_region, .slots = slots};
}

placement_candidate far_one(std::string node)
{
    return {.node = std::move(node), .away = distance::other_region, .slots = 10};
}

upstream_load busy(std::uint32_t running, std::uint32_t waiting, duration service)
{
    return {.slots = 10, .running = running, .waiting = waiting, .service = service};
}

TEST(placement, prefers_the_earliest_expected_answer)
{
    placement p({});
    auto const now = at_ms(1'000);
    p.on_load("slow", busy(0, 0, 400ms), now);
    p.on_load("fast", busy(9, 0, 100ms), now);
    p.on_load("full", busy(10, 40, 100ms), now);
    std::vector<placement_candidate> const all{near_one("slow"), near_one("fast"),
                                               near_one("full")};
    EXPECT_EQ(p.choose(all, {}, 0, now)->node, "fast");
    for (int i = 0; i < 40; ++i) // requests of this node, not in the report yet
        p.on_sent("fast");
    EXPECT_EQ(p.choose(all, {}, 0, now)->node, "slow");
    p.avoid("slow", now + 1s);
    EXPECT_NE(p.choose(all, {}, 0, now)->node, "slow");
    p.on_load(
        "fast",
        {.slots = 10, .running = 0, .waiting = 0, .service = 1ms, .accepting = false},
        now);
    EXPECT_EQ(p.choose(all, {}, 0, now)->node, "full");
    EXPECT_EQ(p.choose({}, {}, 0, now), std::nullopt);
}

// With a mix of classes, the mean service time is a poor estimate of the work that is
// queued at the moment.
TEST(placement, uses_the_backlog_that_a_node_reports)
{
    placement p({});
    upstream_load const much{
        .slots = 10,
        .running = 10,
        .waiting = 20,
        .service = 100ms,
        .until_slot = 10ms,
        .backlog = {{.rank = 1, .time = 20ms}, {.rank = 2, .time = 600ms}}};
    auto little = much;
    little.backlog = {{.rank = 1, .time = 50ms}};
    p.on_load("much", much, at_ms(0));
    p.on_load("little", little, at_ms(0));
    placement_request const usual{.rank = 2};
    placement_request const urgent{.rank = 1};
    auto const choice =
        p.choose({{.node = "much"}, {.node = "little"}}, usual, 0, at_ms(10));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->node, "little");
    EXPECT_EQ(choice->wait, 60ms);
    EXPECT_TRUE(choice->load_known);
    EXPECT_EQ(p.choose({{.node = "much"}}, urgent, 0, at_ms(10))->wait, 30ms)
        << "less urgent requests do not delay it";
    EXPECT_FALSE(p.choose({{.node = "much"}}, urgent, 0, at_ms(2'000))->load_known)
        << "the report is too old";
}

// Downloads went by free slots and times of service, while the links were what was short.
TEST(placement, a_large_answer_waits_for_the_link_and_needs_its_time_there)
{
    placement p({});
    auto const now = at_ms(1'000);
    constexpr double rate = 1e6; // bytes per second
    auto slow = busy(0, 0, 50ms);
    slow.link_wait = 300ms;
    slow.link_rate = rate;
    auto quick = busy(9, 0, 120ms);
    quick.link_wait = 40ms;
    quick.link_rate = rate;
    p.on_load("idle slots", slow, now);
    p.on_load("idle link", quick, now);
    std::vector<placement_candidate> const all{near_one("idle slots"),
                                               near_one("idle link")};
    placement_request const small{.exchange_bytes = 90'000};
    EXPECT_EQ(p.choose(all, small, 0, now)->node, "idle slots")
        << "nothing else has terms for the link";
    placement_request const large{
        .exchange_bytes = 90'000, .large_answer = true, .due_in = 600ms};
    auto const choice = p.choose(all, large, 0, now);
    EXPECT_EQ(choice->node, "idle link");
    EXPECT_FALSE(choice->full);
    EXPECT_GE(choice->expected, 120ms + 90ms);
    // An upstream beside the caller's node reports no link.
    p.on_load("here", busy(5, 0, 150ms), now);
    EXPECT_EQ(p.choose({{.node = "here"}, near_one("idle link")}, large, 0, now)->node,
              "here");
}

TEST(placement, a_full_link_is_full_and_says_when_it_has_room)
{
    placement p({});
    auto const now = at_ms(1'000);
    auto load = busy(0, 0, 50ms);
    load.link_wait = 700ms;
    load.link_rate = 1e6;
    p.on_load("near", load, now);
    load.link_wait = 20ms;
    p.on_load("far", load, now);
    placement_request const large{
        .exchange_bytes = 100'000, .large_answer = true, .due_in = 600ms};
    auto const near = p.choose({near_one("near")}, large, 0, now);
    EXPECT_TRUE(near->full);
    EXPECT_EQ(near->wait, 550ms) << "until the node begins it";
    EXPECT_EQ(next_offer(*near, {}, 2s), offer_step::last_round);
    EXPECT_EQ(next_offer(*near, {}, 500ms), offer_step::refuse);
    // The link between regions is crossed only then.
    EXPECT_EQ(p.choose({near_one("near"), far_one("far")}, large, 0, now)->node, "far");
    load.link_wait = 300ms;
    p.on_load("near", load, now);
    EXPECT_EQ(p.choose({near_one("near"), far_one("far")}, large, 0, now)->node, "near");
}

// While a service is full on all its nodes, a request is not offered to each of them in
// turn to get the refusal that their recent reports predict.
TEST(offers, nodes_that_report_a_longer_wait_than_the_time_left_are_not_asked)
{
    placement_choice const full{.node = "n", .wait = 400ms, .load_known = true};
    placement_choice const free{.node = "n", .wait = 40ms, .load_known = true};
    auto unknown = full;
    unknown.load_known = false;
    offers_made const none{};
    offers_made const last{.last_round = true};
    EXPECT_EQ(next_offer(free, none, 1s), offer_step::ask);
    EXPECT_EQ(next_offer(unknown, none, 1s), offer_step::ask);
    EXPECT_EQ(next_offer(full, none, 1s), offer_step::last_round);
    EXPECT_EQ(next_offer(full, last, 1s), offer_step::ask) << "it can be queued there";
    EXPECT_EQ(next_offer(full, none, 300ms), offer_step::refuse);
    EXPECT_EQ(next_offer(full, last, 300ms), offer_step::refuse);
    EXPECT_EQ(next_offer(unknown, last, 300ms), offer_step::ask);
}

TEST(offers, the_last_round_ends_after_three_refusals)
{
    placement_choice const free{.node = "n", .wait = 0ms, .load_known = true};
    for (std::size_t refused : {0, 1, 2})
        EXPECT_EQ(next_offer(free, {.last_round = true, .refused_by = refused}, 1s),
                  offer_step::ask);
    EXPECT_EQ(next_offer(free, {.last_round = true, .refused_by = 3}, 1s),
              offer_step::refuse);
    EXPECT_EQ(next_offer(free, {.last_round = false, .refused_by = 9}, 1s),
              offer_step::ask);
}

TEST(offers, after_a_refusal_full_nodes_are_asked_only_while_offers_to_them_are_accepted)
{
    placement_choice const full{
        .node = "n", .wait = 40ms, .load_known = true, .full = true};
    placement_choice const free{.node = "n", .wait = 0ms, .load_known = true};
    offers_made const refused{.refused = true, .offer_if_full = false};
    EXPECT_EQ(next_offer(full, refused, 1s), offer_step::refuse);
    EXPECT_EQ(next_offer(free, refused, 1s), offer_step::ask);
    EXPECT_EQ(next_offer(full, {.refused = true}, 1s), offer_step::ask);
    EXPECT_EQ(next_offer(full, {.offer_if_full = false}, 1s), offer_step::ask)
        << "before the first refusal a slot may have become free";
}

TEST(offers, that_are_rarely_accepted_are_made_once_per_probe_interval)
{
    offer_memory memory({});
    auto const made = [&](std::string const& request_class)
    {
        int count = 0;
        for (std::uint64_t draw = 0; draw < 160; ++draw)
            count += memory.worth_offering(request_class, draw) ? 1 : 0;
        return count;
    };
    EXPECT_EQ(made("long"), 160) << "nothing is known yet";
    for (int i = 0; i < 60; ++i)
    {
        memory.note("long", i % 10 == 0);
        memory.note("short", i % 2 == 0);
    }
    EXPECT_EQ(made("long"), 10);
    EXPECT_EQ(made("short"), 160) << "classes are counted separately";
    for (int i = 0; i < 20; ++i)
        memory.note("long", true);
    EXPECT_EQ(made("long"), 160) << "offers are accepted again";
}

TEST(placement, marks_a_node_as_full_by_its_recent_report)
{
    placement p({});
    p.on_load("full", busy(10, 0, 40ms), at_ms(0));
    p.on_load("queue", busy(9, 2, 40ms), at_ms(0));
    p.on_load("one", busy(9, 0, 40ms), at_ms(0));
    auto const is_full = [&](char const* node, int ms)
    {
        return p.choose({near_one(node)}, {}, 0, at_ms(ms))->full;
    };
    EXPECT_TRUE(is_full("full", 10));
    EXPECT_TRUE(is_full("queue", 10));
    EXPECT_FALSE(is_full("one", 10));
    EXPECT_FALSE(is_full("full", 2'000)) << "the report is too old";
    p.on_sent("one");
    EXPECT_TRUE(is_full("one", 10)) << "this node has sent a request for the last slot";
}

// All upstreams have free slots, so that only their speed counts. One that joins is tried
// first, and after its first answer it is rated by its report.
TEST(placement, tries_an_upstream_that_joins_and_then_uses_its_report)
{
    placement p({});
    auto const now = at_ms(1'000);
    std::vector<placement_candidate> all{near_one("fast"), near_one("slow")};
    p.on_load("fast", busy(2, 0, 40ms), now);
    p.on_load("slow", busy(2, 0, 120ms), now);
    EXPECT_EQ(p.choose(all, {}, 0, now)->node, "fast");
    auto joined = near_one("joined");
    joined.away = distance::same_region;
    all.push_back(joined);
    for (std::uint64_t draw = 0; draw < 3; ++draw)
        EXPECT_EQ(p.choose(all, {}, draw, now)->node, "joined");
    p.on_sent("joined");
    p.on_load("joined", busy(0, 0, 90ms), now);
    p.on_done("joined", false, now);
    for (std::uint64_t draw = 0; draw < 3; ++draw)
        EXPECT_EQ(p.choose(all, {}, draw, now)->node, "fast");
}

// An upstream whose requests fail without any load report must not be chosen repeatedly
// because it is assumed to be fast.
TEST(placement, an_unknown_upstream_that_fails_is_avoided_after_a_few_tries)
{
    placement p({});
    auto const now = at_ms(1'000);
    std::vector<placement_candidate> const all{near_one("good"), near_one("failing")};
    p.on_load("good", busy(2, 0, 40ms), now);
    int tries = 0;
    for (int i = 0; i < 50; ++i)
    {
        if (p.choose(all, {}, 0, now)->node != "failing")
            continue;
        ++tries;
        p.on_sent("failing");
        p.on_done("failing", true, now);
    }
    EXPECT_GE(tries, 1);
    EXPECT_LE(tries, 3);
}

TEST(placement, crosses_to_another_region_only_for_a_large_gain)
{
    placement p({});
    auto const now = at_ms(1'000);
    auto const far = far_one("far");
    p.on_load("far", busy(0, 0, 200ms), now);
    p.on_load("near", busy(10, 5, 200ms), now);
    EXPECT_EQ(p.choose({near_one("near"), far}, {}, 0, now)->node, "near");
    p.on_load("near", busy(10, 30, 200ms), now);
    EXPECT_EQ(p.choose({near_one("near"), far}, {}, 0, now)->node, "far");
}

// The wait in the near region is 200 ms longer. This outweighs the penalty of the
// other region for a short exchange, but not for one of six kilobytes.
TEST(placement, a_large_exchange_stays_in_its_region_at_a_higher_load)
{
    placement p({});
    auto const now = at_ms(1'000);
    auto const far = far_one("far");
    p.on_load("far", busy(0, 0, 200ms), now);
    p.on_load("near", busy(10, 9, 200ms), now);
    EXPECT_EQ(p.choose({near_one("near"), far}, {.exchange_bytes = 500}, 0, now)->node,
              "far");
    EXPECT_EQ(p.choose({near_one("near"), far}, {.exchange_bytes = 6'000}, 0, now)->node,
              "near");
    p.on_load("near", busy(10, 60, 200ms), now);
    EXPECT_EQ(p.choose({near_one("near"), far}, {.exchange_bytes = 6'000}, 0, now)->node,
              "far");
}

TEST(placement, avoids_a_failing_upstream_and_returns_to_it_later)
{
    placement p({});
    auto now = at_ms(1'000);
    std::vector<placement_candidate> const both{near_one("good"), near_one("bad")};
    p.on_load("good", busy(9, 0, 200ms), now);
    p.on_load("bad", busy(0, 0, 190ms), now);
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "bad");
    for (int i = 0; i < 10; ++i)
        p.on_done("bad", true, now);
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "good");
    now += 10s;
    p.on_load("good", busy(9, 0, 200ms), now);
    p.on_load("bad", busy(0, 0, 150ms), now);
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "bad");
}

// The upstream has free slots, but messages are delayed at its node.
TEST(placement, a_node_with_delayed_messages_is_avoided_until_the_delay_decays)
{
    placement p({});
    std::vector const both{near_one("late"), near_one("prompt")};
    auto now = at_ms(0);
    auto const report = [&]
    {
        p.on_load("late", busy(0, 0, 60ms), now);
        p.on_load("prompt", busy(9, 1, 60ms), now);
    };
    report();
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "late");
    for (int i = 0; i < 5; ++i)
        p.on_round_trip("late", distance::same_domain, 120ms, now);
    p.on_round_trip("prompt", distance::same_domain, 2ms, now);
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "prompt");
    now += 10s;
    report();
    EXPECT_EQ(p.choose(both, {}, 0, now)->node, "late") << "it may have recovered";
}

TEST(placement, a_good_result_after_a_pause_never_raises_the_expected_time)
{
    placement p({});
    std::vector const only{near_one("n")};
    auto now = at_ms(0);
    for (int i = 0; i < 5; ++i)
    {
        p.on_round_trip("n", distance::same_domain, 200ms, now);
        p.on_done("n", true, now);
    }
    now += 5s;
    p.on_load("n", busy(0, 0, 60ms), now);
    auto const before = p.choose(only, {}, 0, now)->expected;
    p.on_round_trip("n", distance::same_domain, 1ms, now);
    auto const after_trip = p.choose(only, {}, 0, now)->expected;
    EXPECT_LE(after_trip, before);
    p.on_done("n", false, now);
    EXPECT_LE(p.choose(only, {}, 0, now)->expected, after_trip);
}

TEST(placement, the_usual_round_trip_to_another_region_is_no_delay)
{
    placement p({});
    std::vector<placement_candidate> const only{
        {.node = "far", .away = distance::other_region, .slots = 10}};
    p.on_load("far", busy(0, 0, 60ms), at_ms(0));
    auto const before = p.choose(only, {}, 0, at_ms(0))->expected;
    p.on_round_trip("far", distance::other_region, 42ms, at_ms(0));
    EXPECT_EQ(p.choose(only, {}, 0, at_ms(0))->expected, before);
}

// Twelve nodes send requests to four upstreams of different speeds and receive load
// reports only with answers. Returns the mean wait for a slot, with a choice by load or
// at random.
double mean_wait_ms(bool by_load)
{
    constexpr std::size_t nodes = 12;
    constexpr std::uint32_t slots = 18;
    std::vector<double> const speeds{0.5, 1.0, 1.0, 1.5};
    std::mt19937_64 random(5);
    std::exponential_distribution<> gap(0.25); // 250 a second, with a capacity of 288
    std::lognormal_distribution<> work(std::log(200.0) - 0.08, 0.4);
    struct upstream
    {
        std::uint32_t running = 0;
        std::queue<std::pair<std::size_t, instant>> line; // node and arrival
        double mean_ms = 200;
    };
    struct event
    {
        instant at;
        std::size_t from; // node
        std::size_t to;   // upstream
        bool operator<(event const& other) const { return at > other.at; }
    };
    std::vector<placement> views(nodes, placement({}));
    std::vector<upstream> upstreams(speeds.size());
    std::vector<placement_candidate> candidates;
    for (std::size_t u = 0; u < speeds.size(); ++u)
        candidates.push_back(near_one("u" + std::to_string(u), slots));
    std::priority_queue<event> ends;
    double waited = 0;
    double count = 0;
    auto now = at_ms(0);
    auto const start = [&](std::size_t u)
    {
        auto& up = upstreams[u];
        while (up.running < slots && !up.line.empty())
        {
            auto const [node, arrival] = up.line.front();
            up.line.pop();
            ++up.running;
            waited += std::chrono::duration<double, std::milli>(now - arrival).count();
            ++count;
            auto const took = work(random) / speeds[u];
            up.mean_ms += 0.1 * (took - up.mean_ms);
            ends.push({.at = now + ms(took), .from = node, .to = u});
        }
    };
    for (auto next = now; now < at_ms(30'000);)
    {
        if (!ends.empty() && ends.top().at <= next)
        {
            auto const e = ends.top();
            ends.pop();
            now = e.at;
            auto& up = upstreams[e.to];
            --up.running;
            start(e.to);
            views[e.from].on_done(candidates[e.to].node, false, now);
            views[e.from].on_load(candidates[e.to].node,
                                  {.slots = slots,
                                   .running = up.running,
                                   .waiting = static_cast<std::uint32_t>(up.line.size()),
                                   .service = ms(up.mean_ms)},
                                  now);
            continue;
        }
        now = next;
        next = now + ms(gap(random));
        auto const node = random() % nodes;
        std::size_t to = random() % speeds.size();
        if (by_load)
        {
            auto const choice = views[node].choose(candidates, {}, random(), now);
            to = static_cast<std::size_t>(choice->node.back() - '0');
        }
        views[node].on_sent(candidates[to].node);
        upstreams[to].line.emplace(node, now);
        start(to);
    }
    return waited / count;
}

TEST(placement, spreads_load_over_upstreams_of_different_speeds)
{
    EXPECT_LT(mean_wait_ms(true), mean_wait_ms(false) / 10);
}

// ---- the retry budget ----

// Five nodes that do not communicate accept requests and retry as their budgets allow.
struct independent_nodes
{
    static constexpr double ratio = 0.2;
    static constexpr double reserve = 20;

    explicit independent_nodes(double used_share)
    {
        constexpr std::uint32_t nodes = 5;
        std::vector<retry_budget> budgets(nodes,
                                          retry_budget({.ratio = ratio,
                                                        .reserve = reserve,
                                                        .window = 10s,
                                                        .nodes = nodes,
                                                        .used_share = used_share}));
        auto now = at_ms(100'000);
        for (int i = 0; i < 1'500; ++i)
        {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 40));
            auto& budget = budgets[*rc::gen::inRange<std::size_t>(0, nodes)];
            if (*rc::gen::inRange(0, 3) == 0)
            {
                budget.on_request("s", now);
                requests.push_back(now);
            }
            else if (budget.try_acquire("s", now))
                retries.push_back(now);
        }
    }

    static double within(std::vector<instant> const& all, instant from)
    {
        auto const first = std::lower_bound(all.begin(), all.end(), from);
        return static_cast<double>(std::lower_bound(first, all.end(), from + 10s) -
                                   first);
    }

    std::vector<instant> requests;
    std::vector<instant> retries;
};

// With the whole budget in use, one node's retries in a window may be based on requests
// of the window before it and another node's on those of the window itself.
RC_GTEST_PROP(retry_budget, nodes_together_keep_the_bound_over_two_windows, ())
{
    independent_nodes const n(1);
    for (auto const from : n.retries)
    {
        auto const base = n.within(n.requests, from - 10s) + n.within(n.requests, from);
        RC_ASSERT(n.within(n.retries, from) <= n.ratio * base + n.reserve);
    }
}

// With the default `used_share`, the retries in a window are at most the ratio times the
// largest count of requests in that window, the one before it and the one half a window
// before it, plus the reserve.
RC_GTEST_PROP(retry_budget, nodes_together_keep_the_bound_in_every_window, ())
{
    independent_nodes const n(retry_budget_options{}.used_share);
    for (auto const from : n.retries)
    {
        auto const base =
            std::max({n.within(n.requests, from - 10s), n.within(n.requests, from - 5s),
                      n.within(n.requests, from)});
        RC_ASSERT(n.within(n.retries, from) <= n.ratio * base + n.reserve);
    }
}

TEST(attempt_history, keeps_the_first_reason_why_an_attempt_may_have_run)
{
    attempt_history attempts;
    attempts.on_arrival(); // the upstream refused it
    EXPECT_FALSE(attempts.may_have_run());
    attempts.on_arrival();
    attempts.on_may_have_run(outcome_reason::owner_lost);
    attempts.on_arrival();
    attempts.on_may_have_run(outcome_reason::answer_lost);
    EXPECT_EQ(attempts.may_have_run(), outcome_reason::owner_lost);
    EXPECT_EQ(attempts.arrivals(), 3U);
}

TEST(retry_budget, allows_a_share_of_the_traffic_and_honours_the_reserved_share)
{
    retry_budget budget({.ratio = 0.1, .reserve = 5, .window = 10s, .used_share = 1});
    int retries = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        budget.on_request("s", at_ms(1'000));
        while (budget.try_acquire("s", at_ms(1'000), 0.5))
            ++retries;
    }
    EXPECT_NEAR(retries, 52, 1);
    while (budget.try_acquire("s", at_ms(1'000)))
        ++retries;
    EXPECT_NEAR(retries, 105, 1);
    EXPECT_TRUE(budget.try_acquire("other", at_ms(1'000)))
        << "each service has its own budget";
}

} // namespace
} // namespace buckthornusher
