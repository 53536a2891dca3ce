// Tests of the decoding of control messages from other nodes.
#include "connection/wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <limits>

namespace buckthornusher
{
namespace
{

std::optional<control_message> sent(control_message const& message)
{
    wire::Envelope envelope;
    encode(message, envelope);
    return decode_control(envelope);
}

TEST(wire, a_digest_of_evacuations_is_a_message)
{
    deltas const digest{.from = 0,
                        .to = 0,
                        .objects = {{.name = evacuation_object("a"),
                                     .version = 7,
                                     .value = evacuation_record{.domain = "a"}},
                                    {.name = evacuation_object("b"), .version = 8},
                                    {.name = evacuations_complete, .version = 9}}};
    EXPECT_EQ(sent(digest), control_message(digest));
    deltas nameless = digest;
    nameless.objects.front().value = evacuation_record{};
    EXPECT_FALSE(sent(nameless).has_value());
}

// Found by fuzzing.
TEST(wire, an_empty_list_of_releases_is_a_message)
{
    EXPECT_EQ(sent(released{}), control_message(released{}));
}

// A sum that contains one of these says nothing about any shard.
TEST(wire, a_load_report_with_an_amount_that_is_none_is_rejected)
{
    constexpr auto nan = std::numeric_limits<double>::quiet_NaN();
    constexpr auto infinite = std::numeric_limits<double>::infinity();
    load_report const sound{
        .service = "s", .capacity = 40, .rates = {{.shard = 3, .rate = 1.5}}};
    EXPECT_EQ(sent(sound), control_message(sound));
    for (double const odd : {nan, infinite, -infinite, -1.0})
    {
        auto rate = sound;
        rate.rates.front().rate = odd;
        EXPECT_FALSE(sent(rate).has_value()) << odd;
        auto capacity = sound;
        capacity.capacity = odd;
        EXPECT_FALSE(sent(capacity).has_value()) << odd;
    }
}

TEST(wire, an_elapsed_time_that_is_too_large_is_bounded)
{
    wire::Envelope envelope;
    envelope.mutable_refused()->set_elapsed(std::numeric_limits<std::uint64_t>::max());
    auto const message = decode_control(envelope);
    ASSERT_TRUE(message.has_value());
    auto const elapsed = std::get<refused>(*message).elapsed;
    ASSERT_TRUE(elapsed.has_value());
    EXPECT_GT(*elapsed, 0s);
    EXPECT_LT(*elapsed, 24h * 365);
}

} // namespace
} // namespace buckthornusher
