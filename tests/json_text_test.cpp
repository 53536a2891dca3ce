// Tests of the slices of JSON text, against nlohmann's parser as the reference.
#include "connection/json_text.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace buckthornusher
{
namespace
{

using nlohmann::json;

TEST(json_text, members_and_elements_are_slices_of_the_text)
{
    std::string_view const text = R"( {"a" : {"b":[1,"}"]} , "c\"":"x,]" ,"d":-1.5e3 } )";
    auto const members = json_members(text);
    ASSERT_TRUE(members);
    EXPECT_EQ(*members, (json_text_members{{.key = "a", .value = R"({"b":[1,"}"]})"},
                                           {.key = R"(c\")", .value = R"("x,]")"},
                                           {.key = "d", .value = "-1.5e3"}}));
    EXPECT_EQ(json_elements(R"([ 1 ,[2,3], "a\\" ,{}])"),
              (json_parts{"1", "[2,3]", R"("a\\")", "{}"}));
    EXPECT_EQ(json_members("{ }"), json_text_members{});
    EXPECT_EQ(json_elements("[ ]"), json_parts{});
}

TEST(json_text, the_last_of_equal_keys_counts_as_in_parsers)
{
    auto const members = json_members(R"({"a":1,"a":2})");
    ASSERT_TRUE(members);
    EXPECT_EQ(json_member(*members, "a"), "2");
    EXPECT_EQ(json_member(*members, "b"), std::nullopt);
}

TEST(json_text, broken_texts_have_no_parts)
{
    for (auto const* text :
         {"", " ", "{", "}", "{}x", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}",
          "{\"a\":1", "{\"a\":[1}", "{\"a\":\"x}", "[1]", "7", "{\"a\":1}{}"})
        EXPECT_FALSE(json_members(text)) << text;
    for (auto const* text :
         {"", "[", "]", "[1", "[1,]", "[,1]", "[1 2", "[1]x", "[\"a]", "{}", "[[1]"})
        EXPECT_FALSE(json_elements(text)) << text;
}

TEST(json_text, depth_is_limited_and_brackets_in_strings_do_not_count)
{
    auto const nested = [](std::size_t levels)
    {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    EXPECT_TRUE(has_allowed_depth(nested(max_json_depth)));
    EXPECT_FALSE(has_allowed_depth(nested(max_json_depth + 1)));
    EXPECT_FALSE(has_allowed_depth(std::string(1'000'000, '{')));
    EXPECT_TRUE(has_allowed_depth("\"" + nested(1'000) + "\""));
    EXPECT_TRUE(has_allowed_depth(R"(["\"[[["])"));
    std::string wide = "[";
    for (int i = 0; i < 1'000; ++i)
        wide += "[],";
    EXPECT_TRUE(has_allowed_depth(wide + "[]]"));
}

json random_value(int levels)
{
    auto const kind = *rc::gen::inRange(0, levels > 0 ? 6 : 4);
    switch (kind)
    {
    case 0:
        return *rc::gen::inRange(-1'000, 1'000);
    case 1:
        return *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("ab\"\\{}[],: \n")));
    case 2:
        return *rc::gen::arbitrary<bool>();
    case 3:
        return nullptr;
    case 4:
    {
        auto array = json::array();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            array.push_back(random_value(levels - 1));
        return array;
    }
    default:
        auto object = json::object();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            object["k" + std::to_string(i)] = random_value(levels - 1);
        return object;
    }
}

RC_GTEST_PROP(json_text_property, parts_are_those_of_a_parser, ())
{
    auto const value = random_value(4);
    auto const text = value.dump(*rc::gen::elementOf(std::vector<int>{-1, 2}));
    auto const members = json_members(text);
    auto const elements = json_elements(text);
    RC_ASSERT(members.has_value() == value.is_object());
    RC_ASSERT(elements.has_value() == value.is_array());
    if (members)
    {
        RC_ASSERT(members->size() == value.size());
        for (auto const& m : *members)
            RC_ASSERT(json::parse(m.value) == value[std::string(m.key)]);
    }
    if (elements)
    {
        RC_ASSERT(elements->size() == value.size());
        for (std::size_t i = 0; i < elements->size(); ++i)
            RC_ASSERT(json::parse((*elements)[i]) == value[i]);
    }
}

// Whatever the bytes, no function reads beyond them or fails to return.
RC_GTEST_PROP(json_text_property, any_bytes_are_taken, ())
{
    auto const text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("{}[]\",:\\ 1e\x01\xff")));
    (void)json_members(text);
    (void)json_elements(text);
    (void)has_allowed_depth(text);
}

} // namespace
} // namespace buckthornusher
