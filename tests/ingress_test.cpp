// Tests of the ingress with one caller and two peer nodes that the test simulates.
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "free_port.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/ingress.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

std::string endpoint_of(std::size_t number)
{
    return "tcp://" + to_string(test::free_address(number));
}

// A node with an upstream of service "s". Answers each request with its own name.
struct fake_node
{
    fake_node(event_loop& loop, std::string own_name, std::size_t address)
        : name(std::move(own_name)),
          peers(loop, endpoint_of(address),
                [this](peer_route const& route, wire::Envelope const& message)
                { on_message(route, message); })
    {
    }

    void on_message(peer_route const& route, wire::Envelope const& message)
    {
        if (is_silent)
        {
            if (message.has_forward())
                unanswered.push_back(message);
            return;
        }
        // The first message that it hears again may come on another connection.
        for (auto const& earlier : std::exchange(unanswered, {}))
            on_message(route, earlier);
        wire::Envelope out;
        out.mutable_sender()->set_node(name);
        if (message.has_hello() && answers_hello)
        {
            out.mutable_hello_ack()->set_now(to_micros(boot_now()));
            out.mutable_hello_ack()->set_session(1);
            peers.reply(route, out);
        }
        if (!message.has_forward())
            return;
        forwards.push_back(decode(message.forward()));
        out.mutable_reply()->set_attempt(message.forward().attempt());
        if (next_result)
        {
            encode(*std::exchange(next_result, {}), *out.mutable_reply());
            peers.reply(route, out);
            return;
        }
        request_answered const answer{.response = {.status = 200, .body = name}};
        out.mutable_reply()->set_attempt(message.forward().attempt());
        encode(answer, *out.mutable_reply());
        peers.reply(route, out);
    }

    std::string name;
    bool answers_hello = true;
    bool is_silent = false; // it reads messages and answers them later
    std::vector<wire::Envelope> unanswered;
    std::vector<upstream_request> forwards;
    std::optional<request_result> next_result; // instead of its answer
    peer_socket peers;
};

member_record record_of(std::string const& node, std::string const& region,
                        std::size_t address)
{
    return {.id = {.node = node, .incarnation = 1},
            .generation = 1,
            .endpoint = endpoint_of(address),
            .region = region,
            .domain = region + "-1",
            .targets = {{.service = "s", .slots = 4, .incarnation = "u"}}};
}

replica two_nodes()
{
    replica known;
    known.apply({.name = member_object("near"),
                 .version = 1,
                 .value = record_of("near", "here", 1)});
    known.apply({.name = member_object("far"),
                 .version = 2,
                 .value = record_of("far", "there", 2)});
    return known;
}

class ingress_test : public testing::Test
{
protected:
    ingress_test()
        : peers(loop, endpoint_of(0),
                [this](peer_route const&, wire::Envelope const& m) { on_message(m); }),
          table(peers, "own", 7, {}), coord({.self = {"own", 1},
                                             .endpoint = endpoint_of(0),
                                             .region = "here",
                                             .domain = "here-1",
                                             .known = two_nodes()}),
          local(loop, coord, {}), requests(loop, coord, local, peers, table, counts,
                                           {.form = {},
                                            .self = "own",
                                            .region = "here",
                                            .domain = "here-1",
                                            .regions = {.settle_time = 0ms}}),
          near_node(loop, "near", 1), far_node(loop, "far", 2),
          callers(loop, {.address = test::free_address(3)},
                  [this](http_request request, http_reply const& reply)
                  { requests.on_request(std::move(request), reply); }),
          client(loop, {.peer = test::free_address(3)})
    {
        auto parsed = parse_document("environment = \"t\"\n[service.s]\nkeyed = false\n"
                                     "[[service.s.route]]\nprefix = \"/s/\"\n");
        requests.set_routes(
            std::make_shared<route_table const>(std::move(parsed).value()), 1);
        loop.timers().every(boot_now(), 20ms, [this](instant t) { requests.tick(t); });
    }

    void on_message(wire::Envelope const& message)
    {
        auto const now = boot_now();
        auto const& node = message.sender().node();
        table.on_message(node, now);
        if (message.has_reply())
            requests.on_reply(message);
        if (message.has_hello_ack())
            requests.on_clock(node, table.on_hello_ack(message, now), now);
    }

    void wait_for_clock(std::string const& node, std::size_t address)
    {
        while (!table.stamp(node, endpoint_of(address), boot_now()))
            loop.run_once();
    }

