// Tests of what an agent sends to an upstream that bears little: one that never answers
// what it has no room for, and one that is cold. Upstreams on loopback sockets.
#include "free_port.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "raw_peers.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

class upstream_limits : public testing::Test
{
protected:
    upstream_limits()
        : coord({.self = {"n", 1}, .endpoint = "tcp://n:1"}),
          local(loop, coord,
                {.form = platform::upstream_form{}, .cold_ratio = 1.5, .cold_reserve = 8})
    {
        local.set_routes(routes());
        loop.timers().every(boot_now(), 20ms, [this](instant now) { local.tick(now); });
    }

    static std::shared_ptr<route_table const> routes()
    {
        document doc;
        doc.services.push_back(
            {.name = "s", .keyed = false, .cold_rate = 12, .cold_time = 4s});
        return std::make_shared<route_table const>(std::move(doc));
    }

    void report(duration warm_up_left, std::uint32_t slots = 100, std::uint64_t born = 1)
    {
        upstream_report r;
        r.service = "s";
        r.incarnation = {.id = "u", .started = born};
        r.sequence = ++sequence;
        r.ip = test::free_address().ip;
        r.port = test::free_address().port;
        r.slots = slots;
        r.connections = 200;
        r.warm_up_left = warm_up_left;
        local.on_report(r, boot_now());
    }

    void send(std::string const& id, duration time_left,
              std::string const& request_class = "")
    {
        upstream_request request;
        request.request_class = request_class;
        request.service = "s";
        request.id = id;
        request.request = {.method = "GET",
                           .target = "/",
                           .headers = {{"X-Buckthornusher-Request-Id", id}}};
        request.deadline = request.due = request.start_until = boot_now() + time_left;
        local.run(std::move(request),
                  [this, id](request_result r) { results.emplace(id, std::move(r)); });
    }

    // Runs the agent for a while, as a node does.
    void serve_for(duration time)
    {
        for (auto const until = boot_now() + time; boot_now() < until;)
            loop.run_once();
    }

    std::string last_id(std::string const& read) const
    {
        constexpr std::string_view name = "X-Buckthornusher-Request-Id: ";
        auto const at = read.rfind(name) + name.size();
        return read.substr(at, read.find("\r\n", at) - at);
    }

    std::string answer_to(std::string const& id, std::string const& status = "200 OK",
                          std::string const& more = "")
    {
        return "HTTP/1.1 " + status + "\r\nX-Buckthornusher-Request-Id: " + id + "\r\n" +
               "X-Buckthornusher-Response-Signature: s\r\n" + more +
               "Content-Length: 0\r\n\r\n";
    }

    event_loop loop;
    coordinator coord;
    agent local;
    std::uint64_t sequence = 0;
    std::map<std::string, request_result> results;
};

// An upstream with two slots never answers the first request, and nothing after it on
// that connection.
TEST_F(upstream_limits, a_silent_connection_is_given_up_and_its_slot_kept_until_then)
{
    test::raw_upstream upstream(loop);
    upstream.answer = [&](int n)
    {
        return n == 0 ? std::string() : answer_to(last_id(upstream.read));
    };
    report(0s, 2);
    send("silent", 400ms);
    serve_for(50ms);
    EXPECT_EQ(local.load("s", "", boot_now())->running, 1U);
    for (int i = 0; i < 5; ++i)
    {
        send("a" + std::to_string(i), 5s);
        serve_for(20ms);
    }
    EXPECT_EQ(results.size(), 5U); // on the other slot
    EXPECT_EQ(local.load("s", "", boot_now())->running, 1U);
    EXPECT_FALSE(results.contains("silent"));
    serve_for(400ms);
    ASSERT_TRUE(results.contains("silent"));
    auto const* unknown = std::get_if<request_unknown>(&results.at("silent"));
    ASSERT_NE(unknown, nullptr) << "it may have run";
    EXPECT_EQ(local.load("s", "", boot_now())->running, 0U);
    send("b", 5s);
    send("c", 5s);
    serve_for(50ms);
    EXPECT_EQ(results.size(), 8U);
    EXPECT_EQ(upstream.requests_per_connection[0], 1) << "it is never used again";
}

// Twice as many requests as slots: the upstream never sees more than its slots at once.
TEST_F(upstream_limits, no_more_requests_than_slots_are_sent)
{
    test::raw_upstream upstream(loop);
    upstream.answer = [](int)
    {
        return std::string();
    };
    report(0s, 3);
    for (int i = 0; i < 6; ++i)
        send(std::to_string(i), 500ms);
    serve_for(200ms);
    EXPECT_EQ(upstream.requests, 3);
    EXPECT_EQ(local.load("s", "", boot_now())->running, 3U);
}

