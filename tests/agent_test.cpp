// Tests of the agent with an upstream on loopback sockets: the effect of a planned stop,
// of callers that disconnect and of faulty upstream answers on requests.
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "free_port.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/forward_server.hpp"
#include "process/peer_table.hpp"
#include "process/request_wire.hpp"
#include "raw_peers.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

// A report of the upstream in these tests.
upstream_report report_of(std::uint32_t slots)
{
    upstream_report report;
    report.service = "s";
    report.incarnation = {.id = "u", .started = 1};
    report.ip = test::free_address().ip;
    report.port = test::free_address().port;
    report.slots = slots;
    report.connections = 4;
    return report;
}

// An agent with an upstream of one slot, which answers through `replies`.
class agent_test : public testing::Test
{
protected:
    agent_test()
        : upstream(loop, {.address = test::free_address()},
                   [this](http_request const& request, http_reply const& reply)
                   {
                       arrived.push_back(request.target);
                       replies.push_back(reply);
                   }),
          coord({.self = {"n", 1}, .endpoint = "tcp://n:1"}), local(loop, coord, {})
    {
        local.on_report(report_of(1), boot_now());
    }

    static upstream_request make_request(std::string const& target, bool repeatable)
    {
        upstream_request request;
        request.service = "s";
        request.request = {.method = "GET", .target = target};
        request.repeatable = repeatable;
        return request;
    }

    agent::request_id send(std::string const& target, duration time_left = 5s,
                           bool repeatable = true)
    {
        auto request = make_request(target, repeatable);
        request.deadline = request.due = request.start_until = boot_now() + time_left;
        return local.run(std::move(request), [this, target](request_result result)
                         { results.emplace(target, std::move(result)); });
    }

    template <class Condition>
    void serve_until(Condition const& condition)
    {
        while (!condition())
            loop.run_once();
    }

    // Returns whether the request was refused by this node because it stops.
    bool refused(std::string const& target) const
    {
        auto const it = results.find(target);
        auto const* r =
            it == results.end() ? nullptr : std::get_if<request_refused>(&it->second);
        return r != nullptr && r->reason == outcome_reason::stopping &&
               !r->reached_upstream;
    }

    event_loop loop;
    std::vector<std::string> arrived;
    std::vector<http_reply> replies;
    http_server upstream;
    coordinator coord;
    agent local;
    std::map<std::string, request_result> results;
};

// Returns the routes of a document with one route, bound to the regions.
std::shared_ptr<route_table const> bound_to(std::string const& regions)
{
    auto parsed = parse_document("environment = \"t\"\n[service.s]\nkeyed = false\n"
                                 "[[service.s.route]]\nprefix = \"/\"\nregions = [" +
                                 regions + "]\n");
    return std::make_shared<route_table const>(std::move(parsed).value());
}

// Guards against a program on the VM that takes the keys of the upstream by one report
// for its address, with a service that nobody named and a later start.
TEST_F(agent_test, a_report_of_an_unnamed_service_does_not_end_the_upstream)
{
    agent beside(loop, coord, {.service = "s", .report_interval = 1s});
    auto const routes = parse_document("environment = \"t\"\n[service.s]\n"
                                       "[[service.s.route]]\nprefix = \"/\"\n");
    beside.set_routes(std::make_shared<route_table const>(routes.value()));
    auto const now = boot_now();
    beside.on_report(report_of(1), now);
    auto const before = beside.targets(now);
    ASSERT_TRUE(before && before->size() == 1);
    auto foreign = report_of(1);
    foreign.service = "log-shipper";
    foreign.incarnation = {.id = "log-shipper-1", .started = 2};
    EXPECT_EQ(beside.on_report(foreign, now).verdict, report_verdict::stranger);
    EXPECT_EQ(beside.targets(now), before);
    EXPECT_EQ(beside.reports_of_strangers(), 1U);
}

// The same by a service that is named: the upstream is back once the other voice is gone.
TEST_F(agent_test, an_upstream_that_goes_on_reporting_outlasts_a_later_voice)
{
    agent beside(loop, coord, {.report_interval = 1s});
    auto const now = boot_now();
    auto own = report_of(1);
    auto other = report_of(1);
    other.service = "t";
    other.incarnation = {.id = "v", .started = 2};
    beside.on_report(own, now);
    beside.on_report(other, now);
    ASSERT_EQ(beside.targets(now)->size(), 1U);
    EXPECT_EQ(beside.targets(now)->front().service, "t") << "a restart is as quick";
    auto const later = now + voice_lapse;
    own.sequence = 1;
    beside.on_report(own, later);
    ASSERT_EQ(beside.targets(later)->size(), 1U);
    EXPECT_EQ(beside.targets(later)->front().service, "s");
}

