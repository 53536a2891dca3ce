// Tests of config_sync: evidence, fetches, and a property against a model of the store.
#include "coordination/config_sync.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

member_id const p{"p", 1};
member_id const q{"q", 1};

TEST(config_sync, without_evidence_nothing_is_denied)
{
    config_sync sync({});
    sync.hold(3);
    EXPECT_EQ(sync.age(at_ms(10)), std::nullopt);
    EXPECT_TRUE(sync.is_stale(at_ms(10)));
    EXPECT_EQ(sync.verify(at_ms(10)), config_standing::verifying);
    EXPECT_EQ(sync.verify(at_ms(409)), config_standing::verifying);
    EXPECT_EQ(sync.verify(at_ms(410)), config_standing::unverified);
    sync.confirm(3, at_ms(405));
    EXPECT_EQ(sync.verify(at_ms(420)), config_standing::current);
}

TEST(config_sync, evidence_becomes_too_old)
{
    config_sync sync({.max_age = 2s});
    sync.hold(3);
    sync.confirm(3, at_ms(100));
    EXPECT_EQ(sync.verify(at_ms(2'100)), config_standing::current);
    EXPECT_EQ(sync.verify(at_ms(2'101)), config_standing::verifying);
}

TEST(config_sync, later_refusals_wait_anew_after_evidence)
{
    config_sync sync({.max_age = 2s});
    sync.hold(3);
    EXPECT_EQ(sync.verify(at_ms(0)), config_standing::verifying);
    sync.confirm(3, at_ms(100));
    EXPECT_EQ(sync.verify(at_ms(3'000)), config_standing::verifying);
}

TEST(config_sync, a_member_that_knows_of_a_later_version_denies_nothing)
{
    config_sync sync({});
    sync.hold(3);
    sync.confirm(3, at_ms(100));
    sync.note_version(p, 4);
    EXPECT_EQ(sync.verify(at_ms(110)), config_standing::verifying);
    sync.hold(4);
    EXPECT_EQ(sync.verify(at_ms(120)), config_standing::current);
}

TEST(config_sync, evidence_of_a_later_version_counts_once_that_is_held)
{
    config_sync sync({});
    sync.hold(3);
    sync.confirm(4, at_ms(100));
    EXPECT_EQ(sync.age(at_ms(200)), std::nullopt);
    sync.hold(4);
    EXPECT_EQ(sync.age(at_ms(200)), 100ms);
}

TEST(config_sync, older_evidence_changes_nothing)
{
    config_sync sync({});
    sync.hold(3);
    sync.confirm(3, at_ms(100));
    sync.confirm(2, at_ms(50));
    EXPECT_EQ(sync.age(at_ms(200)), 100ms);
    sync.confirm(2, at_ms(150)); // it holds more than what was the newest then
    EXPECT_EQ(sync.age(at_ms(200)), 50ms);
}

TEST(config_sync, asks_when_half_of_the_age_is_reached_and_when_awaited)
{
    config_sync sync({.max_age = 2s, .question_interval = 250ms});
    sync.hold(3);
    sync.confirm(3, at_ms(0));
    EXPECT_FALSE(sync.question_due(at_ms(1'000)));
    EXPECT_TRUE(sync.question_due(at_ms(1'001)));
    auto const sequence = sync.start_question(at_ms(1'001));
    EXPECT_EQ(sync.asked_at(sequence), at_ms(1'001));
    EXPECT_FALSE(sync.question_due(at_ms(1'250)));
    EXPECT_TRUE(sync.question_due(at_ms(1'251)));
    sync.confirm(3, at_ms(1'240));
    EXPECT_FALSE(sync.question_due(at_ms(1'251)));
    sync.note_version(p, 4);
    sync.verify(at_ms(1'252));
    EXPECT_TRUE(sync.question_due(at_ms(1'252)));
}

TEST(config_sync, a_version_is_fetched_from_one_peer_at_a_time)
{
    config_sync sync({.fetch_timeout = 600ms, .max_fetch_timeout = 2'400ms});
    sync.hold(3);
    EXPECT_EQ(sync.next_fetch(at_ms(0)), std::nullopt);
    sync.note_version(p, 4);
    sync.note_version(q, 5);
    EXPECT_EQ(sync.next_fetch(at_ms(10)), q);
    EXPECT_EQ(sync.next_fetch(at_ms(609)), std::nullopt);
    EXPECT_EQ(sync.next_fetch(at_ms(610)), p) << "q has not answered";
    sync.note_version(q, 5);
    EXPECT_EQ(sync.next_fetch(at_ms(1'809)), std::nullopt) << "the timeout has doubled";
    EXPECT_EQ(sync.next_fetch(at_ms(1'810)), q);
    sync.hold(5);
    EXPECT_EQ(sync.next_fetch(at_ms(9'000)), std::nullopt);
}

// ---- against a model of the store ----

// A fleet whose member 0 reads the store; the others ask each other. Messages take any
// time and overtake each other.
class model
{
public:
    explicit model(std::size_t members) : m_members(members) {}

    void accept() { m_accepted.push_back(m_now); }

    // Member 0 reads the store.
    void read(duration there, duration back)
    {
        auto const asked = m_now;
        after(there,
              [=, this]
              {
                  auto const newest = m_accepted.size();
                  after(back,
                        [=, this]
                        {
                            m_members[0].sync.confirm(newest, asked);
                            hold(0, newest);
                        });
              });
    }

    // `from` asks `to`.
    void ask(std::size_t from, std::size_t to, duration there, duration back)
    {
        auto const sequence = m_members[from].sync.start_question(m_now);
        after(there,
              [=, this]
              {
                  auto const version = m_members[to].held;
                  auto const age = m_members[to].sync.age(m_now);
                  after(back,
                        [=, this]
                        {
                            auto& sync = m_members[from].sync;
                            auto const asked = sync.asked_at(sequence);
                            if (asked && age)
                                sync.confirm(version, *asked - *age);
                        });
              });
    }

    // `to` receives the version that `from` holds.
    void send_version(std::size_t from, std::size_t to, duration there)
    {
        after(there, [=, this, version = m_members[from].held] { hold(to, version); });
    }

    void pass(duration length)
    {
        auto const end = m_now + length;
        for (auto it = m_events.begin(); it != m_events.end() && it->first <= end;
             it = m_events.begin())
        {
            auto const event = m_events.extract(it);
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    // Returns whether each member holds all versions accepted before the time that it
    // claims.
    bool claims_are_true() const
    {
        return std::all_of(m_members.begin(), m_members.end(),
                           [this](member const& m)
                           {
                               auto const age = m.sync.age(m_now);
                               return !age || m.held >= newest_before(m_now - *age);
                           });
    }
    std::size_t claims() const
    {
        return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
                                                      [this](member const& m)
                                                      { return m.sync.age(m_now); }));
    }

private:
    struct member
    {
        config_sync sync = config_sync({});
        std::uint64_t held = 0;
    };

    void after(duration delay, std::function<void()> run)
    {
        m_events.emplace(m_now + delay, std::move(run));
    }

    void hold(std::size_t i, std::uint64_t version)
    {
        m_members[i].held = std::max(m_members[i].held, version);
        m_members[i].sync.hold(version);
    }

    std::uint64_t newest_before(instant time) const
    {
        return static_cast<std::uint64_t>(
            std::lower_bound(m_accepted.begin(), m_accepted.end(), time) -
            m_accepted.begin());
    }

    std::vector<member> m_members;
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<instant> m_accepted; // by version, from 1
    instant m_now{1s};
};

// Guards against evidence that looks younger than it is after some hops.
RC_GTEST_PROP(config_sync, no_member_claims_more_than_is_true, ())
{
    constexpr std::size_t members = 5;
    auto const any_member = rc::gen::inRange<std::size_t>(0, members);
    auto const any_delay =
        rc::gen::map(rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 3'000)),
                     [](int ms) { return duration(std::chrono::milliseconds(ms)); });
    model fleet(members);
    fleet.read(0ms, 0ms);
    for (int step = 0; step < 200; ++step)
    {
        switch (*rc::gen::inRange(0, 5))
        {
        case 0:
            fleet.accept();
            break;
        case 1:
            fleet.read(*any_delay, *any_delay);
            break;
        case 2:
            fleet.send_version(*any_member, *any_member, *any_delay);
            break;
        default:
            fleet.ask(*any_member, *any_member, *any_delay, *any_delay);
        }
        fleet.pass(*any_delay / 10);
        RC_ASSERT(fleet.claims_are_true());
    }
    RC_ASSERT(fleet.claims() > 0U);
}

} // namespace
} // namespace buckthornusher
