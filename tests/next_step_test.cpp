// The next step of a request: tables of what is decided for which values, and agreement
// with the same rounds of offers written as a loop over a shell. The load is that of a
// service that is full on nearly all nodes, with nodes that come and go.
#include "buckthornusher/next_step.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace buckthornusher
{
namespace
{

using namespace std::chrono_literals;

constexpr instant now{100s};
constexpr instant deadline = now + 1s;
constexpr std::uint64_t seed = 7;

step_candidate candidate(std::string node, std::string region = "here",
                         distance away = distance::same_region)
{
    return {.place = {.node = std::move(node), .away = away, .slots = 4},
            .region = std::move(region)};
}

upstream_load load_of(std::uint32_t running, duration wait = 0ms)
{
    return {.slots = 4,
            .running = running,
            .waiting = wait > 0ms ? 1U : 0U,
            .service = 20ms,
            .until_slot = running < 4 ? duration(0) : duration(5ms),
            .backlog = wait > 0ms ? std::vector<rank_backlog>{{.rank = 0, .time = wait}}
                                  : std::vector<rank_backlog>{}};
}

class unkeyed_step : public testing::Test
{
protected:
    unkeyed_step() : loads({.tie = 0}), memory({}) {}

    next_step decide() const
    {
        return next_unkeyed_step(request, progress, {}, upstreams, loads, memory, seed,
                                 now);
    }
    std::string sent_to() const
    {
        auto const step = decide();
        auto const* send = std::get_if<send_to_node>(&step.action);
        return send == nullptr ? "" : send->node;
    }
    refuse_with refused() const
    {
        auto const step = decide();
        auto const* refusal = std::get_if<refuse_with>(&step.action);
        return refusal == nullptr ? refuse_with{} : *refusal;
    }
    bool waits() const { return decide().action == step_action(wait_until{now + 100ms}); }

    step_request request{.regions = {}, .deadline = deadline, .stopping = {}};
    request_progress progress;
    step_upstreams upstreams{
        .candidates = {candidate("near"),
                       candidate("far", "there", distance::other_region)},
        .known_since = now - 60s};
    placement loads;
    offer_memory memory;
};

TEST_F(unkeyed_step, the_vetoes_have_an_order)
{
    auto c = candidate("near");
    region_bound const there({"there"});
    EXPECT_EQ(veto_of(c, {}, {}), step_veto::none);
    EXPECT_EQ(veto_of(c, {}, {"near"}), step_veto::refusal);
    c.evacuated = true;
    EXPECT_EQ(veto_of(c, {}, {"near"}), step_veto::evacuation);
    c.unreachable = true;
    EXPECT_EQ(veto_of(c, {}, {"near"}), step_veto::reach);
    EXPECT_EQ(veto_of(c, there, {"near"}), step_veto::region);
}

TEST_F(unkeyed_step, asks_the_nearest_with_room)
{
    EXPECT_EQ(sent_to(), "near");
    request.regions = region_bound({"there"});
    EXPECT_EQ(sent_to(), "far");
    request.regions = {};
    upstreams.candidates[0].evacuated = true;
    EXPECT_EQ(sent_to(), "far");
    upstreams.candidates[0].evacuated = false;
    upstreams.candidates[0].unreachable = true;
    EXPECT_EQ(sent_to(), "far");
    upstreams.candidates[0].unreachable = false;
    progress.tried = {"near"};
    EXPECT_EQ(sent_to(), "far");
}

TEST_F(unkeyed_step, runs_here_without_a_message)
{
    upstreams.candidates[0].here = true;
    auto const step = decide();
    ASSERT_TRUE(std::holds_alternative<run_here>(step.action));
    EXPECT_EQ(std::get<run_here>(step.action).terms->choice.node, "near");
}

TEST_F(unkeyed_step, lets_a_node_queue_it_briefly_while_others_are_left)
{
    auto const terms_of = [&]
    {
        return *std::get<send_to_node>(decide().action).terms;
    };
    EXPECT_EQ(terms_of().candidates, 2U);
    EXPECT_EQ(terms_of().start_until, now + 60ms);
    progress.last_round = true;
    EXPECT_EQ(terms_of().start_until, deadline);
    progress = {.tried = {"near"}};
    EXPECT_EQ(terms_of().candidates, 1U);
    EXPECT_EQ(terms_of().start_until, deadline);
}

TEST_F(unkeyed_step, begins_the_last_round_once_all_have_refused)
{
    progress = {.tried = {"near", "far"}, .refused = true, .retry_after = 50ms};
    auto const step = decide();
    EXPECT_TRUE(step.begins_last_round);
    EXPECT_TRUE(std::holds_alternative<send_to_node>(step.action));
    progress.last_round = true;
    EXPECT_FALSE(decide().begins_last_round);
    EXPECT_EQ(refused(),
              (refuse_with{.reason = outcome_reason::overloaded, .retry_after = 50ms}));
}

TEST_F(unkeyed_step, begins_the_last_round_if_the_best_wait_is_long)
{
    for (auto const* node : {"near", "far"})
        loads.on_load(node, load_of(4, 200ms), now);
    auto const step = decide();
    EXPECT_TRUE(step.begins_last_round);
    EXPECT_TRUE(std::holds_alternative<send_to_node>(step.action));
}

TEST_F(unkeyed_step, refuses_at_once_what_cannot_start_in_time)
{
    for (auto const* node : {"near", "far"})
        loads.on_load(node, load_of(4, 3s), now);
    EXPECT_EQ(refused().reason, outcome_reason::overloaded);
    EXPECT_GE(refused().retry_after, 1s);
}

TEST_F(unkeyed_step, waits_for_a_clock_or_an_upstream)
{
    for (auto& c : upstreams.candidates)
        c.unreachable = true;
    EXPECT_TRUE(waits());
    progress.tried = {"near"}; // the other's clock may still come
    EXPECT_TRUE(waits());
    progress = {};
    upstreams.candidates.clear();
    EXPECT_TRUE(waits());
    request.stopping = 500ms;
    EXPECT_EQ(refused(),
              (refuse_with{.reason = outcome_reason::stopping, .retry_after = 500ms}));
}

TEST_F(unkeyed_step, refuses_at_once_what_its_regions_cannot_take)
{
    request.regions = region_bound({"elsewhere"});
    EXPECT_EQ(refused().reason, outcome_reason::no_region);
    EXPECT_EQ(refused().retry_after, 1s);
    upstreams.known_since = now - 1s; // others may become known
    EXPECT_TRUE(waits());
    upstreams.known_since = now - 60s;
    request.regions = region_bound({"there"});
    upstreams.candidates[1].evacuated = true;
    EXPECT_EQ(refused().reason, outcome_reason::no_region);
    upstreams.candidates[1].evacuated = false;
    upstreams.candidates[1].unreachable = true;
    EXPECT_TRUE(waits());
}

TEST_F(unkeyed_step, tells_when_nodes_refused_it_for_their_region)
{
    progress = {.tried = {"near", "far"},
                .last_round = true,
                .refused_outside = true,
                .retry_after = 1s};
    EXPECT_EQ(refused().reason, outcome_reason::no_region);
    progress.refused = true;
    EXPECT_EQ(refused().reason, outcome_reason::overloaded);
}

TEST_F(unkeyed_step, a_last_round_asks_for_clocks_again)
{
    upstreams.candidates[0].unreachable = true;
    for (auto const* node : {"near", "far"})
        loads.on_load(node, load_of(4, 200ms), now);
    auto const step = decide();
    EXPECT_TRUE(step.begins_last_round);
    ASSERT_TRUE(std::holds_alternative<send_to_node>(step.action));
    EXPECT_EQ(std::get<send_to_node>(step.action).node, "near");
}

// ---- keyed requests ----

TEST(keyed_step, goes_to_the_owner_waits_or_is_refused)
{
    struct row
    {
        region_bound regions;
        std::optional<step_owner> owner;
        region_supply supply;
        step_action expected;
    };
    step_owner const own{.node = "o", .region = "here", .here = true};
    step_owner const peer{.node = "o", .region = "here"};
    step_owner const leaving{.node = "o", .region = "here", .successor = "there"};
    region_bound const there({"there"});
    region_supply const outside{.outside = true, .known_since = now - 60s};
    auto const no_region = [](duration after, std::string why)
    {
        return refuse_with{.reason = outcome_reason::no_region,
                           .retry_after = after,
                           .why = std::move(why)};
    };
    std::string const owned = "the shard is owned by o in here";
    std::vector<row> const table{
        {{}, own, {}, run_here{}},
        {{}, peer, {}, send_to_node{.node = "o", .terms = {}}},
        {{}, {}, outside, wait_until{now + 100ms}},
        {region_bound({"here"}), peer, {}, send_to_node{.node = "o", .terms = {}}},
        {there, own, {}, no_region(1s, owned)},
        {there, peer, {}, no_region(1s, owned)},
        {there, leaving, {}, no_region(300ms, owned)},
        {there, {}, {}, wait_until{now + 100ms}},
        {there, {}, outside, no_region(1s, "no upstream there can be used")},
    };
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        auto const& r = table[i];
        step_request const request{
            .regions = r.regions, .deadline = deadline, .stopping = {}};
        EXPECT_EQ(next_keyed_step(request, r.owner, r.supply, now).action, r.expected)
            << "row " << i;
    }
}

// ---- agreement with the loop ----

// What a dispatch comes to, with the nodes whose clocks are known.
struct dispatched
{
    std::string node; // empty: not sent
    std::size_t candidates = 0;
    instant start_until;
    bool waits = false;
    duration retry_after{0};
    bool last_round = false;
    friend bool operator==(dispatched const&, dispatched const&) = default;
};

// Rounds of offers as a loop that drops candidates as it meets unknown clocks.
class offer_loop
{
public:
    offer_loop(std::vector<placement_candidate> all, request_progress progress,
               placement const& loads, std::set<std::string> const& known)
        : m_all(std::move(all)), m_progress(std::move(progress)), m_loads(loads),
          m_known(known)
    {
    }

    dispatched run()
    {
        auto nodes = untried();
        if (nodes.empty() && !m_progress.tried.empty() && !m_progress.last_round)
            nodes = begin_last_round();
        for (;;)
        {
            auto step = offer_step::ask;
            auto const choice = choose(nodes, step);
            if (!choice && !m_progress.tried.empty())
                return refusal(m_progress.retry_after);
            if (!choice)
                return wait();
            if (step == offer_step::refuse)
                return refusal(std::max(m_progress.retry_after, choice->wait));
            if (m_known.contains(choice->node))
                return {.node = choice->node,
                        .candidates = nodes.size(),
                        .start_until = nodes.size() > 1 && !m_progress.last_round
                                           ? now + 60ms
                                           : deadline,
                        .last_round = m_progress.last_round};
            std::erase_if(nodes, [&](auto const& c) { return c.node == choice->node; });
            if (nodes.empty())
                return wait();
        }
    }

private:
    std::optional<placement_choice> choose(std::vector<placement_candidate>& nodes,
                                           offer_step& step)
    {
        for (;;)
        {
            auto const choice = m_loads.choose(nodes, {}, 0, now);
            if (!choice)
                return std::nullopt;
            step = next_offer(*choice,
                              {.last_round = m_progress.last_round,
                               .refused_by = m_progress.tried.size(),
                               .refused = m_progress.refused,
                               .offer_if_full = true},
                              deadline - now);
            if (step != offer_step::last_round)
                return choice;
            nodes = begin_last_round();
        }
    }
    std::vector<placement_candidate> begin_last_round()
    {
        m_progress.last_round = true;
        m_progress.tried.clear();
        return untried();
    }
    std::vector<placement_candidate> untried() const
    {
        auto found = m_all;
        std::erase_if(found,
                      [&](auto const& c) { return m_progress.tried.contains(c.node); });
        return found;
    }
    dispatched wait() const
    {
        return {.waits = true, .last_round = m_progress.last_round};
    }
    dispatched refusal(duration after) const
    {
        return {.retry_after = after, .last_round = m_progress.last_round};
    }

    std::vector<placement_candidate> m_all;
    request_progress m_progress;
    placement const& m_loads;
    std::set<std::string> const& m_known;
};

// Carries out the steps as the ingress does.
dispatched carry_out(step_upstreams upstreams, request_progress progress,
                     placement const& loads, std::set<std::string> const& known)
{
    step_request const request{.regions = {}, .deadline = deadline, .stopping = {}};
    for (;;)
    {
        auto const step = next_unkeyed_step(request, progress, {}, upstreams, loads,
                                            offer_memory({}), seed, now);
        if (step.begins_last_round)
        {
            progress.last_round = true;
            progress.tried.clear();
            for (auto& c : upstreams.candidates)
                c.unreachable = false;
        }
        if (auto const* refusal = std::get_if<refuse_with>(&step.action))
            return {.retry_after = refusal->retry_after,
                    .last_round = progress.last_round};
        auto const* send = std::get_if<send_to_node>(&step.action);
        if (send == nullptr)
            return {.waits = true, .last_round = progress.last_round};
        if (known.contains(send->node))
            return {.node = send->node,
                    .candidates = send->terms->candidates,
                    .start_until = send->terms->start_until,
                    .last_round = progress.last_round};
        for (auto& c : upstreams.candidates)
            c.unreachable = c.unreachable || c.place.node == send->node;
    }
}

RC_GTEST_PROP(unkeyed_steps, agree_with_the_loop_over_rounds_of_offers, ())
{
    placement loads({.tie = 0});
    step_upstreams upstreams;
    std::vector<placement_candidate> all;
    request_progress progress;
    std::set<std::string> known;
    auto const count = *rc::gen::inRange(0, 7);
    for (int n = 0; n < count; ++n)
    {
        auto c = candidate("n" + std::to_string(n), "here",
                           static_cast<distance>(*rc::gen::inRange(0, 3)));
        c.place.silence = std::chrono::microseconds(n + 1); // no two are equal
        all.push_back(c.place);
        if (*rc::gen::inRange(0, 4) != 0)
            loads.on_load(c.place.node,
                          load_of(*rc::gen::inRange<std::uint32_t>(0, 5),
                                  std::chrono::milliseconds(
                                      *rc::gen::element(0, 0, 30, 200, 2'000))),
                          now - std::chrono::milliseconds(*rc::gen::inRange(0, 900)));
        if (*rc::gen::inRange(0, 5) == 0)
            loads.avoid(c.place.node, now + 1s);
        if (*rc::gen::inRange(0, 3) == 0)
            progress.tried.insert(c.place.node);
        if (*rc::gen::inRange(0, 3) != 0)
            known.insert(c.place.node);
        upstreams.candidates.push_back(std::move(c));
    }
    progress.last_round = *rc::gen::arbitrary<bool>();
    progress.refused = *rc::gen::arbitrary<bool>();
    progress.retry_after = std::chrono::milliseconds(*rc::gen::inRange(0, 300));
    RC_ASSERT(carry_out(upstreams, progress, loads, known) ==
              offer_loop(all, progress, loads, known).run());
}

} // namespace
} // namespace buckthornusher
