// Tests of what holds after the store came back from an older copy.
#include "buckthornusher/replica.hpp"
#include "buckthornusher/store_era.hpp"
#include "buckthornusher/store_rewind.hpp"

#include <rapidcheck.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr instant start{100s};

member_record member(std::uint64_t incarnation, std::uint64_t generation,
                     member_state state = member_state::live)
{
    member_record m;
    m.id = {.node = "n", .incarnation = incarnation};
    m.generation = generation;
    m.state = state;
    return m;
}

shard_group_record group(std::vector<assignment> assignments)
{
    return {.service = "s", .first_shard = 0, .assignments = std::move(assignments)};
}

assignment owned_by(std::string node, std::uint64_t epoch, std::string successor = {})
{
    assignment a{.owner = {.node = std::move(node), .generation = 1}, .epoch = epoch};
    if (!successor.empty())
        a.successor = {.node = std::move(successor), .generation = 1};
    return a;
}

object fleet_object(record value, std::uint64_t era, std::uint64_t revision)
{
    auto const name = object_name(value);
    return {.name = name,
            .version = qualified_version(era, revision),
            .value = std::move(value)};
}

// ---- epochs ----

// Guards against a token that is not above one that the store has forgotten.
RC_GTEST_PROP(store_rewind, an_epoch_is_above_all_of_earlier_eras, ())
{
    auto const era = *rc::gen::inRange<std::uint64_t>(1, 60'000);
    auto const forgotten = *rc::gen::inRange<std::uint64_t>(0, 1'000'000'000);
    auto const copied = *rc::gen::inRange<std::uint64_t>(0, forgotten + 1);
    auto const before = next_epoch(0, era - 1) + forgotten;
    auto const after = next_epoch(next_epoch(0, era - 1) + copied, era);
    RC_ASSERT(after > before);
    RC_ASSERT(next_epoch(after, era) == after + 1);
    RC_ASSERT(is_epoch_of(after, era));
    RC_ASSERT(!is_epoch_of(before, era));
    constexpr std::uint64_t exact_in_json = std::uint64_t{1} << 53;
    RC_ASSERT(after < exact_in_json);
}

TEST(store_rewind, without_eras_epochs_count_from_one)
{
    EXPECT_EQ(next_epoch(0, 0), 1U);
    EXPECT_EQ(next_epoch(7, 0), 8U);
    EXPECT_TRUE(is_epoch_of(7, 0));
}

// ---- records ----

TEST(store_rewind, the_later_incarnation_generation_and_state_stand)
{
    for (auto const& [less, more] :
         {std::pair(member(1, 5), member(2, 4)), std::pair(member(1, 4), member(1, 5)),
          std::pair(member(1, 4), member(1, 4, member_state::evicting)),
          std::pair(member(1, 4, member_state::evicting),
                    member(1, 4, member_state::gone))})
    {
        EXPECT_EQ(std::get<member_record>(merged(less, more)), more);
        EXPECT_EQ(std::get<member_record>(merged(more, less)), more);
    }
}

TEST(store_rewind, an_eviction_asks_the_last_watchers)
{
    auto known = member(1, 4);
    known.watchers = {{.node = "w", .incarnation = 9}};
    known.watcher_changes = 5;
    auto found = member(1, 4, member_state::evicting);
    found.watchers = {{.node = "v", .incarnation = 8}};
    found.watcher_changes = 4;
    auto const both = std::get<member_record>(merged(known, found));
    EXPECT_EQ(both.state, member_state::evicting);
    EXPECT_EQ(both.watchers, known.watchers);
    EXPECT_EQ(both.watcher_changes, 5U);
}

TEST(store_rewind, each_shard_has_the_assignment_of_its_highest_epoch)
{
    auto const known = group({owned_by("a", 7), owned_by("b", 3), owned_by("c", 5, "d")});
    auto const found = group({owned_by("b", 6), owned_by("d", 4), owned_by("c", 5)});
    auto const expected =
        group({owned_by("a", 7), owned_by("d", 4), owned_by("c", 5, "d")});
    EXPECT_EQ(std::get<shard_group_record>(merged(known, found)), expected);
    EXPECT_EQ(std::get<shard_group_record>(merged(found, known)), expected);
}

TEST(store_rewind, the_longer_of_two_groups_keeps_its_shards)
{
    auto const known = group({owned_by("a", 7)});
    auto const found = group({owned_by("b", 6), owned_by("c", 1)});
    EXPECT_EQ(std::get<shard_group_record>(merged(known, found)),
              group({owned_by("a", 7), owned_by("c", 1)}));
}

// ---- the guard ----

TEST(store_rewind, records_of_an_earlier_era_are_acted_on_once_all_is_settled)
{
    rewind_guard guard(5s);
    EXPECT_TRUE(guard.may_act_on(0, start)) << "the store states no era";
    EXPECT_FALSE(guard.note(3, start)) << "the first one known is no rise";
    EXPECT_TRUE(guard.may_act_on(3, start));
    EXPECT_FALSE(guard.may_act_on(2, start + 4'999ms));
    EXPECT_TRUE(guard.may_act_on(2, start + 5s));
    EXPECT_TRUE(guard.note(4, start + 20s));
    EXPECT_FALSE(guard.note(3, start + 21s)) << "it came late";
    EXPECT_EQ(guard.value(), 4U);
    EXPECT_FALSE(guard.may_act_on(3, start + 24s));
    EXPECT_TRUE(guard.may_act_on(3, start + 25s));
}

TEST(store_rewind, a_process_serves_at_no_epoch_before_its_first_era)
{
    auto const old_epoch = next_epoch(0, 3);
    rewind_guard lived_through(5s);
    lived_through.note(3, start);
    lived_through.note(4, start + 1s);
    EXPECT_TRUE(lived_through.may_serve(old_epoch));
    rewind_guard started_since(5s);
    started_since.note(4, start);
    EXPECT_FALSE(started_since.may_serve(old_epoch));
    EXPECT_TRUE(started_since.may_serve(next_epoch(old_epoch, 4)));
}

// ---- the replica ----

TEST(replica_rewind, what_the_store_forgot_holds_and_is_known_to_be_more)
{
    replica copy;
    auto const name = shard_group_object("s", 0);
    copy.apply(fleet_object(group({owned_by("b", 6)}), 3, 900));
    EXPECT_TRUE(copy.apply(fleet_object(group({owned_by("a", 5)}), 4, 700)));
    EXPECT_EQ(copy.find_assignment({"s", 0})->epoch, 6U);
    EXPECT_EQ(copy.version_of(name), qualified_version(4, 700));
    EXPECT_EQ(copy.ahead_of_store(), (std::set<std::string>{name}));
    EXPECT_TRUE(copy.apply(fleet_object(group({owned_by("b", 6)}), 4, 701)));
    EXPECT_TRUE(copy.ahead_of_store().empty()) << "it was written again";
}

TEST(replica_rewind, what_a_peer_tells_late_is_not_lost)
{
    replica copy;
    copy.apply(fleet_object(group({owned_by("a", 5)}), 4, 700));
    EXPECT_TRUE(copy.apply(fleet_object(group({owned_by("b", 6)}), 3, 900)));
    EXPECT_EQ(copy.find_assignment({"s", 0})->owner.node, "b");
    EXPECT_EQ(copy.version_of(shard_group_object("s", 0)), qualified_version(4, 700));
    EXPECT_EQ(copy.ahead_of_store().size(), 1U);
    EXPECT_FALSE(copy.apply(fleet_object(group({owned_by("b", 6)}), 3, 900)));
}

TEST(replica_rewind, two_values_of_one_version_are_both_known)
{
    replica copy;
    copy.apply(
        fleet_object(group({owned_by("b", 6)}), 4, 700)); // by a peer that knows more
    EXPECT_FALSE(copy.apply(fleet_object(group({owned_by("a", 5)}), 4, 700)));
    EXPECT_EQ(copy.find_assignment({"s", 0})->epoch, 6U);
    EXPECT_EQ(copy.ahead_of_store().size(), 1U) << "the store has less";
}

TEST(replica_rewind, objects_that_the_store_lacks_are_those_of_earlier_eras)
{
    replica copy;
    copy.apply(fleet_object(member(2, 2), 3, 900));
    copy.apply(fleet_object(group({owned_by("a", 5)}), 4, 700));
    EXPECT_EQ(copy.of_earlier_eras(era_of_version(qualified_version(4, 0))),
              std::vector<std::string>{member_object("n")});
    EXPECT_TRUE(copy.of_earlier_eras(era_of_version(qualified_version(3, 0))).empty());
}

// In one era the later version stands, as ever.
RC_GTEST_PROP(replica_rewind, in_one_era_the_highest_version_stands, ())
{
    std::vector<object> history;
    std::uint64_t epoch = 1;
    for (std::uint64_t revision = 1; revision <= 12; ++revision)
        history.push_back(fleet_object(
            group({owned_by("n" + std::to_string(*rc::gen::inRange(0, 3)), epoch++)}), 4,
            revision));
    auto const order = *rc::gen::container<std::vector<std::size_t>>(
        30, rc::gen::inRange<std::size_t>(0, history.size()));
    replica copy;
    std::uint64_t highest = 0;
    for (auto const i : order)
    {
        copy.apply(history[i]);
        highest = std::max(highest, history[i].version);
        auto const* held = copy.find(history[i].name);
        RC_ASSERT(held->version == highest);
        RC_ASSERT(held->value == history[revision_of_version(highest) - 1].value);
        RC_ASSERT(copy.ahead_of_store().empty());
    }
}

} // namespace
} // namespace buckthornusher
