// Tests of a node whose VM's link is narrow, with sockets on loopback: how its answers to
// another node are sent while that one asks for large ones and for small urgent ones.
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "free_port.hpp"
#include "process/agent.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/forward_server.hpp"
#include "process/peer_table.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <limits>

namespace buckthornusher
{
namespace
{

constexpr double link_rate = 2e6;            // bytes per second
constexpr std::size_t large_bytes = 180'000; // 0.1 s of the link's share for large ones
constexpr std::size_t small_bytes = 300;
constexpr duration large_time = 100ms;
constexpr duration max_wait = 20s;

std::string endpoint_of(std::size_t number)
{
    return "tcp://" + to_string(test::free_address(number));
}

// A node with an upstream that answers at once, and a peer that forwards requests to it.
class narrow_link : public testing::TestWithParam<double>
{
protected:
    struct arrived_reply
    {
        std::uint64_t attempt;
        wire::Reply reply;
        instant at;
    };

    narrow_link()
        : upstream(loop, {.address = test::free_address(0)},
                   [this](http_request const& request, http_reply const& reply)
                   {
                       if (request.target == "/later")
                           return later.push_back(reply);
                       bool const large = request.target == "/large" && !failing;
                       reply.send(
                           {.status = failing ? 500 : 200,
                            .body = std::string(large ? large_bytes : small_bytes, 'x')});
                   }),
          coord({.self = {"n", 1}, .endpoint = "tcp://n:1"}),
          local(loop, coord, {.link_bytes_per_second = GetParam()}),
          peers(loop, endpoint_of(1),
                [this](peer_route const& route, wire::Envelope const& message)
                {
                    if (message.has_forward())
                        forwards.on_forward(route, message);
                    if (message.has_cancel())
                        forwards.on_cancel(route, message);
                }),
          sender(loop, endpoint_of(2),
                 [this](peer_route const&, wire::Envelope const& message)
                 {
                     replies.push_back({.attempt = message.reply().attempt(),
                                        .reply = message.reply(),
                                        .at = boot_now()});
                 })
    {
        upstream_report report;
        report.service = "s";
        report.incarnation = {.id = "u", .started = 1};
        report.ip = test::free_address(0).ip;
        report.port = test::free_address(0).port;
        report.slots = 8;
        report.connections = 8;
        local.on_report(report, boot_now());
        loop.after_round([this] { return forwards.begin_received(); });
        loop.timers().every(boot_now(), 20ms,
                            [this](instant t)
                            {
                                local.tick(t);
                                forwards.count_sent(t);
                            });
    }

    void forward(std::uint64_t attempt, bool large, duration due = 5s, duration left = 5s)
    {
        upstream_request request;
        request.service = "s";
        request.request = {.method = "GET", .target = large ? "/large" : "/small"};
        request.request_class = request.request.target;
        request.repeatable = true;
        request.large_answer = large;
        wire::Envelope message;
        message.mutable_sender()->set_node("caller");
        auto& out = *message.mutable_forward();
        encode(request, out);
        out.set_attempt(attempt);
        out.mutable_token()->set_session(table.session());
        out.mutable_token()->set_sent_at(to_micros(boot_now()));
        out.set_budget(static_cast<std::uint64_t>(left.count()));
        out.set_due(static_cast<std::uint64_t>(due.count()));
        out.set_start_within(static_cast<std::uint64_t>(left.count()));
        ASSERT_TRUE(sender.send(endpoint_of(1), message));
    }

    // Forwards a request that is not repeatable and is answered later.
    void forward_body(std::uint64_t attempt, std::size_t bytes)
    {
        upstream_request request;
        request.service = "s";
        request.request = {
            .method = "POST", .target = "/later", .body = std::string(bytes, 'x')};
        wire::Envelope message;
        message.mutable_sender()->set_node("caller");
        auto& out = *message.mutable_forward();
        encode(request, out);
        out.set_attempt(attempt);
        out.mutable_token()->set_session(table.session());
        out.mutable_token()->set_sent_at(to_micros(boot_now()));
        out.set_budget(5'000'000);
        out.set_due(5'000'000);
        out.set_start_within(5'000'000);
        ASSERT_TRUE(sender.send(endpoint_of(1), message));
    }

