// Tests the HTTP server and client against each other and against raw bytes, on one event
// loop.
#include "buckthornusher/answer_delivery.hpp"
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "free_port.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "raw_peers.hpp"
#include "slow_reader.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace buckthornusher
{
namespace
{

using test::join;
using test::raw_connection;

std::string text_of(http_request const& request)
{
    return request.method + " " + request.target + " " + request.body;
}

// Answers each request with its method, target and body. Requests to "/later" are stored
// in `later` for the test to answer.
struct echo_server
{
    event_loop loop;
    std::vector<http_request> handled;
    std::vector<std::pair<std::string, http_reply>> later;
    int disconnects = 0;
    http_server server{loop,
                       {.address = test::free_address(),
                        .limits = {.read = {.header_bytes = 4'000, .body_bytes = 100'000},
                                   .header_timeout = 300ms,
                                   .idle_timeout = 2s},
                        .max_pipelined = 4},
                       [this](http_request request, http_reply const& reply)
                       {
                           handled.push_back(request);
                           reply.on_disconnect([this] { ++disconnects; });
                           if (request.path() == "/later")
                               later.emplace_back(text_of(request), reply);
                           else
                               reply.send(echo(request));
                       }};
    http_client client{loop, {.peer = test::free_address(), .max_connections = 4}};

    static http_response echo(http_request const& request)
    {
        http_response response;
        for (auto const& header : request.headers)
            if (header.name.starts_with("X-"))
                response.headers.push_back(header);
        response.body = request.path() == "/empty" ? "" : text_of(request);
        return response;
    }

    http_result call(http_request request, duration timeout = 5s)
    {
        std::optional<http_result> result;
        client.call(std::move(request), timeout,
                    [&](http_result r) { result = std::move(r); });
        while (!result)
            loop.run_once();
        return std::move(*result);
    }
};

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

// ---- client and server together ----

TEST(http, carries_method_target_headers_and_body)
{
    echo_server echo;
    auto const result = echo.call({.method = "POST",
                                   .target = "/a/b?x=1&y=2",
                                   .headers = {{"X-Name", "value"}, {"X-Name", "again"}},
                                   .body = "hello"});
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result.value().status, 200);
    EXPECT_EQ(result.value().body, "POST /a/b?x=1&y=2 hello");
    http_headers names;
    for (auto const& header : result.value().headers)
        if (header.name == "X-Name")
            names.push_back(header);
    EXPECT_EQ(names, (http_headers{{"X-Name", "value"}, {"X-Name", "again"}}));
}

TEST(http, reuses_one_connection_for_many_calls_of_all_kinds)
{
    echo_server echo;
    for (int i = 0; i < 200; ++i)
    {
        auto const body = std::string(static_cast<std::size_t>(i) * 37, 'x');
        auto const get = echo.call({.method = "GET", .target = "/get?"});
        ASSERT_TRUE(get.has_value());
        EXPECT_EQ(get.value().body, "GET /get? ");
        auto const post = echo.call({.method = "POST", .target = "/post", .body = body});
        ASSERT_TRUE(post.has_value());
        EXPECT_EQ(post.value().body, "POST /post " + body);
        auto const empty = echo.call({.method = "GET", .target = "/empty"});
        ASSERT_TRUE(empty.has_value());
        EXPECT_EQ(empty.value().body, "");
        auto const head = echo.call({.method = "HEAD", .target = "/get"});
        ASSERT_TRUE(head.has_value());
        EXPECT_EQ(head.value().body, "");
    }
    EXPECT_EQ(echo.client.connections_opened(), 1U);
}

TEST(http, runs_calls_concurrently_up_to_the_limit_and_fails_further_ones_as_busy)
{
    echo_server echo;
    int answered = 0;
    int busy = 0;
    for (int i = 0; i < 6; ++i)
        echo.client.call({.method = "GET", .target = "/get"}, 5s,
                         [&](http_result const& r)
                         {
                             if (r.has_value())
                                 ++answered;
                             else if (r.error().failed_step == http_failure::step::busy)
                                 ++busy;
                         });
    EXPECT_EQ(busy, 2);
    while (answered < 4)
        echo.loop.run_once();
}

TEST(http, a_timeout_after_sending_is_reported_as_sent)
{
    echo_server echo;
    auto const result = echo.call({.method = "GET", .target = "/later"}, 200ms);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(result.error().failed_step, http_failure::step::timeout);
    EXPECT_TRUE(result.error().sent);
    EXPECT_TRUE(echo.call({.method = "GET", .target = "/get"}).has_value());
    EXPECT_EQ(echo.disconnects, 1) << "the server detects the disconnect";
}

TEST(http, a_refused_connection_is_reported_as_not_sent)
{
    event_loop loop;
    http_client client(loop, {.peer = {.ip = "127.0.0.1", .port = 1}});
    for (int i = 0; i < 3; ++i)
    {
        std::optional<http_result> result;
        client.call({.method = "GET", .target = "/"}, 5s,
                    [&](http_result r) { result = std::move(r); });
        while (!result)
            loop.run_once();
        EXPECT_EQ(result->error().failed_step, http_failure::step::connect);
        EXPECT_FALSE(result->error().sent);
    }
}

TEST(http, an_oversized_body_is_refused_before_it_is_read)
{
    echo_server echo;
    auto const result =
        echo.call({.method = "POST", .target = "/", .body = std::string(200'000, 'x')});
    EXPECT_TRUE(echo.handled.empty());
    ASSERT_TRUE(result.has_value())
        << "a response sent before the body was read is delivered";
    EXPECT_EQ(result.value().status, 413);
    EXPECT_TRUE(echo.call({.method = "GET", .target = "/get"}).has_value());
}

// ---- the server against raw bytes ----

TEST(http_server, answers_pipelined_requests_in_order)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    raw.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /two HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST /later HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
              "GET /four HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /five HTTP/1.1\r\nHost: h\r\n\r\n");
    while (echo.later.size() < 2)
        echo.loop.run_once();
    EXPECT_EQ(echo.handled.size(), 4U)
        << "reading pauses while four requests are unanswered";
    echo.later[1].second.send({.body = "third"});
    echo.later[0].second.send({.body = "first"});
    auto const read = raw.read_until("/five");
    auto last = std::string::npos;
    for (auto const* part : {"first", "/two", "third", "/four", "/five"})
    {
        auto const at = read.find(part);
        ASSERT_NE(at, std::string::npos) << part;
        EXPECT_TRUE(last == std::string::npos || last < at) << part;
        last = at;
    }
}

TEST(http_server, accepts_requests_byte_by_byte_and_chunked_bodies)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    std::string const request =
        "\r\nPOST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n"
        "3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 3\r\n\r\n";
    for (char const c : request)
    {
        raw.write({&c, 1});
        echo.loop.run_once();
    }
    auto const read = raw.read_until("POST /c");
    EXPECT_NE(read.find("POST /c abc0123456789"), std::string::npos) << read;
    ASSERT_EQ(echo.handled.size(), 1U);
    auto const& headers = echo.handled.front().headers;
    EXPECT_EQ(find_header(headers, "x-end"), "2");
    for (auto const* dropped :
         {"x-hop", "connection", "transfer-encoding", "x-trailer", "content-length"})
        EXPECT_EQ(header_value(headers, dropped), nullptr) << dropped;
}

// Bytes that this server and another HTTP implementation could split into requests
// differently are refused, and nothing after them on the connection is read.
TEST(http_server, refuses_framing_that_allows_request_smuggling)
{
    std::string const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string const post = "POST / HTTP/1.1\r\nHost: h\r\n";
    std::string const end = "0\r\n\r\n";
    std::vector<std::string> const cases{
        post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x1\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + end,
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\nX y: 1\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n",
        "GE\x01T / HTTP/1.1\r\nHost: h\r\n\r\n",
        "NONSENSE\r\n\r\n",
    };
    for (auto const& bytes : cases)
    {
        echo_server echo;
        raw_connection raw(echo.loop, test::free_address());
        raw.write(bytes + hidden);
        auto const read = raw.read_all();
        EXPECT_TRUE(read.starts_with("HTTP/1.1 400") || read.starts_with("HTTP/1.1 505"))
            << bytes << "\ngot " << read;
        EXPECT_EQ(count_of(read, "HTTP/1.1 "), 1U) << bytes;
        EXPECT_NE(read.find("Connection: close"), std::string::npos);
        EXPECT_TRUE(echo.handled.empty()) << bytes;
    }
}

TEST(http_server, a_request_within_a_body_is_not_handled)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    std::string const hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    raw.write("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
    raw.read_until("/hidden");
    ASSERT_EQ(echo.handled.size(), 1U);
    EXPECT_EQ(echo.handled.front().body, hidden);
}

TEST(http_server, enforces_size_limits_and_timeouts)
{
    echo_server echo;
    {
        raw_connection raw(echo.loop, test::free_address());
        raw.write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(5'000, 'x') +
                  "\r\n\r\n");
        EXPECT_TRUE(raw.read_all().starts_with("HTTP/1.1 431"));
    }
    {
        raw_connection raw(echo.loop, test::free_address());
        raw.write("GET / HTTP/1.1\r\nHost: h\r\n");
        EXPECT_TRUE(raw.read_all().starts_with("HTTP/1.1 408"));
    }
    {
        raw_connection raw(echo.loop, test::free_address());
        raw.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
        EXPECT_TRUE(raw.read_all().starts_with("HTTP/1.1 408"));
    }
    {
        raw_connection raw(echo.loop, test::free_address());
        raw.write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "30000\r\n");
        raw.write(std::string(0x30000, 'x'));
        EXPECT_TRUE(raw.read_all().starts_with("HTTP/1.1 413"));
    }
    EXPECT_TRUE(echo.handled.empty());
    raw_connection idle(echo.loop, test::free_address());
    idle.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(idle.read_until("/x").find("Keep-Alive: timeout=2\r\n"), std::string::npos);
    idle.read_all();
    EXPECT_TRUE(idle.closed());
}

