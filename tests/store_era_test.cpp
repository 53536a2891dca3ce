// The load: a drill in which the store comes back from an older copy, with answers of
// both eras under way, and answers that state no era or nonsense.
#include "buckthornusher/store_era.hpp"

#include <gtest/gtest.h>

namespace buckthornusher::test
{

namespace
{

TEST(StoreEra, AStoreWithoutErasIsNotChecked)
{
    store_era era;
    for (auto const* statement : {"", "x", "-1", "60001", ""})
        EXPECT_EQ(era.read(statement), era_reading::same) << statement;
    EXPECT_EQ(era.value(), std::nullopt);
}

TEST(StoreEra, RisesAreSeenOnce)
{
    store_era era;
    EXPECT_EQ(era.read("3"), era_reading::first);
    EXPECT_EQ(era.read("3"), era_reading::same);
    EXPECT_EQ(era.read("4"), era_reading::risen);
    EXPECT_EQ(era.read("4"), era_reading::same);
    EXPECT_EQ(era.read("6"), era_reading::risen) << "cut off during one";
    EXPECT_EQ(era.value(), 6U);
}

TEST(StoreEra, TheFirstMayBeZero)
{
    store_era era;
    EXPECT_EQ(era.read("0"), era_reading::first);
    EXPECT_EQ(era.read("1"), era_reading::risen);
    EXPECT_EQ(era.read("0"), era_reading::fallen);
}

TEST(StoreEra, AnAnswerFromBeforeTheRiseThatComesLateIsAnError)
{
    store_era era;
    (void)era.read("3");
    (void)era.read("4");
    EXPECT_EQ(era.read("3"), era_reading::fallen);
    EXPECT_TRUE(is_error(era_reading::fallen));
    EXPECT_EQ(era.value(), 4U);
}

TEST(StoreEra, WhatIsNoEraNeverCountsAsAFreshStore)
{
    store_era era;
    (void)era.read("3");
    EXPECT_EQ(era.read(""), era_reading::missing);
    for (auto const* statement : {"-4", "4x", " 4", "4.0", "99999999999999999999999",
                                  "18446744073709551615", "60001", "5000", "\xff"})
        EXPECT_EQ(era.read(statement), era_reading::unreadable) << statement;
    EXPECT_EQ(era.value(), 3U);
    EXPECT_EQ(era.read("4"), era_reading::risen);
    EXPECT_FALSE(is_error(era_reading::first));
    EXPECT_FALSE(is_error(era_reading::risen));
    EXPECT_TRUE(is_error(era_reading::missing));
    EXPECT_TRUE(is_error(era_reading::unreadable));
}

TEST(StoreEra, VersionsCompareByEraFirst)
{
    EXPECT_EQ(qualified_version(std::nullopt, 530), 530U);
    auto const before = qualified_version(0, 530);
    auto const after = qualified_version(1, 17);
    EXPECT_LT(530U, before);
    EXPECT_LT(before, after);
    EXPECT_EQ(revision_of_version(after), 17U);
    EXPECT_LT(era_of_version(before), era_of_version(after));
    EXPECT_EQ(era_of_version(530), 0U);
    EXPECT_LT(qualified_version(60'000, ~std::uint64_t{0}), ~std::uint64_t{0});
}

} // namespace

} // namespace buckthornusher::test