    void cancel(std::uint64_t attempt)
    {
        wire::Envelope message;
        message.mutable_cancel()->set_attempt(attempt);
        ASSERT_TRUE(sender.send(endpoint_of(1), message));
    }

    template <class Condition>
    bool serve_until(Condition const& condition, duration limit = max_wait)
    {
        auto const end = boot_now() + limit;
        auto const timer = loop.timers().at(end, [](instant) {});
        while (!condition() && boot_now() < end)
            loop.run_once();
        loop.timers().cancel(timer);
        return condition();
    }

    arrived_reply const* reply_to(std::uint64_t attempt) const
    {
        for (auto const& r : replies)
            if (r.attempt == attempt)
                return &r;
        return nullptr;
    }

    event_loop loop;
    bool failing = false;          // the upstream
    std::vector<http_reply> later; // of the path "/later"
    memory_budget memory{{}};
    http_server upstream;
    coordinator coord;
    agent local;
    peer_socket peers;
    peer_socket sender;
    peer_table table{peers, "n", 7, {}};
    forward_server forwards{loop, local, peers, table, "n", &memory};
    std::vector<arrived_reply> replies;
};

class known_link : public narrow_link
{
};

// Guards against small urgent answers that wait behind large ones.
TEST_P(known_link, small_answers_pass_large_ones_that_wait)
{
    for (std::uint64_t attempt = 1; attempt <= 6; ++attempt)
        forward(attempt, true);
    ASSERT_TRUE(serve_until([&] { return forwards.held() >= 2; }));
    forward(7, false);
    ASSERT_TRUE(serve_until([&] { return replies.size() == 7; }));
    EXPECT_NE(replies.back().attempt, 7U);
    auto const small = reply_to(7);
    auto const large_after = std::count_if(
        replies.begin(), replies.end(), [&](auto const& r) { return r.at > small->at; });
    EXPECT_GE(large_after, 2);
    // Large ones pass at their share of the rate, but for the catch-up.
    EXPECT_GE(replies.back().at - replies.front().at, 5 * (large_time - 6ms));
    EXPECT_EQ(forwards.unfinished(), 0U);
    EXPECT_EQ(local.link_answers().counts().large_bytes, 6 * large_bytes);
    EXPECT_GT(local.link_answers().counts().other_bytes, small_bytes);
    EXPECT_GT(small->reply.load().link_rate(), 0);
    EXPECT_GT(small->reply.load().link_wait(), 0U);
}

TEST_P(known_link, an_answer_whose_caller_has_left_takes_no_time_of_the_link)
{
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt)
        forward(attempt, true);
    ASSERT_TRUE(serve_until([&] { return forwards.held() >= 2; }));
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt)
        cancel(attempt);
    ASSERT_TRUE(serve_until([&] { return forwards.unfinished() == 0; }, 300ms));
    EXPECT_EQ(local.link_answers().waiting(), 0U);
    serve_until([] { return false; }, 4 * large_time);
    EXPECT_LE(replies.size(), 2U);
}

