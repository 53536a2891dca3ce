// Tests of what a node sends over a narrow link, and of the room on it, without network:
// downloads that ask for more than the link carries, beside small urgent answers.
#include "buckthornusher/link_intake.hpp"
#include "buckthornusher/link_room.hpp"
#include "buckthornusher/link_schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <random>
#include <set>

namespace buckthornusher
{
namespace
{

constexpr double link_rate = 15e6 / 8; // bytes per second
constexpr std::uint64_t usual_bytes = 90'000;
constexpr std::uint64_t largest_bytes = 540'000;
constexpr std::uint64_t small_bytes = 400;
constexpr duration objective = 600ms;
constexpr duration deadline = 2'500ms;

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

duration link_time(double bytes)
{
    return duration(static_cast<duration::rep>(bytes / link_rate * 1e6));
}

link_schedule make_schedule()
{
    return link_schedule({.bytes_per_second = link_rate});
}

// ---- one link under load ----

// The real link: what is sent passes in the order of sending.
struct pipe
{
    // Returns the wait before the first byte.
    duration send(std::uint64_t bytes, instant now)
    {
        auto const wait = std::max(free - now, duration{0});
        free = std::max(free, now) + link_time(static_cast<double>(bytes));
        return wait;
    }
    instant free;
};

struct load_row
{
    char const* name;
    double asked;       // share of the link, by downloads
    double small_rate;  // small answers per second
    double min_goodput; // share of the link, downloads whole before their deadlines
    double min_in_time; // the same, before their due times
};

struct load_result
{
    double goodput = 0;
    double in_time = 0;
    duration longest_small_wait{0};
    int sent_late = 0; // ended after their deadlines
    int late_sent = 0; // sent, and late
    int refused = 0;
};

enum class sending
{
    first_come,     // everything goes to the socket when it is made
    scheduled,      // held and released, nothing is refused
    scheduled_room, // and begun only with room
};

struct made_download
{
    std::uint64_t id;
    std::uint64_t bytes;
    instant made;
    instant due;
    instant until;
};

class link_play
{
public:
    link_play(load_row const& row, sending how) : m_row(row), m_how(how) {}

