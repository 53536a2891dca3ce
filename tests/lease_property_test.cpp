// Property tests of the lease protocol: one member, its watchers and an evictor, with
// every message, restart and store answer controlled by the test. Checked invariant: once
// the evictor considers the lease expired, the member must not consider it valid.
#include "buckthornusher/eviction.hpp"
#include "buckthornusher/lease.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>

namespace buckthornusher
{
namespace
{

constexpr std::size_t pool_size = 5;

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

// A step of the simulated faults; `pick` selects what the step acts on.
enum class step
{
    renew,         // the member sends renewals to all its watchers
    deliver_renew, // one pending request reaches its watcher
    deliver_ack,   // one pending ack reaches the member
    restart,       // a watcher loses its state and gets a new incarnation
    propose,       // the member asks the store to change its watchers
    answer,        // the store's answer reaches the member
    mark,          // the evictor marks the record
    refuse,        // the evictor reaches a watcher
    wait,          // time passes
};
constexpr int step_count = 9;

struct move
{
    step kind = step::wait;
    std::uint32_t pick = 0;
};

class lease_simulation
{
public:
    explicit lease_simulation(guards g) : m_guards(g), m_holder(m_options, g)
    {
        for (std::size_t i = 0; i < pool_size; ++i)
            m_watchers.emplace_back(m_options);
        m_incarnations.assign(pool_size, 1);
        m_record.watchers = {id_of(0), id_of(1), id_of(2)};
        m_holder.set_watchers(m_record.watchers);
        propagate_record();
    }

    // Returns false if two members could own the shards at once.
    bool apply(move const& m)
    {
        switch (m.kind)
        {
        case step::renew:
            renew();
            break;
        case step::deliver_renew:
            deliver_renew(m.pick);
            break;
        case step::deliver_ack:
            deliver_ack(m.pick);
            break;
        case step::restart:
            restart(m.pick % pool_size);
            break;
        case step::propose:
            propose(m.pick);
            break;
        case step::answer:
            answer();
            break;
        case step::mark:
            mark();
            break;
        case step::refuse:
            refuse(m.pick % pool_size);
            break;
        case step::wait:
            m_now += std::chrono::milliseconds(m.pick % 700);
            break;
        }
        m_max_valid_until = std::max(m_max_valid_until, m_holder.valid_until());
        return safe();
    }

private:
    struct request
    {
        std::size_t watcher = 0;
        std::uint64_t sequence = 0;
        std::uint64_t changes = 0; // of the watchers, as known to the member
    };
    struct ack
    {
        member_id watcher;
        std::uint64_t sequence = 0;
    };

    member_id id_of(std::size_t i) const
    {
        return {"w" + std::to_string(i), m_incarnations[i]};
    }

    bool safe() const
    {
        if (!m_eviction)
            return true;
        auto const over = m_eviction->lease_expired_at();
        return !over || m_now < *over || m_max_valid_until <= m_now;
    }

    void renew()
    {
        auto const sequence = m_holder.start_renewal(m_now);
        for (auto const& w : m_holder.renewal_targets())
            m_requests.push_back(
                {std::stoul(w.node.substr(1)), sequence, m_known_changes});
    }

    void deliver_renew(std::uint32_t pick)
    {
        if (m_requests.empty())
            return;
        auto const it =
            m_requests.begin() + static_cast<std::ptrdiff_t>(pick % m_requests.size());
        auto const r = *it;
        if (pick % 3 != 0) // otherwise the request is delivered again later
            m_requests.erase(it);
        if (m_watchers[r.watcher].on_renew(m_self, r.changes, m_now))
            m_acks.push_back({id_of(r.watcher), r.sequence});
    }

    void deliver_ack(std::uint32_t pick)
    {
        if (m_acks.empty())
            return;
        auto const it =
            m_acks.begin() + static_cast<std::ptrdiff_t>(pick % m_acks.size());
        auto const a = *it;
        m_acks.erase(it);
        m_holder.on_ack(a.watcher, a.sequence, true, m_now);
    }

    // Watchers see the record immediately; they never rely on the member's own claim.
    void propagate_record()
    {
        for (std::size_t i = 0; i < pool_size; ++i)
        {
            bool const named =
                std::any_of(m_record.watchers.begin(), m_record.watchers.end(),
                            [&](member_id const& w) { return w.node == id_of(i).node; });
            bool const subject = named && m_record.state == member_state::live;
            m_watchers[i].set_subjects(
                subject ? std::vector{m_self} : std::vector<member_id>{}, m_now);
        }
    }

    void restart(std::size_t i)
    {
        ++m_incarnations[i];
        m_watchers[i] = lease_watcher(m_options);
        propagate_live_record(i);
    }

    // A watcher's copy of the store may be outdated and still show the member as live.
    void propagate_live_record(std::size_t i)
    {
        m_watchers[i].set_subjects({m_self}, m_now);
    }

    void propose(std::uint32_t pick)
    {
        if (m_holder.watcher_change_pending() || m_answer)
            return;
        std::vector<member_id> next;
        for (std::size_t k = 0; k < 3; ++k)
            next.push_back(id_of((pick + k) % pool_size));
        m_holder.begin_watcher_change(next);
        m_proposal = next;
        // The store decides now or later; the member receives the answer later.
        m_pending_write = true;
        if (pick % 2 == 0)
            commit_proposal();
    }

    void commit_proposal()
    {
        if (!m_pending_write)
            return;
        m_pending_write = false;
        bool const accepted = m_record.state == member_state::live;
        if (accepted)
        {
            m_record.watchers = m_proposal;
            ++m_record.watcher_changes;
            for (auto const& w : m_proposal)
                propagate_live_record(std::stoul(w.node.substr(1)));
        }
        m_answer = accepted;
    }

