// Tests of which classes of requests the queue of an upstream treats as small.
#include "buckthornusher/upstream_queue.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

// A queue with one slot, and the requests that have run on it so far, one by one.
struct learnt_queue
{
    void run(std::string const& request_class, duration took, int count = 1)
    {
        for (; count > 0; --count)
        {
            auto const arrived = queue.arrive(request(request_class, took), now);
            ASSERT_TRUE(std::holds_alternative<starts_now>(arrived));
            now += took;
            queue.leave(next_id, request_end::completed, took, now);
        }
    }

    // A request that is due in that time and whose deadline is far off.
    queued_request request(std::string const& request_class, duration due_in)
    {
        return {.id = ++next_id,
                .request_class = request_class,
                .due = now + due_in,
                .deadline = now + 10s,
                .start_until = now + 10s};
    }

    // Whether a request that cannot end by its due time waits behind one that can.
    bool is_moved_back(std::string const& request_class)
    {
        queue.arrive(request(request_class, 5s), now); // occupies the slot
        queue.arrive(request(request_class, 1ms), now);
        auto const late = next_id;
        queue.arrive(request(request_class, 5s), now);
        auto const in_time = next_id;
        queue.leave(late - 1, request_end::not_sent, 0ms, now);
        auto const first = queue.start_next(now);
        EXPECT_TRUE(first == late || first == in_time);
        return first == in_time;
    }

    upstream_queue queue{{.slots = 1}};
    instant now = at_ms(1'000);
    std::uint64_t next_id = 0;
};

// A rare class that always runs into its time limit made all other requests small, so
// that late ones kept their places and made those behind them late as well.
TEST(upstream_queue, a_rare_long_class_does_not_make_the_others_small)
{
    learnt_queue q;
    q.run("browse", 150ms, 50);
    q.run("rare", 1'000ms);
    q.run("browse", 150ms, 10);
    EXPECT_TRUE(q.is_moved_back("browse"));
}

TEST(upstream_queue, a_class_is_small_beside_a_long_one_that_occupies_the_slots)
{
    for (std::string const request_class : {"call", "order"})
    {
        learnt_queue q;
        for (int i = 0; i < 10; ++i)
        {
            q.run("call", 60ms, 3);
            q.run("order", 320ms);
        }
        EXPECT_EQ(q.is_moved_back(request_class), request_class == "order");
    }
}

TEST(upstream_queue, an_upstream_without_slots_starts_and_accepts_nothing)
{
    learnt_queue q;
    q.run("browse", 150ms);
    q.queue.arrive(q.request("browse", 1s), q.now);
    auto const running = q.next_id;
    q.queue.arrive(q.request("browse", 1s), q.now);
    q.queue.set_slots(0);
    q.queue.leave(running, request_end::completed, 150ms, q.now);
    EXPECT_FALSE(q.queue.start_next(q.now).has_value());
    EXPECT_TRUE(std::holds_alternative<has_no_room>(
        q.queue.arrive(q.request("browse", 1s), q.now)));
    EXPECT_GT(q.queue.until_free_slot(), 0ms);
    q.queue.set_slots(2);
    EXPECT_TRUE(q.queue.start_next(q.now).has_value());
}

} // namespace
} // namespace buckthornusher