    void set_document(std::string const& text, std::uint64_t number)
    {
        auto parsed = parse_document("environment = \"t\"\n" + text);
        requests.set_routes(
            std::make_shared<route_table const>(std::move(parsed).value()), number);
    }

    // Of an unkeyed service, a route for each of the regions.
    static std::string bound_routes(std::string const& first, std::string const& second)
    {
        return "[service.s]\nkeyed = false\n"
               "[[service.s.route]]\nprefix = \"/s/\"\nregions = [" +
               first +
               "]\n"
               "[[service.s.route]]\nprefix = \"/t/\"\nregions = [" +
               second + "]\n";
    }

    void wait_for_clocks()
    {
        wait_for_clock("near", 1);
        wait_for_clock("far", 2);
    }

    http_response call(std::string const& target = "/s/x")
    {
        std::optional<http_result> result;
        client.call({.method = "GET", .target = target}, 10s,
                    [&](http_result r) { result = std::move(r); });
        while (!result)
            loop.run_once();
        return std::move(*result).value();
    }

    event_loop loop;
    peer_socket peers;
    peer_table table;
    metrics counts;
    coordinator coord;
    agent local;
    ingress requests;
    fake_node near_node;
    fake_node far_node;
    http_server callers;
    http_client client;
};

TEST_F(ingress_test, sends_to_the_nearest_node)
{
    wait_for_clock("near", 1);
    wait_for_clock("far", 2);
    EXPECT_EQ(call().body, "near");
}

// Guards against a stopping node that answers 504 for a request that runs at a peer,
// because the peer sent nothing for a while.
TEST_F(ingress_test, a_stopping_node_waits_for_the_answer_of_a_silent_peer)
{
    far_node.answers_hello = false;
    set_document("[service.s]\nkeyed = false\ndeadline_ms = 4000\n"
                 "[[service.s.route]]\nprefix = \"/s/\"\n",
                 2);
    wait_for_clock("near", 1);
    near_node.is_silent = true;
    std::optional<http_result> result;
    client.call({.method = "GET", .target = "/s/x"}, 10s,
                [&](http_result r) { result = std::move(r); });
    while (near_node.unanswered.empty())
        loop.run_once();
    requests.begin_stopping(planned_stop({.grace = 3s}, boot_now()));
    constexpr duration silence = 1'200ms; // longer than that of a lost peer
    auto const until = boot_now() + silence;
    while (boot_now() < until)
        loop.run_once();
    near_node.is_silent = false;
    while (!result)
        loop.run_once();
    EXPECT_EQ(result->value().status, 200);
    EXPECT_EQ(result->value().body, "near");
}

TEST_F(ingress_test, sends_to_another_node_while_the_nearest_nodes_clock_is_unknown)
{
    near_node.answers_hello = false;
    auto const response = call();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "far");
}

TEST_F(ingress_test, a_request_delayed_past_its_deadline_keeps_the_peers_clock)
{
    wait_for_clock("near", 1);
    auto const now = boot_now();
    table.on_refused_as_stale("near", now, now);
    EXPECT_TRUE(table.stamp("near", endpoint_of(1), now));
    table.on_refused_as_stale("near", now + 1us, now);
    EXPECT_FALSE(table.stamp("near", endpoint_of(1), now));
}

// ---- routes bound to regions, with callers in all of them ----

std::string reason_of(http_response const& response)
{
    for (auto const& h : response.headers)
        if (h.name == "buckthornusher-reason")
            return h.value;
    return {};
}

TEST_F(ingress_test, sends_a_request_to_its_regions_only)
{
    wait_for_clocks();
    set_document(bound_routes("\"there\"", "\"here\", \"elsewhere\""), 2);
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_EQ(call("/s/x").body, "far");
        EXPECT_EQ(call("/t/x").body, "near");
    }
    EXPECT_EQ(far_node.forwards.size(), 20U);
    EXPECT_EQ(far_node.forwards.front().regions, region_bound({"there"}));
}

TEST_F(ingress_test, refuses_at_once_if_no_upstream_in_the_regions_is_known)
{
    wait_for_clocks();
    set_document(bound_routes("\"elsewhere\"", ""), 2);
    auto const before = boot_now();
    auto const response = call("/s/x");
    EXPECT_LT(boot_now() - before, 200ms);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(reason_of(response), "no-region");
    EXPECT_EQ(call("/t/x").status, 200);
    EXPECT_TRUE(far_node.forwards.empty());
}

