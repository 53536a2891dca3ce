// Directed cases of the coordinator.
#include "buckthornusher/coordinator.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace buckthornusher
{
namespace
{

instant at_ms(std::int64_t ms)
{
    return instant(std::chrono::milliseconds(ms));
}

template <class T>
std::size_t count_of(std::vector<effect> const& effects)
{
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(),
                      [](effect const& e) { return std::holds_alternative<T>(e); }));
}

std::uint64_t list_call(std::vector<effect> const& effects, object_kind kind)
{
    for (auto const& e : effects)
        if (auto const* c = std::get_if<call_store>(&e);
            c != nullptr && c->operation == store_operation(store_list{.kind = kind}))
            return c->id;
    ADD_FAILURE() << "the objects are not listed";
    return 0;
}

// "Later incarnation" decides which of two members at one endpoint has ended. A node
// whose clock is behind its predecessor's must not join as the earlier of the two.
TEST(coordinator, does_not_join_with_a_lower_incarnation_than_its_predecessor)
{
    coordinator late(
        {.self = {"n", 5}, .endpoint = "tcp://a:1", .region = "r", .domain = "d"});
    late.start(at_ms(0));
    auto const effects = late.take_effects();
    auto const call = list_call(effects, object_kind::fleet);
    late.on_store_answer(list_call(effects, object_kind::configuration),
                         store_objects{.revision = 3, .objects = {}}, at_ms(4));
    member_record const predecessor{
        .id = {"n", 9}, .generation = 9, .endpoint = "tcp://a:1"};
    late.on_store_answer(call,
                         store_objects{.revision = 3,
                                       .objects = {{.name = member_object("n"),
                                                    .version = 3,
                                                    .value = predecessor}}},
                         at_ms(5));
    auto const after = late.take_effects();
    EXPECT_EQ(count_of<membership_ended>(after), 1U);
    EXPECT_EQ(count_of<call_store>(after), 0U) << "it wrote a record";
    EXPECT_NE(late.take_copy().member(predecessor.id), nullptr);
}

std::uint64_t watch_call(std::vector<effect> const& effects, object_kind kind)
{
    for (auto const& e : effects)
        if (auto const* c = std::get_if<call_store>(&e))
            if (auto const* w = std::get_if<store_watch>(&c->operation);
                w != nullptr && w->kind == kind)
                return c->id;
    return 0;
}

