// Tests of the soak's own parts: a seed reproduces its plan, each check reports
// violations of its promise and nothing else, and the relay forwards, holds back and
// resets.
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "soak/fault_plan.hpp"
#include "soak/promises.hpp"
#include "soak/relay.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <set>
#include <unistd.h>

namespace buckthornusher::soak
{
namespace
{

instant at(int ms)
{
    return instant(std::chrono::milliseconds(ms));
}

execution_start keyed(std::uint64_t epoch, int ms, char const* attempt = "a")
{
    return {.attempt = attempt,
            .service = "s",
            .shard = "7",
            .epoch = epoch,
            .started = at(ms)};
}

TEST(fault_plan, repeats_for_a_seed_and_differs_between_seeds)
{
    fault_plan_options const options{.seed = 5, .length = 60s, .links = 48};
    EXPECT_EQ(draw_faults(options), draw_faults(options));
    EXPECT_NE(draw_faults(options), draw_faults({.seed = 6, .length = 60s, .links = 48}));
}

TEST(fault_plan, draws_every_kind_within_the_run_and_on_existing_targets)
{
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        for (auto const& f : draw_faults(
                 {.seed = seed, .length = 20s, .nodes = 4, .upstreams = 12, .links = 32}))
        {
            kinds.insert(f.kind);
            EXPECT_LE(f.start + f.length, 20s);
            EXPECT_LT(f.target, 32U);
        }
    EXPECT_EQ(kinds.size(), fault_kind_count);
}

TEST(promises, a_start_under_an_older_epoch_is_reported)
{
    EXPECT_EQ(check_single_owner({keyed(1, 10), keyed(2, 20), keyed(2, 30)}).size(), 0U);
    EXPECT_EQ(check_single_owner({keyed(1, 10), keyed(2, 20), keyed(1, 30)}).size(), 1U);
    // Records of several journals are not ordered by time.
    EXPECT_EQ(check_single_owner({keyed(2, 20), keyed(1, 10)}).size(), 0U);
    auto other = keyed(1, 30);
    other.shard = "8";
    EXPECT_EQ(check_single_owner({keyed(2, 20), other}).size(), 0U);
}

TEST(promises, an_order_that_starts_twice_is_reported)
{
    execution_start first{.attempt = "a.1", .operation = "op", .read_only = false};
    execution_start second{.attempt = "a.2", .operation = "op", .read_only = false};
    EXPECT_EQ(check_executed_once({first}).size(), 0U);
    EXPECT_EQ(check_executed_once({first, second}).size(), 1U);
    first.operation = second.operation = "";
    EXPECT_EQ(check_executed_once({first, second}).size(), 0U);
    EXPECT_EQ(check_executed_once({first, first}).size(), 1U);
    first.read_only = true;
    EXPECT_EQ(check_executed_once({first, first}).size(), 0U);
}

TEST(promises, a_refusal_of_a_started_request_is_reported)
{
    caller_attempt const refused{.id = "a", .outcome = attempt_outcome::refused};
    EXPECT_EQ(check_refusals({refused}, {keyed(1, 5, "b")}).size(), 0U);
    EXPECT_EQ(check_refusals({refused}, {keyed(1, 5, "a")}).size(), 1U);
    EXPECT_EQ(check_refusals({{.id = "a", .outcome = attempt_outcome::unknown}},
                             {keyed(1, 5, "a")})
                  .size(),
              0U);
}

TEST(promises, an_answer_to_another_request_is_reported)
{
    EXPECT_EQ(check_answers({{.id = "a"}}).size(), 0U);
    EXPECT_EQ(check_answers({{.id = "a", .body_matches = false}}).size(), 1U);
}

TEST(promises, a_broken_connection_is_excused_only_by_a_kill_of_its_node)
{
    caller_attempt const cut{.id = "a",
                             .node = 2,
                             .sent = at(100),
                             .ended = at(200),
                             .outcome = attempt_outcome::connection_broken};
    EXPECT_EQ(check_connections({cut}, {}).size(), 1U);
    EXPECT_EQ(
        check_connections({cut}, {{.node = 2, .from = at(150), .until = at(160)}}).size(),
        0U);
    EXPECT_EQ(
        check_connections({cut}, {{.node = 1, .from = at(150), .until = at(160)}}).size(),
        1U);
    EXPECT_EQ(
        check_connections({cut}, {{.node = 2, .from = at(201), .until = at(300)}}).size(),
        1U);
}

TEST(promises, an_unknown_outcome_from_a_stopping_node_is_reported)
{
    caller_attempt a{.id = "a", .outcome = attempt_outcome::unknown};
    EXPECT_EQ(check_planned_stops({a}).size(), 0U);
    a.stopping = true;
    EXPECT_EQ(check_planned_stops({a}).size(), 1U);
    a.outcome = attempt_outcome::refused;
    EXPECT_EQ(check_planned_stops({a}).size(), 0U);
}

TEST(promises, a_falling_version_is_reported)
{
    EXPECT_EQ(
        check_versions({{0, 1, 3}, {0, 1, 4}, {1, 1, 3}, {0, 2, 0}, {0, 2, 4}}).size(),
        0U);
    EXPECT_EQ(check_versions({{0, 1, 4}, {0, 1, 3}}).size(), 1U);
}

TEST(promises, retries_beyond_the_budget_are_reported)
{
    std::vector<execution_start> starts(100, keyed(1, 1));
    retry_allowance const allowance{.ratio = 0.2, .reserve = 49};
    EXPECT_EQ(check_retries(starts, allowance, 2, 10s).size(), 1U);
    EXPECT_EQ(check_retries(starts, allowance, 2, 11s).size(), 0U);
}

// Calls through a relay to a server that answers immediately.
class relayed : public testing::Test
{
protected:
    std::optional<http_result> call(duration timeout)
    {
        std::optional<http_result> got;
        m_client.call({.method = "POST", .target = "/", .body = m_body}, timeout,
                      [&](http_result r) { got = std::move(r); });
        while (!got)
            m_loop.run_once();
        return got;
    }