TEST_F(ingress_test, a_request_refused_in_its_region_is_not_sent_to_others)
{
    wait_for_clocks();
    set_document(bound_routes("\"there\"", ""), 2);
    // Each is asked in both rounds.
    far_node.next_result = request_refused{.reason = outcome_reason::overloaded};
    EXPECT_EQ(call("/s/x").body, "far");
    EXPECT_TRUE(near_node.forwards.empty());
    EXPECT_EQ(far_node.forwards.size(), 2U);
}

TEST_F(ingress_test, a_node_that_knows_a_newer_document_refuses_by_its_regions)
{
    wait_for_clocks();
    near_node.next_result = request_refused{.reason = outcome_reason::no_region};
    EXPECT_EQ(call("/s/x").body, "far");
}

// Callers wait for a clock while the document changes the regions.
TEST_F(ingress_test, a_request_that_waits_keeps_to_its_old_and_its_new_regions)
{
    far_node.answers_hello = false;
    wait_for_clock("near", 1);
    set_document(bound_routes("\"there\"", "\"there\", \"here\""), 2);
    std::map<std::string, http_response> answers;
    for (std::string const target : {"/s/x", "/t/x"})
        client.call({.method = "GET", .target = target}, 10s,
                    [&answers, target](http_result r)
                    { answers[target] = std::move(r).value(); });
    while (requests.unfinished() < 1 || answers.size() < 1)
        loop.run_once();
    EXPECT_EQ(answers["/t/x"].body, "near");
    EXPECT_EQ(requests.unfinished(), 1U); // waits for the clock of "far"
    set_document(bound_routes("\"here\"", ""), 3);
    while (requests.unfinished() > 0 || answers.size() < 2)
        loop.run_once();
    EXPECT_EQ(reason_of(answers["/s/x"]), "no-region");
    EXPECT_EQ(near_node.forwards.size(), 1U);
    EXPECT_TRUE(far_node.forwards.empty());
}

class keyed_ingress_test : public ingress_test
{
protected:
    // All shards are owned by `owner`, and the route is bound to `regions`.
    void set_owner(std::string const& owner, std::string const& successor,
                   std::string const& regions)
    {
        wait_for_clocks();
        shard_group_record group{.service = "k", .first_shard = 0, .assignments = {}};
        group.assignments.resize(4,
                                 {.owner = {.node = owner, .generation = 1}, .epoch = 3});
        if (!successor.empty())
            for (auto& a : group.assignments)
                a.successor = {.node = successor, .generation = 1};
        auto known = two_nodes();
        known.apply({.name = shard_group_object("k", 0), .version = 3, .value = group});
        other.emplace(coordinator_options{.self = {"own", 1},
                                          .endpoint = endpoint_of(0),
                                          .region = "here",
                                          .domain = "here-1",
                                          .known = std::move(known)});
        requests.set_coordinator(*other);
        set_document("[service.k]\nshards = 4\n[[service.k.route]]\nprefix = "
                     "\"/k/\"\nregions = [" +
                         regions + "]\n",
                     2);
    }

    static std::string retry_after_ms(http_response const& response)
    {
        for (auto const& h : response.headers)
            if (h.name == "buckthornusher-retry-after-ms")
                return h.value;
        return {};
    }

    std::optional<coordinator> other;
};

TEST_F(keyed_ingress_test, sends_to_an_owner_inside)
{
    set_owner("far", "", "\"there\"");
    EXPECT_EQ(call("/k/1").body, "far");
}

TEST_F(keyed_ingress_test, refuses_at_once_if_the_owner_is_outside)
{
    set_owner("far", "", "\"here\"");
    auto const response = call("/k/1");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(reason_of(response), "no-region");
    EXPECT_EQ(retry_after_ms(response), "1000");
    EXPECT_TRUE(far_node.forwards.empty());
}

TEST_F(keyed_ingress_test, hints_at_a_move_into_the_regions)
{
    set_owner("far", "near", "\"here\"");
    auto const response = call("/k/1");
    EXPECT_EQ(reason_of(response), "no-region");
    EXPECT_EQ(retry_after_ms(response), "300");
    EXPECT_TRUE(far_node.forwards.empty());
}

TEST_F(keyed_ingress_test, is_not_redirected_to_an_owner_outside)
{
    set_owner("far", "", "\"there\"");
    far_node.next_result =
        request_moved{.owner = {.node = "near", .generation = 1}, .epoch = 4};
    EXPECT_EQ(reason_of(call("/k/1")), "no-region");
    EXPECT_TRUE(near_node.forwards.empty());
}

} // namespace
} // namespace buckthornusher
