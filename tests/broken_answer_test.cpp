// Tests that the HTTP client, and the store's client on it, take no broken answer for an
// answer, and that they deliver sound answers of unusual form. The upstream is a stand-in
// that sends raw bytes.
#include "connection/http_client.hpp"
#include "connection/store_client.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "raw_peers.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{
namespace
{

using test::join;

// More than the sockets of both sides hold, so that a request with such a body is still
// being written while its upstream reads no further.
constexpr std::size_t long_body_bytes = 16'000'000;
constexpr std::size_t read_before_answer = 65'536;

// A client and its raw upstream on one loop.
class broken_answer : public testing::Test
{
protected:
    http_result call(http_request request)
    {
        return call_with(m_client, std::move(request));
    }

    http_result call_with(http_client& client, http_request request)
    {
        std::optional<http_result> result;
        client.call(std::move(request), 20s,
                    [&](http_result r) { result = std::move(r); });
        while (!result)
            m_loop.run_once();
        return std::move(*result);
    }

    // The upstream answers with these bytes as soon as it has read the header.
    http_result get(std::string const& bytes, std::string method = "GET")
    {
        m_upstream.answer_after = 0;
        m_upstream.answer = [&](int)
        {
            return bytes;
        };
        return call({.method = std::move(method), .target = "/"});
    }

    // The upstream answers a long upload when it has read the beginning.
    http_result upload(std::string const& bytes, std::size_t body_bytes = long_body_bytes)
    {
        m_upstream.answer_after = read_before_answer;
        m_upstream.answer = [&](int)
        {
            return bytes;
        };
        return call(
            {.method = "POST", .target = "/", .body = std::string(body_bytes, 'u')});
    }

    static void expect_broken(http_result const& result, std::string const& bytes)
    {
        ASSERT_TRUE(result.has_error())
            << result.value().status << " with " << result.value().body.size()
            << " bytes for " << bytes.substr(0, 200);
        EXPECT_EQ(result.error().failed_step, http_failure::step::answer) << bytes;
        EXPECT_TRUE(result.error().sent) << bytes;
    }

    static void expect_body(http_result const& result, std::string_view body,
                            std::string const& bytes)
    {
        ASSERT_TRUE(result.has_value())
            << to_string(result.error().failed_step) << " for " << bytes.substr(0, 200);
        EXPECT_EQ(result.value().status, 200);
        EXPECT_EQ(result.value().body, body) << bytes.substr(0, 200);
    }

