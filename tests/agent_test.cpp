// An agent beside an upstream, with real sockets on loopback: what a planned stop does to
// the orders that it has, and to those that still come.
#include "connection/http_server.hpp"
#include "free_port.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

// An upstream with one slot that answers when it is told to, and the agent beside it.
class stopping_agent : public testing::Test
{
protected:
    stopping_agent()
        : upstream(loop, {.address = test::free_address()},
                   [this](http_request const& request, http_reply const& reply)
                   {
                       arrived.push_back(request.target);
                       replies.push_back(reply);
                   }),
          coord({.self = {"n", 1}, .endpoint = "tcp://n:1"}), local(loop, coord, {})
    {
        upstream_report report;
        report.service = "s";
        report.life = {.id = "u", .started = 1};
        report.ip = test::free_address().ip;
        report.port = test::free_address().port;
        report.slots = 1;
        report.connections = 4;
        local.on_report(report, boot_now());
    }

    agent::order_id send(std::string const& target, duration time_left = 5s)
    {
        order o;
        o.service = "s";
        o.request = {.method = "GET", .target = target};
        o.repeatable = true;
        o.deadline = o.due = o.start_until = boot_now() + time_left;
        return local.run(std::move(o), [this, target](order_result result)
                         { results.emplace(target, std::move(result)); });
    }

    template <class Condition>
    void serve_until(Condition const& condition)
    {
        while (!condition())
            loop.run_once();
    }

    // Refused as the node stops; has not run.
    bool refused(std::string const& target) const
    {
        auto const it = results.find(target);
        auto const* r =
            it == results.end() ? nullptr : std::get_if<order_refused>(&it->second);
        return r != nullptr && r->why == reason::stopping && !r->reached_upstream;
    }

    event_loop loop;
    std::vector<std::string> arrived;
    std::vector<http_reply> replies;
    http_server upstream;
    coordinator coord;
    agent local;
    std::map<std::string, order_result> results;
};

TEST_F(stopping_agent, takes_late_only_what_ends_before_the_last_answers)
{
    local.begin_stopping(planned_stop({.grace = 3s}, boot_now()));
    send("/long", 10s);
    EXPECT_TRUE(refused("/long"));
    send("/short", 1s);
    EXPECT_FALSE(results.contains("/short"));
}

TEST_F(stopping_agent, sends_nothing_more_once_it_ends)
{
    auto const running = send("/running");
    send("/queued");
    serve_until([&] { return arrived.size() == 1; });
    local.begin_ending();
    local.cancel(running);
    send("/late");
    EXPECT_TRUE(refused("/late"));
    local.finish_all();
    EXPECT_TRUE(refused("/queued"));
    EXPECT_EQ(arrived, std::vector<std::string>{"/running"});
    EXPECT_EQ(local.unfinished(), 0U);
}

TEST_F(stopping_agent, tells_whoever_waits_that_what_was_sent_may_run)
{
    send("/running");
    serve_until([&] { return arrived.size() == 1; });
    local.begin_ending();
    local.finish_all();
    auto const* unknown = std::get_if<order_unknown>(&results.at("/running"));
    ASSERT_NE(unknown, nullptr);
    EXPECT_EQ(unknown->why, reason::stopping);
}

TEST_F(stopping_agent, gives_back_what_has_not_been_sent)
{
    auto const running = send("/running");
    auto const queued = send("/queued");
    serve_until([&] { return arrived.size() == 1; });
    EXPECT_FALSE(local.withdraw(running));
    EXPECT_TRUE(local.withdraw(queued));
    EXPECT_FALSE(local.withdraw(queued));
    EXPECT_FALSE(results.contains("/queued")) << "nobody waits for it";
    replies.at(0).send({.status = 200});
    serve_until([&] { return results.contains("/running"); });
    EXPECT_TRUE(std::holds_alternative<order_answered>(results.at("/running")));
    EXPECT_EQ(arrived.size(), 1U);
}

} // namespace
} // namespace buckthornusher
