// Operation table, memory of answered requests, event loop lag and request clock.
#include "buckthornusher/answered_memory.hpp"
#include "buckthornusher/operation_table.hpp"
#include "buckthornusher/request_clock.hpp"
#include "process/loop_lag.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

// Three owners with a table each. A shard moves between them by planned moves and losses,
// their processes restart, and callers repeat operations. No operation runs twice.
RC_GTEST_PROP(operation_table, runs_no_operation_twice, ())
{
    shard_id const shard{"s", 3};
    std::map<int, operation_table> owners;
    std::map<int, duration> clocks;
    for (int i = 0; i < 3; ++i)
    {
        owners.emplace(i, operation_table({.max_entries = 30, .retention = 60s}));
        clocks[i] = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
    }
    int owner = 0;
    std::uint64_t epoch = 1;
    std::map<operation_id, int> runs;
    std::vector<operation_id> known;
    auto now = at_ms(100'000);
    for (int i = 0; i < 200; ++i)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
        auto const local = now + clocks[owner];
        auto const next = *rc::gen::inRange(0, 3);
        switch (*rc::gen::inRange(0, 9))
        {
        case 0:
            known.push_back(
                {.epoch = epoch,
                 .shard = shard.index,
                 .made = static_cast<std::uint64_t>(local.time_since_epoch().count()),
                 .nonce = static_cast<std::uint64_t>(i)});
            break;
        case 1: // a planned move
            if (next != owner)
                owners.at(next).take_over(owners.at(owner).hand_over(shard, epoch, local),
                                          now + clocks[next]);
            owner = next;
            ++epoch;
            break;
        case 2: // the owner is lost with its table
            owners.at(owner) = operation_table({.max_entries = 30, .retention = 60s});
            owner = next;
            ++epoch;
            break;
        case 3: // its process restarts: the epoch stays, the table is lost
            now += 1us;
            owners.at(owner) = operation_table(
                {.max_entries = 30, .retention = 60s, .since = now + clocks[owner]});
            break;
        default:
            if (known.empty())
                break;
            auto const id = known[static_cast<std::size_t>(
                *rc::gen::inRange<std::size_t>(0, known.size()))];
            auto& table = owners.at(owner);
            if (!std::holds_alternative<operation_starts>(
                    table.begin(shard, epoch, id, local)))
                break;
            switch (*rc::gen::inRange(0, 3))
            {
            case 0:
                table.abandon("s", id); // it did not run
                break;
            case 1:
                ++runs[id];
                table.mark_lost("s", id);
                break;
            default:
                ++runs[id];
                table.finish("s", id, {.status = 200, .content_type = "", .body = "x"});
            }
        }
    }
    for (auto const& entry : runs)
        RC_ASSERT(entry.second == 1);
}

