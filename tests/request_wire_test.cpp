// Tests of what is taken from other nodes of answers that their upstreams gave.
#include "buckthornusher/operation_table.hpp"
#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace buckthornusher
{
namespace
{

wire::Reply make_reply(std::uint32_t status, std::string const& name,
                       std::string const& value)
{
    wire::Reply reply;
    reply.set_outcome(wire::Reply::ANSWERED);
    reply.set_status(status);
    reply.set_body("body");
    auto& header = *reply.add_headers();
    header.set_name(name);
    header.set_value(value);
    return reply;
}

// Such an answer is as good as lost: the request has run.
void expect_lost(wire::Reply const& reply)
{
    auto const result = decode(reply);
    auto const* unknown = std::get_if<request_unknown>(&result);
    ASSERT_NE(unknown, nullptr) << reply.ShortDebugString();
    EXPECT_EQ(unknown->reason, outcome_reason::answer_lost);
}

TEST(request_wire, an_answer_passes_as_it_is)
{
    for (int const status : {200, 204, 302, 404, 500, 599})
    {
        request_answered const answer{
            .response = {
                .status = status,
                .headers = {{"X!#$%&'*+-.^_`|~9", "a value\t\xe9"}, {"X-Empty", ""}},
                .body = "body"}};
        wire::Reply reply;
        encode(answer, reply);
        auto const result = decode(reply);
        auto const* passed = std::get_if<request_answered>(&result);
        ASSERT_NE(passed, nullptr) << status;
        EXPECT_EQ(passed->response, answer.response) << status;
    }
}

TEST(request_wire, a_status_that_is_none_is_no_answer)
{
    for (std::uint32_t const status : {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 65'736U,
                                       std::numeric_limits<std::uint32_t>::max()})
        expect_lost(make_reply(status, "X-Field", "value"));
    wire::Reply without_status;
    without_status.set_outcome(wire::Reply::ANSWERED);
    expect_lost(without_status);
}

TEST(request_wire, a_name_that_is_no_token_is_no_answer)
{
    for (std::string const& name :
         {std::string(), std::string("X Odd"), std::string("X-Odd "),
          std::string("X\tOdd"), std::string("X\x01Odd"), std::string("X\x7fOdd"),
          std::string("X\0Odd", 5), std::string("X:Odd"), std::string("X\r\nOdd"),
          std::string("X\xe9Odd")})
        expect_lost(make_reply(200, name, "value"));
}

// With the end of a line in it, it would be read as further fields or as the body.
TEST(request_wire, a_value_with_a_control_byte_is_no_answer)
{
    for (std::string const& value :
         {std::string("a\r\nX-Other: b"), std::string("a\nb"), std::string("a\rb"),
          std::string("a\0b", 3), std::string("a\x7f")})
        expect_lost(make_reply(200, "X-Field", value));
    auto reply = make_reply(200, "X-Field", "value");
    reply.set_status_text("OK\r\nX-Other: b");
    expect_lost(reply);
}

// ---- the answers of operations that change hands ----

operation_handover make_handover(operation_answer const& answer)
{
    operation_id const id{.epoch = 1, .shard = 2, .made = 3, .nonce = 4};
    return {.shard = {.service = "s", .index = 2},
            .epochs = {{.epoch = 1, .now = from_micros(9), .since = from_micros(1)}},
            .operations = {{.id = id, .answer = answer}}};
}

operation_handover sent(operation_handover const& handover)
{
    wire::Handover out;
    encode(handover, out);
    return decode(out);
}

TEST(request_wire, the_answer_of_an_operation_passes_as_it_is)
{
    for (std::string const& type : {std::string("text/plain"), std::string()})
    {
        auto const handover =
            make_handover({.status = 404, .content_type = type, .body = "body"});
        EXPECT_EQ(sent(handover), handover);
    }
}

// The operation has run, and nobody knows its answer.
TEST(request_wire, the_answer_of_an_operation_that_is_not_sound_is_lost)
{
    for (operation_answer const& answer :
         {operation_answer{.status = 0, .content_type = "text/plain"},
          operation_answer{.status = 101, .content_type = "text/plain"},
          operation_answer{.status = 600, .content_type = "text/plain"},
          operation_answer{.status = 200, .content_type = "a\r\nX-Other: b"},
          operation_answer{.status = 200, .content_type = std::string("a\0b", 3)}})
    {
        auto const handover = sent(make_handover(answer));
        ASSERT_EQ(handover.operations.size(), 1U);
        EXPECT_EQ(handover.operations.front().answer, std::nullopt) << answer.status;
    }
}

} // namespace
} // namespace buckthornusher