// An upstream tells of requests that this process has not sent.
TEST_F(upstream_limits, slots_that_others_use_are_not_used_until_the_upstream_says_so)
{
    test::raw_upstream upstream(loop);
    upstream.answer = [&](int n)
    {
        return answer_to(last_id(upstream.read), "200 OK",
                         std::string("X-Buckthornusher-Instance-Load: ") +
                             (n == 0 ? "8,0,10\r\n" : "-1,0,x\r\n"));
    };
    report(0s, 10);
    send("a", 5s);
    serve_for(50ms);
    ASSERT_TRUE(results.contains("a"));
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 3U);
    send("b", 5s);
    serve_for(50ms);
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 3U); // a broken load says nothing
    EXPECT_EQ(local.broken_loads(), 1U);
    serve_for(1'100ms);
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 10U);
}

TEST_F(upstream_limits,
       a_cold_upstream_gets_its_bound_and_requests_it_did_not_run_are_free)
{
    test::raw_upstream upstream(loop);
    bool misdirected = false;
    upstream.answer = [&](int)
    {
        return answer_to(last_id(upstream.read),
                         misdirected ? "421 Misdirected Request" : "200 OK");
    };
    serve_for(1'100ms); // an earlier process may have sent something
    report(10s);
    for (int i = 0; i < 60; ++i)
        send(std::to_string(i), 10s);
    serve_for(950ms);
    EXPECT_LE(upstream.requests, 26);
    EXPECT_GE(upstream.requests, 20);
    auto const load = local.load("s", "", boot_now());
    EXPECT_EQ(load->start_rate, 18);
    EXPECT_GT(load->bounded_for, 8s);
    misdirected = true;
    serve_for(500ms);
    EXPECT_EQ(results.size(), 60U);
    report(0s);
    EXPECT_EQ(local.load("s", "", boot_now())->start_rate, 0);
}

TEST_F(upstream_limits,
       an_upstream_whose_connections_fail_counts_as_cold_until_it_reports)
{
    report(0s);
    EXPECT_EQ(local.load("s", "", boot_now())->start_rate, 0);
    send("a", 1s); // nobody listens
    serve_for(50ms);
    ASSERT_TRUE(results.contains("a"));
    EXPECT_EQ(local.load("s", "", boot_now())->start_rate, 18);
    serve_for(350ms);
    report(0s);
    EXPECT_EQ(local.load("s", "", boot_now())->start_rate, 0);
}

// One that begins with a quarter of its slots, answers well, and gets more of them.
TEST_F(upstream_limits, a_cold_newcomer_is_paced_and_gets_all_its_slots)
{
    test::raw_upstream upstream(loop);
    upstream.answer = [&](int)
    {
        return answer_to(last_id(upstream.read));
    };
    report(2s, 20);
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 5U);
    serve_for(1'500ms);
    EXPECT_GT(local.load("s", "", boot_now())->slots, 10U);
    serve_for(1'600ms);
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 20U);
    // Of its own class: the pace compares the others with the first of theirs.
    send("after the silence", 5s, "other");
    serve_for(400ms); // a report that comes earlier may have been sent before
    EXPECT_EQ(results.size(), 1U);
    report(0s, 20);
    for (int i = 0; i < 100; ++i)
        send(std::to_string(i), 5s);
    serve_for(100ms);
    EXPECT_EQ(results.size(), 101U);
    report(0s, 30);
    serve_for(50ms);
    EXPECT_EQ(local.load("s", "", boot_now())->slots, 30U);
    EXPECT_EQ(local.pace_steps_down(), 0U);
}

// A service that states no rate for cold upstreams is served as before.
TEST_F(upstream_limits, without_a_rate_nothing_is_bounded_or_paced)
{
    document doc;
    doc.services.push_back({.name = "s", .keyed = false, .cold_time = 4s});
    local.set_routes(std::make_shared<route_table const>(std::move(doc)));
    report(10s, 20);
    auto const load = local.load("s", "", boot_now());
    EXPECT_EQ(load->slots, 20U);
    EXPECT_EQ(load->start_rate, 0);
    EXPECT_EQ(load->bounded_for, 0s);
}

// A node that starts gets the report of a cold upstream before the document.
TEST_F(upstream_limits, a_cold_upstream_is_bounded_though_it_reported_before_the_document)
{
    agent early(
        loop, coord,
        {.form = platform::upstream_form{}, .cold_ratio = 1.5, .cold_reserve = 8});
    upstream_report r;
    r.service = "s";
    r.incarnation = {.id = "u", .started = 1};
    r.sequence = 1;
    r.slots = 100;
    r.connections = 200;
    r.warm_up_left = 3s;
    early.on_report(r, boot_now());
    EXPECT_EQ(early.load("s", "", boot_now())->start_rate, 0);
    early.set_routes(routes());
    auto const load = early.load("s", "", boot_now());
    EXPECT_EQ(load->start_rate, 18);
    EXPECT_GT(load->bounded_for, 2s);
}

} // namespace
} // namespace buckthornusher