class agent_in_region : public agent_test
{
protected:
    agent_in_region() : here(loop, coord, {.region = "here"})
    {
        here.on_report(report_of(1), boot_now());
    }

    void run_here(std::string const& target, region_bound regions)
    {
        auto request = make_request(target, true);
        request.regions = std::move(regions);
        request.deadline = request.due = request.start_until = boot_now() + 5s;
        here.run(std::move(request), [this, target](request_result result)
                 { results.emplace(target, std::move(result)); });
    }

    bool refused_outside(std::string const& target) const
    {
        auto const it = results.find(target);
        auto const* r =
            it == results.end() ? nullptr : std::get_if<request_refused>(&it->second);
        return r != nullptr && r->reason == outcome_reason::no_region &&
               !r->reached_upstream;
    }

    agent here;
};

TEST_F(agent_in_region, refuses_a_request_bound_to_others)
{
    run_here("/outside", region_bound({"there"}));
    EXPECT_TRUE(refused_outside("/outside"));
    run_here("/inside", region_bound({"there", "here"}));
    serve_until([&] { return !arrived.empty(); });
    EXPECT_EQ(arrived, std::vector<std::string>{"/inside"});
}

TEST_F(agent_in_region, checks_requests_of_older_senders_by_its_own_document)
{
    here.set_routes(bound_to("\"there\""));
    run_here("/outside", {});
    EXPECT_TRUE(refused_outside("/outside"));
    here.set_routes(bound_to("\"here\""));
    run_here("/none", region_bound({"there"}));
    EXPECT_TRUE(refused_outside("/none"));
    EXPECT_TRUE(arrived.empty());
}

// Its sender was out of date; the owner may be inside.
TEST_F(agent_in_region, names_the_owner_of_a_shard_that_it_does_not_own)
{
    auto request = make_request("/moved", true);
    request.shard = 3;
    request.regions = region_bound({"there"});
    request.deadline = request.due = request.start_until = boot_now() + 5s;
    here.run(std::move(request), [this](request_result result)
             { results.emplace("/moved", std::move(result)); });
    ASSERT_TRUE(results.contains("/moved"));
    EXPECT_TRUE(std::holds_alternative<request_moved>(results.at("/moved")));
}

// The document changes the regions while a request waits for a slot.
TEST_F(agent_in_region, a_queued_request_keeps_to_the_new_regions_too)
{
    run_here("/running", region_bound({"here"}));
    serve_until([&] { return arrived.size() == 1; });
    run_here("/queued", region_bound({"here"}));
    here.set_routes(bound_to("\"there\""));
    replies.front().send({.status = 200});
    serve_until([&] { return results.contains("/queued"); });
    EXPECT_TRUE(refused_outside("/queued"));
    EXPECT_EQ(arrived.size(), 1U);
}

class stopping_agent : public agent_test
{
};

TEST_F(stopping_agent, accepts_only_requests_with_deadlines_within_the_grace_period)
{
    local.begin_stopping(planned_stop({.grace = 3s}, boot_now()));
    send("/long", 10s);
    EXPECT_TRUE(refused("/long"));
    send("/short", 1s);
    EXPECT_FALSE(results.contains("/short"));
}

TEST_F(stopping_agent, sends_no_queued_request_once_it_ends)
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

TEST_F(stopping_agent, reports_an_unknown_result_for_a_request_already_sent)
{
    send("/running");
    serve_until([&] { return arrived.size() == 1; });
    local.begin_ending();
    local.finish_all();
    auto const* unknown = std::get_if<request_unknown>(&results.at("/running"));
    ASSERT_NE(unknown, nullptr);
    EXPECT_EQ(unknown->reason, outcome_reason::stopping);
}

// Guards against a run that its node cuts at the moment at which the upstream ends it:
// the upstream's own word is on its way then.
TEST_F(agent_test, passes_on_what_an_upstream_says_at_the_end_of_the_time_it_was_told)
{
    constexpr duration told = 300ms;
    constexpr duration on_its_way = 30ms;
    send("/long", told);
    auto const sent = boot_now();
    serve_until([&] { return replies.size() == 1; });
    auto const timer = loop.timers().at(sent + told + on_its_way, [&](instant)
                                        { replies[0].send({.status = 504}); });
    serve_until([&] { return results.contains("/long"); });
    loop.timers().cancel(timer);
    auto const* answered = std::get_if<request_answered>(&results.at("/long"));
    ASSERT_NE(answered, nullptr) << "its node ended the run";
    EXPECT_EQ(answered->response.status, 504);
}

