// Tests of the conditions for announcing a shard as released.
#include "buckthornusher/pending_releases.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

shard_id const shard{.service = "s", .index = 3};
drained_options const done{.operations_transferred = true, .confirm_deadline = {}};

TEST(pending_releases, a_shard_is_released_once_operations_and_keys_have_left_the_node)
{
    pending_releases p;
    EXPECT_EQ(p.take_complete(shard, false), std::nullopt);
    p.on_drained(shard, 4,
                 {.operations_transferred = false, .confirm_deadline = instant(1s)});
    EXPECT_EQ(p.take_complete(shard, true), std::nullopt);
    p.on_operations_transferred(shard, 3);
    EXPECT_EQ(p.take_complete(shard, false), std::nullopt);
    p.on_operations_transferred(shard, 4);
    EXPECT_EQ(p.take_complete(shard, true), std::nullopt);
    p.on_upstream_done(shard, 4, "token");
    shard_release const expected{.shard = shard, .epoch = 4, .handover = "token"};
    EXPECT_EQ(p.take_complete(shard, true), expected);
    EXPECT_EQ(p.take_complete(shard, true), std::nullopt);
}

TEST(pending_releases, a_release_waits_for_confirmation_only_until_the_deadline)
{
    pending_releases p;
    p.on_drained(shard, 4,
                 {.operations_transferred = false, .confirm_deadline = instant(1s)});
    EXPECT_TRUE(p.expire(instant(900ms)).empty());
    EXPECT_EQ(p.expire(instant(1s)), std::vector<shard_id>{shard});
    EXPECT_TRUE(p.expire(instant(2s)).empty());
    EXPECT_TRUE(p.take_complete(shard, false));
}

TEST(pending_releases, late_events_of_an_earlier_epoch_do_not_affect_a_later_one)
{
    pending_releases p;
    p.on_drained(shard, 5, done);
    p.on_upstream_done(shard, 4, "earlier");
    p.on_upstream_done(shard, 5, "later");
    auto const release = p.take_complete(shard, true);
    ASSERT_TRUE(release);
    EXPECT_EQ(release->epoch, 5U);
    EXPECT_EQ(release->handover, "later");
}

TEST(pending_releases, a_later_epoch_starts_from_scratch)
{
    pending_releases p;
    p.on_drained(shard, 4, done);
    p.on_upstream_done(shard, 5, "later");
    EXPECT_EQ(p.take_complete(shard, true), std::nullopt);
    p.on_drained(shard, 5, done);
    EXPECT_TRUE(p.take_complete(shard, true));
}

} // namespace
} // namespace buckthornusher
