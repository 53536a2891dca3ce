// The HTTP server and client against each other, on one event loop.
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/event_loop.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

namespace buckthornusher
{
namespace
{

int test_port()
{
    return 20'000 + getpid() % 20'000;
}

struct echo_server
{
    event_loop loop;
    int handled = 0;
    http_server server{
        loop,
        {.port = test_port(), .max_body = 100'000, .header_names = {"x-name"}},
        [this](http_request request, http_reply reply)
        {
            ++handled;
            if (request.path == "/never")
                return;
            http_response response;
            response.headers.push_back(
                {"x-name", std::string(find_header(request.headers, "x-name"))});
            response.body = request.method + " " + request.path + "?" + request.query +
                            " " + request.body;
            if (request.path == "/empty")
                response.body.clear();
            reply.send(std::move(response));
        }};
    http_client client{
        loop, {.port = test_port(), .max_connections = 4, .header_names = {"x-name"}}};

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

TEST(http, carries_method_path_query_headers_and_body)
{
    echo_server echo;
    auto const result = echo.call({.method = "POST",
                                   .path = "/a/b",
                                   .query = "x=1&y=2",
                                   .headers = {{"x-name", "value"}},
                                   .body = "hello"});
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result.value().status, 200);
    EXPECT_EQ(result.value().body, "POST /a/b?x=1&y=2 hello");
    EXPECT_EQ(find_header(result.value().headers, "x-name"), "value");
}

TEST(http, keeps_connections_for_many_calls_of_all_kinds)
{
    echo_server echo;
    for (int i = 0; i < 200; ++i)
    {
        auto const body = std::string(static_cast<std::size_t>(i) * 37, 'x');
        auto const get = echo.call({.method = "GET", .path = "/get"});
        ASSERT_TRUE(get.has_value());
        EXPECT_EQ(get.value().body, "GET /get? ");
        auto const post = echo.call({.method = "POST", .path = "/post", .body = body});
        ASSERT_TRUE(post.has_value());
        EXPECT_EQ(post.value().body, "POST /post? " + body);
        auto const empty = echo.call({.method = "GET", .path = "/empty"});
        ASSERT_TRUE(empty.has_value());
        EXPECT_EQ(empty.value().body, "");
    }
}

TEST(http, runs_calls_side_by_side_up_to_the_limit_and_says_busy_beyond)
{
    echo_server echo;
    int answered = 0;
    int busy = 0;
    for (int i = 0; i < 6; ++i)
        echo.client.call({.method = "GET", .path = "/get"}, 5s,
                         [&](http_result r)
                         {
                             if (r.has_value())
                                 ++answered;
                             else if (r.error().at == http_failure::step::busy)
                                 ++busy;
                         });
    EXPECT_EQ(busy, 2);
    while (answered < 4)
        echo.loop.run_once();
}

TEST(http, a_timeout_after_sending_is_reported_as_sent)
{
    echo_server echo;
    auto const result = echo.call({.method = "GET", .path = "/never"}, 200ms);
    ASSERT_TRUE(result.has_error());
    EXPECT_EQ(result.error().at, http_failure::step::timeout);
    EXPECT_TRUE(result.error().sent);
    EXPECT_TRUE(echo.call({.method = "GET", .path = "/get"}).has_value());
}

TEST(http, a_refused_connection_is_reported_as_not_sent)
{
    event_loop loop;
    http_client client(loop, {.port = 1, .max_connections = 1});
    std::optional<http_result> result;
    for (int i = 0; i < 3; ++i)
    {
        result.reset();
        client.call({.method = "GET", .path = "/"}, 5s,
                    [&](http_result r) { result = r; });
        while (!result)
            loop.run_once();
        EXPECT_EQ(result->error().at, http_failure::step::connect);
        EXPECT_FALSE(result->error().sent);
    }
}

TEST(http, an_oversized_body_is_refused_before_it_is_read)
{
    echo_server echo;
    auto const result =
        echo.call({.method = "POST", .path = "/", .body = std::string(200'000, 'x')});
    EXPECT_EQ(echo.handled, 0);
    EXPECT_TRUE(result.has_error() || result.value().status == 413);
    EXPECT_TRUE(echo.call({.method = "GET", .path = "/get"}).has_value());
}

} // namespace
} // namespace buckthornusher
