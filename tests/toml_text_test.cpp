// Tests of the check of TOML text before it is parsed.
#include "version/toml_text.hpp"

#include "version/config.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

TEST(toml_text, characters_beyond_ascii_are_allowed_in_strings_and_comments)
{
    for (auto const* text : {"", "a = 1", "# \u0161\n", "a = \"\u0161\" # \u0161",
                             "a = '\u0161'", "a = \"\"\"\n\u0161\n\"\u0161\"\"\"\n",
                             "a = '''\u0161\n'\u0161'''", "a = \"\\\"\u0161\""})
        EXPECT_EQ(line_of_stray_character(text), std::nullopt) << text;
}

TEST(toml_text, the_line_of_the_first_stray_character_is_returned)
{
    EXPECT_EQ(line_of_stray_character("\u0161"), 1U);
    EXPECT_EQ(line_of_stray_character("a = 1\n[se\u0269ice]"), 2U);
    EXPECT_EQ(line_of_stray_character("a = 'x' \u0161"), 1U);
    EXPECT_EQ(line_of_stray_character("a = \"x\n\u0161"), 2U) << "an unclosed string";
    EXPECT_EQ(line_of_stray_character("a = \"\u0161\nb = 1"), 1U) << "in an unclosed one";
    EXPECT_EQ(line_of_stray_character("a = 5'\u0161'"), 1U) << "not where one may begin";
    EXPECT_EQ(line_of_stray_character("a = '\\' \u0161"), 1U) << "no escape there";
}

// Found by fuzzing: the parser's behaviour was undefined.
TEST(toml_text, a_document_with_a_stray_character_is_refused_with_its_line)
{
    auto const parsed = parse_document("[se\u0269ice.s]\nshards = 64\n");
    ASSERT_FALSE(parsed.has_value());
    ASSERT_EQ(parsed.error().size(), 1U);
    EXPECT_EQ(parsed.error().front().line, 1U);
    EXPECT_EQ(parsed.error().front().found, "a character beyond ASCII");
}

} // namespace
} // namespace buckthornusher
