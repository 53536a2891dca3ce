// Tests that the simulated fleet detects protocol errors: with one guard of the protocol
// switched off, an invariant of fake_fleet.hpp must fail in some case; with all guards on
// it holds in the same case. Guards of the lease alone are tested in
// lease_property_test.cpp.
#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace buckthornusher::test
{
namespace
{

struct guard_case
{
    char const* name;
    bool guards::*guard;
    std::optional<fault> only_fault = {}; // the only kind of fault, or all kinds
    bool granted_upstreams = false;       // upstreams serve only granted keys
};

std::ostream& operator<<(std::ostream& out, guard_case const& c)
{
    return out << c.name;
}

class guard_switched_off : public testing::TestWithParam<guard_case>
{
};

TEST_P(guard_switched_off, is_detected)
{
    constexpr std::uint64_t cases = 400;
    guards g;
    g.*GetParam().guard = false;
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        auto const failure =
            run_random_case(seed, g, GetParam().only_fault, GetParam().granted_upstreams);
        if (!failure)
            continue;
        std::cout << "seed " << seed << ": " << *failure << "\n";
        EXPECT_EQ(run_random_case(seed, guards{}, GetParam().only_fault,
                                  GetParam().granted_upstreams),
                  std::nullopt)
            << "with all guards on";
        return;
    }
    FAIL() << "no invariant failed in " << cases << " cases with the guard switched off";
}

// Upstreams that check neither epochs nor deadlines may continue a request after the
// lease, so the next owner must wait for the longest request. Partitions end leases while
// requests run.
std::optional<std::string> run_unfenced_case(std::uint64_t seed, duration wait)
{
    fake_fleet fleet(
        {.members = 6, .seed = seed, .unfenced = true, .unfenced_wait = wait});
    return fleet.run(
        random_actions(seed, seed % 2 == 0 ? fault::cut_member : fault::cut_domain));
}

TEST(unfenced_upstreams, executions_overlap_only_without_the_wait)
{
    constexpr std::uint64_t cases = 100;
    std::uint64_t overlaps = 0;
    for (std::uint64_t seed = 1; seed <= cases; ++seed)
    {
        EXPECT_EQ(run_unfenced_case(seed, 1'050ms), std::nullopt) << "seed " << seed;
        overlaps += run_unfenced_case(seed, 0ms) ? 1 : 0;
    }
    EXPECT_GT(overlaps, 0U);
}

// A process is killed, restarts, and is partitioned before its new watchers have acked
// it, so they evict it soon after. Without the wait for the leases of the previous
// process, another member is assigned shards that the upstream still holds.
std::optional<std::string> run_restart_before_cut(std::uint64_t seed, true_time downtime,
                                                  true_time cut_delay, guards g)
{
    constexpr true_time killed_at = 5s;
    fake_fleet fleet({.seed = seed,
                      .guard = g,
                      .lease = {.length = 2'840ms},
                      .faults_end = 12s,
                      .end = 16s,
                      .granted_upstreams = true});
    return fleet.run({{fault::kill, killed_at, 0, downtime},
                      {fault::cut_member, killed_at + downtime + cut_delay, 0, 6s}});
}

TEST(earlier_leases, a_restart_before_a_cut_is_detected_without_the_wait)
{
    guards off;
    off.wait_for_earlier_leases = false;
    int detected = 0;
    for (std::uint64_t const seed : {5, 21, 28, 44, 46, 62})
        for (true_time const downtime : {50ms, 100ms, 200ms})
            for (true_time cut_delay = 10ms; cut_delay <= 50ms; cut_delay += 10ms)
            {
                EXPECT_EQ(run_restart_before_cut(seed, downtime, cut_delay, {}),
                          std::nullopt)
                    << "seed " << seed << ", " << cut_delay.count() << " us";
                auto const failure =
                    run_restart_before_cut(seed, downtime, cut_delay, off);
                detected += failure && failure->ends_with("at once") ? 1 : 0;
            }
    EXPECT_GT(detected, 0);
}

INSTANTIATE_TEST_SUITE_P(
    all, guard_switched_off,
    testing::Values(
        guard_case{"wait_after_refusal", &guards::wait_after_refusal},
        guard_case{"watch_permission", &guards::watch_permission, fault::cut_region},
        guard_case{"permission_without_lease", &guards::permission_without_lease},
        guard_case{"release_before_move", &guards::release_before_move},
        guard_case{"check_before_send", &guards::check_before_send, fault::pause},
        guard_case{"count_from_sending", &guards::count_from_sending,
                   fault::network_slow}),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace buckthornusher::test
