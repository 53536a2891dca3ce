// Tests of grants, against a model of an upstream with its own clock.
#include "buckthornusher/grant_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

namespace buckthornusher
{
namespace
{

constexpr std::uint32_t shards = 8;

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

// An upstream that holds what the last answer granted until the grant expires by its own
// clock, and continues to process requests of a released shard for a while.
class model_upstream
{
public:
    explicit model_upstream(int slow_percent) : m_slow_percent(slow_percent) {}

    bool holds(std::uint32_t shard, instant now) const
    {
        auto const it = m_holds.find(shard);
        return it != m_holds.end() && now < it->second.until;
    }

    upstream_report report(instant now)
    {
        upstream_report r;
        r.service = "s";
        r.serves_only_granted = true;
        r.sequence = ++m_sequence;
        std::erase_if(m_holds, [&](auto const& h) { return now >= h.second.until; });
        std::erase_if(m_in_use, [&](auto const& w) { return now >= w.second; });
        for (auto const& [shard, h] : m_holds)
            r.holds.push_back(
                {.keys = numbers_of_shard(shard, shards), .epoch = h.epoch});
        for (auto const& entry : m_in_use)
            if (!m_holds.contains(entry.first))
                r.holds.push_back({.keys = numbers_of_shard(entry.first, shards)});
        for (auto const& shard : m_freed)
            r.freed.push_back({.keys = numbers_of_shard(shard, shards),
                               .handover = "h" + std::to_string(shard)});
        return r;
    }

    // `sent`: when the report was sent. Shards that the grant leaves out are released at
    // once, except for requests that run until `busy_until`.
    void take(upstream_grant const& grant, instant sent, instant now, instant busy_until)
    {
        auto const until = sent + grant.valid_for * (100 + m_slow_percent) / 100;
        std::map<std::uint32_t, hold> next;
        for (auto const& range : grant.ranges)
            for (std::uint32_t s = 0; s < shards; ++s)
                if (range.keys.first <= numbers_of_shard(s, shards).first &&
                    numbers_of_shard(s, shards).last <= range.keys.last)
                    next[s] = {.until = until, .epoch = range.epoch};
        m_freed.clear();
        for (auto const& entry : m_holds)
            if (!next.contains(entry.first))
            {
                m_freed.push_back(entry.first);
                // Requests end with the grant under which they began.
                if (busy_until > now)
                    m_in_use[entry.first] = std::min(busy_until, entry.second.until);
            }
        m_holds = std::move(next);
    }

    bool in_use(std::uint32_t shard, instant now) const
    {
        auto const it = m_in_use.find(shard);
        return it != m_in_use.end() && now < it->second;
    }

private:
    struct hold
    {
        instant until;
        std::uint64_t epoch = 0;
    };