// Load: a node that has sent much while nobody asked it for an answer.
TEST_P(known_link, what_was_sent_long_ago_leaves_no_backlog)
{
    forward(1, true);
    ASSERT_TRUE(serve_until([&] { return reply_to(1) != nullptr; }));
    wire::Envelope message;
    message.mutable_reply()->set_attempt(100);
    message.mutable_reply()->set_body(std::string(large_bytes, 'x'));
    for (int n = 0; n < 5; ++n)
        ASSERT_TRUE(peers.send(endpoint_of(2), message));
    ASSERT_TRUE(serve_until([&] { return replies.size() == 6; }));
    serve_until([] { return false; }, 10 * large_time);
    forward(2, false);
    ASSERT_TRUE(serve_until([&] { return reply_to(2) != nullptr; }));
    EXPECT_GE(local.link_answers().counts().other_bytes, 5 * large_bytes);
    EXPECT_LE(reply_to(2)->reply.load().link_wait(), 50'000U); // microseconds
}

// Load: senders that leave while long bodies that may run once only are being worked on.
TEST_P(known_link, a_body_is_counted_until_its_request_ends)
{
    forward_body(1, large_bytes);
    ASSERT_TRUE(serve_until([&] { return !later.empty(); }));
    EXPECT_EQ(memory.held(), 2 * large_bytes);
    cancel(1);
    ASSERT_TRUE(serve_until([&] { return forwards.unfinished() == 0; }));
    EXPECT_EQ(memory.held(), 2 * large_bytes);
    later.front().send({.status = 200});
    EXPECT_TRUE(serve_until([&] { return memory.held() == 0; }));
}

// Load: an upstream that fails in a few bytes what it is asked for.
TEST_P(known_link, a_failure_says_nothing_of_the_size_of_answers)
{
    forward(1, true);
    ASSERT_TRUE(serve_until([&] { return reply_to(1) != nullptr; }));
    failing = true;
    forward(2, true);
    ASSERT_TRUE(serve_until([&] { return reply_to(2) != nullptr; }));
    EXPECT_EQ(local.link_downloads().usual_bytes("/large"), large_bytes);
}

// A download that can't end in its caller's time is refused at once, and not begun.
TEST_P(known_link, what_does_not_fit_is_refused_with_the_time_until_it_would)
{
    forward(1, true);
    ASSERT_TRUE(serve_until([&] { return replies.size() == 1; })); // its size is known
    replies.clear();
    for (std::uint64_t attempt = 2; attempt <= 13; ++attempt)
        forward(attempt, true, 600ms, 2'500ms);
    ASSERT_TRUE(serve_until([&] { return replies.size() == 12; }));
    int answered = 0;
    int refused = 0;
    for (auto const& r : replies)
    {
        if (r.reply.outcome() == wire::Reply::ANSWERED)
            ++answered;
        if (r.reply.outcome() != wire::Reply::REFUSED)
            continue;
        ++refused;
        EXPECT_EQ(r.reply.reason(),
                  static_cast<std::uint32_t>(outcome_reason::overloaded));
        EXPECT_GE(r.reply.retry_after(), 50'000U);
        EXPECT_LE(r.reply.retry_after(), 2'000'000U);
    }
    EXPECT_EQ(answered + refused, 12);
    EXPECT_GE(answered, 3);
    EXPECT_GE(refused, 5);
    EXPECT_EQ(local.link_downloads().refusals(), static_cast<std::uint64_t>(refused));
}

INSTANTIATE_TEST_SUITE_P(all, known_link, testing::Values(link_rate));

class unknown_link : public narrow_link
{
};

TEST_P(unknown_link, large_answers_are_sent_as_they_are_made)
{
    for (std::uint64_t attempt = 1; attempt <= 6; ++attempt)
        forward(attempt, true, 10ms, 5s);
    ASSERT_TRUE(serve_until([&] { return replies.size() == 6; }));
    for (auto const& r : replies)
    {
        EXPECT_EQ(r.reply.outcome(), wire::Reply::ANSWERED);
        EXPECT_EQ(r.reply.load().link_rate(), 0);
        EXPECT_EQ(r.reply.load().link_wait(), 0U);
    }
    EXPECT_EQ(local.link_answers().counts(), link_counts{});
}

INSTANTIATE_TEST_SUITE_P(all, unknown_link, testing::Values(0.0, -1.0));

TEST(link_load, passes_to_other_nodes_and_nothing_absurd_is_believed)
{
    upstream_load load{
        .slots = 6, .accepting = true, .link_wait = 120ms, .link_rate = 1.7e6};
    wire::Load out;
    encode(load, out);
    EXPECT_EQ(decode(out), load);
    for (double const rate : {-1.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()})
    {
        out.set_link_rate(rate);
        EXPECT_EQ(decode(out).link_rate, 0);
    }
    out.set_link_wait(std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(decode(out).link_wait, 60s);
    wire::Load const of_an_old_node;
    EXPECT_EQ(decode(of_an_old_node).link_rate, 0);
}

} // namespace
} // namespace buckthornusher
