// Tests that each shard has at most one owner under random faults. The invariants are
// listed in fake_fleet.hpp.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rc
{

// Returns a generator of actions of the first kinds.
inline Gen<buckthornusher::test::action> any_action_of(int kinds)
{
    using namespace buckthornusher::test;
    return gen::build<action>(
        gen::set(&action::kind, gen::map(gen::inRange(0, kinds), [](int kind)
                                         { return static_cast<fault>(kind); })),
        gen::set(&action::at, gen::map(gen::inRange(2'000, 18'000), [](int ms)
                                       { return std::chrono::milliseconds(ms); })),
        gen::set(&action::member, gen::inRange<std::uint32_t>(0, 12)),
        gen::set(&action::length, gen::map(gen::inRange(100, 8'000), [](int ms)
                                           { return std::chrono::milliseconds(ms); })));
}

template <>
struct Arbitrary<buckthornusher::test::action>
{
    static Gen<buckthornusher::test::action> arbitrary()
    {
        return any_action_of(buckthornusher::test::fault_kinds);
    }
};

} // namespace rc

namespace buckthornusher::test
{
namespace
{

void check_case(fleet_options opts)
{
    opts.seed = *rc::gen::arbitrary<std::uint64_t>();
    // The size limits the number of actions only; the fields of each action are drawn
    // from their whole ranges.
    auto const any_action = rc::gen::resize(
        rc::kNominalSize,
        rc::any_action_of(opts.eras ? fault_kinds_with_eras : fault_kinds));
    auto const actions =
        *rc::gen::resize(16, rc::gen::container<std::vector<action>>(any_action));
    fake_fleet fleet(opts);
    auto const failure = fleet.run(actions);
    if (failure)
        RC_FAIL(*failure);
    RC_ASSERT(fleet.executions() > 0U);
}

// Seeds that once violated an invariant: a watcher that refused a lease had forgotten its
// last ack (2 to 53); members that watched each other were lost together (3, 13, 24, 36,
// 51); a replica never requested the changes that it had missed (92, 103, 298).
TEST(coordinator_property, regression_seeds)
{
    constexpr int original_kind_count = 13; // of faults, when the seeds were found
    for (std::uint64_t const seed :
         {2, 3, 4, 13, 14, 17, 22, 24, 26, 27, 36, 41, 49, 51, 53, 92, 103, 298})
        EXPECT_EQ(run_random_case(seed, guards{}, {}, false, original_kind_count),
                  std::nullopt)
            << "seed " << seed;
}

// Options of a fleet whose upstreams serve only granted keys.
fleet_options granted_fleet(std::uint32_t members, std::uint32_t domains)
{
    return {.members = members,
            .domains = domains,
            .lease = {.length = 2'840ms},
            .granted_upstreams = true};
}

action fault_at(fault kind, int at_ms, std::uint32_t member, int length_ms)
{
    return {.kind = kind,
            .at = std::chrono::milliseconds(at_ms),
            .member = member,
            .length = std::chrono::milliseconds(length_ms)};
}

// A minimized case that once violated an invariant.
struct regression_case
{
    char const* failure; // the fault in the coordinator
    fleet_options fleet;
    std::vector<action> actions;
};

std::vector<regression_case> regression_cases()
{
    auto const granted_case = [](std::uint32_t members, std::uint64_t seed)
    {
        auto opts = granted_fleet(members, 4);
        opts.seed = seed;
        return opts;
    };
    using enum fault;
    return {
        {"a planned stop, a new configuration and a partition while the store is down",
         {.members = 4, .domains = 2, .seed = 1},
         {fault_at(leave, 2'000, 0, 0), fault_at(store_down, 2'000, 0, 5'204),
          fault_at(configure, 2'000, 0, 0), fault_at(cut_member, 7'491, 0, 1'840)}},
        {"a region whose members all leave has no subscriber and no watchers",
         {.members = 4, .domains = 2, .seed = 2'065'303'409'245'079'485U},
         {fault_at(cut_domain, 17'984, 0, 3'424),
          fault_at(network_slow, 14'838, 6, 4'982),
          fault_at(cut_region, 3'201, 10, 6'598), fault_at(leave, 6'295, 2, 7'018),
          fault_at(network_lossy, 14'263, 5, 7'233),
          fault_at(upstream_lost, 4'483, 5, 6'754), fault_at(configure, 11'555, 7, 3'630),
          fault_at(leave, 6'030, 8, 5'244), fault_at(cut_domain, 6'082, 8, 1'555)}},
        {"a member receives its own record from a peer and keeps the old generation",
         {.members = 4, .domains = 2, .seed = 17'456'175'229U},
         {fault_at(kill_two, 8'289, 10, 566), fault_at(cut_domain, 3'970, 8, 4'138),
          fault_at(configure, 6'889, 3, 1'550), fault_at(store_delays, 12'242, 4, 5'891),
          fault_at(pause, 7'991, 11, 4'077), fault_at(network_slow, 10'660, 0, 733),
          fault_at(cut_member, 3'342, 5, 6'756), fault_at(cut_member, 2'868, 9, 4'321),
          fault_at(upstream_lost, 12'961, 0, 7'536), fault_at(forget, 11'612, 9, 6'574)}},
        {"a shard that was granted at an earlier epoch is never released",
         granted_case(12, 8),
         {fault_at(configure, 2'142, 9, 4'765), fault_at(cut_member, 10'439, 9, 5'152),
          fault_at(upstream_lost, 14'924, 0, 6'818),
          fault_at(network_slow, 9'952, 8, 2'482),
          fault_at(upstream_lost, 3'201, 4, 5'557), fault_at(pause, 12'286, 3, 3'251)}},
        {"shards held under acks of earlier watchers are reassigned without waiting",
         granted_case(6, 1'935'041'877'556U),
         {fault_at(kill, 4'142, 10, 5'280), fault_at(cut_member, 2'253, 6, 1'430)}},
        {"watchers that return end a lease that other watchers granted in between",
         granted_case(12, 2'045'008'357'162'743U),
         {fault_at(network_lossy, 9'042, 10, 6'626),
          fault_at(cut_member, 6'349, 3, 4'597), fault_at(store_delays, 6'072, 10, 6'088),
          fault_at(forget, 3'497, 7, 5'651), fault_at(pause, 17'890, 5, 3'428),
          fault_at(cut_member, 9'172, 1, 7'937), fault_at(network_lossy, 5'061, 8, 4'563),
          fault_at(store_loses, 10'068, 7, 2'181), fault_at(leave, 7'754, 9, 6'350),
          fault_at(cut_domain, 15'063, 4, 5'268)}},
        {"changes are sent for a revision range of which a part was left out",
         {.members = 4, .domains = 2, .seed = 1'247},
         {fault_at(store_loses, 12'592, 6, 4'141), fault_at(store_down, 16'313, 0, 6'093),
          fault_at(configure, 9'184, 1, 4'688), fault_at(store_down, 5'430, 11, 2'859),
          fault_at(pause, 9'844, 3, 7'483), fault_at(cut_member, 5'958, 7, 1'872),
          fault_at(configure, 5'650, 0, 2'062), fault_at(network_lossy, 5'647, 9, 5'779),
          fault_at(forget, 14'665, 9, 5'050), fault_at(cut_domain, 4'273, 3, 6'392),
          fault_at(kill, 8'198, 5, 4'357), fault_at(leave, 14'071, 4, 3'469),
          fault_at(pause, 8'769, 1, 4'384)}},
    };
}

TEST(coordinator_property, minimized_regression_cases)
{
    for (auto const& c : regression_cases())
    {
        fake_fleet fleet(c.fleet);
        EXPECT_EQ(fleet.run(c.actions), std::nullopt) << c.failure;
    }
}

TEST(coordinator_property, an_overtaken_report_does_not_grant_a_shard_again)
{
    using enum fault;
    auto opts = granted_fleet(6, 4);
    opts.seed = 12'930'191'411U;
    fake_fleet fleet(opts);
    EXPECT_EQ(
        fleet.run({fault_at(kill, 9'337, 4, 1'832), fault_at(kill_two, 2'005, 4, 4'555),
                   fault_at(cut_region, 3'693, 0, 1'854),
                   fault_at(network_slow, 9'896, 0, 1'255)}),
        std::nullopt);
}

// A key must be served again within 5 s of the loss of its owner.
TEST(coordinator_property,
     a_member_that_only_the_store_reaches_is_replaced_within_the_target)
{
    constexpr true_time recovery_target = 5s;
    constexpr true_time cut_at = 8s;
    for (bool const with_grants : {false, true})
        for (std::uint32_t const members : {4U, 6U, 12U})
            for (auto const kind : {fault::cut_member, fault::cut_domain})
                for (std::uint64_t seed = 1; seed <= 10; ++seed)
                {
                    auto opts = granted_fleet(members, 4);
                    opts.granted_upstreams = with_grants;
                    opts.seed = seed;
                    opts.faults_end = 16s;
                    opts.end = 20s;
                    fake_fleet fleet(opts);
                    auto const at = cut_at + seed * 37ms;
                    EXPECT_EQ(
                        fleet.run({{.kind = kind, .at = at, .member = 0, .length = 7s}}),
                        std::nullopt);
                    EXPECT_LE(fleet.max_gap().count(), recovery_target.count())
                        << members << " members, granted " << with_grants << ", seed "
                        << seed;
                }
}

// A member that hears nothing from the only other domain cannot tell whether that domain
// is lost or the member itself is cut off. It must recover the shards in either case.
TEST(coordinator_property, the_loss_of_one_of_two_domains_is_recovered_within_the_target)
{
    constexpr true_time recovery_target = 5s;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_fleet fleet({.members = 6,
                          .domains = 2,
                          .regions = 1,
                          .seed = seed,
                          .faults_end = 16s,
                          .end = 20s});
        EXPECT_EQ(fleet.run({fault_at(fault::kill, 8'000, 1, 20'000),
                             fault_at(fault::kill, 8'000, 3, 20'000),
                             fault_at(fault::kill, 8'000, 5, 20'000)}),
                  std::nullopt)
            << "seed " << seed;
        EXPECT_LE(fleet.max_gap().count(), recovery_target.count()) << "seed " << seed;
    }
}

// Guards against copies of a large document that fill the links between nodes.
TEST(coordinator_property, a_document_is_sent_to_each_member_once)
{
    fake_fleet fleet({.members = 24, .domains = 6, .faults_end = 14s, .end = 20s});
    std::map<std::pair<std::uint64_t, std::string>, int>
        copies; // by version and receiver
    fleet.drop =
        [&](member_id const&, member_id const& to, control_message const& message)
    {
        if (auto const* changes = std::get_if<deltas>(&message))
            for (auto const& o : changes->objects)
                if (o.name == config_object)
                    ++copies[{o.version, to.node}];
        return false;
    };
    EXPECT_EQ(fleet.run({{.kind = fault::configure, .at = 8s},
                         {.kind = fault::configure, .at = 12s}}),
              std::nullopt);
    EXPECT_FALSE(copies.empty());
    for (auto const& [key, count] : copies)
        EXPECT_EQ(count, 1) << "version " << key.first << " to " << key.second;
}

// Watchers that can no longer form a majority are replaced even if only one other member
// is left.
TEST(coordinator_property, two_remaining_members_get_leases)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_fleet fleet({.members = 4, .domains = 4, .seed = seed, .end = 30s});
        EXPECT_EQ(fleet.run({fault_at(fault::kill, 8'000, 2, 60'000),
                             fault_at(fault::kill, 11'000, 3, 60'000)}),
                  std::nullopt)
            << "seed " << seed;
    }
}

RC_GTEST_PROP(coordinator_property, six_members_in_four_domains, ())
{
    check_case({.members = 6, .domains = 4});
}

RC_GTEST_PROP(coordinator_property, twelve_members_in_four_domains, ())
{
    check_case({.members = 12, .domains = 4});
}

RC_GTEST_PROP(coordinator_property, four_granted_upstreams_in_two_domains, ())
{
    check_case(granted_fleet(4, 2));
}

RC_GTEST_PROP(coordinator_property, six_granted_upstreams_in_four_domains, ())
{
    check_case(granted_fleet(6, 4));
}

RC_GTEST_PROP(coordinator_property, twelve_granted_upstreams_in_four_domains, ())
{
    check_case(granted_fleet(12, 4));
}

// ---- the store comes back from an older copy ----

// Guards against tokens that fall and keys that two upstreams hold after the store forgot
// the last seconds, also if all who knew them are killed (review/7).
RC_GTEST_PROP(coordinator_property, granted_upstreams_and_a_store_that_forgets, ())
{
    auto opts = granted_fleet(6, 4);
    opts.eras = true;
    check_case(opts);
}

RC_GTEST_PROP(coordinator_property, members_and_a_store_that_forgets, ())
{
    check_case({.members = 4, .domains = 2, .eras = true});
}

// The case of the review: shards move, the store forgets the moves, all nodes restart.
TEST(coordinator_property, epochs_rise_over_a_rewind_and_the_restart_of_all_members)
{
    using enum fault;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        auto opts = granted_fleet(4, 4);
        opts.eras = true;
        opts.seed = seed;
        fake_fleet fleet(opts);
        EXPECT_EQ(
            fleet.run({fault_at(upstream_lost, 6'000, 1, 0),
                       fault_at(kill, 7'000, 0, 6'000), fault_at(leave, 8'000, 2, 0),
                       fault_at(rewind, 14'000, 0, 1'000),
                       fault_at(kill_all, 15'050, 0, 200)}),
            std::nullopt)
            << "seed " << seed;
    }
}

// Members that live through it know what the store forgot: nobody waits for its shard.
TEST(coordinator_property, a_rewind_alone_interrupts_no_shard)
{
    constexpr true_time longest_gap = 3s; // of a rewind while shards move
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        auto opts = granted_fleet(6, 4);
        opts.eras = true;
        opts.seed = seed;
        fake_fleet fleet(opts);
        EXPECT_EQ(fleet.run({fault_at(fault::rewind, 12'000, 0, 1'000)}), std::nullopt)
            << "seed " << seed;
        EXPECT_LE(fleet.max_gap().count(), longest_gap.count()) << "seed " << seed;
    }
}

RC_GTEST_PROP(coordinator_property, four_members_in_two_domains, ())
{
    check_case({.members = 4, .domains = 2});
}

} // namespace
} // namespace buckthornusher::test
