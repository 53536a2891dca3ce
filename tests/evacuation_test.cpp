// The load: operators evacuate a failure domain while its upstreams serve at full rate,
// and take it back; meanwhile members die, restart, miss messages or lose the store.
#include "buckthornusher/evacuation.hpp"

#include "buckthornusher/store_era.hpp"
#include "coordination/assigner.hpp"
#include "coordination/evacuation_sync.hpp"
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace buckthornusher::test
{

namespace
{

constexpr duration bound = 5s;

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

object evacuation(std::string const& domain, std::uint64_t version)
{
    return {.name = evacuation_object(domain),
            .version = version,
            .value = evacuation_record{.domain = domain}};
}

object evacuation_end(std::string const& domain, std::uint64_t version)
{
    return {.name = evacuation_object(domain), .version = version, .value = {}};
}

// ---- the window ----

TEST(EvacuationWindow, KeyedRequestsGoOnWhileTheirShardsMove)
{
    auto const w = window_of(at_ms(10'000), at_ms(9'900), bound);
    EXPECT_FALSE(entry_may_send(w, false, at_ms(10'000)));
    EXPECT_TRUE(entry_may_send(w, true, at_ms(12'999)));
    EXPECT_FALSE(entry_may_send(w, true, at_ms(13'000)));
    EXPECT_TRUE(node_may_start(w, false, at_ms(10'999)));
    EXPECT_FALSE(node_may_start(w, false, at_ms(11'000)));
    EXPECT_TRUE(node_may_start(w, true, at_ms(12'999)));
    EXPECT_FALSE(node_may_start(w, true, at_ms(13'000)));
}

TEST(EvacuationWindow, LateKnowledgeShortensIt)
{
    auto const w = window_of(at_ms(13'000), at_ms(10'000), bound);
    EXPECT_EQ(w.keyed_until, at_ms(14'500));
    EXPECT_EQ(w.unkeyed_until, at_ms(14'000));
    auto const over = window_of(at_ms(20'000), at_ms(10'000), bound);
    EXPECT_FALSE(node_may_start(over, true, at_ms(20'000)));
    EXPECT_FALSE(node_may_start(over, false, at_ms(20'000)));
}

TEST(EvacuationWindow, OverAtOnceIfNobodyKnowsWhenItBegan)
{
    auto const w = window_of(at_ms(10'000), std::nullopt, bound);
    EXPECT_FALSE(entry_may_send(w, true, at_ms(10'000)));
    EXPECT_FALSE(node_may_start(w, false, at_ms(10'000)));
}

TEST(EvacuationWindow, NoEvacuationBoundsNothing)
{
    for (bool const keyed : {false, true})
    {
        EXPECT_TRUE(entry_may_send(std::nullopt, keyed, at_ms(0)));
        EXPECT_TRUE(node_may_start(std::nullopt, keyed, at_ms(0)));
    }
}

TEST(EvacuationWindow, NamesThatOperatorsMayGive)
{
    EXPECT_TRUE(is_plain_domain("eu-1_a.b"));
    for (auto const* name : {"", "a b", "a/b", "a&b", "\xc3\xa4", "a\n"})
        EXPECT_FALSE(is_plain_domain(name)) << name;
    EXPECT_FALSE(is_plain_domain(std::string(201, 'a')));
}

// ---- how current the knowledge is ----

TEST(EvacuationSync, StandsInByRankOnceEvidenceIsTooOld)
{
    evacuation_sync first(bound);
    evacuation_sync last(bound);
    first.confirm(at_ms(1'000));
    last.confirm(at_ms(1'000));
    EXPECT_FALSE(first.review(0, at_ms(3'000)));
    EXPECT_FALSE(last.review(1'000, at_ms(3'625)));
    EXPECT_TRUE(first.review(0, at_ms(3'001)));
    EXPECT_TRUE(first.stands_in(at_ms(12'000)));
    EXPECT_FALSE(first.stands_in(at_ms(13'001)));
    last.confirm(at_ms(3'010)); // the first one's digest
    EXPECT_FALSE(last.review(1'000, at_ms(3'626)));
    EXPECT_FALSE(last.stands_in(at_ms(3'626)));
}

// A member must know in time though its subscribers are gone, a first call of its own
// gets no answer, and it is the last by rank.
TEST(EvacuationSync, TimesAddUpToLessThanTheBound)
{
    constexpr duration store_call_timeout = 1s;
    constexpr duration backoff = 100ms;
    auto const t = evacuation_times_for(bound);
    EXPECT_LT(t.max_age + t.max_stagger + store_call_timeout + backoff,
              bound * 9 / 10 - 500ms);
    EXPECT_LT(t.watch_wait * 2, t.max_age + 1us);
}

TEST(EvacuationSync, WindowBeginsAtTheFirstKnowledge)
{
    evacuation_sync sync(bound);
    sync.confirm(at_ms(1'000));
    sync.note("a", true, at_ms(1'200));
    sync.note("a", true, at_ms(2'000)); // written again
    EXPECT_EQ(sync.window("a"), window_of(at_ms(1'200), at_ms(1'000), bound));
    EXPECT_EQ(sync.window("b"), std::nullopt);
    sync.note("a", false, at_ms(3'000));
    EXPECT_EQ(sync.window("a"), std::nullopt);
    sync.note_old("c");
    EXPECT_FALSE(node_may_start(sync.window("c"), true, at_ms(1)));
}

TEST(EvacuationSync, RelaysDigestsWithoutNewsRarely)
{
    evacuation_sync sync(bound);
    EXPECT_TRUE(sync.relay_due(at_ms(1'000)));
    EXPECT_FALSE(sync.relay_due(at_ms(1'249)));
    EXPECT_TRUE(sync.relay_due(at_ms(1'250)));
}

// ---- the replica ----

// The fleet's versions have eras too, so the revisions compare by era first.
TEST(ConfigurationReplica, KnowsTheHighestRevisionOfTheLatestEra)
{
    replica copy;
    copy.note_config_revision(qualified_version(3, 100));
    copy.note_config_revision(qualified_version(4, 90));
    EXPECT_EQ(copy.config_revision(), qualified_version(4, 90));
    copy.note_config_revision(qualified_version(3, 500));
    EXPECT_EQ(copy.config_revision(), qualified_version(4, 90)) << "it came late";
    copy.note_config_revision(qualified_version(4, 120));
    EXPECT_EQ(copy.config_revision(), qualified_version(4, 120));
}

TEST(EvacuationReplica, KeepsThemApartFromTheFleet)
{
    replica copy;
    EXPECT_TRUE(copy.apply(evacuation("a", 5)));
    EXPECT_TRUE(copy.apply(evacuation("b", 6)));
    EXPECT_FALSE(copy.apply(evacuation_end("a", 5)));
    EXPECT_TRUE(copy.apply(evacuation_end("a", 8)));
    EXPECT_FALSE(copy.apply(evacuation("a", 7))); // it came late
    EXPECT_FALSE(copy.is_evacuated("a"));
    EXPECT_TRUE(copy.is_evacuated("b"));
    EXPECT_EQ(copy.evacuations().size(), 2U);
    EXPECT_TRUE(copy.changed_since(0).empty());
    EXPECT_EQ(copy.member_change_count(), 0U);
    copy.note_evacuation_revision(9);
    copy.note_evacuation_revision(4);
    EXPECT_EQ(copy.evacuation_revision(), 9U);
    auto const missing = copy.missing_from(object_kind::evacuations, 9, {});
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_EQ(missing.front(), evacuation_end("b", 9));
    EXPECT_TRUE(copy.missing_from(object_kind::fleet, 9, {}).empty());
    EXPECT_TRUE(copy.missing_from(object_kind::evacuations, 5, {}).empty());
}

// ---- eras of the store ----

// The store came back from an older copy and has forgotten the entry; operators are about
// to write it again.
TEST(EvacuationEra, WhatTheStoreForgotHoldsUntilItIsWrittenAgain)
{
    replica copy;
    copy.apply(evacuation("a", qualified_version(1, 500)));
    auto const listed = qualified_version(2, 430);
    EXPECT_TRUE(copy.missing_from(object_kind::evacuations, listed, {}, false).empty());
    EXPECT_TRUE(copy.apply(evacuation("a", qualified_version(2, 440))));
    EXPECT_TRUE(copy.apply(evacuation_end("a", qualified_version(2, 450))));
    EXPECT_FALSE(copy.apply(evacuation("a", qualified_version(1, 900))))
        << "it came late";
    EXPECT_FALSE(copy.is_evacuated("a"));
}

TEST(EvacuationEra, WhatIsNeverWrittenAgainEnds)
{
    replica copy;
    copy.apply(evacuation("a", qualified_version(1, 500)));
    auto const missing =
        copy.missing_from(object_kind::evacuations, qualified_version(2, 430), {}, true);
    ASSERT_EQ(missing.size(), 1U);
    EXPECT_TRUE(copy.apply(missing.front()));
    EXPECT_FALSE(copy.is_evacuated("a"));
}

TEST(EvacuationEra, SettlesOnceAfterEachRise)
{
    evacuation_sync sync(bound);
    sync.note_era(2, at_ms(1'000));
    EXPECT_TRUE(sync.is_settled(at_ms(1'000))) << "the first era is no rise";
    EXPECT_FALSE(sync.settles(at_ms(30'000)));
    sync.note_era(3, at_ms(40'000));
    sync.note_era(2, at_ms(41'000)); // an answer that came late
    sync.note_era(3, at_ms(59'000));
    EXPECT_FALSE(sync.is_settled(at_ms(59'999)));
    EXPECT_FALSE(sync.settles(at_ms(59'999)));
    EXPECT_TRUE(sync.settles(at_ms(60'000)));
    EXPECT_FALSE(sync.settles(at_ms(60'001)));
}

// ---- placement of shards ----

member_record member_in(std::string const& node, std::string const& domain)
{
    member_record m;
    m.id = {.node = node, .incarnation = 1};
    m.endpoint = "tcp://127.0.0.1:1";
    m.region = "r";
    m.domain = domain;
    m.watchers = {{.node = "w", .incarnation = 1}};
    m.targets = {{.service = "s", .slots = 10, .incarnation = "1"}};
    m.generation = 1;
    return m;
}

replica fleet_of_three(std::vector<std::string> const& evacuated)
{
    replica copy;
    std::uint64_t version = 1;
    for (auto const* name : {"a", "b", "c"})
        copy.apply({.name = member_object(name),
                    .version = version++,
                    .value = member_in(name, std::string("domain-") + name)});
    for (auto const& domain : evacuated)
        copy.apply(evacuation(domain, version++));
    return copy;
}

owner_id owner_on(std::string const& node)
{
    return {.node = node, .generation = 1};
}

TEST(EvacuationPlan, ShardsLeaveTheDomain)
{
    auto copy = fleet_of_three({"domain-a"});
    shard_group_record group{.service = "s", .first_shard = 0, .assignments = {}};
    group.assignments.assign(4, {.owner = owner_on("a"), .epoch = 3, .successor = {}});
    copy.apply({.name = shard_group_object("s", 0), .version = 100, .value = group});
    auto const changes =
        plan(make_plan_input(copy, {.name = "s", .shards = 4}, nullptr, at_ms(0)), {});
    ASSERT_EQ(changes.size(), 4U);
    for (auto const& c : changes)
        EXPECT_NE(c.to, owner_on("a"));
}

TEST(EvacuationPlan, NothingMovesIfAllDomainsAreEvacuated)
{
    auto copy = fleet_of_three({"domain-a", "domain-b", "domain-c"});
    shard_group_record group{.service = "s", .first_shard = 0, .assignments = {}};
    group.assignments.assign(4, {.owner = owner_on("a"), .epoch = 3, .successor = {}});
    copy.apply({.name = shard_group_object("s", 0), .version = 100, .value = group});
    auto const input =
        make_plan_input(copy, {.name = "s", .shards = 4}, nullptr, at_ms(0));
    EXPECT_TRUE(plan(input, {}).empty());
}

TEST(EvacuationPlan, AMoveIntoTheDomainIsCancelled)
{
    auto copy = fleet_of_three({"domain-b"});
    shard_group_record group{.service = "s", .first_shard = 0, .assignments = {}};
    group.assignments.assign(
        1, {.owner = owner_on("a"), .epoch = 3, .successor = owner_on("b")});
    copy.apply({.name = shard_group_object("s", 0), .version = 100, .value = group});
    auto const next =
        next_shard_group(copy, {.name = "s", .shards = 1}, 0, {}, {}, {}, true, guards{});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->assignments.front().owner, owner_on("a"));
    EXPECT_FALSE(next->assignments.front().successor);
}

// ---- a fleet ----

fleet_options options(std::uint64_t seed)
{
    return {.members = 8, .seed = seed, .evacuation_bound = bound};
}

// Returns the members whose processes run and hold another opinion of the domain.
std::vector<std::uint32_t> mistaken(fake_fleet const& fleet, std::uint32_t domain,
                                    bool evacuated)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t i = 0; i < 8; ++i)
        if (auto const* c = fleet.process(i);
            c != nullptr &&
            c->copy().is_evacuated("d" + std::to_string(domain)) != evacuated)
            found.push_back(i);
    return found;
}

// Returns the members that watch the store's evacuations.
std::set<std::uint32_t> subscribers(fake_fleet const& fleet)
{
    std::set<std::uint32_t> found;
    for (std::uint32_t i = 0; i < 8; ++i)
        if (auto const* c = fleet.process(i);
            c != nullptr && c->subscriptions(fleet.clock_of(i)).evacuations)
            found.insert(i);
    return found;
}

// Returns the shards owned in the domain, after the members' own knowledge.
std::size_t owned_in(fake_fleet const& fleet, std::uint32_t domain)
{
    std::size_t owned = 0;
    for (std::uint32_t i = 0; i < 8; ++i)
        if (auto const* c = fleet.process(i);
            c != nullptr && fleet.domain_of(i) == domain)
            owned += c->shards().owned();
    return owned;
}

bool is_digest(control_message const& message)
{
    auto const* d = std::get_if<deltas>(&message);
    return d != nullptr &&
           std::any_of(d->objects.begin(), d->objects.end(),
                       [](object const& o)
                       { return kind_of(o.name) == object_kind::evacuations; });
}

bool reads_evacuations(store_operation const& operation)
{
    auto const* list = std::get_if<store_list>(&operation);
    auto const* watch = std::get_if<store_watch>(&operation);
    return (list != nullptr && list->kind == object_kind::evacuations) ||
           (watch != nullptr && watch->kind == object_kind::evacuations);
}

TEST(EvacuatedFleet, AllKnowSoonAndShardsMoveAndComeBack)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        fleet.schedule(10'200ms, [&] { EXPECT_TRUE(mistaken(fleet, 1, true).empty()); });
        fleet.schedule(13s, [&] { EXPECT_EQ(owned_in(fleet, 1), 0U); });
        fleet.schedule(20s, [&] { fleet.set_evacuated(1, false); });
        fleet.schedule(20'200ms, [&] { EXPECT_TRUE(mistaken(fleet, 1, false).empty()); });
        fleet.schedule(40s, [&] { EXPECT_GT(owned_in(fleet, 1), 0U); });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
        EXPECT_LT(fleet.max_gap(), 3s) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, ItSpreadsThoughTheSubscribersLoseTheStore)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        std::set<std::uint32_t> lost;
        fleet.lose_call = [&](std::uint32_t member, store_operation const& /*o*/)
        {
            return lost.contains(member);
        };
        fleet.schedule(9'900ms, [&] { lost = subscribers(fleet); });
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        fleet.schedule(14'500ms, [&] { EXPECT_TRUE(mistaken(fleet, 1, true).empty()); });
        fleet.schedule(18s, [&] { lost.clear(); });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, ItSpreadsThoughTheSubscribersDie)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        fleet.schedule(
            9'990ms,
            [&]
            {
                for (auto const i : subscribers(fleet))
                    fleet.begin_fault(
                        {.kind = fault::kill, .at = 0s, .member = i, .length = 3s});
            });
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        fleet.schedule(14'500ms, [&] { EXPECT_TRUE(mistaken(fleet, 1, true).empty()); });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, AMemberThatGetsNoDigestsReadsTheStore)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        fleet.drop = [&](member_id const& /*from*/, member_id const& to,
                         control_message const& message)
        {
            return fleet.now() > 9s && (to.node == "n1" || to.node == "n2") &&
                   is_digest(message);
        };
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        fleet.schedule(14s, [&] { EXPECT_TRUE(mistaken(fleet, 1, true).empty()); });
        fleet.schedule(20s, [&] { fleet.set_evacuated(1, false); });
        fleet.schedule(24s, [&] { EXPECT_TRUE(mistaken(fleet, 1, false).empty()); });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, ARestartInTheMiddleSendsNothingThere)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        std::vector<action> const restarts{
            {.kind = fault::kill, .at = 10'500ms, .member = 1, .length = 200ms},
            {.kind = fault::kill, .at = 11s, .member = 5, .length = 300ms},
            {.kind = fault::kill, .at = 16s, .member = 1, .length = 100ms}};
        fleet.schedule(17s, [&] { EXPECT_TRUE(mistaken(fleet, 1, true).empty()); });
        EXPECT_EQ(fleet.run(restarts), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, ASecondDomainWhileTheFirstEmpties)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        fake_fleet fleet(options(seed));
        fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
        fleet.schedule(10'700ms, [&] { fleet.set_evacuated(2, true); });
        fleet.schedule(20s,
                       [&]
                       {
                           EXPECT_EQ(owned_in(fleet, 1), 0U);
                           EXPECT_EQ(owned_in(fleet, 2), 0U);
                       });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, AllDomainsAndBack)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        fake_fleet fleet(options(seed));
        std::uint64_t executions = 0;
        for (std::uint32_t d = 0; d < 4; ++d)
        {
            fleet.schedule(10s, [&, d] { fleet.set_evacuated(d, true); });
            fleet.schedule(20s, [&, d] { fleet.set_evacuated(d, false); });
        }
        fleet.schedule(15s, [&] { executions = fleet.executions(); });
        fleet.schedule(20s, [&] { EXPECT_EQ(fleet.executions(), executions); });
        EXPECT_EQ(fleet.run({}), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, ItHoldsThroughRestartsAndLostHistory)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        fake_fleet fleet({.members = 8,
                          .seed = seed,
                          .granted_upstreams = seed % 2 == 0,
                          .evacuation_bound = bound});
        std::mt19937_64 random(seed);
        for (std::uint32_t d = 1; d < 3; ++d)
        {
            auto const at =
                duration(std::uniform_int_distribution<>(3'000'000, 12'000'000)(random));
            fleet.schedule(at, [&, d] { fleet.set_evacuated(d, true); });
            fleet.schedule(at + 9s, [&, d] { fleet.set_evacuated(d, false); });
        }
        std::vector<action> faults;
        for (auto const kind : {fault::kill, fault::leave, fault::kill_two, fault::forget,
                                fault::upstream_lost, fault::configure})
            for (auto const& a : random_actions(seed, kind))
                if (a.at < 15s)
                    faults.push_back(a);
        EXPECT_EQ(fleet.run(faults), std::nullopt) << "seed " << seed;
    }
}

TEST(EvacuatedFleet, NotReadWithoutABound)
{
    fake_fleet fleet({.members = 8, .seed = 3});
    fleet.lose_call = [](std::uint32_t /*member*/, store_operation const& operation)
    {
        EXPECT_FALSE(reads_evacuations(operation));
        return false;
    };
    fleet.drop = [](member_id const& /*from*/, member_id const& /*to*/,
                    control_message const& message)
    {
        EXPECT_FALSE(is_digest(message));
        return false;
    };
    fleet.schedule(10s, [&] { fleet.set_evacuated(1, true); });
    fleet.schedule(20s, [&] { EXPECT_EQ(mistaken(fleet, 1, false).size(), 0U); });
    fleet.schedule(30s, [&] { EXPECT_GT(owned_in(fleet, 1), 0U); });
    EXPECT_EQ(fleet.run({}), std::nullopt);
}

TEST(EvacuatedFleet, CallsDoNotGrowWithTheFleet)
{
    fake_fleet fleet(options(4));
    std::uint64_t reads = 0;
    fleet.lose_call = [&](std::uint32_t /*member*/, store_operation const& operation)
    {
        reads += fleet.now() > 10s && fleet.now() < 20s && reads_evacuations(operation);
        return false;
    };
    EXPECT_EQ(fleet.run({}), std::nullopt);
    // Two regions, two subscribers each, one watch a second.
    EXPECT_LE(reads, 44U);
}

} // namespace

} // namespace buckthornusher::test
