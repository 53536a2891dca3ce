// Tests of placement and of the learnt service times under a mix of short and long
// requests on upstreams of unlike speed.
#include "buckthornusher/placement.hpp"
#include "buckthornusher/service_times.hpp"
#include "buckthornusher/upstream_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace buckthornusher
{
namespace
{

instant at_ms(double ms)
{
    return instant{} + std::chrono::hours(1) +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double, std::milli>(ms));
}

duration from_ms(double ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

// ---- learnt times ----

TEST(service_times, a_reported_time_is_expected_again)
{
    service_times times({});
    auto const now = at_ms(0);
    EXPECT_EQ(times.expected("n", "short", 1, now), std::nullopt);
    times.note("n", "short", 60ms, now);
    times.note("n", "long", 320ms, now);
    EXPECT_EQ(times.expected("n", "short", 1, now), 60ms);
    EXPECT_EQ(times.expected("n", "long", 1, now), 320ms);
    times.note("n", "long", 0ms, now);
    EXPECT_EQ(times.expected("n", "long", 1, now), 320ms) << "0 is no report";
}

TEST(service_times, what_is_known_of_an_upstream_fades_to_the_usual)
{
    service_times times({});
    for (int i = 0; i < 40; ++i)
        times.note("usual", "c", 100ms, at_ms(i));
    times.note("slow", "c", 1'000ms, at_ms(40));
    EXPECT_GT(*times.expected("slow", "c", 1, at_ms(50)), 900ms);
    EXPECT_LT(*times.expected("slow", "c", 1, at_ms(120'000)), 250ms);
}

TEST(service_times, an_unknown_upstream_is_a_little_faster_than_the_fastest)
{
    service_times times({});
    auto const now = at_ms(0);
    for (int i = 0; i < 200; ++i)
    {
        times.note("a", "c", 100ms, now);
        times.note("b", "c", 200ms, now);
    }
    auto const unknown = times.unknown_slowness({"a", "b", "new"}, now);
    EXPECT_LT(*times.expected("new", "c", unknown, now),
              *times.expected("a", "c", unknown, now));
    EXPECT_EQ(times.unknown_slowness({"new"}, now), 0.8);
}

// Reference: the time of a class is its work times the slowness of the upstream. Each
// upstream reports some of its classes; the others are derived.
RC_GTEST_PROP(service_times_property, a_time_that_was_never_reported_follows_the_speed,
              ())
{
    auto const work_ms = *rc::gen::container<std::vector<double>>(
        3, rc::gen::map(rc::gen::inRange(20, 1'000), [](int n) { return n * 1.0; }));
    auto const slowness = *rc::gen::container<std::vector<double>>(
        6, rc::gen::map(rc::gen::inRange(50, 250), [](int n) { return n / 100.0; }));
    auto const unseen = *rc::gen::inRange(0, 6);
    service_times times({});
    auto const now = at_ms(0);
    auto const node = [](int n)
    {
        return "n" + std::to_string(n);
    };
    auto const request_class = [](int c)
    {
        return "c" + std::to_string(c);
    };
    for (int round = 0; round < 300; ++round)
        for (int n = 0; n < 6; ++n)
            for (int c = 0; c < 3; ++c)
                if (n != unseen || c != 0)
                    times.note(node(n), request_class(c),
                               from_ms(work_ms[c] * slowness[n]), now);
    auto const expected = times.expected(node(unseen), request_class(0), 1, now);
    auto const reference = work_ms[0] * slowness[unseen];
    RC_ASSERT(expected.has_value());
    auto const relative =
        std::chrono::duration<double, std::milli>(*expected).count() / reference;
    // The usual time of a class is a mean over other upstreams, so it is off by a factor.
    RC_ASSERT(relative > 0.6 && relative < 1.6);
}

// ---- the choice ----

upstream_load idle(duration service)
{
    return {.slots = 11, .running = 2, .service = service};
}

placement_candidate near_one(std::string node)
{
    return {.node = std::move(node), .away = distance::same_region, .slots = 11};
}

// Both upstreams are equally fast. One has run short requests lately, the other long
// ones.
TEST(placement_mix, an_upstream_is_not_faster_because_it_ran_short_requests)
{
    placement p({});
    auto const now = at_ms(0);
    for (int i = 0; i < 20; ++i)
    {
        p.on_load("ran-short", idle(60ms), now, "short");
        p.on_load("ran-long", idle(320ms), now, "long");
        p.on_load("ran-short", idle(320ms), now, "long");
        p.on_load("ran-long", idle(60ms), now, "short");
    }
    p.on_load("ran-short", {.slots = 11, .running = 10, .waiting = 0, .service = 60ms},
              now, "short");
    p.on_load("ran-long", {.slots = 11, .running = 3, .waiting = 0, .service = 320ms},
              now, "long");
    p.on_sent("ran-short");
    for (auto const* request_class : {"short", "long"})
        EXPECT_EQ(p.choose({near_one("ran-short"), near_one("ran-long")},
                           {.request_class = request_class}, 0, now)
                      ->node,
                  "ran-long")
            << request_class;
}

// The others are known to be nearly full; the last answer of `old` was long ago.
TEST(placement_mix, an_upstream_that_was_not_asked_lately_does_not_seem_free)
{
    placement p({});
    upstream_load const full{.slots = 11,
                             .running = 11,
                             .waiting = 4,
                             .service = 300ms,
                             .until_slot = 27ms,
                             .backlog = {{.rank = 1, .time = 110ms}}};
    auto const now = at_ms(10'000);
    p.on_load("old", full, at_ms(0), "c");
    for (auto const* node : {"a", "b", "d"})
        p.on_load(node, full, now, "c");
    auto const choice = p.choose({near_one("old")}, {.request_class = "c"}, 0, now);
    EXPECT_EQ(choice->wait, 0ms) << "nothing is known of other upstreams";
    std::vector const all{near_one("old"), near_one("a"), near_one("b"), near_one("d")};
    auto const chosen = p.choose(all, {.request_class = "c"}, 0, now);
    EXPECT_GT(chosen->wait, 80ms);
}

// A node that is lost, or tried by all others at once, does not answer. Each entry sends
// it one request, and not all that it has.
TEST(placement_mix, an_unknown_upstream_gets_one_request_until_it_answers)
{
    placement p({});
    auto const now = at_ms(0);
    std::vector all{near_one("lost")};
    for (int n = 0; n < 5; ++n)
    {
        all.push_back(near_one("n" + std::to_string(n)));
        p.on_load(all.back().node, idle(300ms), now, "c");
    }
    int sent_to_lost = 0;
    for (std::uint64_t i = 0; i < 15; ++i)
    {
        auto const choice = p.choose(all, {.request_class = "c"}, i, now);
        p.on_sent(choice->node);
        sent_to_lost += choice->node == "lost" ? 1 : 0;
    }
    EXPECT_EQ(sent_to_lost, 1);
}

TEST(placement_mix, a_node_that_does_not_answer_a_probe_is_passed_over)
{
    placement p({});
    auto const now = at_ms(0);
    auto silent = near_one("silent");
    p.on_load("silent", {.slots = 11, .running = 0, .service = 200ms}, now, "c");
    p.on_load("slow", {.slots = 11, .running = 8, .service = 300ms}, now, "c");
    EXPECT_EQ(p.choose({silent, near_one("slow")}, {.request_class = "c"}, 0, now)->node,
              "silent");
    silent.silence = 400ms;
    EXPECT_EQ(p.choose({silent, near_one("slow")}, {.request_class = "c"}, 0, now)->node,
              "slow");
}

// ---- the queue ----

// All slots run long requests. Short ones that ran earlier do not make a slot free
// sooner.
// Guards against requests that can run in two regions taking the slots of one of them
// from requests that can run nowhere else.
TEST(placement_mix, free_requests_leave_slots_that_others_need_as_these_fill)
{
    auto const now = at_ms(0);
    std::vector<placement_candidate> const places{
        {.node = "near", .away = distance::same_domain, .slots = 18, .contested = true},
        {.node = "far", .away = distance::other_region, .slots = 18}};
    auto const chosen = [&](std::uint32_t running, bool contested)
    {
        placement loads({});
        for (auto const& p : places)
            loads.on_load(p.node,
                          {.slots = 18,
                           .running = p.node == "near" ? running : 4U,
                           .service = 80ms},
                          now, "lookup");
        auto candidates = places;
        candidates[0].contested = contested;
        return loads.choose(candidates, {.request_class = "lookup"}, 0, now)->node;
    };
    EXPECT_EQ(chosen(4, true), "near");
    EXPECT_EQ(chosen(9, true), "near");
    EXPECT_EQ(chosen(16, true), "far");
    EXPECT_EQ(chosen(16, false), "near") << "nobody else needs the slots";
}

TEST(placement_mix, the_wait_for_a_slot_follows_the_running_requests)
{
    upstream_queue queue({.slots = 2});
    auto const run = [&](std::uint64_t id, std::string request_class, duration took)
    {
        queued_request const r{.id = id,
                               .request_class = std::move(request_class),
                               .due = at_ms(10'000),
                               .deadline = at_ms(10'000),
                               .start_until = at_ms(10'000)};
        (void)queue.arrive(r, at_ms(0));
        queue.leave(id, request_end::completed, took, at_ms(0));
    };
    for (std::uint64_t id = 1; id <= 60; ++id)
        run(id, id % 10 == 0 ? "long" : "short", id % 10 == 0 ? 400ms : 20ms);
    for (std::uint64_t id = 100; id < 102; ++id)
        (void)queue.arrive({.id = id,
                            .request_class = "long",
                            .due = at_ms(10'000),
                            .deadline = at_ms(10'000),
                            .start_until = at_ms(10'000)},
                           at_ms(0));
    EXPECT_EQ(queue.until_free_slot(), 200ms);
}

// A failure is often reported early: the upstream must not seem fast because of it.
TEST(placement_mix, early_failures_do_not_shorten_the_expected_time)
{
    upstream_queue queue({.slots = 2});
    auto const run = [&](std::uint64_t id, request_end end, duration took)
    {
        (void)queue.arrive({.id = id, .request_class = "c", .deadline = at_ms(10'000)},
                           at_ms(0));
        queue.leave(id, end, took, at_ms(0));
    };
    run(1, request_end::completed, 300ms);
    for (std::uint64_t id = 2; id < 40; ++id)
        run(id, request_end::answered_failure, 5ms);
    EXPECT_EQ(queue.expected_service("c"), 300ms);
    run(40, request_end::answered_failure, 1'300ms);
    EXPECT_GT(queue.expected_service("c"), 300ms);
}

// ---- a day's load ----

// What callers get in a played load.
struct outcome
{
    double in_time = 0; // shares of the requests
    double refused = 0;
    double worst_in_time = 1; // share of the worst-served class
};

struct work_class
{
    std::string name;
    double mean_ms = 0;
    double objective_ms = 0;
    double share = 0; // of the requests
};

// Many entry nodes place requests of two classes on upstreams of unlike speed, which are
// offered 0.85 of their slots. The entries hear of an upstream by its answers alone, so
// that most reports are old. A request goes to the chosen upstream's queue; after a
// refusal it is offered to another, twice at most.
outcome play_mix(std::size_t entries, std::size_t upstream_count)
{
    constexpr std::uint32_t slots = 11;
    constexpr double seconds = 20;
    constexpr double offered_share = 0.85;
    constexpr int max_offers = 3;
    std::vector<work_class> const classes{
        {.name = "short", .mean_ms = 60, .objective_ms = 250, .share = 0.6},
        {.name = "long", .mean_ms = 320, .objective_ms = 1'000, .share = 0.4}};
    std::mt19937_64 random(20261205);
    std::vector<double> speeds;
    double speed_sum = 0;
    for (std::size_t u = 0; u < upstream_count; ++u)
    {
        speeds.push_back(0.6 + 0.8 * static_cast<double>(u % 5) / 4);
        speed_sum += speeds.back();
    }
    double mean_work = 0;
    for (auto const& c : classes)
        mean_work += c.share * c.mean_ms;
    std::exponential_distribution<> gap(offered_share * slots * speed_sum / mean_work);
    std::lognormal_distribution<> spread(-0.08, 0.4);
    std::uniform_real_distribution<> uniform(0, 1);

    struct request
    {
        std::size_t entry = 0;
        std::size_t class_index = 0;
        std::size_t upstream = 0;
        instant arrived;
        instant started;
        int offers = 0;
    };
    struct end
    {
        instant at;
        std::uint64_t id = 0;
        bool operator<(end const& other) const { return at > other.at; }
    };
    std::vector<placement> views(entries, placement({}));
    std::vector<upstream_queue> queues(upstream_count, upstream_queue({.slots = slots}));
    std::vector<placement_candidate> candidates;
    for (std::size_t u = 0; u < upstream_count; ++u)
        candidates.push_back({.node = "u" + std::to_string(u),
                              .away = distance::same_region,
                              .slots = slots});
    std::map<std::uint64_t, request> requests;
    std::priority_queue<end> ends;
    std::vector<double> asked(classes.size());
    std::vector<double> in_time(classes.size());
    double refused = 0;
    auto now = at_ms(0);

    auto const report = [&](request const& r)
    {
        auto const& q = queues[r.upstream];
        auto const& name = classes[r.class_index].name;
        views[r.entry].on_load(candidates[r.upstream].node,
                               {.slots = q.limit(),
                                .running = q.running(),
                                .waiting = static_cast<std::uint32_t>(q.queued()),
                                .service = q.known_service(name).value_or(duration{0}),
                                .until_slot = q.until_free_slot(),
                                .backlog = q.backlog()},
                               now, name);
    };
    auto const start = [&](std::uint64_t id)
    {
        auto& r = requests.at(id);
        r.started = now;
        auto const took =
            classes[r.class_index].mean_ms * spread(random) / speeds[r.upstream];
        ends.push({.at = now + from_ms(took), .id = id});
    };
    std::function<void(std::uint64_t)> const offer = [&](std::uint64_t id)
    {
        auto& r = requests.at(id);
        auto const& c = classes[r.class_index];
        if (r.offers++ == max_offers)
        {
            ++refused;
            requests.erase(id);
            return;
        }
        auto const choice =
            views[r.entry].choose(candidates, {.request_class = c.name}, random(), now);
        r.upstream = std::stoul(choice->node.substr(1));
        views[r.entry].on_sent(choice->node);
        auto const due = r.arrived + from_ms(c.objective_ms);
        auto const verdict = queues[r.upstream].arrive({.id = id,
                                                        .request_class = c.name,
                                                        .due = due,
                                                        .deadline = due,
                                                        .start_until = due},
                                                       now);
        if (std::holds_alternative<starts_now>(verdict))
            return start(id);
        if (std::holds_alternative<waits>(verdict))
            return;
        views[r.entry].on_done(choice->node, false, now);
        report(r);
        offer(id);
    };
    auto const serve_queue = [&](std::size_t u)
    {
        for (auto const id : queues[u].expire(now))
        {
            views[requests.at(id).entry].on_done(candidates[u].node, false, now);
            ++refused;
            requests.erase(id);
        }
        while (auto const id = queues[u].start_next(now))
            start(*id);
    };
    std::uint64_t next_id = 1;
    for (auto next = now; now < at_ms(seconds * 1'000);)
    {
        if (!ends.empty() && ends.top().at <= next)
        {
            now = ends.top().at;
            auto const id = ends.top().id;
            ends.pop();
            auto const r = requests.at(id);
            queues[r.upstream].leave(id, request_end::completed, now - r.started, now);
            serve_queue(r.upstream);
            views[r.entry].on_done(candidates[r.upstream].node, false, now);
            report(r);
            bool const timely =
                now <= r.arrived + from_ms(classes[r.class_index].objective_ms);
            in_time[r.class_index] += timely ? 1 : 0;
            requests.erase(id);
            continue;
        }
        now = next;
        next = now + from_ms(gap(random));
        std::size_t const class_index = uniform(random) < classes[0].share ? 0 : 1;
        ++asked[class_index];
        auto const id = next_id++;
        requests[id] = {
            .entry = random() % entries, .class_index = class_index, .arrived = now};
        offer(id);
    }
    outcome o;
    for (std::size_t c = 0; c < classes.size(); ++c)
        o.worst_in_time = std::min(o.worst_in_time, in_time[c] / asked[c]);
    o.in_time = (in_time[0] + in_time[1]) / (asked[0] + asked[1]);
    o.refused = refused / (asked[0] + asked[1]);
    return o;
}

TEST(placement_mix, few_entries_serve_nearly_all_requests_in_time)
{
    auto const o = play_mix(8, 5);
    EXPECT_GT(o.in_time, 0.95);
    EXPECT_GT(o.worst_in_time, 0.9);
    EXPECT_LT(o.refused, 0.03);
}

TEST(placement_mix, entries_of_a_large_fleet_serve_nearly_all_requests_in_time)
{
    auto const o = play_mix(94, 23);
    EXPECT_GT(o.in_time, 0.9);
    EXPECT_GT(o.worst_in_time, 0.85);
    EXPECT_LT(o.refused, 0.08);
}

} // namespace
} // namespace buckthornusher
