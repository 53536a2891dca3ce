// Tests of packed_text.
#include "buckthornusher/packed_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

RC_GTEST_PROP(packed_text, holds_any_text, (std::string const& text))
{
    packed_text const packed(text);
    RC_ASSERT(packed.text() == text);
    auto const copy = packed_text::from_bytes(packed.bytes());
    RC_ASSERT(copy.has_value());
    RC_ASSERT(*copy == packed);
}

TEST(packed_text, a_document_of_many_routes_takes_a_sixth_of_its_size)
{
    std::string text;
    for (int i = 0; i < 1'600; ++i)
        text += R"(["kara94.example","/)" + std::to_string(i * 7'919 % 99'991) +
                R"(/","idempotent",3000,500,1,"bookshelf",2],)";
    EXPECT_LT(packed_text(text).bytes().size(), text.size() / 6);
}

TEST(packed_text, bytes_that_are_not_one_whole_text_are_refused)
{
    auto const whole = packed_text("a document").bytes();
    EXPECT_EQ(packed_text::from_bytes("no stream"), std::nullopt);
    EXPECT_EQ(packed_text::from_bytes(whole.substr(0, whole.size() - 1)), std::nullopt);
    EXPECT_EQ(packed_text::from_bytes(whole + "x"), std::nullopt);
}

// Guards against a few bytes that decompress to more than the memory.
TEST(packed_text, a_text_that_is_too_long_is_refused)
{
    packed_text const longest{std::string(max_packed_text, 'a')};
    EXPECT_TRUE(packed_text::from_bytes(longest.bytes()));
    EXPECT_THROW(packed_text{std::string(max_packed_text + 1, 'a')}, std::length_error);
}

} // namespace
} // namespace buckthornusher
