// Tests of real node processes whose upstreams send broken answers, or sound ones of
// unusual form. Callers ask at the node beside the upstream and at one that forwards.
#include "node_fleet.hpp"
#include "raw_peers.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher::test
{
namespace
{

constexpr int answer_lost = 502;
constexpr std::size_t upload_bytes = 16'000'000; // more than the sockets hold
constexpr std::size_t read_before_answer = 65'536;
constexpr std::string_view signed_by_upstream =
    "X-Buckthornusher-Response-Signature: s\r\n";

class broken_answer_fleet : public node_fleet
{
protected:
    // An upstream of orders beside node 0. The other node has to forward them to it.
    void SetUp() override
    {
        upstream_body_limit = upload_bytes;
        ASSERT_NO_FATAL_FAILURE(start({"desk", "kiosk"}));
        auto document = configuration(2);
        document["limits"]["max_body_bytes"] = upload_bytes;
        ASSERT_TRUE(put_configuration(document));
        for (std::size_t i = 0; i < 2; ++i)
            ASSERT_TRUE(wait_until_uploads_are_served(i));
        upstreams[0]->stop_listening();
        m_raw = std::make_unique<raw_upstream>(
            loop, tcp_address{.ip = machine_ip(0), .port = upstream_port});
        m_raw->answer = [this](int)
        {
            return join({m_begin, request_id_line(), m_rest});
        };
    }

    // Sends an order at the node. The upstream answers with `begin`, the id of the
    // request and `rest`.
    std::optional<http_response> order(std::size_t node, std::string const& begin,
                                       std::string const& rest, std::size_t body_bytes)
    {
        m_begin = begin;
        m_rest = rest;
        m_raw->answer_after = body_bytes > 0 ? read_before_answer : 0;
        return order(node, body_bytes);
    }

    void expect_lost(std::string const& begin, std::string const& rest,
                     std::size_t body_bytes = 0)
    {
        for (std::size_t node = 0; node < 2; ++node)
        {
            auto const before = m_raw->requests;
            auto const answer = order(node, begin, rest, body_bytes);
            ASSERT_TRUE(answer) << begin << rest;
            EXPECT_EQ(answer->status, answer_lost) << "node " << node << ": " << begin;
            EXPECT_EQ(m_raw->requests, before + 1) << "the upstream answered " << begin;
        }
    }

    void expect_whole(std::string const& begin, std::string const& rest,
                      std::size_t body_bytes = 0)
    {
        for (std::size_t node = 0; node < 2; ++node)
        {
            auto const answer = order(node, begin, rest, body_bytes);
            ASSERT_TRUE(answer) << begin << rest;
            EXPECT_EQ(answer->status, 200) << "node " << node << ": " << begin << rest;
            EXPECT_EQ(answer->body, "body") << "node " << node;
        }
    }

private:
    std::optional<http_response> order(std::size_t node, std::size_t body_bytes)
    {
        auto request = make_request("desk", "o-" + std::to_string(++m_orders));
        request.body.assign(body_bytes, 'u');
        return ask(loop, callers_of(node), std::move(request));
    }

    bool wait_until_uploads_are_served(std::size_t node)
    {
        auto const is_served = [&]
        {
            auto const answer = order(node, upload_bytes);
            return answer && answer->status == 200;
        };
        return run_until(loop, is_served);
    }

    std::string request_id_line() const
    {
        constexpr std::string_view name = "X-Buckthornusher-Request-Id: ";
        auto const at = m_raw->read.rfind(name) + name.size();
        auto const id = m_raw->read.substr(at, m_raw->read.find('\r', at) - at);
        return join({name, id, "\r\n", signed_by_upstream});
    }

    std::unique_ptr<raw_upstream> m_raw;
    std::string m_begin;
    std::string m_rest;
    int m_orders = 0;
};

std::string const ok = "HTTP/1.1 200 OK\r\n";

// Guards against a part of an answer being delivered as a whole one.
TEST_F(broken_answer_fleet, a_reset_during_the_upload_is_no_end_of_an_answer)
{
    expect_lost(ok, "\r\nbody<reset>", upload_bytes);
    expect_lost(ok, join({"\r\n", std::string(100'000, 'p'), "<reset>"}), upload_bytes);
}

// Guards against an upstream in trouble whose answer bears a status that is none.
TEST_F(broken_answer_fleet, a_status_that_is_none_is_never_passed_on)
{
    for (std::string const status : {"000", "099", "600"})
        for (std::string const rest : {"Content-Length: 4\r\n\r\nbody", "\r\nbody<end>"})
            expect_lost(join({"HTTP/1.1 ", status, " Odd\r\n"}), rest);
}

// Guards against an upstream in trouble whose lines are damaged.
TEST_F(broken_answer_fleet, a_name_that_is_no_token_is_never_passed_on)
{
    std::string const length = "Content-Length: 4\r\n\r\nbody";
    std::string const nul(1, '\0');
    for (std::string const& name :
         {std::string("X Odd"), std::string("X-Odd "), std::string("X\tOdd"),
          std::string("X\x01Odd"), std::string("X\x7fOdd"), join({"X", nul, "Odd"})})
    {
        expect_lost(join({ok, name, ": value\r\n"}), length);
        expect_lost(ok, join({name, ": value\r\n", length}));
    }
    expect_lost(ok, "Content-Length : 4\r\n\r\nbody and more<end>");
    expect_lost(ok, "Transfer-Encoding\x0b: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n<end>");
}

TEST_F(broken_answer_fleet, sound_answers_of_unusual_form_are_passed_on)
{
    expect_whole(ok, "\r\nbody<end>");
    expect_whole(ok, "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\n"
                     "X-After: 1\r\n\r\n");
    expect_whole(ok, "X!#$%&'*+-.^_`|~9: value\r\nContent-Length: 4\r\n\r\nbody");
    expect_whole(ok, "Content-Length: 4\r\n\r\nbody", upload_bytes);
    expect_whole(ok, "\r\nbody<end-write>", upload_bytes);
    expect_whole(ok, "\r\nbody<end-reset>", upload_bytes);
}

} // namespace
} // namespace buckthornusher::test