TEST_F(stopping_agent, withdraws_only_requests_that_have_not_been_sent)
{
    auto const running = send("/running");
    auto const queued = send("/queued");
    serve_until([&] { return arrived.size() == 1; });
    EXPECT_FALSE(local.withdraw(running));
    EXPECT_TRUE(local.withdraw(queued));
    EXPECT_FALSE(local.withdraw(queued));
    EXPECT_FALSE(results.contains("/queued")) << "a withdrawn request has no result";
    replies.at(0).send({.status = 200});
    serve_until([&] { return results.contains("/running"); });
    EXPECT_TRUE(std::holds_alternative<request_answered>(results.at("/running")));
    EXPECT_EQ(arrived.size(), 1U);
}

// The connection to the upstream is not established yet.
TEST_F(stopping_agent, withdraws_a_request_that_waits_for_a_connection)
{
    auto const first = send("/first", 5s, false);
    EXPECT_TRUE(local.withdraw(first));
    send("/second");
    serve_until([&] { return !arrived.empty(); });
    EXPECT_EQ(arrived, std::vector<std::string>{"/second"});
}

class leaving_callers : public agent_test
{
protected:
    wire::Envelope forward(std::uint64_t attempt, std::string const& target)
    {
        wire::Envelope message;
        auto& out = *message.mutable_forward();
        encode(make_request(target, false), out);
        out.set_attempt(attempt);
        out.mutable_token()->set_session(table.session());
        out.mutable_token()->set_sent_at(to_micros(boot_now()));
        constexpr std::uint64_t time_left = 5'000'000;
        out.set_budget(time_left);
        out.set_due(time_left);
        out.set_start_within(time_left);
        return message;
    }

    static wire::Envelope cancel(std::uint64_t attempt)
    {
        wire::Envelope message;
        message.mutable_cancel()->set_attempt(attempt);
        return message;
    }

    peer_socket peers{loop, "tcp://127.0.0.1:*",
                      [](peer_route const&, wire::Envelope const&) {
                      }};
    peer_table table{peers, "n", 7, {}};
    forward_server forwards{loop, local, peers, table, "n"};
    peer_route const route{.identity = "caller"};
};

TEST_F(leaving_callers, a_request_whose_cancel_arrived_with_it_never_begins)
{
    forwards.on_forward(route, forward(1, "/cancelled"));
    forwards.on_forward(route, forward(2, "/wanted"));
    forwards.on_cancel(route, cancel(1));
    forwards.begin_received();
    serve_until([&] { return !arrived.empty(); });
    EXPECT_EQ(arrived, std::vector<std::string>{"/wanted"});
    EXPECT_EQ(forwards.unfinished(), 1U);
}

// Guards against a reply that is dropped because the node that asked has replaced the
// connection on which its request came.
TEST_F(leaving_callers, a_reply_follows_its_node_to_a_new_connection)
{
    std::vector<std::uint64_t> replied;
    peer_socket caller(loop, "tcp://127.0.0.1:*",
                       [&](peer_route const&, wire::Envelope const& message)
                       {
                           if (message.has_reply())
                               replied.push_back(message.reply().attempt());
                       });
    std::optional<peer_route> heard_on;
    peer_socket node(loop, "tcp://" + to_string(test::free_address(1)),
                     [&](peer_route const& from, wire::Envelope const&)
                     { heard_on = from; });
    forward_server server(loop, local, node, table, "n");
    auto message = forward(1, "/asked");
    message.mutable_sender()->set_node("caller");
    server.on_forward(route, message); // on a connection that is gone by now
    server.begin_received();
    serve_until([&] { return !replies.empty(); });
    replies[0].send({.body = "done"});
    serve_until([&] { return local.unfinished() == 0; });
    EXPECT_TRUE(replied.empty());
    wire::Envelope hello;
    hello.mutable_hello();
    caller.send("tcp://" + to_string(test::free_address(1)), hello);
    serve_until([&] { return heard_on.has_value(); });
    server.note_route("caller", *heard_on);
    serve_until([&] { return !replied.empty(); });
    EXPECT_EQ(replied, std::vector<std::uint64_t>{1});
    EXPECT_EQ(server.lost_replies(), 0U);
}

TEST_F(leaving_callers, a_cancelled_request_that_waits_for_a_connection_is_not_sent)
{
    auto const first = send("/first", 5s, false);
    local.cancel(first);
    EXPECT_EQ(local.unfinished(), 0U);
    send("/second");
    serve_until([&] { return !arrived.empty(); });
    EXPECT_EQ(arrived, std::vector<std::string>{"/second"});
}

TEST_F(leaving_callers, a_cancelled_request_that_was_sent_and_is_not_idempotent_continues)
{
    auto const first = send("/first", 5s, false);
    serve_until([&] { return arrived.size() == 1; });
    local.cancel(first);
    EXPECT_EQ(local.unfinished(), 1U);
}

