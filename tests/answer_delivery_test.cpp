// Tests of when answers count as delivered.
#include "buckthornusher/answer_delivery.hpp"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr instant start{100s};

TEST(answer_delivery, nothing_is_awaited_of_a_connection_without_answers)
{
    delivery_watch reader;
    EXPECT_FALSE(reader.awaited(start));
    reader.note({}, start);
    EXPECT_FALSE(reader.awaited(start));
}

TEST(answer_delivery, an_answer_is_awaited_until_its_reader_has_all_of_it)
{
    delivery_watch reader;
    reader.note({.handed_over = 100, .written = 50, .acknowledged = 0}, start);
    EXPECT_TRUE(reader.awaited(start));
    reader.note({.handed_over = 100, .written = 100, .acknowledged = 99}, start + 1s);
    EXPECT_TRUE(reader.awaited(start + 1s)) << "in the kernel for long";
    reader.note({.handed_over = 100, .written = 100, .acknowledged = 100}, start + 2s);
    EXPECT_FALSE(reader.awaited(start + 2s));
}

// Guards against a stop that never ends while callers go on sending.
TEST(answer_delivery, short_answers_that_are_acknowledged_in_time_are_not_awaited)
{
    delivery_watch reader;
    for (std::uint64_t n = 0; n < 100; ++n)
    {
        auto const now = start + n * 50ms;
        auto const all = 100 * (n + 1);
        reader.note({.handed_over = all, .written = all, .acknowledged = all - 100}, now);
        EXPECT_FALSE(reader.awaited(now)) << "sample " << n;
    }
}

TEST(answer_delivery, a_reader_that_takes_nothing_is_not_waited_for)
{
    delivery_watch reader;
    for (auto passed = 0ms; passed < 10s; passed += 50ms)
    {
        // Further answers are no progress.
        auto const waiting = 100 + static_cast<std::uint64_t>(passed.count());
        reader.note({.handed_over = 40 + waiting, .written = 40, .acknowledged = 40},
                    start + passed);
        EXPECT_EQ(reader.awaited(start + passed), passed < reader_patience);
    }
}

// However slowly it reads: a reader that takes a byte now and then gets the whole answer.
RC_GTEST_PROP(answer_delivery, a_reader_is_awaited_while_it_takes_bytes, ())
{
    delivery_watch reader;
    delivered_bytes bytes{.handed_over = 10'000'000, .written = 1, .acknowledged = 0};
    auto now = start;
    auto progress = start;
    reader.note(bytes, now);
    for (int step = 0; step < 100; ++step)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 1'000));
        if (*rc::gen::inRange(0, 3) == 0)
        {
            bytes.acknowledged += *rc::gen::inRange<std::uint64_t>(1, 10'000);
            bytes.written = bytes.acknowledged + 1;
            progress = now;
        }
        if (*rc::gen::inRange(0, 5) == 0)
            bytes.handed_over += 5'000;
        reader.note(bytes, now);
        RC_ASSERT(reader.awaited(now) == (now - progress < reader_patience));
    }
}

} // namespace
} // namespace buckthornusher
