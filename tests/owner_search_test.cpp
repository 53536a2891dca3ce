// Search for the owner of a shard, with nodes that are out of date or name each other.
#include "buckthornusher/owner_search.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

named_owner named(std::string node, std::uint64_t epoch)
{
    return {.owner = {.node = std::move(node), .generation = 1}, .epoch = epoch};
}

TEST(owner_search,
     asks_the_owner_named_by_the_replica_and_then_the_one_named_by_that_node)
{
    owner_search search;
    EXPECT_EQ(search.next(named("a", 3), at_ms(0)), named("a", 3));
    search.on_moved(named("b", 4), at_ms(1));
    EXPECT_EQ(search.next(named("a", 3), at_ms(1)), named("b", 4));
}

// Both nodes deny ownership and name each other: each is asked once, then the request
// waits until the denials expire.
TEST(owner_search, nodes_that_name_each_other_are_asked_once_each)
{
    owner_search search;
    auto const by_replica = named("a", 3);
    int questions = 0;
    for (std::int64_t ms = 0; ms < 100; ++ms)
    {
        auto const asked = search.next(by_replica, at_ms(ms));
        if (!asked)
            continue;
        ++questions;
        auto const other = asked->owner.node == "a" ? named("b", 4) : named("a", 3);
        search.on_moved(other, at_ms(ms));
    }
    EXPECT_EQ(questions, 2);
    EXPECT_TRUE(search.next(by_replica, at_ms(120)).has_value());
}

// A node that does not know yet that it became the owner names no owner. An update with a
// higher epoch is used at once.
TEST(owner_search, an_update_to_a_higher_epoch_is_not_delayed_by_an_earlier_denial)
{
    owner_search search;
    ASSERT_TRUE(search.next(named("a", 3), at_ms(0)).has_value());
    search.on_moved({}, at_ms(1));
    EXPECT_FALSE(search.next(named("a", 3), at_ms(2)).has_value());
    EXPECT_EQ(search.next(named("a", 5), at_ms(2)), named("a", 5));
}

// For random answers of nodes: the same owner is never asked twice at one epoch within
// denial_retry_interval.
RC_GTEST_PROP(owner_search, asks_no_owner_twice_within_the_retry_interval, ())
{
    owner_search_options const opts{.denial_retry_interval =
                                        std::chrono::milliseconds(100)};
    owner_search search(opts);
    struct question
    {
        named_owner who;
        instant at;
    };
    std::vector<question> asked;
    std::uint64_t replica_epoch = 1;
    std::int64_t ms = 0;
    for (int i = 0; i < 200; ++i)
    {
        ms += *rc::gen::inRange(0, 20);
        if (*rc::gen::inRange(0, 10) == 0)
            ++replica_epoch;
        auto const node = std::string(1, static_cast<char>('a' + replica_epoch % 3));
        auto const next = search.next(named(node, replica_epoch), at_ms(ms));
        if (!next)
            continue;
        for (auto const& q : asked)
            RC_ASSERT(!(q.who == *next) ||
                      at_ms(ms) >= q.at + opts.denial_retry_interval);
        asked.push_back({*next, at_ms(ms)});
        auto const epoch = *rc::gen::inRange<std::uint64_t>(1, replica_epoch + 2);
        auto const other = std::string(1, static_cast<char>('a' + epoch % 3));
        search.on_moved(*rc::gen::arbitrary<bool>() ? named(other, epoch) : named_owner{},
                        at_ms(ms));
    }
}

} // namespace
} // namespace buckthornusher
