// Directed cases of the coordinator.
#include "buckthornusher/coordinator.hpp"

#include <gtest/gtest.h>

#include <algorithm>

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
    member_record const predecessor{.id = {"n", 9}, .tenure = 9, .endpoint = "tcp://a:1"};
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

} // namespace
} // namespace buckthornusher
