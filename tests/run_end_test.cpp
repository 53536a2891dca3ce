// Tests of who may end a run that is under way.
#include "buckthornusher/run_end.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

TEST(run_end, a_node_that_runs_may_give_up_an_attempt_at_a_lost_peer)
{
    for (auto const loss : {attempt_loss::peer_silent, attempt_loss::member_gone,
                            attempt_loss::process_replaced})
        EXPECT_TRUE(may_give_up(loss, false));
}

// Guards against a stopping node that ends a run because the peer was silent.
TEST(run_end, a_node_that_stops_waits_until_the_peers_process_has_ended)
{
    EXPECT_FALSE(may_give_up(attempt_loss::peer_silent, true));
    EXPECT_FALSE(may_give_up(attempt_loss::member_gone, true));
    EXPECT_TRUE(may_give_up(attempt_loss::process_replaced, true));
}

} // namespace
} // namespace buckthornusher
