// Example-based tests of the coordinator.
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
    ADD_FAILURE() << "no list call for this kind of objects";
    return 0;
}

// The later of two incarnations of a node replaces the earlier one. A node whose clock is
// behind its predecessor's must not join with a lower incarnation.
TEST(coordinator, does_not_join_with_a_lower_incarnation_than_its_predecessor)
{
    coordinator lower_incarnation(
        {.self = {"n", 5}, .endpoint = "tcp://a:1", .region = "r", .domain = "d"});
    lower_incarnation.start(at_ms(0));
    auto const effects = lower_incarnation.take_effects();
    auto const call = list_call(effects, object_kind::fleet);
    lower_incarnation.on_store_answer(list_call(effects, object_kind::configuration),
                                      store_objects{.revision = 3, .objects = {}},
                                      at_ms(4));
    member_record const predecessor{
        .id = {"n", 9}, .generation = 9, .endpoint = "tcp://a:1"};
    lower_incarnation.on_store_answer(
        call,
        store_objects{.revision = 3,
                      .objects = {{.name = member_object("n"),
                                   .version = 3,
                                   .value = predecessor}}},
        at_ms(5));
    auto const after = lower_incarnation.take_effects();
    EXPECT_EQ(count_of<membership_ended>(after), 1U);
    EXPECT_EQ(count_of<call_store>(after), 0U) << "the member must not write a record";
    EXPECT_NE(lower_incarnation.take_copy().member(predecessor.id), nullptr);
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

// Guards against a member cut off from the store that begins a watch and never gets an
// answer. If it told its peers that the configuration is being watched, they
// would not ask the store themselves.
TEST(coordinator, counts_a_watch_of_the_configuration_only_once_it_is_answered)
{
    coordinator only_member(
        {.self = {"n", 5}, .endpoint = "tcp://a:1", .region = "r", .domain = "d"});
    only_member.start(at_ms(0));
    auto effects = only_member.take_effects();
    only_member.on_store_answer(list_call(effects, object_kind::configuration),
                                store_objects{.revision = 3, .objects = {}}, at_ms(5));
    only_member.on_store_answer(list_call(effects, object_kind::fleet),
                                store_objects{.revision = 3, .objects = {}}, at_ms(5));
    std::uint64_t watch = 0;
    instant watch_begun;
    for (int ms = 10; ms <= 3'000; ms += 10)
    {
        effects = only_member.take_effects();
        for (auto const& e : effects)
            if (auto const* c = std::get_if<call_store>(&e))
                if (std::holds_alternative<store_write>(c->operation))
                    only_member.on_store_answer(c->id, store_written{.version = 4},
                                                at_ms(ms));
        if (auto const begun = watch_call(effects, object_kind::configuration))
        {
            watch = begun;
            watch_begun = at_ms(ms) - 10ms; // effects of the tick before
        }
        only_member.tick(at_ms(ms));
    }
    ASSERT_NE(watch, 0U) << "the only member must watch the configuration";
    EXPECT_GE(only_member.subscriptions(at_ms(3'000)).config_age, 2'900ms);
    only_member.on_store_answer(watch, store_objects{.revision = 3, .objects = {}},
                                at_ms(3'010));
    // The store has answered when the wait was over, and the rest may be transit.
    auto const wait = coordinator_options{}.config_watch_wait;
    EXPECT_EQ(only_member.subscriptions(at_ms(3'010)).config_age,
              at_ms(3'010) - (watch_begun + wait));
}

// Guards against a watch whose answer holds an older version first.
TEST(coordinator, of_several_versions_of_the_configuration_the_latest_is_held)
{
    coordinator only_member(
        {.self = {"n", 5}, .endpoint = "tcp://a:1", .region = "r", .domain = "d"});
    only_member.start(at_ms(0));
    auto const version = [](std::uint64_t number)
    {
        return object{.name = config_object,
                      .version = number,
                      .value = config_record{.number = number}};
    };
    only_member.on_store_answer(
        list_call(only_member.take_effects(), object_kind::configuration),
        store_objects{.revision = 9, .objects = {version(7), version(9), version(8)}},
        at_ms(5));
    ASSERT_NE(only_member.copy().config(), nullptr);
    EXPECT_EQ(only_member.copy().config()->number, 9U);
}

// ---- changes of the replica ----

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

    // Returns the messages of that type sent since the last call, by receiver.
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

// Guards against ages that get younger in transit: nobody would read the store in place
// of a subscriber that has lost it.
TEST(coordinator, a_late_ack_does_not_make_the_configuration_look_current)
{
    joined_member m;
    m.c.tick(at_ms(10));
    auto const renewals = m.sent<renew>();
    ASSERT_FALSE(renewals.empty());
    auto const& [watcher, renewal] = *renewals.begin();
    m.c.on_message({watcher, 7},
                   renew_ack{.sequence = renewal.sequence, .permitted = true},
                   at_ms(1'500));
    EXPECT_GE(m.c.subscriptions(at_ms(1'500)).config_age, 1'490ms);
    m.c.on_message({"p", 7}, renew{.sequence = 1}, at_ms(1'500));
    EXPECT_GE(m.c.subscriptions(at_ms(1'500)).config_age, 1'490ms)
        << "the time for which a renewal was in transit is unknown";
}

// The new owner of a moved shard has missed the change of assignment. A request from a
// member that knows the later epoch makes it pull.
TEST(coordinator, a_request_at_a_later_epoch_causes_a_pull)
{
    joined_member m;
    m.c.note_epoch("p", {"orders", 2}, 0, at_ms(10));
    m.c.note_epoch("stranger", {"orders", 2}, 9, at_ms(10));
    EXPECT_TRUE(m.sent<pull>().empty());
    m.c.note_epoch("p", {"orders", 2}, 9, at_ms(10));
    EXPECT_EQ(m.sent<pull>().at("p").from, joined_revision);
    m.c.note_epoch("p", {"orders", 2}, 9, at_ms(11));
    EXPECT_TRUE(m.sent<pull>().empty()) << "no second pull within the pull delay";
}

// Ticks every 50 ms from `from_ms` to `until_ms`; calls `each` before each tick.
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

// Returns the names of the objects written since the last call.
std::set<std::string> written_objects(coordinator& c)
{
    std::set<std::string> names;
    for (auto const& e : c.take_effects())
        if (auto const* call = std::get_if<call_store>(&e))
            if (auto const* w = std::get_if<store_write>(&call->operation))
                names.insert(w->name);
    return names;
}

// Changes of (joined_revision + 1, joined_revision + 2], which leaves a gap after
// joined_revision; in them n owns a shard.
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

TEST(coordinator, a_request_for_a_shard_beyond_a_gap_causes_a_pull)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    EXPECT_TRUE(m.sent<pull>().empty()) << "the missing changes may still arrive";
    m.c.note_epoch("p", {"orders", 0}, 8, at_ms(11));
    EXPECT_TRUE(m.sent<pull>().empty()) << "p does not know the assignment at epoch 9";
    m.c.note_epoch("p", {"orders", 0}, 9, at_ms(11));
    EXPECT_EQ(m.sent<pull>().at("p").from, joined_revision);
    m.c.on_message({"p", 7}, deltas{.from = joined_revision, .to = joined_revision + 2},
                   at_ms(400));
    m.c.note_epoch("p", {"orders", 0}, 9, at_ms(401));
    EXPECT_TRUE(m.sent<pull>().empty()) << "no changes are missing any more";
}

TEST(coordinator, a_gap_causes_a_pull_without_further_messages)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    play(m.c, 50, 250, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty()) << "the missing changes may still arrive";
    play(m.c, 300, 350, [](int) {});
    EXPECT_EQ(m.sent<pull>().at("q").from, joined_revision);
    play(m.c, 400, 700, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty()) << "one pull per announced revision";
}

// Returns the times at which the fleet is listed while nobody answers, until `until_ms`.
std::vector<int> times_of_lists(coordinator& c, int until_ms)
{
    std::vector<int> times;
    for (int ms = 50; ms <= until_ms; ms += 50)
    {
        c.tick(at_ms(ms));
        for (auto const& e : c.take_effects())
            if (auto const* call = std::get_if<call_store>(&e))
                if (call->operation == store_operation(store_list{object_kind::fleet}))
                    times.push_back(ms);
    }
    return times;
}

// The region's subscriber was cut off from the store while a write of another kind left
// the shards of the next write beyond a gap. All owners stopped serving them for 6 s.
TEST(coordinator, a_gap_that_no_peer_fills_is_read_from_the_store)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    auto const lists = times_of_lists(m.c, 2'000);
    ASSERT_EQ(lists.size(), 1U);
    EXPECT_GE(lists.front(), 700) << "peers are asked first";
    EXPECT_TRUE(m.c.subscriptions(at_ms(2'000)).fleet) << "it stands in";
}

TEST(coordinator, a_gap_that_a_peer_fills_causes_no_list)
{
    joined_member m;
    m.c.on_message({"q", 7}, move_beyond_a_gap(), at_ms(10));
    m.c.on_message({"p", 7}, deltas{.from = joined_revision, .to = joined_revision + 2},
                   at_ms(600));
    EXPECT_TRUE(times_of_lists(m.c, 2'000).empty());
}

// When a whole fleet started, members had chosen watchers that were yet to restart, and
// waited for a second, without a lease, to choose again.
TEST(coordinator, watchers_that_have_all_restarted_are_replaced_at_once)
{
    joined_member m;
    auto version = joined_revision;
    std::vector<member_id> watchers;
    int changed_at_ms = 0;
    for (int ms = 50; ms <= 1'500; ms += 50)
    {
        std::uint64_t const incarnation = ms >= 400 ? 9 : 8;
        if (ms == 100 || ms == 400)
            for (auto const* node : {"p", "q"})
            {
                auto again = peer_record(node);
                again.id.incarnation = again.generation = incarnation;
                m.c.on_message(again.id,
                               deltas{.from = version,
                                      .to = version + 1,
                                      .objects = {{.name = member_object(node),
                                                   .version = version + 1,
                                                   .value = again}}},
                               at_ms(ms));
                ++version;
            }
        m.c.tick(at_ms(ms));
        for (auto const& e : m.c.take_effects())
            if (auto const* call = std::get_if<call_store>(&e))
                if (auto const* w = std::get_if<store_write>(&call->operation))
                {
                    if (std::get<member_record>(*w->value).watchers != watchers)
                        changed_at_ms = ms;
                    watchers = std::get<member_record>(*w->value).watchers;
                    m.c.on_store_answer(call->id, store_written{.version = ++version},
                                        at_ms(ms));
                }
    }
    ASSERT_FALSE(watchers.empty());
    EXPECT_EQ(watchers.front().incarnation, 9U);
    EXPECT_LE(changed_at_ms, 700);
}

// A restarted process of a node that had the upstreams a and b.
struct restarted_member
{
    restarted_member()
        : c({.self = {"n", 5}, .endpoint = "tcp://n:1", .region = "r", .domain = "d-n"})
    {
        member_record const before{.id = {"n", 4},
                                   .generation = 4,
                                   .endpoint = "tcp://n:1",
                                   .region = "r",
                                   .domain = "d-n",
                                   .targets = {{.service = "a", .incarnation = "a1"},
                                               {.service = "b", .incarnation = "b1"}}};
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

    // Accepts all writes; returns the last record that the member wrote of itself.
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

// The upstream b may still run requests sent by the earlier process.
TEST(coordinator,
     a_generation_lasts_until_the_earlier_processs_lease_ends_though_an_upstream_is_lost)
{
    for (bool const known_before : {false, true})
    {
        restarted_member m;
        if (known_before)
            m.c.set_targets({{.service = "a", .incarnation = "a1"}});
        m.list();
        EXPECT_EQ(m.accept_writes(2).generation, 4U);
        m.c.set_targets({{.service = "a", .incarnation = "a1"}});
        auto const longest = lease_options{}.max_lease_duration();
        auto const last_ms = static_cast<int>(longest / 1ms);
        play(m.c, 50, last_ms, [&](int ms) { m.accept_writes(ms); });
        EXPECT_EQ(m.record.generation, 4U);
        play(m.c, last_ms + 50, last_ms + 500, [&](int ms) { m.accept_writes(ms); });
        EXPECT_EQ(m.record.generation, 5U) << "the lost upstream ends the generation";
    }
}

// p's earlier generation owns the shard. This member missed the record in which that
// generation was gone: it only sees that p has joined again.
TEST(coordinator,
     reassignment_waits_for_an_unfenced_upstream_though_its_owner_has_rejoined)
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

// n owns the shard and is to release it to the successor.
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
    auto const sent_releases = m.sent<released>();
    ASSERT_FALSE(sent_releases.empty())
        << "the release is repeated until the shard has moved";
    EXPECT_EQ(sent_releases.begin()->second.shards.at(0).epoch, 4U);
}

// n owns the shards 0 to 2 and is to release them to p.
deltas move_three_away(std::string const& service)
{
    return {.from = joined_revision,
            .to = joined_revision + 1,
            .objects = {
                {.name = shard_group_object(service, 0),
                 .version = joined_revision + 1,
                 .value = shard_group_record{.service = service,
                                             .assignments = std::vector<assignment>(
                                                 3, {.owner = {"n", 5},
                                                     .epoch = 3,
                                                     .successor = owner_id{"p", 7}})}}}};
}

// Only the first assigner writes without a delay. A release that went to another one, as
// an earlier release was still on its way, kept its shard unowned for half a second.
TEST(coordinator, each_of_several_releases_goes_to_the_first_assigner_by_itself)
{
    std::size_t remote_assigners = 0;
    for (auto const* service : {"orders", "rounds", "stands", "fairs", "ledger"})
    {
        joined_member m({{.name = service, .shards = 3}});
        m.c.on_message({"q", 7}, move_three_away(service), at_ms(10));
        m.c.take_effects();
        std::set<std::string> assigners;
        for (std::uint32_t shard = 0; shard < 3; ++shard)
        {
            m.c.confirm_release({.shard = {service, shard}, .epoch = 3},
                                at_ms(20 + static_cast<int>(shard)));
            for (auto const& [assigner, message] : m.sent<released>())
            {
                assigners.insert(assigner);
                ASSERT_EQ(message.shards.size(), 1U);
                EXPECT_EQ(message.shards.front().shard.index, shard);
            }
        }
        EXPECT_LE(assigners.size(), 1U) << service; // none if n is the assigner itself
        remote_assigners += assigners.size();
    }
    EXPECT_GT(remote_assigners, 0U);
}

// Sent one by one, the first release caused a write by itself, and the others waited for
// its answer.
TEST(coordinator, releases_of_one_moment_go_in_one_message)
{
    std::size_t messages = 0;
    for (auto const* service : {"orders", "rounds", "stands", "fairs", "ledger"})
    {
        joined_member m({{.name = service, .shards = 3}});
        m.c.on_message({"q", 7}, move_three_away(service), at_ms(10));
        m.c.take_effects();
        for (std::uint32_t shard = 0; shard < 3; ++shard)
            m.c.confirm_release({.shard = {service, shard}, .epoch = 3}, at_ms(20));
        for (auto const& e : m.c.take_effects())
            if (auto const* s = std::get_if<send_message>(&e))
                if (auto const* r = std::get_if<released>(&s->message))
                {
                    ++messages;
                    EXPECT_EQ(r->shards.size(), 3U) << service;
                }
    }
    EXPECT_GT(messages, 0U); // none for a service whose first assigner is n itself
    EXPECT_LE(messages, 5U);
}

// ---- network isolation with the store reachable ----

// Makes n a watcher of p.
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

TEST(coordinator, a_silent_subject_is_evicted_by_a_member_that_hears_others)
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

TEST(coordinator, an_isolated_member_does_not_evict_and_keeps_its_watchers)
{
    joined_member m;
    watch_p(m.c);
    play(m.c, 50, 3'000, [](int) {});
    EXPECT_TRUE(written_objects(m.c).empty());
}

TEST(coordinator, a_member_that_hears_only_its_own_failure_domain_does_not_evict)
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

TEST(coordinator, an_isolated_member_probes_and_an_answer_ends_the_isolation)
{
    joined_member m;
    watch_p(m.c);
    play(m.c, 50, 700, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty())
        << "silence this short does not indicate isolation";
    play(m.c, 750, 1'200, [](int) {});
    auto const pulls_sent = m.sent<pull>();
    EXPECT_TRUE(pulls_sent.contains("p"));
    EXPECT_TRUE(pulls_sent.contains("q"));
    // The answer is empty if there are no changes.
    m.c.on_message({"q", 7}, deltas{.from = joined_revision + 1}, at_ms(1'210));
    play(m.c, 1'250, 1'500, [](int) {});
    EXPECT_TRUE(m.sent<pull>().empty());
}

TEST(coordinator, a_pull_is_answered_even_without_changes)
{
    joined_member m;
    m.c.on_message({"p", 7}, pull{.from = joined_revision}, at_ms(20));
    EXPECT_TRUE(m.sent<deltas>().contains("p"));
}

// The next incarnation in the process of an evicted member, after its lists of the store
// were answered.
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
        pulls_sent = count_of<send_message>(effects);
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
    std::size_t pulls_sent = 0;
};

TEST(coordinator, an_evicted_member_registers_again_after_contact)
{
    evicted_member m;
    EXPECT_EQ(m.pulls_sent, 2U) << "p and q get a pull each";
    EXPECT_FALSE(m.registers());
    m.next.note_contact("q", at_ms(50));
    EXPECT_TRUE(m.registers());
}

TEST(coordinator, an_evicted_member_registers_again_after_the_maximum_wait)
{
    evicted_member m;
    constexpr int long_after_ms = 16'000;
    m.next.tick(at_ms(long_after_ms)); // lists again
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