    int m_slow_percent;
    std::uint64_t m_sequence = 0;
    std::map<std::uint32_t, hold> m_holds;
    std::map<std::uint32_t, instant> m_in_use;
    std::vector<std::uint32_t> m_freed;
};

std::vector<wanted_shard> all_shards(std::uint64_t epoch)
{
    std::vector<wanted_shard> wanted;
    for (std::uint32_t s = 0; s < shards; ++s)
        wanted.push_back({.index = s, .epoch = epoch, .handover = ""});
    return wanted;
}

// Answers are lost, leases end and shards move. The upstream must hold nothing after the
// lease under which it was last granted, and a shard that the table returns as released
// must be neither held nor in use.
RC_GTEST_PROP(grant_table, nothing_is_held_beyond_the_lease_or_after_its_release, ())
{
    model_upstream upstream(*rc::gen::inRange(-2, 3));
    grant_table table(shards, {});
    auto now = at_ms(1'000'000);
    instant last_lease;
    std::map<std::uint32_t, bool> leaving;
    for (int i = 0; i < 60; ++i)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(50, 1'500));
        auto const sent = now;
        auto const report = upstream.report(now);
        now += std::chrono::milliseconds(
            *rc::gen::inRange(0, 300)); // network delay of the report
        auto const lease =
            now + std::chrono::milliseconds(*rc::gen::inRange(-500, 3'000));
        bool const expects_shards = *rc::gen::arbitrary<bool>();
        std::vector<wanted_shard> wanted;
        std::vector<wanted_shard> left;
        for (std::uint32_t s = 0; s < shards; ++s)
        {
            if (!leaving[s] && *rc::gen::inRange(0, 10) == 0)
            {
                leaving[s] = true;
                left.push_back({.index = s, .epoch = 1, .handover = ""});
            }
            if (!leaving[s])
                wanted.push_back({.index = s,
                                  .epoch = 1,
                                  .handover = "",
                                  .idle = *rc::gen::arbitrary<bool>()});
        }
        auto const grant =
            table.on_report(report, wanted, left, expects_shards, lease, now);
        for (auto const& r : table.take_released(now))
        {
            RC_ASSERT(leaving[r.index]);
            RC_ASSERT(!upstream.holds(r.index, now));
            RC_ASSERT(!upstream.in_use(r.index, now));
        }
        bool const lost = *rc::gen::inRange(0, 4) == 0;
        if (grant && !lost)
        {
            last_lease = lease;
            upstream.take(*grant, sent, now,
                          now + std::chrono::milliseconds(*rc::gen::inRange(-100, 400)));
        }
        // Nothing is held at the end of the lease, even if no further answer arrives.
        for (std::uint32_t s = 0; s < shards; ++s)
            RC_ASSERT(!upstream.holds(s, last_lease));
        // If the answer arrived, the upstream holds each shard until held_until(), or for
        // 97 % of the granted time if that is shorter, as its clock may run fast.
        for (std::uint32_t s = 0; grant && !lost && s < shards; ++s)
            if (auto const until = table.held_until(s, 1); until > now)
                RC_ASSERT(upstream.holds(
                    s, std::min(until, sent + grant->valid_for * 97 / 100)));
    }
}

TEST(grant_table, a_handover_goes_with_the_release_and_the_next_grant)
{
    model_upstream first(0);
    grant_table table(shards, {.max_blocks = 1});
    auto now = at_ms(1'000);
    auto const lease = now + 10s;
    auto grant = table.on_report(first.report(now), all_shards(3), {}, false, lease, now);
    ASSERT_TRUE(grant);
    EXPECT_EQ(grant->ranges,
              (std::vector<granted_range>{
                  {.keys = {.first = 0, .last = 65'535}, .epoch = 3, .handover = ""}}))
        << "adjacent shards of a block form one range";
    first.take(*grant, now, now, now);
    auto wanted = all_shards(3);
    wanted.erase(wanted.begin());
    now += 500ms;
    grant =
        table.on_report(first.report(now), wanted,
                        {{.index = 0, .epoch = 3, .handover = ""}}, false, lease, now);
    EXPECT_TRUE(table.take_released(now).empty())
        << "not before the upstream reports the release";
    first.take(*grant, now, now, now);
    now += 100ms;
    table.on_report(first.report(now), wanted, {}, false, lease, now);
    EXPECT_EQ(table.take_released(now),
              (std::vector<released_shard>{{.index = 0, .epoch = 3, .handover = "h0"}}));

    model_upstream second(0);
    grant_table next(shards, {});
    auto const fresh =
        next.on_report(second.report(now), {{.index = 0, .epoch = 4, .handover = "h0"}},
                       {}, false, lease, now);
    ASSERT_TRUE(fresh);
    EXPECT_EQ(fresh->ranges.front().handover, "h0");
    second.take(*fresh, now, now, now);
    auto const again =
        next.on_report(second.report(now), {{.index = 0, .epoch = 4, .handover = "h0"}},
                       {}, false, lease, now);
    EXPECT_EQ(again->ranges.front().handover, "") << "the handover is sent once";
}

// A process that has just started does not know the grants of the previous one. It must
// not end them, and a shard that is to move is not free before the upstream reports so.
TEST(grant_table, a_new_process_continues_existing_grants)
{
    model_upstream upstream(0);
    auto now = at_ms(1'000);
    auto const lease = now + 10s;
    {
        grant_table before(shards, {});
        upstream.take(
            *before.on_report(upstream.report(now), all_shards(1), {}, false, lease, now),
            now, now, now);
    }
    grant_table table(shards, {});
    EXPECT_EQ(table.on_report(upstream.report(now), {}, {}, false, now, now),
              std::nullopt)
        << "no answer without a lease";
    auto wanted = all_shards(1);
    wanted.pop_back();
    auto const grant =
        table.on_report(upstream.report(now), wanted,
                        {{.index = 7, .epoch = 1, .handover = ""}}, false, lease, now);
    EXPECT_TRUE(table.take_released(now).empty());
    upstream.take(*grant, now, now, now);
    now += 100ms;
    table.on_report(upstream.report(now), wanted, {}, false, lease, now);
    EXPECT_EQ(table.take_released(now).size(), 1U);
}

// While further shards are expected, each answer gives the upstream something to release,
// so that it reports again at once. The withheld shard is idle, is never returned as
// released, and comes back with its handover in the next answer. All other shards are
// held without a gap.
TEST(grant_table, an_upstream_that_expects_shards_is_made_to_report_again_at_once)
{
    model_upstream upstream(0);
    grant_table table(shards, {});
    auto now = at_ms(1'000);
    auto const lease = now + 10s;
    auto wanted = all_shards(3);
    wanted[2].idle = true;
    wanted[5].idle = true;
    upstream.take(*table.on_report(upstream.report(now), wanted, {}, false, lease, now),
                  now, now, now);
    for (int i = 0; i < 6; ++i)
    {
        now += 100ms;
        auto const report = upstream.report(now);
        EXPECT_EQ(report.freed.size(), i == 0 ? 0U : 1U);
        auto const grant = table.on_report(report, wanted, {}, true, lease, now);
        ASSERT_TRUE(grant);
        for (auto const& freed : report.freed)
            EXPECT_TRUE(std::any_of(grant->ranges.begin(), grant->ranges.end(),
                                    [&](granted_range const& r) {
                                        return r.keys == freed.keys && r.epoch == 3 &&
                                               r.handover == freed.handover;
                                    }))
                << "the withheld shard is granted again";
        upstream.take(*grant, now, now, now);
        EXPECT_TRUE(table.take_released(now).empty());
        EXPECT_EQ(upstream.holds(2, now) + upstream.holds(5, now), 1)
            << "one shard is withheld";
        for (std::uint32_t const s : {0, 1, 3, 4, 6, 7})
        {
            EXPECT_TRUE(upstream.holds(s, now));
            EXPECT_GT(table.held_until(s, 3), now);
        }
    }
    now += 100ms;
    upstream.take(*table.on_report(upstream.report(now), wanted, {}, false, lease, now),
                  now, now, now);
    EXPECT_TRUE(upstream.holds(2, now) && upstream.holds(5, now));
    EXPECT_TRUE(table.take_released(now).empty());
}

TEST(grant_table, an_answer_that_is_too_long_keeps_existing_grants)
{
    grant_options const opts{.max_answer_bytes = 100, .bytes_per_range = 30};
    grant_table table(shards, opts);
    upstream_report report;
    report.holds = {{.keys = numbers_of_shard(6, shards), .epoch = 1}};
    std::vector<wanted_shard> wanted;
    for (std::uint32_t s = 0; s < shards; s += 2)
        wanted.push_back({.index = s, .epoch = 1, .handover = ""});
    auto const grant =
        table.on_report(report, wanted, {}, false, at_ms(5'000), at_ms(1'000));
    ASSERT_EQ(grant->ranges.size(), 3U);
    EXPECT_EQ(grant->ranges.front().keys, numbers_of_shard(6, shards));
    EXPECT_GT(table.held_until(0, 1), at_ms(1'000));
    EXPECT_LE(table.held_until(4, 1), at_ms(1'000)) << "the range did not fit";
    EXPECT_FALSE(table.may_send(4, 1, at_ms(2'000)));
}

// An upstream reports a range as held until no request of any of its keys is running.
TEST(grant_table, a_running_request_holds_back_only_few_of_the_shards_that_leave)
{
    constexpr std::uint32_t many = 256;
    constexpr std::uint32_t busy = 77;
    grant_table table(many, {});
    std::vector<wanted_shard> wanted;
    for (std::uint32_t s = 0; s < many; ++s)
        wanted.push_back({.index = s, .epoch = 1});
    auto const lease = at_ms(9'000);
    auto const grant = table.on_report({}, wanted, {}, false, lease, at_ms(1'000));
    EXPECT_LE(grant->ranges.size(), grant_options{}.max_blocks);
    auto const again = table.on_report({}, wanted, {}, false, lease, at_ms(1'050));
    EXPECT_EQ(grant->ranges, again->ranges) << "the ranges stay as they are";

    ASSERT_TRUE(table.on_report({}, {}, wanted, false, lease, at_ms(1'100)));
    upstream_report still;
    for (auto const& range : grant->ranges)
        if (auto const keys = numbers_of_shard(busy, many);
            range.keys.first <= keys.first && keys.last <= range.keys.last)
            still.holds.push_back({.keys = range.keys, .epoch = 1});
    ASSERT_EQ(still.holds.size(), 1U);
    ASSERT_TRUE(table.on_report(still, {}, wanted, false, lease, at_ms(1'200)));
    auto const released = table.take_released(at_ms(1'200));
    EXPECT_EQ(released.size(), many - many / grant_options{}.max_blocks);
    EXPECT_TRUE(std::none_of(released.begin(), released.end(),
                             [&](auto const& r) { return r.index == busy; }));
}

// The times at which requests for shard 0, sent each millisecond, are passed to an
// upstream that rejects all of them.
std::vector<int> rejected_sends(grant_table& table, int from_ms, int until_ms)
{
    std::vector<int> sends;
    for (int ms = from_ms; ms < until_ms; ++ms)
        if (table.may_send(0, 1, at_ms(ms)))
        {
            sends.push_back(ms - from_ms);
            table.mark_not_held(0, at_ms(ms));
            table.mark_not_held(0, at_ms(ms)); // another one, sent at the same time
        }
    return sends;
}

// A request sent right after the answer overtook it. The upstream rejected it, and the
// shard was then not served until the next report, nearly a second later.
TEST(grant_table, requests_follow_a_new_grant_shortly_after_its_answer)
{
    grant_table table(shards, {});
    auto const lease = at_ms(9'000);
    ASSERT_TRUE(
        table.on_report({}, {{.index = 0, .epoch = 1}}, {}, false, lease, at_ms(1'000)));
    EXPECT_GT(table.held_until(0, 1), at_ms(1'000));
    EXPECT_FALSE(table.may_send(0, 1, at_ms(1'000)));
    EXPECT_FALSE(table.may_send(0, 2, at_ms(1'020))) << "another epoch";
    EXPECT_EQ(rejected_sends(table, 1'000, 1'200), (std::vector{10, 30, 70, 150}));
    upstream_report const holding{
        .holds = {{.keys = numbers_of_shard(0, shards), .epoch = 1}}};
    ASSERT_TRUE(table.on_report(holding, {{.index = 0, .epoch = 1}}, {}, false, lease,
                                at_ms(2'000)));
    EXPECT_TRUE(table.may_send(0, 1, at_ms(2'000))) << "the upstream knows of the grant";
}

TEST(grant_table, rejections_after_a_lost_answer_become_rare_until_the_next_report)
{
    grant_table table(shards, {});
    auto const lease = at_ms(19'000);
    ASSERT_TRUE(
        table.on_report({}, {{.index = 0, .epoch = 1}}, {}, false, lease, at_ms(1'000)));
    EXPECT_EQ(rejected_sends(table, 1'000, 4'500),
              (std::vector{10, 30, 70, 150, 310, 630, 1'270, 2'270, 3'270}));
    ASSERT_TRUE(
        table.on_report({}, {{.index = 0, .epoch = 1}}, {}, false, lease, at_ms(4'500)));
    EXPECT_EQ(rejected_sends(table, 4'500, 4'600), (std::vector{10, 30, 70}));
}

} // namespace
} // namespace buckthornusher