// This node has the shard's assignment but not yet the configuration that precedes it, so
// it may be the owner and cannot serve the shard. The caller is told while it has time to
// come back.
TEST_F(agent_test,
       a_request_whose_shard_does_not_come_is_refused_well_before_its_deadline)
{
    auto const now = boot_now();
    constexpr std::uint64_t group_version = 9;
    coord.set_services({{.name = "s", .shards = 4}}, 0us, true);
    coord.on_message({"m", 7},
                     deltas{.from = 0,
                            .to = group_version,
                            .objects = {{.name = shard_group_object("s", 0),
                                         .version = group_version,
                                         .value = shard_group_record{.service = "s"}}}},
                     now);
    auto request = make_request("/keyed", true);
    request.shard = 3;
    request.deadline = request.due = request.start_until = now + 5s;
    std::optional<request_result> result;
    local.run(std::move(request), [&](request_result r) { result = std::move(r); });
    local.tick(now + 2'900ms);
    EXPECT_FALSE(result) << "it waits for a while";
    local.tick(now + 3'100ms);
    ASSERT_TRUE(result);
    auto const* refused = std::get_if<request_refused>(&*result);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->reason, outcome_reason::no_owner);
    EXPECT_FALSE(refused->reached_upstream);
    EXPECT_TRUE(arrived.empty());
}

// An agent with an upstream in the platform's form whose raw answers the test writes.
class faulty_upstream : public testing::Test
{
protected:
    faulty_upstream()
        : upstream(loop), coord({.self = {"n", 1}, .endpoint = "tcp://n:1"}),
          local(loop, coord, {.form = platform::upstream_form{}})
    {
        local.on_report(report_of(4), boot_now());
    }

    request_result run(std::string const& id)
    {
        upstream_request request;
        request.service = "s";
        request.id = id;
        request.request = {.method = "GET",
                           .target = "/",
                           .headers = {{"X-Buckthornusher-Request-Id", id}}};
        request.deadline = request.due = request.start_until = boot_now() + 5s;
        std::optional<request_result> result;
        local.run(std::move(request), [&](request_result r) { result = std::move(r); });
        while (!result)
            loop.run_once();
        return std::move(*result);
    }

    static std::string answer(std::string const& id, std::string const& status,
                              std::string const& header)
    {
        return "HTTP/1.1 " + status + "\r\nX-Buckthornusher-Request-Id: " + id + "\r\n" +
               header + "\r\nContent-Length: 0\r\n\r\n";
    }
    static std::string refusal(std::string const& id)
    {
        return answer(id, "503 Busy", "X-Buckthornusher-Not-Executed: 1");
    }
    static std::string success(std::string const& id)
    {
        return answer(id, "200 OK", "X-Buckthornusher-Response-Signature: s");
    }

    event_loop loop;
    test::raw_upstream upstream;
    coordinator coord;
    agent local;
};

TEST_F(faulty_upstream, a_duplicated_refusal_is_not_taken_as_the_answer_to_the_retry)
{
    upstream.answer = [&](int n)
    {
        if (n == 0)
            return refusal("a");
        bool const same_connection = upstream.requests_per_connection.back() > 1;
        return (same_connection ? refusal("a") : std::string()) + success("a");
    };
    EXPECT_TRUE(std::holds_alternative<request_refused>(run("a")));
    EXPECT_TRUE(std::holds_alternative<request_answered>(run("a")));
    EXPECT_EQ(upstream.requests, 2);
}

TEST_F(faulty_upstream, other_requests_reuse_the_connection_that_delivered_a_refusal)
{
    upstream.answer = [&](int n)
    {
        return n == 0 ? refusal("a") : success("b");
    };
    EXPECT_TRUE(std::holds_alternative<request_refused>(run("a")));
    EXPECT_TRUE(std::holds_alternative<request_answered>(run("b")));
    EXPECT_EQ(upstream.connections.size(), 1U);
}

TEST(native_upstreams, a_refusal_counts_only_if_it_carries_the_sending_number)
{
    native_upstream_form const form;
    auto const request =
        form.add_call_headers({.method = "GET", .target = "/"}, {.sending = 12});
    http_response refused{.status = 503, .headers = {{"buckthornusher-ran", "no"}}};
    EXPECT_EQ(form.meaning(refused), answer_meaning::unverified);
    refused.headers.push_back({"buckthornusher-sending", "12"});
    EXPECT_EQ(form.meaning(refused), answer_meaning::no_room);
    EXPECT_TRUE(form.is_response_to(request, refused));
    refused.headers.back().value = "11";
    EXPECT_FALSE(form.is_response_to(request, refused));
    EXPECT_TRUE(form.is_response_to(request, {.status = 200}))
        << "an upstream that sends no number";
}

} // namespace
} // namespace buckthornusher
