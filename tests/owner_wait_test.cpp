// Tests of the bounds on the wait for a shard's owner.
#include "buckthornusher/owner_wait.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

instant const arrived{duration(10s)};

// Returns the longest wait at a known owner, in steps of 1 ms, of a request with that
// time.
duration longest_wait_at_owner(duration time)
{
    duration wait{0};
    while (wait < time &&
           !has_waited_long_at_owner(arrived, arrived, arrived + time, arrived + wait))
        wait += 1ms;
    return wait;
}

// A move of 0.6 s beside a planned stop made the owner refuse a request that had 0.8 s.
TEST(owner_wait, a_request_with_little_time_waits_for_a_move_until_its_deadline)
{
    EXPECT_EQ(longest_wait_at_owner(500ms), 500ms);
    EXPECT_EQ(longest_wait_at_owner(800ms), 800ms);
}

TEST(owner_wait, a_request_with_more_time_is_refused_while_its_caller_can_come_back)
{
    EXPECT_EQ(longest_wait_at_owner(1'500ms), 1s);
    EXPECT_EQ(longest_wait_at_owner(5s), 3s);
}

TEST(owner_wait, the_wait_for_an_unknown_owner_is_a_share_of_the_time)
{
    auto const deadline = arrived + 2s;
    EXPECT_FALSE(has_waited_long_for_owner(arrived, arrived, deadline, arrived + 799ms));
    EXPECT_TRUE(has_waited_long_for_owner(arrived, arrived, deadline, arrived + 800ms));
}

} // namespace
} // namespace buckthornusher
