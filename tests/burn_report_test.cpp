// Tests of the report on the burn of the services' error budgets.
#include "process/burn_report.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace buckthornusher
{
namespace
{

std::string answer(std::string const& total, std::string const& availability = "0.99")
{
    return R"({"services":[{"name":"rounds","availability":)" + availability +
           R"(,"windows":[{"total":)" + total + R"(,"failed":1,"slow":0}]}]})";
}

TEST(burn_report, sums_over_nodes)
{
    burn_by_service sums;
    add_burn(*parse_burn(answer("60")), sums);
    add_burn(*parse_burn(answer("40")), sums);
    EXPECT_EQ(sums.at("rounds").windows.front(),
              (burn_counts{.total = 100, .failed = 2, .slow = 0}));
    std::ostringstream table;
    print_burn_table(sums, table);
    EXPECT_NE(table.str().find("2.00"), std::string::npos) << table.str();
}

TEST(burn_report, an_answer_of_another_program_is_not_counted)
{
    for (auto const* body : {"", "not found", "<html></html>", "[1,2]",
                             R"({"services":[7]})", R"({"services":[{"windows":[]}]})"})
        EXPECT_FALSE(parse_burn(body).has_value()) << body;
    for (auto const* total : {"-1", "1e300", "\"many\"", "null"})
        EXPECT_FALSE(parse_burn(answer(total)).has_value()) << total;
    EXPECT_FALSE(parse_burn(answer("1", "7")).has_value());
}

TEST(burn_report, a_node_without_requests_adds_nothing)
{
    EXPECT_TRUE(parse_burn("{}")->empty());
    EXPECT_TRUE(parse_burn(R"({"services":[]})")->empty());
}

} // namespace
} // namespace buckthornusher