// A member cut off from the store begins a watch and hears nothing. It must not tell its
// peers that somebody watches the configuration: they would not ask the store themselves.
TEST(coordinator, counts_a_watch_of_the_configuration_only_once_it_is_answered)
{
    coordinator alone(
        {.self = {"n", 5}, .endpoint = "tcp://a:1", .region = "r", .domain = "d"});
    alone.start(at_ms(0));
    auto effects = alone.take_effects();
    alone.on_store_answer(list_call(effects, object_kind::configuration),
                          store_objects{.revision = 3, .objects = {}}, at_ms(5));
    alone.on_store_answer(list_call(effects, object_kind::fleet),
                          store_objects{.revision = 3, .objects = {}}, at_ms(5));
    std::uint64_t watch = 0;
    for (int ms = 10; ms <= 3'000; ms += 10)
    {
        effects = alone.take_effects();
        for (auto const& e : effects)
            if (auto const* c = std::get_if<call_store>(&e))
                if (std::holds_alternative<store_write>(c->operation))
                    alone.on_store_answer(c->id, store_written{.version = 4}, at_ms(ms));
        if (auto const begun = watch_call(effects, object_kind::configuration))
            watch = begun;
        alone.tick(at_ms(ms));
    }
    ASSERT_NE(watch, 0U) << "nobody else watches";
    EXPECT_GE(alone.subscriptions(at_ms(3'000)).config_age, 2'900ms);
    alone.on_store_answer(watch, store_objects{.revision = 3, .objects = {}},
                          at_ms(3'010));
    EXPECT_EQ(alone.subscriptions(at_ms(3'010)).config_age, 0ms);
}

// ---- news of the replica ----

constexpr std::uint64_t joined_revision = 4;

member_record peer_record(std::string const& node)
{
    return {.id = {node, 7},
            .generation = 7,
            .endpoint = "tcp://" + node + ":1",
            .region = "r",
            .domain = "d-" + node};
}

// A member of one region with the peers p and q, as of `joined_revision`.
struct joined_member
{
    explicit joined_member(std::vector<keyed_service> services = {},
                           duration unfenced_wait = 0us)
        : c({.self = {"n", 5},
             .endpoint = "tcp://n:1",
             .region = "r",
             .domain = "d-n",
             .services = std::move(services),
             .unfenced_wait = unfenced_wait})
    {
        c.start(at_ms(0));
        auto const effects = c.take_effects();
        c.on_store_answer(list_call(effects, object_kind::configuration),
                          store_objects{.revision = 3, .objects = {}}, at_ms(1));
        std::vector<object> records;
        for (auto const* node : {"p", "q"})
            records.push_back(
                {.name = member_object(node), .version = 3, .value = peer_record(node)});
        c.on_store_answer(list_call(effects, object_kind::fleet),
                          store_objects{.revision = 3, .objects = records}, at_ms(1));
        for (auto const& e : c.take_effects())
            if (auto const* call = std::get_if<call_store>(&e))
                if (std::holds_alternative<store_write>(call->operation))
                    c.on_store_answer(call->id, store_written{.version = joined_revision},
                                      at_ms(2));
        c.take_effects();
    }

    // Of messages of that type, whom they went to.
    template <class M>
    std::map<std::string, M> sent()
    {
        std::map<std::string, M> found;
        for (auto const& e : c.take_effects())
            if (auto const* s = std::get_if<send_message>(&e))
                if (auto const* m = std::get_if<M>(&s->message))
                    found[s->to.node] = *m;
        return found;
    }

    coordinator c;
};

// The new owner of a moved shard has missed the news of the move; a request of a member
// that had them shows it.
TEST(coordinator, a_request_at_a_later_epoch_fetches_the_news)
{
    joined_member m;
    m.c.note_epoch("p", {"orders", 2}, 0, at_ms(10));
    m.c.note_epoch("stranger", {"orders", 2}, 9, at_ms(10));
    EXPECT_TRUE(m.sent<pull>().empty());
    m.c.note_epoch("p", {"orders", 2}, 9, at_ms(10));
    EXPECT_EQ(m.sent<pull>().at("p").from, joined_revision);
    m.c.note_epoch("p", {"orders", 2}, 9, at_ms(11));
    EXPECT_TRUE(m.sent<pull>().empty()) << "asked a moment ago";
}

// Plays ticks from `from` on; `each` is called before each of them.
template <class Function>
void play(coordinator& c, int from_ms, int until_ms, Function const& each)
{
    constexpr int step_ms = 50;
    for (int ms = from_ms; ms <= until_ms; ms += step_ms)
    {
        each(ms);
        c.tick(at_ms(ms));
    }
}

// The names of the objects that were to be written since the last call.
std::set<std::string> written_objects(coordinator& c)
{
    std::set<std::string> names;
    for (auto const& e : c.take_effects())
        if (auto const* call = std::get_if<call_store>(&e))
            if (auto const* w = std::get_if<store_write>(&call->operation))
                names.insert(w->name);
    return names;
}

// Changes of (joined_revision + 1, joined_revision + 2], so beyond a gap: n owns a shard.
deltas move_beyond_a_gap()
{
    return {.from = joined_revision + 1,
            .to = joined_revision + 2,
            .objects = {{.name = shard_group_object("orders", 0),
                         .version = joined_revision + 2,
                         .value = shard_group_record{
                             .service = "orders",
                             .assignments = {{.owner = {"n", 5}, .epoch = 9}}}}}};
}

TEST(coordinator, a_request_for_a_shard_beyond_a_gap_fetches_what_is_missing)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    EXPECT_TRUE(m.sent<pull>().empty()) << "what is missing may be on its way";
    m.c.note_epoch("p", {"orders", 0}, 8, at_ms(11));
    EXPECT_TRUE(m.sent<pull>().empty()) << "p has not heard of the move";
    m.c.note_epoch("p", {"orders", 0}, 9, at_ms(11));
    EXPECT_EQ(m.sent<pull>().at("p").from, joined_revision);
    m.c.on_message({"p", 7}, deltas{.from = joined_revision, .to = joined_revision + 2},
                   at_ms(400));
    m.c.note_epoch("p", {"orders", 0}, 9, at_ms(401));
    EXPECT_TRUE(m.sent<pull>().empty()) << "nothing is missing any more";
}

TEST(coordinator, what_is_missing_is_fetched_though_nobody_speaks_again)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    play(m.c, 50, 250, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty()) << "what is missing may be on its way";
    play(m.c, 300, 350, [](int) {});
    EXPECT_EQ(m.sent<pull>().at("q").from, joined_revision);
    play(m.c, 400, 700, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty()) << "asked once for what was told once";
}

// A process that follows another of its node, which had the upstreams a and b.
struct restarted_member
{
    restarted_member()
        : c({.self = {"n", 5}, .endpoint = "tcp://n:1", .region = "r", .domain = "d-n"})
    {
        member_record const before{
            .id = {"n", 4},
            .generation = 4,
            .endpoint = "tcp://n:1",
            .region = "r",
            .domain = "d-n",
            .targets = {{.service = "a", .life = "a1"}, {.service = "b", .life = "b1"}}};
        c.start(at_ms(0));
        effects = c.take_effects();
        c.on_store_answer(list_call(effects, object_kind::configuration),
                          store_objects{.revision = 3, .objects = {}}, at_ms(1));
        fleet = {
            .revision = 3,
            .objects = {
                {.name = member_object("n"), .version = 3, .value = before},
                {.name = member_object("p"), .version = 3, .value = peer_record("p")}}};
    }

    void list()
    {
        c.on_store_answer(list_call(effects, object_kind::fleet), fleet, at_ms(1));
    }

    // Accepts all writes, and returns the last own record.
    member_record accept_writes(int ms)
    {
        for (auto const& e : c.take_effects())
            if (auto const* call = std::get_if<call_store>(&e))
                if (auto const* w = std::get_if<store_write>(&call->operation))
                {
                    record = std::get<member_record>(*w->value);
                    c.on_store_answer(call->id, store_written{.version = ++version},
                                      at_ms(ms));
                }
        return record;
    }

    coordinator c;
    std::vector<effect> effects;
    store_objects fleet;
    member_record record;
    std::uint64_t version = 3;
};

// The upstream b may still run what the earlier process sent it.
TEST(coordinator,
     a_generation_lasts_until_the_earlier_processs_lease_ends_though_an_upstream_is_lost)
{
    for (bool const known_before : {false, true})
    {
        restarted_member m;
        if (known_before)
            m.c.set_targets({{.service = "a", .life = "a1"}});
        m.list();
        EXPECT_EQ(m.accept_writes(2).generation, 4U);
        m.c.set_targets({{.service = "a", .life = "a1"}});
        auto const longest = lease_options{}.longest_lease();
        auto const last_ms = static_cast<int>(longest / 1ms);
        play(m.c, 50, last_ms, [&](int ms) { m.accept_writes(ms); });
        EXPECT_EQ(m.record.generation, 4U);
        play(m.c, last_ms + 50, last_ms + 500, [&](int ms) { m.accept_writes(ms); });
        EXPECT_EQ(m.record.generation, 5U) << "it is lost";
    }
}

// p's earlier tenure owns the shard, and the record in which it was gone was missed: p
// has joined again since, which is news here.
TEST(coordinator, an_unfenced_upstream_is_waited_for_though_its_owner_has_joined_again)
{
    joined_member m({{.name = "orders", .shards = 1}}, 1s);
    auto again = peer_record("p");
    again.id.incarnation = again.generation = 9;
    again.watchers = {{"q", 7}};
    again.targets = {{.service = "orders", .slots = 1}};
    auto const to = joined_revision + 3;
    m.c.on_message(
        {"q", 7},
        deltas{
            .from = joined_revision,
            .to = to,
            .objects = {{.name = shard_group_object("orders", 0),
                         .version = joined_revision + 1,
                         .value = shard_group_record{.service = "orders",
                                                     .assignments = {{.owner = {"p", 7},
                                                                      .epoch = 1}}}},
                        {.name = member_object("p"), .version = to, .value = again}}},
        at_ms(2'000));
    play(m.c, 2'000, 2'950, [](int) {});
    EXPECT_FALSE(written_objects(m.c).contains(shard_group_object("orders", 0)));
    play(m.c, 3'000, 5'000, [](int) {});
    EXPECT_TRUE(written_objects(m.c).contains(shard_group_object("orders", 0)));
}

// n owns the shard and is to give it to the successor.
deltas move_away(std::uint64_t version, std::uint64_t epoch, owner_id const& successor)
{
    return {.from = version - 1,
            .to = version,
            .objects = {
                {.name = shard_group_object("orders", 0),
                 .version = version,
                 .value = shard_group_record{
                     .service = "orders",
                     .assignments = {
                         {.owner = {"n", 5}, .epoch = epoch, .successor = successor}}}}}};
}

TEST(coordinator, a_late_confirmation_of_an_earlier_release_does_not_undo_the_later_one)
{
    joined_member m({{.name = "orders", .shards = 1}});
    m.c.on_message({"q", 7}, move_away(joined_revision + 1, 3, {"p", 7}), at_ms(10));
    m.c.on_message({"q", 7}, move_away(joined_revision + 2, 4, {"q", 7}), at_ms(11));
    m.c.confirm_release({.shard = {"orders", 0}, .epoch = 4}, at_ms(12));
    m.c.take_effects();
    m.c.confirm_release({.shard = {"orders", 0}, .epoch = 3}, at_ms(13));
    play(m.c, 1'000, 3'000, [](int) {});
    auto const told = m.sent<released>();
    ASSERT_FALSE(told.empty()) << "the release is told until the shard has moved";
    EXPECT_EQ(told.begin()->second.shards.at(0).epoch, 4U);
}

// ---- cut off, with the store in reach ----

// p is watched by n.
void watch_p(coordinator& c)
{
    auto p = peer_record("p");
    p.watchers = {{"n", 5}};
    c.on_message({"q", 7},
                 deltas{.from = joined_revision,
                        .to = joined_revision + 1,
                        .objects = {{.name = member_object("p"),
                                     .version = joined_revision + 1,
                                     .value = p}}},
                 at_ms(10));
    c.take_effects();
}

TEST(coordinator, a_silent_subject_is_evicted_by_one_that_hears_others)
{
    joined_member m;
    watch_p(m.c);
    play(m.c, 50, 3'000,
         [&](int ms)
         {
             if (ms % 500 == 0)
                 m.c.note_contact("q", at_ms(ms));
         });
    EXPECT_TRUE(written_objects(m.c).contains(member_object("p")));
}

TEST(coordinator, one_that_hears_nobody_evicts_nobody_and_keeps_its_watchers)
{
    joined_member m;
    watch_p(m.c);
    play(m.c, 50, 3'000, [](int) {});
    EXPECT_TRUE(written_objects(m.c).empty());
}

TEST(coordinator, one_that_hears_only_its_own_failure_domain_evicts_nobody)
{
    joined_member m;
    watch_p(m.c);
    auto neighbour = peer_record("neighbour");
    neighbour.domain = "d-n";
    m.c.on_message({"q", 7},
                   deltas{.from = joined_revision + 1,
                          .to = joined_revision + 2,
                          .objects = {{.name = member_object("neighbour"),
                                       .version = joined_revision + 2,
                                       .value = neighbour}}},
                   at_ms(20));
    m.c.take_effects();
    play(m.c, 50, 3'000, [&](int ms) { m.c.note_contact("neighbour", at_ms(ms)); });
    EXPECT_FALSE(written_objects(m.c).contains(member_object("p")));
}

TEST(coordinator, one_that_hears_nobody_asks_and_the_answer_counts)
{
    joined_member m;
    watch_p(m.c);
    play(m.c, 50, 700, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty()) << "its peers may just have nothing to say";
    play(m.c, 750, 1'200, [](int) {});
    auto const asked = m.sent<pull>();
    EXPECT_TRUE(asked.contains("p"));
    EXPECT_TRUE(asked.contains("q"));
    // Without news the answer is empty.
    m.c.on_message({"q", 7}, deltas{.from = joined_revision + 1}, at_ms(1'210));
    play(m.c, 1'250, 1'500, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty());
}

TEST(coordinator, a_question_for_changes_is_answered_though_there_are_none)
{
    joined_member m;
    m.c.on_message({"p", 7}, pull{.from = joined_revision}, at_ms(20));
    EXPECT_TRUE(m.sent<deltas>().contains("p"));
}

// The next incarnation in the process of a member that was evicted; the lists of the
// store have come.
struct evicted_member
{
    evicted_member()
        : next({.self = {"n", 6},
                .endpoint = "tcp://n:1",
                .region = "r",
                .domain = "d-n",
                .known = evict()})
    {
        next.start(at_ms(30));
        next.tick(at_ms(35));
        auto const effects = next.take_effects();
        asked = count_of<send_message>(effects);
        next.on_store_answer(list_call(effects, object_kind::configuration),
                             store_objects{.revision = 5, .objects = {}}, at_ms(40));
        next.on_store_answer(list_call(effects, object_kind::fleet),
                             store_objects{.revision = 5, .objects = records()},
                             at_ms(40));
    }

    static object own_record()
    {
        return {.name = member_object("n"),
                .version = joined_revision + 1,
                .value = member_record{.id = {"n", 5},
                                       .generation = 5,
                                       .endpoint = "tcp://n:1",
                                       .region = "r",
                                       .domain = "d-n",
                                       .state = member_state::evicting}};
    }

    static std::vector<object> records()
    {
        std::vector<object> all{own_record()};
        for (auto const* node : {"p", "q"})
            all.push_back(
                {.name = member_object(node), .version = 3, .value = peer_record(node)});
        return all;
    }

    static replica evict()
    {
        joined_member m;
        m.c.on_message({"p", 7},
                       deltas{.from = joined_revision,
                              .to = joined_revision + 1,
                              .objects = {own_record()}},
                       at_ms(20));
        EXPECT_EQ(count_of<membership_ended>(m.c.take_effects()), 1U);
        return m.c.take_copy();
    }

    bool registers() { return written_objects(next).contains(member_object("n")); }

    coordinator next;
    std::size_t asked = 0;
};

TEST(coordinator, one_that_was_evicted_registers_again_once_it_is_heard)
{
    evicted_member m;
    EXPECT_EQ(m.asked, 2U) << "p and q are asked";
    EXPECT_FALSE(m.registers());
    m.next.note_contact("q", at_ms(50));
    EXPECT_TRUE(m.registers());
}

TEST(coordinator, one_that_was_evicted_does_not_wait_for_ever)
{
    evicted_member m;
    constexpr int long_after_ms = 16'000;
    m.next.tick(at_ms(long_after_ms)); // asks for the list again
    m.next.tick(at_ms(long_after_ms + 1));
    auto const effects = m.next.take_effects();
    m.next.on_store_answer(
        list_call(effects, object_kind::fleet),
        store_objects{.revision = 5, .objects = evicted_member::records()},
        at_ms(long_after_ms + 5));
    EXPECT_TRUE(m.registers());
}

} // namespace
} // namespace buckthornusher