    void answer()
    {
        if (m_pending_write)
        {
            // The answer is late. Without the guard the member treats this as a failure.
            if (!m_guards.settle_lost_writes)
                m_holder.end_watcher_change(false);
            return commit_proposal();
        }
        if (!m_answer)
            return;
        if (m_holder.watcher_change_pending())
        {
            m_holder.end_watcher_change(*m_answer);
            m_known_changes = m_record.watcher_changes;
        }
        m_answer.reset();
    }

    void mark()
    {
        if (m_record.state != member_state::live)
            return;
        m_record.state = member_state::evicting;
        m_eviction.emplace(m_record, m_options, m_guards);
    }

    void refuse(std::size_t i)
    {
        if (!m_eviction)
            return;
        auto const missing = m_eviction->unconfirmed_watchers();
        if (std::find(missing.begin(), missing.end(), id_of(i)) == missing.end())
            return;
        m_eviction->on_refused(
            id_of(i),
            m_watchers[i].refuse(m_self, m_eviction->min_watcher_changes(), m_now),
            m_now);
    }

    lease_options m_options;
    guards m_guards;
    instant m_now = at_ms(10'000);
    // The latest end of the lease so far. Upstreams may rely on it even if the lease is
    // revoked.
    instant m_max_valid_until;
    member_id m_self{"x", 1};
    member_record m_record{.id = {"x", 1}, .watcher_changes = 1};
    std::uint64_t m_known_changes = 1;
    lease_holder m_holder;
    std::vector<lease_watcher> m_watchers;
    std::vector<std::uint64_t> m_incarnations;
    std::deque<request> m_requests;
    std::deque<ack> m_acks;
    std::vector<member_id> m_proposal;
    bool m_pending_write = false;
    std::optional<bool> m_answer;
    std::optional<eviction> m_eviction;
};

// `calm`: watchers restart rarely and the eviction begins late, so that the watchers have
// often changed before it.
std::vector<move> random_moves(std::uint64_t seed, bool calm)
{
    constexpr std::uint64_t restart_rarity = 8;
    std::mt19937_64 random(seed);
    std::vector<move> moves;
    moves.reserve(120);
    for (int i = 0; i < 120; ++i)
    {
        auto kind = static_cast<step>(random() % step_count);
        bool const rare = kind == step::mark || kind == step::restart;
        if (calm && rare && random() % restart_rarity != 0)
            kind = step::renew;
        moves.push_back(
            {.kind = kind, .pick = static_cast<std::uint32_t>(random() % 100'000)});
    }
    return moves;
}

bool invariant_holds(guards g, std::uint64_t seed, bool calm = false)
{
    lease_simulation simulation(g);
    auto const moves = random_moves(seed, calm);
    return std::all_of(moves.begin(), moves.end(),
                       [&](move const& m) { return simulation.apply(m); });
}

TEST(lease_property, no_lease_outlives_its_eviction)
{
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed)
        ASSERT_TRUE(invariant_holds({}, seed)) << "seed " << seed;
}

TEST(lease_property, no_lease_from_intermediate_watchers_outlives_its_eviction)
{
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed)
        ASSERT_TRUE(invariant_holds({}, seed, true)) << "seed " << seed;
    for (std::uint64_t const seed : {85'566, 232'302, 244'811, 377'029, 551'110})
        EXPECT_TRUE(invariant_holds({}, seed, true)) << "seed " << seed;
}

void expect_detected(bool guards::*guard)
{
    guards g;
    g.*guard = false;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed)
        if (!invariant_holds(g, seed))
        {
            std::cout << "seed " << seed << "\n";
            return;
        }
    FAIL() << "no seed detected that the guard is off";
}

TEST(lease_property, detects_acks_of_restarted_watchers)
{
    expect_detected(&guards::check_incarnation);
}

TEST(lease_property, detects_a_missing_joint_majority)
{
    expect_detected(&guards::joint_majority);
}

TEST(lease_property, detects_an_unsettled_write)
{
    expect_detected(&guards::settle_lost_writes);
}

TEST(lease_property, detects_a_missing_wait)
{
    expect_detected(&guards::wait_after_refusal);
}

TEST(lease_property, detects_acks_counted_from_their_arrival)
{
    expect_detected(&guards::count_from_sending);
}

// Compares the lease with a simple reference that counts the acks of the watchers one by
// one.
RC_GTEST_PROP(lease_property, valid_until_is_the_majority_of_the_acks, ())
{
    lease_options const opts;
    lease_holder holder(opts, {});
    auto const count = static_cast<std::size_t>(*rc::gen::inRange(1, 6));
    std::vector<member_id> set;
    for (std::size_t i = 0; i < count; ++i)
        set.push_back({"w" + std::to_string(i), 1});
    holder.set_watchers(set);
    std::vector<instant> acked(count, instant::min());
    auto now = at_ms(1'000);
    for (int round = 0; round < 10; ++round)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(1, 1'000));
        auto const sequence = holder.start_renewal(now);
        for (std::size_t i = 0; i < count; ++i)
            if (*rc::gen::arbitrary<bool>())
            {
                holder.on_ack(set[i], sequence, true, now);
                acked[i] = now;
            }
        // The end of the lease: the latest instant before which a majority of acks
        // counts.
        auto expected = instant::min();
        for (auto const& candidate : acked)
        {
            auto const at_least = static_cast<std::size_t>(std::count_if(
                acked.begin(), acked.end(), [&](instant a) { return a >= candidate; }));
            if (candidate != instant::min() && at_least >= majority_of(count))
                expected = std::max(expected, candidate + opts.length);
        }
        RC_ASSERT(holder.valid_until() == expected);
    }
}

} // namespace
} // namespace buckthornusher