    event_loop m_loop;
    test::raw_upstream m_upstream{m_loop};
    http_client m_client{m_loop, {.peer = test::free_address(), .max_connections = 2}};
};

// ---- the end of the connection ----

// Lengths of what was sent: none, a part, and more than one read takes.
std::vector<std::string> bodies()
{
    return {"", "a part of the body", std::string(100'000, 'p')};
}

std::string const ok = "HTTP/1.1 200 OK\r\n";
std::string const no_length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

TEST_F(broken_answer, a_reset_during_the_upload_ends_no_answer_without_a_length)
{
    for (std::string const& head :
         {no_length, std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"),
          std::string("HTTP/1.0 200 OK\r\n\r\n")})
        for (auto const& body : bodies())
        {
            auto const bytes = join({head, body, "<reset>"});
            expect_broken(upload(bytes), bytes);
        }
}

TEST_F(broken_answer, a_reset_after_the_request_ends_no_answer_without_a_length)
{
    for (auto const& body : bodies())
    {
        auto const bytes = join({no_length, body, "<reset>"});
        expect_broken(get(bytes), bytes);
    }
}

TEST_F(broken_answer, an_answer_that_is_shorter_than_it_says_is_none)
{
    for (std::string const part :
         {"Content-Length: 100\r\n\r\na part",
          "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n",
          "Transfer-Encoding: chunked\r\n\r\n6\r\na part\r\n0\r\nX-After: 1\r\n"})
        for (std::string const end : {"<end>", "<end-write>", "<reset>", "<end-reset>"})
        {
            auto const bytes = join({ok, part, end});
            expect_broken(get(bytes), bytes);
            expect_broken(upload(bytes), bytes);
        }
}

TEST_F(broken_answer, without_a_length_and_with_a_clean_end_is_whole)
{
    for (auto const& body : bodies())
        for (std::string const end : {"<end>", "<end-write>"})
        {
            auto const bytes = join({no_length, body, end});
            expect_body(get(bytes), body, bytes);
        }
}

// An upstream may answer before it has read a long body. Its answer ends with its side of
// the connection, whatever becomes of the other side.
TEST_F(broken_answer, early_without_a_length_and_with_a_clean_end_is_whole)
{
    for (auto const& body : bodies())
        for (std::string const end : {"<end-write>", "<end-reset>"})
        {
            auto const bytes = join({no_length, body, end});
            expect_body(upload(bytes), body, bytes);
        }
}

// The same for a body that the sockets hold, so that its upload is over.
TEST_F(broken_answer, whole_before_a_reset_that_finds_nothing_to_write_is_whole)
{
    for (auto const& body : bodies())
    {
        auto const bytes = join({no_length, body, "<end-reset>"});
        expect_body(get(bytes), body, bytes);
        expect_body(upload(bytes, 2 * read_before_answer), body, bytes);
    }
}

TEST_F(broken_answer, early_and_whole_by_its_length_or_chunks_is_whole)
{
    for (std::string const end : {"", "<end-write>", "<end>", "<reset>", "<end-reset>"})
        for (std::string const whole :
             {"Content-Length: 4\r\n\r\nbody",
              "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
              "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\n"
              "X-After: 1\r\n\r\n"})
        {
            auto const bytes = join({ok, whole, end});
            expect_body(upload(bytes), "body", bytes);
        }
}

// ---- upstreams that pause in a long upload ----

// A client that soon takes a connection for lost.
class long_upload : public broken_answer
{
protected:
    static constexpr duration unacknowledged_timeout = 1s;
    static constexpr duration pause = 3 * unacknowledged_timeout;

    // The upstream reads the beginning, sends `begin` and reads no further. Then
    // `go_on` is called with its connection after the pause.
    http_result upload_with_pause(std::string const& begin,
                                  std::function<void(descriptor_watch&)> const& go_on)
    {
        http_client client(m_loop, {.peer = test::free_address(),
                                    .unacknowledged_timeout = unacknowledged_timeout});
        m_upstream.answer_after = read_before_answer;
        m_upstream.answer = [&](int)
        {
            m_loop.timers().at(boot_now() + pause,
                               [&](instant) { go_on(*m_upstream.connections.back()); });
            return begin;
        };
        return call_with(
            client,
            {.method = "POST", .target = "/", .body = std::string(long_body_bytes, 'u')});
    }
};

// An upstream may take long for its answer, or for reading on, and be sound: its kernel
// acknowledges all the while that its window is closed.
TEST_F(long_upload, an_upstream_that_answers_slowly_before_it_reads_on_is_not_lost)
{
    auto const result = upload_with_pause(
        no_length + "a part", [&](descriptor_watch& connection)
        { m_upstream.send_answer(connection, " and the rest<end-write>"); });
    expect_body(result, "a part and the rest", "the answer");
}

TEST_F(long_upload, an_upstream_that_reads_on_after_a_pause_is_not_lost)
{
    auto const result = upload_with_pause("",
                                          [&](descriptor_watch& connection)
                                          {
                                              m_upstream.answer_after =
                                                  long_body_bytes / 2;
                                              m_upstream.answer = [](int)
                                              {
                                                  return no_length + "whole<end-write>";
                                              };
                                              connection.pause_reading(false);
                                          });
    expect_body(result, "whole", "the answer");
}

// It has closed its window when it falls silent, so that the client's kernel only probes.
TEST_F(long_upload, an_upstream_that_falls_silent_in_its_pause_is_lost)
{
    auto const result =
        upload_with_pause(no_length + "a part", [&](descriptor_watch& connection)
                          { test::fall_silent(connection.fd()); });
    expect_broken(result, "the part");
}

// Its window is open: bytes are on their way to it.
TEST_F(long_upload, an_upstream_that_falls_silent_while_it_reads_is_lost)
{
    auto const result = upload_with_pause(no_length + "a part",
                                          [&](descriptor_watch& connection)
                                          {
                                              test::fall_silent(connection.fd());
                                              m_upstream.answer_after = long_body_bytes;
                                              connection.pause_reading(false);
                                          });
    expect_broken(result, "the part");
}

TEST(tcp_silence, is_a_loss_after_the_timeout_and_two_unanswered_attempts)
{
    constexpr duration timeout = 3s;
    EXPECT_FALSE(is_lost({.unanswered = 0, .since_acknowledged = 60s}, timeout));
    EXPECT_FALSE(is_lost({.unanswered = 1, .since_acknowledged = 60s}, timeout));
    EXPECT_FALSE(is_lost({.unanswered = 9, .since_acknowledged = 2'999ms}, timeout));
    EXPECT_TRUE(is_lost({.unanswered = 2, .since_acknowledged = 3s}, timeout));
}

TEST(tcp_silence, is_told_of_a_connection_only)
{
    event_loop loop;
    test::raw_upstream const upstream(loop);
    test::raw_connection const connection(loop, test::free_address());
    auto const silence = tcp_peer_silence(connection.fd());
    ASSERT_TRUE(silence.has_value());
    EXPECT_EQ(silence->unanswered, 0);
    int const no_connection = ::socket(AF_UNIX, SOCK_STREAM, 0);
    EXPECT_FALSE(tcp_peer_silence(no_connection).has_value());
    ::close(no_connection);
}

// ---- the status ----

TEST_F(broken_answer, a_status_that_is_none_is_no_answer)
{
    for (std::string const status : {"000", "001", "099", "101", "600", "999"})
        for (std::string const rest :
             {"Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n",
              "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
              "\r\nbody<end>"})
        {
            auto const bytes = join({"HTTP/1.1 ", status, " Odd\r\n", rest});
            expect_broken(get(bytes), bytes);
            expect_broken(get("HTTP/1.1 100 Continue\r\n\r\n" + bytes), bytes);
            expect_broken(upload(bytes), bytes);
        }
    auto const to_head = std::string("HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\n");
    expect_broken(get(to_head, "HEAD"), to_head);
}

// ---- the names of fields ----

bool is_token_byte(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           others.find(c) != std::string_view::npos;
}

// All bytes that a name may hold, and all others but those that end it.
struct name_bytes
{
    std::string tokens;
    std::string others;
};

name_bytes sort_bytes()
{
    name_bytes sorted;
    for (int value = 0; value < 256; ++value)
    {
        auto const c = static_cast<char>(value);
        if (is_token_byte(c))
            sorted.tokens += c;
        else if (c != ':')
            sorted.others += c;
    }
    return sorted;
}

// Returns names that hold the byte at the beginning, inside and at the end.
std::array<std::string, 3> names_with(char c)
{
    std::string const byte(1, c);
    return {join({byte, "ame"}), join({"na", byte, "me"}), join({"name", byte})};
}

TEST_F(broken_answer, a_name_that_is_no_token_is_no_answer)
{
    std::string const length = "Content-Length: 4\r\n";
    for (char const c : sort_bytes().others)
        for (auto const& name : names_with(c))
        {
            auto const line = join({name, ": value\r\n"});
            expect_broken(get(join({ok, line, length, "\r\nbody"})), name);
            expect_broken(get(join({ok, length, line, "\r\nbody"})), name);
            expect_broken(get(join({ok, line, "\r\nbody<end>"})), name);
        }
}

TEST_F(broken_answer, a_name_that_is_no_token_after_chunks_is_no_answer)
{
    for (char const c : sort_bytes().others)
        for (auto const& name : names_with(c))
        {
            auto const bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
                               name + ": value\r\n\r\n<end>";
            expect_broken(get(bytes), name);
        }
}

TEST_F(broken_answer, a_name_that_is_no_token_in_an_interim_answer_is_no_answer)
{
    for (char const c : sort_bytes().others)
        for (auto const& name : names_with(c))
        {
            auto const bytes =
                join({"HTTP/1.1 103 Early Hints\r\n", name, ": value\r\n\r\n", ok,
                      "Content-Length: 4\r\n\r\nbody"});
            expect_broken(get(bytes), name);
        }
}

// The body of such an answer would not be the upstream's.
TEST_F(broken_answer, a_name_of_framing_that_is_no_token_is_no_answer)
{
    for (std::string const framing : {"Content-Length", "Transfer-Encoding"})
        for (char const c : sort_bytes().others)
        {
            auto const value = framing == "Content-Length" ? ": 4" : ": chunked";
            auto const bytes = join({ok, framing, std::string(1, c), value,
                                     "\r\n\r\n4\r\nbody\r\n0\r\n\r\n<end>"});
            expect_broken(get(bytes), bytes);
        }
}

TEST_F(broken_answer, names_of_any_token_bytes_are_delivered)
{
    auto const tokens = sort_bytes().tokens;
    for (auto const& name : {tokens, std::string("!"), std::string("~|`^_"),
                             std::string("0"), std::string("X-Odd.Name*")})
    {
        auto const bytes = join({ok, name, ": value\r\nContent-Length: 4\r\n\r\nbody"});
        auto const result = get(bytes);
        expect_body(result, "body", bytes);
        EXPECT_EQ(find_header(result.value().headers, name), "value");
        EXPECT_TRUE(is_sound(result.value())) << "other nodes pass it on";
    }
    std::string const folded = "HTTP/1.1 200 OK\r\nX-Folded: one\r\n two\r\n"
                               "X-Empty:\r\nContent-Length: 4\r\n\r\nbody";
    expect_body(get(folded), "body", folded);
}

// ---- values of fields and reason phrases ----

TEST_F(broken_answer, a_value_or_phrase_is_delivered_unless_it_holds_a_control_byte)
{
    for (int value = 0; value < 256; ++value)
    {
        auto const c = static_cast<char>(value);
        bool const is_control = (value < ' ' && c != '\t') || c == '\x7f';
        auto const text = join({"te", std::string(1, c), "xt"});
        for (auto const& bytes :
             {join({ok, "X-Field: ", text, "\r\nContent-Length: 4\r\n\r\nbody"}),
              join({"HTTP/1.1 200 ", text, "\r\nContent-Length: 4\r\n\r\nbody"})})
        {
            auto const result = get(bytes);
            if (is_control)
            {
                expect_broken(result, bytes);
                continue;
            }
            expect_body(result, "body", bytes);
            EXPECT_TRUE(is_sound(result.value())) << "other nodes pass it on: " << value;
        }
    }
}

// ---- the store's client ----

class broken_store_answer : public testing::Test
{
protected:
    store_answer call(store_operation const& operation, std::string const& bytes)
    {
        m_store.answer = [&](int)
        {
            return bytes;
        };
        std::optional<store_answer> answer;
        m_client.call(operation, [&](store_answer a) { answer = std::move(a); });
        while (!answer)
            m_loop.run_once();
        return std::move(*answer);
    }

    event_loop m_loop;
    test::raw_upstream m_store{m_loop};
    store_client m_client{m_loop,
                          {.address = test::free_address(), .user_agent = "test"}};
};

// Each bears a whole document, so that only its form tells that it is broken.
TEST_F(broken_store_answer, is_no_answer)
{
    store_list const list{.kind = object_kind::fleet};
    store_watch const watch{.kind = object_kind::fleet, .since = 1, .wait = 10ms};
    store_write const removal{.name = member_object("a"), .expected = 1};
    std::string const body = R"({"items":[],"events":[],"store_revision":7})";
    std::string const length =
        join({"Content-Length: ", std::to_string(body.size()), "\r\n\r\n", body});
    for (auto const& bytes :
         {join({ok, "\r\n", body, "<reset>"}), join({"HTTP/1.1 000 Odd\r\n", length}),
          join({ok, "X Odd: value\r\n", length}),
          join({ok, "X\x01Odd: value\r\n", length})})
        for (store_operation const& operation :
             {store_operation(list), store_operation(watch), store_operation(removal)})
            EXPECT_TRUE(std::holds_alternative<store_no_answer>(call(operation, bytes)))
                << bytes;
    for (auto const& bytes : {join({ok, length}), join({ok, "\r\n", body, "<end>"}),
                              join({ok, "X!#$%&'*+-.^_`|~9: value\r\n", length})})
    {
        EXPECT_TRUE(std::holds_alternative<store_objects>(call(list, bytes))) << bytes;
        EXPECT_TRUE(std::holds_alternative<store_objects>(call(watch, bytes))) << bytes;
        EXPECT_TRUE(std::holds_alternative<store_written>(call(removal, bytes))) << bytes;
    }
}

} // namespace
} // namespace buckthornusher