    load_result run()
    {
        constexpr int seconds = 60;
        auto const per_ms = m_row.asked * link_rate / usual_bytes / 1'000;
        for (m_now = at_ms(1'000); m_now < at_ms(1'000 + seconds * 1'000); m_now += 1ms)
        {
            if (m_uniform(m_random) < per_ms)
                arrive();
            if (m_uniform(m_random) < m_row.small_rate / 1'000)
                send_small();
            retry_held();
            for (; !m_made.empty() && m_made.begin()->first <= m_now;
                 m_made.erase(m_made.begin()))
                make(m_made.begin()->second);
            release();
        }
        m_result.goodput /= link_rate * seconds;
        m_result.in_time /= link_rate * seconds;
        return m_result;
    }

private:
    std::uint64_t draw_bytes()
    {
        // Mean 90 kB: one in ten has 360 kB on average.
        bool const big = m_uniform(m_random) < 0.1;
        return static_cast<std::uint64_t>(big ? 180'000 + m_uniform(m_random) *
                                                              (largest_bytes - 180'000)
                                              : 20'000 + m_uniform(m_random) * 80'000);
    }

    void arrive()
    {
        made_download const d{.id = ++m_next_id,
                              .bytes = draw_bytes(),
                              .made = m_now,
                              .due = m_now + objective,
                              .until = m_now + deadline};
        begin(d);
    }

    void begin(made_download const& d)
    {
        if (m_how == sending::scheduled_room)
        {
            auto const verdict =
                m_room.arrive({.id = d.id,
                               .request_class = "/archive",
                               .due = d.due,
                               .deadline = d.until,
                               .start_until = d.until},
                              {.slot_wait = 0ms, .service = 68ms}, m_now);
            if (std::holds_alternative<link_is_full>(verdict))
            {
                ++m_result.refused;
                return;
            }
            if (std::holds_alternative<held_for_link>(verdict))
                return m_held.push_back(d);
        }
        m_made.emplace(m_now + 68ms, d);
    }

    void retry_held()
    {
        if (m_now.time_since_epoch() % 20ms != 0ms)
            return;
        for (auto const& d : std::exchange(m_held, {}))
            begin(d);
    }

    void make(made_download const& d)
    {
        m_room.end(d.id);
        m_room.note_answer("/archive", d.bytes);
        if (m_how == sending::first_come)
            return pass(d);
        m_waiting[d.id] = d;
        m_schedule.add({.id = d.id, .bytes = d.bytes, .due = d.due, .deadline = d.until},
                       m_now);
    }

    void release()
    {
        auto const next = m_schedule.next_release();
        if (!next || *next > m_now)
            return;
        auto const released = m_schedule.take(m_now);
        for (auto const id : released.send)
            pass(m_waiting.at(id));
    }

    void pass(made_download const& d)
    {
        m_pipe.send(d.bytes, m_now);
        if (m_pipe.free <= d.until)
            m_result.goodput += static_cast<double>(d.bytes);
        else
            ++m_result.sent_late;
        if (m_pipe.free <= d.due)
            m_result.in_time += static_cast<double>(d.bytes);
        else
            ++m_result.late_sent;
    }

    void send_small()
    {
        m_result.longest_small_wait =
            std::max(m_result.longest_small_wait, m_pipe.send(small_bytes, m_now));
        m_schedule.count_other(small_bytes, m_now);
    }

    load_row m_row;
    sending m_how;
    std::mt19937_64 m_random{7};
    std::uniform_real_distribution<double> m_uniform{0, 1};
    instant m_now;
    std::uint64_t m_next_id = 0;
    link_schedule m_schedule = make_schedule();
    link_room m_room{m_schedule};
    pipe m_pipe;
    std::multimap<instant, made_download> m_made;
    std::map<std::uint64_t, made_download> m_waiting;
    std::vector<made_download> m_held;
    load_result m_result;
};

// Callers of lookups that live for 300 ms were in time for a fifth of them: the downloads
// in the sockets were in front.
TEST(link_schedule, carries_downloads_and_lets_small_answers_pass)
{
    load_row const rows[] = {
        {"calm", 0.5, 50, 0.4, 0.4},
        {"as much as the link", 1.0, 50, 0.8, 0.7},
        {"1.2 times the link", 1.2, 50, 0.85, 0.75},
        {"twice the link", 2.0, 50, 0.85, 0.75},
        {"1.2 times, a tenth of it small", 1.2, 450, 0.8, 0.7},
    };
    auto const one_large = link_time(largest_bytes) + 10ms;
    for (auto const& row : rows)
    {
        SCOPED_TRACE(row.name);
        auto const first_come = link_play(row, sending::first_come).run();
        auto const held = link_play(row, sending::scheduled).run();
        auto const room = link_play(row, sending::scheduled_room).run();
        for (auto const* r : {&first_come, &held, &room})
            std::printf("%-32s goodput %.3f in time %.3f small wait %4lld ms "
                        "past deadline %d late %d refused %d\n",
                        row.name, r->goodput, r->in_time,
                        static_cast<long long>(r->longest_small_wait / 1ms), r->sent_late,
                        r->late_sent, r->refused);
        for (auto const* r : {&held, &room})
        {
            EXPECT_LE(r->longest_small_wait, one_large);
            EXPECT_EQ(r->sent_late, 0);
        }
        EXPECT_GE(room.goodput, row.min_goodput);
        EXPECT_GE(room.in_time, row.min_in_time);
        if (row.asked > 1)
        {
            EXPECT_GT(room.in_time, first_come.in_time);
            EXPECT_GT(first_come.longest_small_wait, one_large);
        }
    }
}

// ---- order, against a reference that holds everything ----

// Every answer ever added stays in one list, and each choice looks at all of it.
struct reference
{
    struct entry
    {
        large_answer answer;
        bool gone = false;
    };

    std::optional<std::uint64_t> next(duration (*time_of)(std::uint64_t), instant now)
    {
        entry* best = nullptr;
        bool best_late = false;
        bool const turn = in_time + 1 >= 8;
        bool any_late = false;
        bool any_in_time = false;
        for (auto const& e : all)
            if (!e.gone)
                (now + time_of(e.answer.bytes) <= e.answer.due ? any_in_time : any_late) =
                    true;
        bool const late_first = !any_in_time || (turn && any_late);
        for (auto& e : all)
        {
            bool const late = now + time_of(e.answer.bytes) > e.answer.due;
            if (e.gone || late != late_first)
                continue;
            auto const key = late ? e.answer.deadline : e.answer.due;
            if (best == nullptr ||
                key < (best_late ? best->answer.deadline : best->answer.due))
                best = &e;
            best_late = late;
        }
        if (best == nullptr)
            return std::nullopt;
        in_time = late_first ? 0 : in_time + 1;
        best->gone = true;
        return best->answer.id;
    }

    std::vector<entry> all; // in the order of ids
    std::uint32_t in_time = 0;
};

RC_GTEST_PROP(link_schedule, releases_as_the_reference_does, ())
{
    auto schedule = make_schedule();
    reference all;
    auto now = at_ms(1'000);
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    std::uint64_t next_id = 0;
    std::set<std::uint64_t> seen;
    for (auto const step : steps)
    {
        now += std::chrono::milliseconds(step % 40);
        if (step % 3 != 0)
        {
            large_answer const a{
                .id = ++next_id,
                .bytes = 5'000 + static_cast<std::uint64_t>(step) * 500,
                .due = now + std::chrono::milliseconds(step % 700),
                .deadline = now + std::chrono::milliseconds(step % 700 + step % 1'900)};
            schedule.add(a, now);
            all.all.push_back({.answer = a});
        }
        if (step % 7 == 0 && next_id > 0)
        {
            auto const id = 1 + static_cast<std::uint64_t>(step) % next_id;
            auto& e = all.all[id - 1];
            RC_ASSERT(schedule.cancel(id) == !e.gone);
            e.gone = true;
        }
        for (auto& e : all.all)
            if (now + schedule.time_of(e.answer.bytes) > e.answer.deadline)
                if (!std::exchange(e.gone, true))
                    seen.insert(e.answer.id);
        auto const released = schedule.take(now);
        for (auto const id : released.dropped)
            RC_ASSERT(seen.erase(id) == 1U);
        RC_ASSERT(seen.empty());
        for (auto const id : released.send)
            RC_ASSERT(all.next([](std::uint64_t bytes)
                               { return make_schedule().time_of(bytes); },
                               now) == std::optional(id));
        auto const left = std::count_if(all.all.begin(), all.all.end(),
                                        [](auto const& e) { return !e.gone; });
        RC_ASSERT(schedule.waiting() == static_cast<std::size_t>(left));
        RC_ASSERT(!schedule.next_release() || *schedule.next_release() > now);
    }
}

TEST(link_schedule, a_late_answer_has_its_turn_while_others_are_in_time)
{
    auto schedule = make_schedule();
    auto now = at_ms(1'000);
    schedule.add({.id = 1, .bytes = usual_bytes, .due = now, .deadline = now + 10s}, now);
    std::vector<std::uint64_t> order;
    for (std::uint64_t id = 2; order.size() < 20; ++id)
    {
        schedule.add(
            {.id = id, .bytes = usual_bytes, .due = now + 900ms, .deadline = now + 10s},
            now);
        now = std::max(now, *schedule.next_release());
        for (auto const sent : schedule.take(now).send)
            order.push_back(sent);
    }
    auto const turn = std::find(order.begin(), order.end(), 1U);
    ASSERT_NE(turn, order.end());
    EXPECT_LE(turn - order.begin(), 8);
}

// Small answers may fill the link; a large one is not held for ever.
TEST(link_schedule, small_messages_delay_a_large_answer_by_a_bounded_time)
{
    auto schedule = make_schedule();
    auto now = at_ms(1'000);
    schedule.add({.id = 1, .bytes = usual_bytes, .due = now + 5s, .deadline = now + 9s},
                 now);
    schedule.count_other(10'000'000, now);
    EXPECT_TRUE(schedule.take(now).send.empty());
    auto const at = *schedule.next_release();
    EXPECT_LE(at - now, 3 * schedule.time_of(usual_bytes));
    EXPECT_EQ(schedule.take(at).send, std::vector<std::uint64_t>{1});
}

TEST(link_schedule, an_unknown_rate_holds_nothing)
{
    for (double const rate : {0.0, -5.0, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()})
    {
        link_schedule schedule({.bytes_per_second = rate});
        EXPECT_FALSE(schedule.active());
        schedule.add({.id = 1, .bytes = largest_bytes}, at_ms(1'000));
        schedule.count_other(1'000'000, at_ms(1'000));
        EXPECT_EQ(schedule.waiting(), 0U);
        EXPECT_EQ(schedule.backlog(at_ms(1'000)), 0ms);
        link_room room(schedule);
        EXPECT_EQ(room.arrive({.id = 1, .deadline = at_ms(0)}, {}, at_ms(1'000)),
                  link_verdict(link_has_room{}));
        EXPECT_FALSE(room.active());
    }
}

TEST(link_schedule, an_absurd_size_bounds_only_itself)
{
    auto schedule = make_schedule();
    auto const now = at_ms(1'000);
    schedule.add({.id = 1,
                  .bytes = std::numeric_limits<std::uint64_t>::max(),
                  .due = now + 1s,
                  .deadline = now + 2s},
                 now);
    schedule.add({.id = 2, .bytes = usual_bytes, .due = now + 1s, .deadline = now + 2s},
                 now);
    auto const released = schedule.take(now);
    EXPECT_EQ(released.dropped, std::vector<std::uint64_t>{1});
    EXPECT_EQ(released.send, std::vector<std::uint64_t>{2});
}

// ---- room ----

download pull(std::uint64_t id, instant now)
{
    return {.id = id,
            .request_class = "/archive",
            .due = now + objective,
            .deadline = now + deadline,
            .start_until = now + deadline};
}

TEST(link_room, refuses_what_cannot_end_in_time_and_says_when_it_could)
{
    auto schedule = make_schedule();
    link_room room(schedule);
    room.note_answer("/archive", usual_bytes);
    auto const now = at_ms(1'000);
    download_outlook const free_slot{.slot_wait = 0ms, .service = 68ms};
    std::uint64_t id = 1;
    int promised = 0;
    for (; !std::holds_alternative<link_is_full>(
             room.arrive(pull(id, now), free_slot, now));
         ++id)
        ++promised;
    auto const time = schedule.time_of(usual_bytes);
    EXPECT_EQ(promised, objective / time - 1); // but for the margin of one
    auto const refused =
        std::get<link_is_full>(room.arrive(pull(id, now), free_slot, now));
    // A caller that returns then finds room, as the link has carried that much.
    for (std::uint64_t made = 1; made <= static_cast<std::uint64_t>(promised); ++made)
    {
        room.end(made);
        schedule.add({.id = made,
                      .bytes = usual_bytes,
                      .due = now + objective,
                      .deadline = now + deadline},
                     now);
    }
    auto t = now;
    for (; t < now + refused.retry_after; t += 1ms)
        schedule.take(t);
    EXPECT_FALSE(
        std::holds_alternative<link_is_full>(room.arrive(pull(id + 1, t), free_slot, t)));
}

TEST(link_room, begins_only_what_the_link_can_take_soon)
{
    auto schedule = make_schedule();
    link_room room(schedule);
    room.note_answer("/archive", usual_bytes);
    auto const now = at_ms(1'000);
    download_outlook const free_slot{.slot_wait = 0ms, .service = 68ms};
    int begun = 0;
    int held = 0;
    for (std::uint64_t id = 1; id <= 9; ++id)
    {
        auto const verdict = room.arrive(pull(id, now), free_slot, now);
        begun += std::holds_alternative<link_has_room>(verdict) ? 1 : 0;
        held += std::holds_alternative<held_for_link>(verdict) ? 1 : 0;
    }
    EXPECT_EQ(begun, 4);
    EXPECT_EQ(held, 5);
    // A sender with alternatives asks another node instead of waiting.
    auto hurried = pull(10, now);
    hurried.start_until = now + 60ms;
    EXPECT_TRUE(
        std::holds_alternative<link_is_full>(room.arrive(hurried, free_slot, now)));
    // The first one that is held begins when one has ended, and no later one before it.
    room.end(1);
    EXPECT_TRUE(
        std::holds_alternative<held_for_link>(room.arrive(pull(6, now), free_slot, now)));
    EXPECT_TRUE(
        std::holds_alternative<link_has_room>(room.arrive(pull(5, now), free_slot, now)));
}

// ---- the callers' node ----

TEST(link_intake, asks_for_no_more_than_arrives_in_time)
{
    link_intake intake({.bytes_per_second = link_rate});
    auto const now = at_ms(1'000);
    std::uint64_t asked = 0;
    auto const until_room = [&]
    {
        return intake.until_room(usual_bytes, now + objective, now + deadline, now);
    };
    while (!until_room())
        intake.begin(++asked, usual_bytes);
    EXPECT_EQ(asked, 11U);
    EXPECT_LE(*until_room(), link_time(usual_bytes) * 10 / 9 + 1ms);
    intake.end(1);
    intake.end(1);
    EXPECT_FALSE(until_room());
    for (std::uint64_t id = 2; id <= asked; ++id)
        intake.end(id);
    EXPECT_EQ(intake.expected(), 0ms);
}

// Thirty callers that come back at once for the room of one are refused again.
TEST(link_intake, callers_come_back_one_after_the_other)
{
    link_intake intake({.bytes_per_second = link_rate});
    auto const now = at_ms(1'000);
    auto const apart = link_time(usual_bytes) * 10 / 9;
    auto last = intake.book_return(40ms, usual_bytes, now);
    EXPECT_EQ(last, 40ms);
    for (int caller = 2; caller <= 20; ++caller)
    {
        auto const next = intake.book_return(40ms, usual_bytes, now);
        EXPECT_GE(next - last, apart - 1ms);
        last = next;
    }
    for (int caller = 0; caller < 1'000; ++caller)
        EXPECT_LE(intake.book_return(40ms, usual_bytes, now), 2s);
    EXPECT_EQ(intake.book_return(3s, usual_bytes, now), 3s) << "never before the room";
    EXPECT_EQ(intake.book_return(40ms, usual_bytes, now + 10s), 40ms);
    EXPECT_EQ(link_intake({}).book_return(40ms, usual_bytes, now), 40ms);
}

TEST(link_intake, an_unknown_rate_or_size_refuses_nothing)
{
    link_intake none({});
    none.begin(1, 1e12);
    EXPECT_FALSE(none.until_room(1e12, at_ms(0), at_ms(0), at_ms(1'000)));
    link_intake some({.bytes_per_second = link_rate});
    some.begin(1, std::numeric_limits<double>::quiet_NaN());
    some.begin(2, -1);
    EXPECT_FALSE(some.until_room(0, at_ms(1'600), at_ms(3'500), at_ms(1'000)));
    some.end(1);
    some.end(2);
    EXPECT_EQ(some.expected(), 0ms);
}

} // namespace
} // namespace buckthornusher