TEST(http_server, unbounded_lines_within_a_chunked_body_are_refused)
{
    constexpr std::size_t limit = 1'024;
    for (std::string const last : {"4", "0\r\n"})
    {
        request_reader reader({.header_bytes = limit, .body_bytes = limit});
        reader.put("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   last);
        std::string const unit = last == "4" ? ";an=extension" : "a: trailer\r\n";
        for (std::size_t put = 0; put <= 2 * limit && !reader.failed();
             put += unit.size())
            reader.put(unit);
        EXPECT_TRUE(reader.failed()) << last;
    }
}

// Guards against a header that arrives line by line being kept without a limit.
TEST(http_server, a_header_is_limited_as_a_whole_however_it_arrives)
{
    constexpr std::size_t limit = 1'024;
    std::string const line = "X-Field: value\r\n";
    request_reader request({.header_bytes = limit, .body_bytes = limit});
    response_reader response({.header_bytes = limit, .body_bytes = limit}, false);
    request.put("GET / HTTP/1.1\r\nHost: a\r\n");
    response.put("HTTP/1.1 200 OK\r\n");
    for (std::size_t put = 0; put <= limit; put += line.size())
    {
        request.put(line);
        response.put(line);
    }
    EXPECT_EQ(request.error().status, 431);
    EXPECT_TRUE(response.failed());
}

// Guards against a length from outside that ends the process: Beast's own messages throw
// for fields of 65,534 bytes or more.
TEST(http_server, fields_of_any_length_up_to_the_limit_are_read)
{
    constexpr std::uint32_t limit = 1'000'000;
    http_read_limits const limits{.header_bytes = limit, .body_bytes = limit};
    for (std::size_t const length : {65'000, 65'532, 65'533, 65'534, 65'535, 65'536,
                                     65'537, 70'000, 131'072, 200'000})
    {
        std::string const name(length, 'n');
        std::string const value(length, 'v');
        auto const fields = join({"Host: a\r\nX: ", value, "\r\n", name, ": 1\r\n"});
        request_reader request(limits);
        request.put(join({"GET /", value, " HTTP/1.1\r\n", fields, "\r\n"}));
        ASSERT_TRUE(request.complete()) << length << ": " << request.error().what;
        auto const read = request.take();
        EXPECT_EQ(read.target.size(), length + 1);
        EXPECT_EQ(find_header(read.headers, "X"), value);
        EXPECT_EQ(find_header(read.headers, name), "1");

        response_reader response(limits, false);
        response.put(join({"HTTP/1.1 200 ", value, "\r\n", fields,
                           "Transfer-Encoding: chunked\r\n\r\n1;x=", value,
                           "\r\na\r\n0\r\n", fields, "\r\n"}));
        ASSERT_TRUE(response.complete()) << length << ": " << response.error().what;
        EXPECT_EQ(response.take().body, "a");

        request_reader limited({.header_bytes = 65'536, .body_bytes = limit});
        limited.put(join({"GET / HTTP/1.1\r\n", fields, "\r\n"}));
        EXPECT_EQ(limited.error().status, 431) << length;
    }
}

TEST(http_server, closes_the_connection_when_the_caller_requests_it)
{
    echo_server echo;
    for (auto const* request : {"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                                "GET /x HTTP/1.0\r\n\r\n"})
    {
        raw_connection raw(echo.loop, test::free_address());
        raw.write(request);
        auto const read = raw.read_all();
        EXPECT_NE(read.find("GET /x"), std::string::npos);
        EXPECT_NE(read.find("Connection: close"), std::string::npos);
    }
}

TEST(http_server, sends_100_continue_to_a_caller_that_expects_it)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    raw.write("POST /w HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
    raw.read_until("100 Continue\r\n\r\n");
    raw.write("ab");
    EXPECT_NE(raw.read_until("POST /w").find("POST /w ab"), std::string::npos);
}

TEST(http_server, reports_disconnected_callers_and_serves_others)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    raw.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
    while (echo.later.empty())
        echo.loop.run_once();
    raw.close();
    while (echo.disconnects == 0)
        echo.loop.run_once();
    echo.later.front().second.send({.body = "too late"}); // has no effect
    EXPECT_TRUE(echo.call({.method = "GET", .target = "/get"}).has_value());
}

// ---- memory ----

// A server whose budget is two bodies of the size below, and a connection that holds most
// of one without its end.
struct server_with_budget
{
    static constexpr std::size_t part = 200'000;
    static constexpr std::size_t long_answer = 40'000'000; // more than sockets hold

    explicit server_with_budget(duration patience)
        : budget({.process_bytes = 0,
                  .min_bytes = 400'000,
                  .ordinary_reserve = 50'000,
                  .patience = patience})
    {
    }

    event_loop loop;
    memory_budget budget;
    int handled = 0;
    std::vector<http_reply> later; // of the path "/later"
    http_server server{loop,
                       {.address = test::free_address(), .memory = &budget},
                       [this](http_request const& request, http_reply const& reply)
                       {
                           ++handled;
                           if (request.path() == "/later")
                               return later.push_back(reply);
                           bool const is_long = request.path() == "/long";
                           reply.send(
                               {.body = std::string(is_long ? long_answer : 2, 'a')});
                       }};
    raw_connection first{loop, test::free_address()};

    void send_part(raw_connection& to)
    {
        auto const before = budget.held() + budget.refused() + budget.closed();
        to.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
        to.write(std::string(part, 'b'));
        while (budget.held() + budget.refused() + budget.closed() < before + part &&
               budget.refused() == 0 && budget.closed() == 0)
            loop.run_once();
    }
};

// Load: large bodies at once, all of them still being sent.
TEST(http_server, a_body_that_finds_no_memory_is_refused_and_not_handled)
{
    server_with_budget s(1h);
    s.send_part(s.first);
    raw_connection second(s.loop, test::free_address());
    s.send_part(second);
    EXPECT_NE(second.read_until("\r\n\r\n").find("503"), std::string::npos);
    EXPECT_EQ(s.handled, 0);
    EXPECT_EQ(s.budget.refused(), 1U);
    raw_connection ordinary(s.loop, test::free_address());
    ordinary.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(ordinary.read_until("aa").find("200 OK"), std::string::npos);
    s.first.close();
    s.loop.run_once();
    EXPECT_EQ(s.budget.held(), 0U);
}

// Load: a body that stopped short of its end, and one that is being sent.
TEST(http_server, a_stalled_connection_is_closed_to_make_room)
{
    server_with_budget s(0s);
    s.send_part(s.first);
    raw_connection second(s.loop, test::free_address());
    s.send_part(second);
    EXPECT_EQ(s.first.read_all(), "");
    EXPECT_EQ(s.budget.closed(), 1U);
    EXPECT_FALSE(second.closed());
}

// Load: the same, with more of them than one to close for a body.
TEST(http_server, as_many_stalled_connections_are_closed_as_a_body_needs)
{
    server_with_budget s(0s);
    std::vector<std::unique_ptr<raw_connection>> stalled;
    constexpr std::size_t piece = 80'000;
    for (std::size_t n = 1; n <= 4; ++n)
    {
        stalled.push_back(std::make_unique<raw_connection>(s.loop, test::free_address()));
        stalled.back()->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n"
                              "\r\n" +
                              std::string(piece, 'b'));
        while (s.budget.held() < n * piece)
            s.loop.run_once();
    }
    raw_connection whole(s.loop, test::free_address());
    whole.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 80000\r\n\r\n" +
                std::string(piece, 'b'));
    EXPECT_NE(whole.read_until("\r\n\r\n").find("200 OK"), std::string::npos);
    EXPECT_EQ(s.budget.closed(), 3U);
    EXPECT_EQ(s.budget.refused(), 0U);
}

// Load: a caller that has sent part of its next request while its first is being handled.
TEST(http_server, a_connection_that_waits_for_its_answer_is_not_stalled)
{
    server_with_budget s(0s);
    s.first.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
    while (s.later.empty())
        s.loop.run_once();
    s.send_part(s.first);
    raw_connection second(s.loop, test::free_address());
    s.send_part(second);
    EXPECT_NE(second.read_until("ran").find("for this request now"), std::string::npos);
    EXPECT_EQ(s.budget.closed(), 0U);
    s.later.front().send({.body = "aa"});
    EXPECT_NE(s.first.read_until("aa").find("200 OK"), std::string::npos);
}

// Load: callers that leave while what they asked for is still being done.
TEST(http_server, a_request_is_counted_while_anybody_holds_it)
{
    server_with_budget s(1h);
    s.first.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
    while (s.later.empty())
        s.loop.run_once();
    auto hold = s.later.front().request_hold();
    ASSERT_NE(hold, nullptr);
    auto const bytes = s.budget.held();
    EXPECT_GT(bytes, 0U);
    s.first.close();
    while (s.server.connections() > 0)
        s.loop.run_once();
    EXPECT_EQ(s.budget.held(), bytes);
    EXPECT_EQ(s.later.front().request_hold(), nullptr);
    hold.reset();
    EXPECT_EQ(s.budget.held(), 0U);
}

// A body that cannot be held as often as it must be, though nothing else is held.
TEST(http_server, a_body_that_never_fits_is_told_so)
{
    server_with_budget s(1h);
    s.first.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n" +
                  std::string(150'000, 'b'));
    auto const text = s.first.read_until("ran");
    EXPECT_NE(text.find("503"), std::string::npos);
    EXPECT_NE(text.find("too long for this node's memory"), std::string::npos);
    EXPECT_EQ(s.handled, 0);
}

// Load: a long answer that its caller does not read. It never looks whole.
TEST(http_server, an_answer_that_is_not_read_is_cut_when_others_need_its_memory)
{
    server_with_budget s(1h);
    s.first.write("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const text = s.first.read_all();
    auto const body = text.find("\r\n\r\n") + 4;
    EXPECT_NE(text.find("Content-Length: 40000000"), std::string::npos);
    EXPECT_LT(text.size() - body, server_with_budget::long_answer);
    EXPECT_EQ(s.budget.closed(), 1U);
    EXPECT_EQ(s.budget.held(), 0U);
}

// The caller closes its connection before the server has read the request, so the end of
// the stream is already in the socket behind the request.
TEST(http_server, a_request_whose_caller_has_disconnected_is_not_handled)
{
    echo_server echo;
    std::string const request = "GET /get HTTP/1.1\r\nHost: h\r\n\r\n";
    raw_connection kept(echo.loop, test::free_address());
    kept.write(request);
    kept.read_until("GET /get");
    raw_connection fresh(echo.loop, test::free_address());
    while (echo.server.connections() < 2)
        echo.loop.run_once();
    kept.write(request + request);
    kept.close();
    fresh.write(request);
    fresh.close();
    while (echo.server.connections() > 0)
        echo.loop.run_once();
    EXPECT_EQ(echo.handled.size(), 1U);
    EXPECT_EQ(echo.disconnects, 0);
    EXPECT_EQ(echo.server.unread_disconnects(), 2U);
    EXPECT_TRUE(echo.call({.method = "GET", .target = "/get"}).has_value());
}

// Guards against a false timeout: the event loop is blocked for longer than the header
// timeout while the header arrives, and runs its timers before it reads the socket.
TEST(http_server, a_header_that_arrived_while_the_loop_was_blocked_does_not_time_out)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    raw.write("GET /get HTTP/1.1\r\n");
    EXPECT_TRUE(echo.call({.method = "GET", .target = "/get"}).has_value());
    raw.write("Host: h\r\n\r\n");
    auto const held_up_until = boot_now() + 400ms;
    while (boot_now() < held_up_until)
    {
    }
    EXPECT_TRUE(raw.read_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// A stopping server answers all requests that it has read, pipelined ones included, and
// then closes the connection.
TEST(http_server, a_stop_answers_all_requests_that_were_read)
{
    echo_server echo;
    raw_connection raw(echo.loop, test::free_address());
    raw.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /later HTTP/1.1\r\nHost: h\r\n\r\n");
    while (echo.later.size() < 2)
        echo.loop.run_once();
    echo.server.begin_stopping();
    echo.later[0].second.send({.body = "one"});
    echo.later[1].second.send({.body = "two"});
    auto const read = raw.read_all();
    EXPECT_EQ(count_of(read, "HTTP/1.1 200"), 2U);
    EXPECT_EQ(count_of(read, "Connection: close"), 1U);
    EXPECT_LT(read.find("one"), read.find("Connection: close"));
}

// Guards against a stop that takes an answer for delivered while its caller still reads
// it, and against one that waits for a caller that reads nothing.
TEST(http_server, an_answer_is_awaited_while_its_caller_reads_it)
{
    echo_server echo;
    test::slow_reader reader(echo.loop,
                             {.to = test::free_address(),
                              .requests = "GET /later HTTP/1.1\r\nHost: h\r\n\r\n",
                              .bytes_per_second = 4'000'000});
    while (echo.later.empty())
        echo.loop.run_once();
    EXPECT_EQ(echo.server.awaited_deliveries(boot_now()), 0U) << "not answered yet";
    constexpr std::size_t body_bytes = 8'000'000; // more than the sockets hold
    echo.later[0].second.send({.body = std::string(body_bytes, 'b')});
    while (echo.server.awaited_deliveries(boot_now()) > 0)
        echo.loop.run_once();
    while (reader.text().size() < body_bytes && !reader.ended())
        echo.loop.run_once();
    EXPECT_GE(reader.text().size(), body_bytes);
}

TEST(http_server, an_answer_is_not_awaited_if_its_caller_reads_nothing)
{
    echo_server echo;
    test::slow_reader reader(echo.loop,
                             {.to = test::free_address(),
                              .requests = "GET /later HTTP/1.1\r\nHost: h\r\n\r\n",
                              .bytes_per_second = 0});
    while (echo.later.empty())
        echo.loop.run_once();
    echo.later[0].second.send({.body = std::string(8'000'000, 'b')});
    EXPECT_EQ(echo.server.awaited_deliveries(boot_now()), 1U);
    auto const first_looked = boot_now();
    while (echo.server.awaited_deliveries(boot_now()) > 0 &&
           boot_now() - first_looked < 3 * reader_patience)
        echo.loop.run_once();
    EXPECT_EQ(echo.server.awaited_deliveries(boot_now()), 0U);
}

// ---- the client against raw bytes ----

struct own_loop
{
    event_loop loop;
};

// An upstream that sends the raw bytes given by the test, with a client for it.
struct raw_server : own_loop, test::raw_upstream
{
    explicit raw_server(http_client::options opts = {.max_connections = 2})
        : raw_upstream(loop), client(loop, adapt(opts))
    {
    }

    http_client client;

    static http_client::options adapt(http_client::options opts)
    {
        opts.peer = test::free_address();
        opts.is_response_to =
            [](http_request const& request, http_response const& response)
        {
            return find_header(request.headers, "id") ==
                   find_header(response.headers, "id");
        };
        return opts;
    }

    http_result call(std::string const& id)
    {
        std::optional<http_result> result;
        client.call({.method = "GET", .target = "/", .headers = {{"id", id}}}, 5s,
                    [&](http_result r) { result = std::move(r); });
        while (!result)
            loop.run_once();
        return std::move(*result);
    }
};

std::string answer_text(std::string const& id, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nid: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string repeated(std::string const& text, int times)
{
    std::string out;
    for (int i = 0; i < times; ++i)
        out += text;
    return out;
}

TEST(http_client, an_endless_response_fails_the_call)
{
    struct endless
    {
        std::string begin;
        std::string unit;
    };
    std::string const head = "HTTP/1.1 200 OK\r\nid: a\r\n";
    std::vector<endless> const cases{
        {"", "no answer in the protocol"},
        {"HTTP/1.1 200 OK\r\n", "a: header\r\n"},
        {head + "\r\n", "a body up to the end"},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n4", ";a-chunk=extension"},
        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: trailer\r\n"},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"", answer_text("another", "answer")}};
    for (auto const& c : cases)
    {
        raw_server upstream({.max_connections = 2,
                             .limits = {.header_bytes = 65'536, .body_bytes = 262'144}});
        constexpr int units_at_once = 1'000;
        upstream.unit = repeated(c.unit, units_at_once);
        upstream.answer = [&](int)
        {
            return c.begin + "<endless>";
        };
        auto const result = upstream.call("a");
        ASSERT_TRUE(result.has_error()) << c.unit;
        EXPECT_NE(result.error().failed_step, http_failure::step::timeout) << c.unit;
        EXPECT_TRUE(result.error().sent) << c.unit;
        EXPECT_EQ(upstream.client.connections(), 0U) << c.unit;
    }
}

// The second half of the modest response is sent only after the endless response has
// reached the limit on incomplete bytes. Only the call with the larger response may fail.
TEST(http_client, an_endless_response_does_not_fail_other_calls)
{
    constexpr std::size_t max_body_bytes = 134'217'728;
    raw_server upstream({.max_connections = 2,
                         .limits = {.header_bytes = 65'536, .body_bytes = max_body_bytes},
                         .max_incomplete_bytes = 1'048'576});
    constexpr std::size_t half = 100'000;
    auto const body = repeated("x", 2 * half);
    auto const modest = answer_text("modest", body);
    upstream.unit = repeated("a body up to the end", 1'000);
    upstream.answer = [&](int n)
    {
        return n == 0 ? modest.substr(0, modest.size() - half)
                      : "HTTP/1.1 200 OK\r\nid: endless\r\n\r\n<endless>";
    };
    std::map<std::string, http_result> results;
    auto const send = [&](std::string const& id)
    {
        upstream.client.call(
            {.method = "GET", .target = "/", .headers = {{"id", id}}}, 5s,
            [&, id](http_result r) { results.emplace(id, std::move(r)); });
    };
    auto const serve_until = [&](auto const& condition)
    {
        while (!condition())
            upstream.loop.run_once();
    };
    send("modest");
    serve_until([&] { return upstream.requests == 1; });
    send("endless");
    serve_until([&] { return !results.empty(); });
    ASSERT_TRUE(results.contains("endless"));
    EXPECT_EQ(results.at("endless").error().failed_step, http_failure::step::too_long);
    EXPECT_LT(upstream.unit_bytes_sent, max_body_bytes / 2)
        << "includes bytes buffered by the sockets";
    tcp_write(upstream.connections[0]->fd(), modest.substr(modest.size() - half));
    serve_until([&] { return results.size() == 2; });
    ASSERT_TRUE(results.at("modest").has_value());
    EXPECT_EQ(results.at("modest").value().body, body);
}

// Guards against a response being overwritten in the shared read buffer. While one
// response is read, another call fails because the limit on incomplete bytes is exceeded;
// its callback at once makes a call on a connection with unsolicited bytes that was
// reset.
TEST(http_client, a_response_is_intact_when_another_call_fails_while_it_is_read)
{
    raw_server upstream({.max_connections = 3, .max_incomplete_bytes = 1'048'576});
    upstream.answer = [](int)
    {
        return std::string();
    };
    std::map<std::string, http_result> results;
    std::function<void()> on_long = [] {
    };
    auto const send = [&](std::string const& id)
    {
        upstream.client.call({.method = "GET", .target = "/", .headers = {{"id", id}}},
                             5s,
                             [&, id](http_result r)
                             {
                                 results.emplace(id, std::move(r));
                                 if (id == "long")
                                     on_long();
                             });
        auto const before = upstream.requests;
        while (upstream.requests == before && !results.contains("long"))
            upstream.loop.run_once();
    };
    auto const write = [&](std::size_t connection, std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto const put = tcp_write(upstream.connections[connection]->fd(), bytes);
            bytes.remove_prefix(put.bytes);
            upstream.loop.run_once();
        }
    };
    send("long");
    send("whole");
    send("idle");
    write(2, answer_text("idle", ""));
    while (!results.contains("idle"))
        upstream.loop.run_once();
    constexpr std::size_t part = 900'000;
    write(0, "HTTP/1.1 200 OK\r\nid: long\r\nContent-Length: 2000000\r\n\r\n" +
                 std::string(part, 'l'));
    while (upstream.client.incomplete_bytes() < part)
        upstream.loop.run_once();
    on_long = [&]
    {
        constexpr std::size_t stray = 60'000;
        auto& idle = *upstream.connections[2];
        tcp_write(idle.fd(), std::string(stray, 'z'));
        linger const hard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(idle.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        idle.close();
        upstream.client.call({.method = "GET", .target = "/"}, 5s,
                             [](http_result const&) {});
    };
    std::string const body(200'000, 'w');
    write(1, answer_text("whole", body));
    while (!results.contains("whole"))
        upstream.loop.run_once();
    EXPECT_EQ(results.at("long").error().failed_step, http_failure::step::too_long);
    ASSERT_TRUE(results.at("whole").has_value());
    EXPECT_TRUE(results.at("whole").value().body == body);
}

TEST(http_client, accepts_bodies_by_length_in_chunks_and_up_to_the_end_of_the_stream)
{
    raw_server upstream;
    upstream.answer = [](int n) -> std::string
    {
        if (n == 0)
            return answer_text("a", "length");
        if (n == 1)
            return "HTTP/1.1 200 OK\r\nid: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "6\r\nchunks\r\n0\r\n\r\n";
        if (n == 2)
            return "HTTP/1.1 200 OK\r\nid: a\r\n\r\nthe end<end>";
        return "HTTP/1.1 200 OK\r\nid: a\r\n\r\nthe e<reset>";
    };
    EXPECT_EQ(upstream.call("a").value().body, "length");
    EXPECT_EQ(upstream.call("a").value().body, "chunks");
    EXPECT_EQ(upstream.call("a").value().body, "the end");
    auto const reset = upstream.call("a");
    ASSERT_TRUE(reset.has_error())
        << "a reset must not end the body: " << reset.value().body;
    EXPECT_EQ(reset.error().failed_step, http_failure::step::answer);
    EXPECT_TRUE(reset.error().sent);
}

TEST(http_client, a_truncated_or_malformed_response_fails_the_call)
{
    std::string const head = "HTTP/1.1 200 OK\r\nid: a\r\n";
    std::vector<std::string> const cases{
        head + "Content-Length: 10\r\n\r\nshort<end>",
        head + "Transfer-Encoding: chunked\r\n\r\n6\r\nch<end>",
        head + "<end>",
        "nonsense that is no answer\r\n\r\n<end>",
        head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab<end>",
        "<end>"};
    for (auto const& bytes : cases)
    {
        raw_server upstream;
        upstream.answer = [&](int)
        {
            return std::string(bytes);
        };
        auto const result = upstream.call("a");
        ASSERT_TRUE(result.has_error()) << bytes;
        EXPECT_EQ(result.error().failed_step, http_failure::step::answer);
        EXPECT_TRUE(result.error().sent);
    }
}

// Guards against a status that is none being taken for an answer, or for an interim
// response after which the call waits in vain.
TEST(http_client, a_status_that_is_none_fails_the_call_and_ends_the_connection)
{
    for (std::string const status :
         {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "abc"})
    {
        raw_server upstream;
        auto const odd = std::string("HTTP/1.1 ")
                             .append(status)
                             .append(" Odd\r\nid: a\r\nContent-Length: 0\r\n\r\n");
        upstream.answer = [&](int n)
        {
            return n == 0 ? odd : answer_text("a", "next");
        };
        auto const result = upstream.call("a");
        ASSERT_TRUE(result.has_error()) << status;
        EXPECT_EQ(result.error().failed_step, http_failure::step::answer) << status;
        EXPECT_TRUE(result.error().sent);
        EXPECT_EQ(upstream.client.connections(), 0U) << status;
        EXPECT_EQ(upstream.call("a").value().body, "next") << status;
    }
}

TEST(http_client, an_interim_response_is_not_the_last_word)
{
    for (std::string const status : {"100", "102", "199"})
    {
        raw_server upstream;
        upstream.answer = [&](int)
        {
            return "HTTP/1.1 " + status + " Odd\r\nid: a\r\n\r\n<end>";
        };
        auto const result = upstream.call("a");
        ASSERT_TRUE(result.has_error()) << status;
        EXPECT_EQ(result.error().failed_step, http_failure::step::answer) << status;
        EXPECT_TRUE(result.error().sent);
    }
}

TEST(http_client, a_response_header_truncated_at_any_byte_fails_the_call)
{
    for (std::string const length : {"Content-Length: 0\r\n", "Content-Length: 4\r\n",
                                     "Transfer-Encoding: chunked\r\n", ""})
        for (auto const* mark : {"<end>", "<reset>"})
        {
            auto const head = "HTTP/1.1 200 OK\r\nid: a\r\nContent-Type: text/plain\r\n" +
                              length + "\r\n";
            for (std::size_t size = 0; size < head.size(); ++size)
            {
                raw_server upstream;
                upstream.answer = [&](int n)
                {
                    return n == 0 ? answer_text("first", "one")
                                  : head.substr(0, size) + mark;
                };
                ASSERT_TRUE(upstream.call("first").has_value());
                auto const result = upstream.call("a");
                ASSERT_TRUE(result.has_error()) << head.substr(0, size) << mark;
                EXPECT_EQ(result.error().failed_step, http_failure::step::answer);
                EXPECT_TRUE(result.error().sent);
            }
        }
}

// A second response to a request may arrive together with the first, or later when the
// response to the next request is expected. It is recognized by its id, and the
// connection is not reused.
TEST(http_client, a_response_to_another_request_is_never_delivered)
{
    raw_server upstream;
    upstream.answer = [](int n)
    {
        if (n == 0)
            return answer_text("a", "one") + answer_text("a", "extra");
        if (n == 1)
            return answer_text("b", "two");
        if (n == 2)
            return answer_text("b", "late") + answer_text("c", "three");
        return answer_text("d", "four");
    };
    EXPECT_EQ(upstream.call("a").value().body, "one");
    EXPECT_EQ(upstream.call("b").value().body, "two");
    EXPECT_EQ(upstream.client.connections_opened(), 2U)
        << "leftover bytes close the connection";
    EXPECT_EQ(upstream.call("c").value().body, "three");
    EXPECT_EQ(upstream.call("d").value().body, "four");
    EXPECT_EQ(upstream.client.connections_opened(), 3U)
        << "an unmatched response closes the connection";
}

TEST(http_client, does_not_reuse_a_connection_that_its_peer_closes)
{
    raw_server upstream;
    upstream.answer = [](int n)
    {
        if (n == 0)
            return std::string("HTTP/1.1 200 OK\r\nid: a\r\nConnection: close\r\n"
                               "Content-Length: 0\r\n\r\n<end>");
        if (n == 1) // the announced idle time of 1 s is within the client's margin
            return std::string("HTTP/1.1 200 OK\r\nid: a\r\nKeep-Alive: timeout=1\r\n"
                               "Content-Length: 0\r\n\r\n");
        return answer_text("a", "");
    };
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(upstream.call("a").has_value());
    EXPECT_EQ(upstream.client.connections_opened(), 3U);
}

// ---- a client that is destroyed in a callback ----

// A listener whose queue of new connections is full, so that further connections hang.
class full_listener
{
public:
    full_listener()
    {
        m_watched = tcp_listen(address);
        ::listen(m_watched, 0);
        constexpr int fillers = 4;
        for (int i = 0; i < fillers; ++i)
            m_fillers.push_back(tcp_connect(address, 5s));
    }
    ~full_listener()
    {
        ::close(m_watched);
        for (int const fd : m_fillers)
            ::close(fd);
    }
    full_listener(full_listener const&) = delete;
    full_listener& operator=(full_listener const&) = delete;

    tcp_address const address = test::free_address(1);

private:
    int m_watched = -1;
    std::vector<int> m_fillers;
};

// Calls a client that its callback destroys. Returns the step that failed, or nothing if
// there was a response. `then` is called once the call has begun.
std::optional<http_failure::step>
call_and_destroy(event_loop& loop, http_client::options opts, duration timeout,
                 std::function<void(http_client&, http_client::call_id)> const& then = {},
                 duration run_on = 10ms)
{
    auto client = std::make_unique<http_client>(loop, std::move(opts));
    bool done = false;
    std::optional<http_failure::step> failed;
    auto const id = client->call({.method = "GET", .target = "/"}, timeout,
                                 [&](http_result const& result)
                                 {
                                     if (result.has_error())
                                         failed = result.error().failed_step;
                                     client.reset();
                                     done = true;
                                 });
    if (then && client != nullptr)
        then(*client, id);
    while (!done)
        loop.run_once();
    // Whatever was left in the loop for the client is run too.
    bool over = false;
    loop.timers().at(boot_now() + run_on, [&](instant) { over = true; });
    loop.timers().at(boot_now() + run_on + 1ms, [](instant) {}); // ends the last wait
    while (!over)
        loop.run_once();
    return failed;
}

// Guards against a node that crashes when its upstream is lost: the last call of a link
// ends in the sweep of connections, and the link goes with it. Fails under
// AddressSanitizer without the guard.
TEST(http_client, may_be_destroyed_in_the_callback_of_any_call)
{
    using step = http_failure::step;
    event_loop loop;
    full_listener full;
    constexpr duration sweep_twice = 1s;
    EXPECT_EQ(call_and_destroy(loop, {.peer = full.address, .connect_timeout = 100ms},
                               0us, {}, sweep_twice),
              step::connect)
        << "given up by the sweep";
    EXPECT_EQ(call_and_destroy(loop, {.peer = full.address}, 50ms), step::timeout);
    EXPECT_EQ(call_and_destroy(loop, {.peer = full.address}, 0us,
                               [](http_client& c, http_client::call_id id)
                               { c.cancel(id); }),
              step::cancelled);
    auto const at = test::free_address();
    EXPECT_EQ(call_and_destroy(loop, {.peer = at}, 0us), step::connect) << "refused";
    EXPECT_EQ(call_and_destroy(loop, {.peer = at, .max_connections = 0}, 0us),
              step::busy);
    test::raw_upstream upstream(loop);
    std::string text;
    upstream.answer = [&](int)
    {
        return text;
    };
    for (char const* const t : {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\n\r\nbody<end>",
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore"})
    {
        text = t;
        EXPECT_EQ(call_and_destroy(loop, {.peer = at}, 0us), std::nullopt) << text;
    }
    for (char const* const t :
         {"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n<end>", "HTTP/1.1 200 OK\r\n<reset>"})
    {
        text = t;
        EXPECT_EQ(call_and_destroy(loop, {.peer = at}, 0us), step::answer) << text;
    }
    upstream.unit = "body";
    text = "HTTP/1.1 200 OK\r\n\r\n<endless>";
    EXPECT_EQ(call_and_destroy(loop, {.peer = at, .limits = {.body_bytes = 1'024}}, 0us),
              step::answer);
    EXPECT_EQ(call_and_destroy(loop, {.peer = at, .max_incomplete_bytes = 1'024}, 0us),
              step::too_long);
}

} // namespace
} // namespace buckthornusher