TEST(operation_table, repeats_the_first_answer_also_after_a_planned_move)
{
    shard_id const shard{"s", 3};
    operation_table first({});
    operation_table second({});
    operation_id const id{.epoch = 4, .shard = 3, .made = 1'000, .nonce = 9};
    auto const now = instant(2ms);
    ASSERT_TRUE(std::holds_alternative<operation_starts>(first.begin(shard, 4, id, now)));
    EXPECT_TRUE(
        std::holds_alternative<operation_in_progress>(first.begin(shard, 4, id, now)));
    operation_answer const answer{
        .status = 201, .content_type = "text/plain", .body = "done"};
    first.finish("s", id, answer);
    second.take_over(first.hand_over(shard, 4, now), at_ms(900'000));
    auto const again = second.begin(shard, 5, id, at_ms(900'001));
    ASSERT_TRUE(std::holds_alternative<operation_done>(again));
    EXPECT_EQ(std::get<operation_done>(again).answer, answer);
    EXPECT_TRUE(std::holds_alternative<operation_lost>(second.begin(
        shard, 7, {.epoch = 4, .shard = 3, .made = 1'000, .nonce = 10}, at_ms(900'002))));
}

TEST(operation_table, refuses_while_full_of_unexpired_entries)
{
    shard_id const shard{"s", 0};
    operation_table table({.max_entries = 2, .retention = 60s});
    auto const now = at_ms(1'000);
    auto const id = [&](std::uint64_t n)
    {
        return operation_id{.epoch = 1, .shard = 0, .made = 1'000'000, .nonce = n};
    };
    EXPECT_TRUE(
        std::holds_alternative<operation_starts>(table.begin(shard, 1, id(1), now)));
    EXPECT_TRUE(
        std::holds_alternative<operation_starts>(table.begin(shard, 1, id(2), now)));
    EXPECT_TRUE(
        std::holds_alternative<operation_refused>(table.begin(shard, 1, id(3), now)));
}

TEST(operation_id, text_form_round_trips_and_malformed_text_is_rejected)
{
    operation_id const id{.epoch = 0xab, .shard = 7, .made = 123, .nonce = ~0ULL};
    EXPECT_EQ(parse_operation_id(to_string(id)), id);
    for (auto const* text :
         {"", "x", "1-2-3", "1-2-3-4-5", "1-2-3-g", "1--3-4", "-1-2-3-4",
          "1-100000000-3-4", "11111111111111111-2-3-4", "1-2-3-4 "})
        EXPECT_EQ(parse_operation_id(text), std::nullopt) << text;
}

TEST(answered_memory, keeps_a_request_until_its_end_and_at_most_max_entries)
{
    answered_memory memory({.max_entries = 2, .margin = 1s});
    instant const now{100s};
    memory.note("a", now + 5s, now);
    EXPECT_TRUE(memory.contains("a", now + 5999ms));
    EXPECT_FALSE(memory.contains("a", now + 6s));
    memory.note("", now + 5s, now);
    EXPECT_EQ(memory.size(), 1U) << "without an id";
    memory.note("a", now + 8s, now);
    memory.note("b", now + 5s, now);
    memory.note("c", now + 9s, now);
    EXPECT_EQ(memory.size(), 2U);
    EXPECT_FALSE(memory.contains("b", now)) << "the entry that ends first is evicted";
    EXPECT_TRUE(memory.contains("a", now + 8s));
    memory.note("d", now + 20s, now + 12s);
    EXPECT_EQ(memory.size(), 1U);
}

TEST(loop_lag, is_a_decaying_maximum_of_the_lateness_of_turns)
{
    constexpr instant start{100s};
    loop_lag lag(20ms);
    lag.on_tick(start);
    lag.on_tick(start + 20ms);
    EXPECT_EQ(lag.value(), 0ms);
    lag.on_tick(start + 340ms);
    EXPECT_EQ(lag.value(), 300ms);
    lag.on_tick(start + 360ms);
    EXPECT_EQ(lag.value(), 240ms);
    lag.on_tick(start + 780ms);
    EXPECT_EQ(lag.value(), 400ms);
    for (int turn = 1; turn <= 50; ++turn)
        lag.on_tick(start + 780ms + turn * 20ms);
    EXPECT_LT(lag.value(), 1ms);
}

// For any clock offsets and drifts, the stamp is never later than the receiver's clock at
// the time of sending, so a deadline computed from it is never later than meant.
RC_GTEST_PROP(request_clock, a_stamp_is_never_ahead_of_the_receiver, ())
{
    request_clock clock({});
    std::string const peer = "p";
    auto const drift_a = *rc::gen::inRange(-450, 450);
    auto const drift_b = *rc::gen::inRange(-450, 450);
    auto const offset = std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
    auto const ours = [&](duration t)
    {
        return instant(t + t * drift_a / 1'000'000);
    };
    auto const theirs = [&](duration t)
    {
        return instant(offset + t + t * drift_b / 1'000'000);
    };
    auto t = duration(std::chrono::seconds(*rc::gen::inRange(0, 1'000)));
    auto const answered = theirs(t);
    t += std::chrono::milliseconds(*rc::gen::inRange(0, 5'000)); // transit of the answer
    clock.on_reading(peer, {.session = 7, .at = answered}, ours(t));
    t += std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000));
    if (*rc::gen::arbitrary<bool>())
    {
        auto const before = clock.stamp(peer, ours(t))->at;
        auto const late = std::chrono::milliseconds(*rc::gen::inRange(0, 5'000));
        clock.on_reading(peer, {.session = 7, .at = theirs(t - late)}, ours(t));
        RC_ASSERT(clock.stamp(peer, ours(t))->at >= before);
    }
    RC_ASSERT(clock.stamp(peer, ours(t))->at <= theirs(t) + 2us);
    RC_ASSERT(clock.stamp(peer, ours(t))->session == 7U);
    RC_ASSERT(!clock.stamp("q", ours(t)));
}

} // namespace
} // namespace buckthornusher