    // Tests run concurrently in separate processes; each uses its own pair of ports.
    static constexpr int first_port = 28'000;
    static constexpr int port_pairs = 499;
    int port = first_port + 2 * (getpid() % port_pairs);
    std::string m_body = std::string(30'000, 'x');
    event_loop m_loop;
    http_server m_server{m_loop,
                         {.address = {.ip = "127.0.0.1", .port = port}},
                         [](http_request request, http_reply const& reply)
                         {
                             reply.send({.body = request.body});
                         }};
    relay m_relay{m_loop, {.listen_port = port + 1, .target_port = port}};
    http_client m_client{m_loop, {.peer = {.ip = "127.0.0.1", .port = port + 1}}};
};

TEST_F(relayed, delayed_bytes_arrive_unchanged)
{
    ASSERT_TRUE(m_relay.is_listening());
    for (auto const kind : {disturbance::none, disturbance::delay, disturbance::trickle})
    {
        m_relay.disturb(kind);
        auto const got = call(60s);
        ASSERT_TRUE(got->has_value()) << static_cast<int>(kind);
        EXPECT_EQ(got->value().body, m_body);
    }
}

TEST_F(relayed, a_cut_holds_back_bytes_until_it_ends)
{
    for (auto const kind :
         {disturbance::cut_to, disturbance::cut_from, disturbance::silence})
    {
        m_relay.disturb(kind);
        m_loop.timers().at(boot_now() + 50ms,
                           [this](instant) { m_relay.disturb(disturbance::none); });
        auto const began = boot_now();
        auto const got = call(60s);
        ASSERT_TRUE(got->has_value()) << static_cast<int>(kind);
        EXPECT_EQ(got->value().body, m_body);
        EXPECT_GE(boot_now() - began, 50ms);
    }
}

TEST_F(relayed, a_reset_breaks_connections_until_it_ends)
{
    m_relay.disturb(disturbance::reset);
    EXPECT_FALSE(call(60s)->has_value());
    m_relay.disturb(disturbance::none);
    EXPECT_TRUE(call(60s)->has_value());
}

} // namespace
} // namespace buckthornusher::soak
