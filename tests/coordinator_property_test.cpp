// One owner at most, through random failures; see fake_fleet.hpp for what is judged.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rc
{

template <>
struct Arbitrary<buckthornusher::test::action>
{
    static Gen<buckthornusher::test::action> arbitrary()
    {
        using namespace buckthornusher::test;
        return gen::build<action>(
            gen::set(&action::kind, gen::map(gen::inRange(0, fault_kinds), [](int kind)
                                             { return static_cast<fault>(kind); })),
            gen::set(&action::at, gen::map(gen::inRange(2'000, 18'000), [](int ms)
                                           { return std::chrono::milliseconds(ms); })),
            gen::set(&action::member, gen::inRange<std::uint32_t>(0, 12)),
            gen::set(&action::length,
                     gen::map(gen::inRange(100, 8'000),
                              [](int ms) { return std::chrono::milliseconds(ms); })));
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
    // The size bounds the number of actions; each action is drawn from its whole range.
    auto const one = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<action>());
    auto const actions =
        *rc::gen::resize(16, rc::gen::container<std::vector<action>>(one));
    fake_fleet fleet(opts);
    auto const failure = fleet.run(actions);
    if (failure)
        RC_FAIL(*failure);
    RC_ASSERT(fleet.executions() > 0U);
}

// Cases that found faults: a refusing watcher that had forgotten its last ack (2 to 53),
// members that were lost together and watched each other (3, 13, 24, 36, 51), a replica
// that never asked for what it had missed (92, 103, 298).
TEST(coordinator_property, cases_that_found_faults)
{
    constexpr int kinds_then = 13; // that the cases were drawn from
    for (std::uint64_t const seed :
         {2, 3, 4, 13, 14, 17, 22, 24, 26, 27, 36, 41, 49, 51, 53, 92, 103, 298})
        EXPECT_EQ(run_random_case(seed, guards{}, {}, kinds_then), std::nullopt)
            << "seed " << seed;
}

RC_GTEST_PROP(coordinator_property, six_members_in_four_domains, ())
{
    check_case({.members = 6, .domains = 4});
}

RC_GTEST_PROP(coordinator_property, twelve_members_in_four_domains, ())
{
    check_case({.members = 12, .domains = 4});
}

RC_GTEST_PROP(coordinator_property, four_members_in_two_domains, ())
{
    check_case({.members = 4, .domains = 2});
}

} // namespace
} // namespace buckthornusher::test
