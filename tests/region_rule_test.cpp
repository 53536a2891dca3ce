// Requests bound to regions: the rule itself, and properties over regions, members,
// drains, moves and documents that nothing leaves them. The load is that of services in
// several regions with callers in all, whose documents change and whose nodes are lost.
#include "buckthornusher/region_rule.hpp"

#include "coordination/assigner.hpp"
#include "process/region_routes.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace buckthornusher
{
namespace
{

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> all_regions{"a", "b", "c"};

std::string any_region()
{
    return all_regions.at(*rc::gen::inRange<std::size_t>(0, all_regions.size()));
}

// Returns a list as in a document; empty: any.
std::vector<std::string> any_regions()
{
    std::vector<std::string> names;
    for (auto const* name : all_regions)
        if (*rc::gen::inRange(0, 2) == 0)
            names.emplace_back(name);
    return names;
}

instant at(duration since)
{
    return instant(since);
}

// ---- sets of regions ----

TEST(region_bound, an_empty_list_allows_all_regions)
{
    region_bound const free;
    EXPECT_FALSE(free.bound());
    EXPECT_TRUE(free.allows("a"));
    EXPECT_TRUE(free.allows(""));
    EXPECT_EQ(region_bound(std::vector<std::string>{}), free);
}

TEST(region_bound, allows_what_it_names)
{
    region_bound const bound({"b", "a", "b"});
    EXPECT_TRUE(bound.allows("a"));
    EXPECT_FALSE(bound.allows("c"));
    EXPECT_FALSE(bound.allows(""));
    EXPECT_EQ(to_string(bound), "a,b");
}

TEST(region_bound, a_name_without_text_frees_nothing)
{
    region_bound const none({""});
    EXPECT_TRUE(none.bound());
    EXPECT_FALSE(none.allows(""));
    EXPECT_FALSE(none.allows("a"));
    EXPECT_EQ(to_string(none), "none");
}

RC_GTEST_PROP(region_bound, combinations_allow_what_both_or_either_allow, ())
{
    region_bound const a(any_regions());
    region_bound const b(any_regions());
    for (auto const* r : all_regions)
    {
        RC_ASSERT(both(a, b).allows(r) == (a.allows(r) && b.allows(r)));
        RC_ASSERT(either(a, b).allows(r) == (a.allows(r) || b.allows(r)));
    }
    RC_ASSERT(both(a, b).bound() == (a.bound() || b.bound()));
    RC_ASSERT(region_bound(both(a, b).names()) == both(a, b));
}

// Also a set without any region, which must not arrive as all of them.
RC_GTEST_PROP(region_bound, travels_with_the_request, ())
{
    upstream_request request;
    request.regions = both(region_bound(any_regions()), region_bound(any_regions()));
    wire::Forward message;
    encode(request, message);
    RC_ASSERT(decode(message).regions == request.regions);
}

TEST(region_bound, a_body_may_cross_the_callers_region)
{
    region_bound const bound({"a"});
    EXPECT_TRUE(may_carry(bound, "a", "b"));
    EXPECT_TRUE(may_carry(bound, "b", "b"));
    EXPECT_FALSE(may_carry(bound, "c", "b"));
    EXPECT_TRUE(may_carry({}, "c", "b"));
}

// ---- owners ----

TEST(owner_regions, are_those_that_all_routes_allow)
{
    region_bound const ab({"a", "b"});
    region_bound const bc({"b", "c"});
    EXPECT_EQ(owner_regions({ab, bc}), region_bound({"b"}));
    EXPECT_EQ(owner_regions({region_bound({"a"}), region_bound({"c"})}),
              region_bound({"a", "c"}));
    EXPECT_EQ(owner_regions({ab, region_bound()}), region_bound());
    EXPECT_EQ(owner_regions({}), region_bound());
}

TEST(owner_regions, leave_out_routes_without_weight)
{
    auto const parsed =
        parse_document("environment = \"t\"\n[service.k]\n[service.l]\n"
                       "[[service.k.route]]\nprefix = \"/k/\"\nregions = [\"a\"]\n"
                       "[[service.l.route]]\nprefix = \"/l/\"\n");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(owner_regions_of(parsed.value(), "k"), region_bound({"a"}));
    EXPECT_EQ(owner_regions_of(parsed.value(), "l"), region_bound());
    auto split = parsed.value();
    split.routes.back().services = {{.service = "k", .weight = 0},
                                    {.service = "l", .weight = 1}};
    EXPECT_EQ(owner_regions_of(split, "k"), region_bound({"a"}));
    split.routes.back().services.front().weight = 1;
    EXPECT_EQ(owner_regions_of(split, "k"), region_bound());
}

// ---- requests that no allowed region can take ----

TEST(region_refusal, waits_while_upstreams_become_known)
{
    region_bound const bound({"a"});
    region_supply const elsewhere{.outside = true, .known_since = at(10s)};
    EXPECT_EQ(refusal_without_upstream(bound, {}, at(60s)), std::nullopt);
    EXPECT_EQ(refusal_without_upstream(bound, elsewhere, at(12s)), std::nullopt);
    EXPECT_EQ(refusal_without_upstream(bound, elsewhere, at(13s)), duration(1s));
    EXPECT_EQ(refusal_without_upstream({}, elsewhere, at(13s)), std::nullopt);
    EXPECT_EQ(refusal_without_upstream(bound, {.inside = true, .outside = true}, at(60s)),
              std::nullopt);
}

TEST(region_refusal, an_owner_outside_is_refused_with_a_hint_at_its_move)
{
    region_bound const bound({"a"});
    EXPECT_EQ(refusal_at_owner(bound, "a", std::nullopt), std::nullopt);
    EXPECT_EQ(refusal_at_owner(bound, "b", std::nullopt), duration(1s));
    EXPECT_EQ(refusal_at_owner(bound, "b", "c"), duration(1s));
    EXPECT_EQ(refusal_at_owner(bound, "b", "a"), duration(300ms));
    EXPECT_EQ(refusal_at_owner({}, "b", std::nullopt), std::nullopt);
}

// ---- no path leaves the regions ----

member_record any_member(std::uint32_t n)
{
    return {.id = {.node = "n" + std::to_string(n), .incarnation = 1},
            .generation = 1,
            .endpoint = "tcp://n",
            .region = any_region(),
            .domain = "d",
            .state =
                *rc::gen::inRange(0, 5) == 0 ? member_state::gone : member_state::live,
            .watchers = {{.node = "w", .incarnation = 1}},
            .targets = {{.service = "k",
                         .slots = 4,
                         .incarnation = "u",
                         .draining = *rc::gen::inRange(0, 5) == 0}},
            .draining = *rc::gen::inRange(0, 5) == 0};
}

// Members are lost, drain and come back, documents change the regions, owners release
// their shards or do not: whatever the owners were, no new owner and no new successor is
// outside the regions of the moment.
RC_GTEST_PROP(regions, no_shard_is_given_to_an_owner_outside, ())
{
    auto const members = *rc::gen::inRange<std::uint32_t>(1, 6);
    auto const shards = *rc::gen::inRange<std::uint32_t>(1, 12);
    replica copy;
    std::uint64_t version = 0;
    std::vector<std::string> homes; // a node's region does not change
    for (std::uint32_t n = 0; n < members; ++n)
        homes.push_back(any_region());
    auto const write_member = [&](std::uint32_t n)
    {
        auto m = any_member(n);
        m.region = homes[n];
        copy.apply({.name = member_object(m.id.node), .version = ++version, .value = m});
    };
    for (std::uint32_t n = 0; n < members; ++n)
        write_member(n);
    for (int round = 0; round < 12; ++round)
    {
        write_member(*rc::gen::inRange<std::uint32_t>(0, members));
        keyed_service const service{
            .name = "k", .shards = shards, .regions = region_bound(any_regions())};
        release_table releases;
        std::vector<assignment> before(shards);
        for (std::uint32_t s = 0; s < shards; ++s)
        {
            auto const* a = copy.find_assignment({"k", s});
            if (a == nullptr)
                continue;
            before[s] = *a;
            if (*rc::gen::arbitrary<bool>())
                note_release(releases, {.shard = {"k", s}, .epoch = a->epoch});
        }
        auto const input = make_plan_input(copy, service, nullptr, at(1s));
        auto const changes = plan(input, {});
        auto const next =
            next_shard_group(copy, service, 0, changes, releases, {}, true, {});
        if (!next)
            continue;
        copy.apply(
            {.name = shard_group_object("k", 0), .version = ++version, .value = *next});
        for (std::uint32_t s = 0; s < shards; ++s)
        {
            auto const& a = next->assignments[s];
            auto const inside = [&](owner_id const& id)
            {
                return service.regions.allows(copy.node(id.node)->region);
            };
            if (a.owner && a.owner != before[s].owner)
                RC_ASSERT(inside(a.owner));
            if (a.successor && a.successor != before[s].successor)
                RC_ASSERT(inside(a.successor));
        }
    }
}

std::shared_ptr<route_table const> routes_bound_to(std::vector<std::string> regions)
{
    document doc;
    doc.services.push_back({.name = "s", .keyed = false});
    doc.routes.push_back(
        {.prefix = "/", .services = {{.service = "s"}}, .regions = std::move(regions)});
    return std::make_shared<route_table const>(std::move(doc));
}

// A request waits, is sent, refused, redirected and sent again, each time under the
// document of the moment; the nodes that get it have documents of their own. It runs only
// where all documents allow it that it met since it arrived.
RC_GTEST_PROP(regions, no_request_runs_outside_any_document_that_it_met, ())
{
    http_request const request{.method = "GET", .target = "/x"};
    region_bound bound;
    std::vector<region_bound> met;
    auto const meet = [&](region_bound const& before)
    {
        auto const regions = any_regions();
        met.emplace_back(regions);
        return regions_now(routes_bound_to(regions).get(), request, before);
    };
    for (int sending = 0; sending < 8; ++sending)
    {
        bound = meet(bound);
        auto const owner = any_region();
        auto const next = *rc::gen::arbitrary<bool>()
                              ? std::optional<std::string>(any_region())
                              : std::nullopt;
        if (refusal_at_owner(bound, owner, next))
            continue;
        for (auto const& m : met)
            RC_ASSERT(m.allows(owner)); // where its body goes
        upstream_request sent;
        sent.regions = bound;
        wire::Forward message;
        encode(sent, message);
        auto const met_before = met.size();
        auto const here = meet(decode(message).regions);
        if (here.allows(owner))
            for (auto const& m : met)
                RC_ASSERT(m.allows(owner)); // where it runs
        met.resize(met_before);             // the sender has not met that node's document
    }
}

} // namespace
} // namespace buckthornusher
