// Tests of the store's client against a server that plays a drill: it comes back from an
// older copy, while calls are under way.
#include "connection/store_client.hpp"

#include "connection/http_server.hpp"
#include "free_port.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <gtest/gtest.h>

namespace buckthornusher::test
{

namespace
{

class StoreClientEra : public testing::Test
{
protected:
    StoreClientEra()
        : m_address(free_address()),
          m_server(loop, {.address = m_address},
                   [this](http_request const& request, http_reply const& reply)
                   {
                       ++calls;
                       last_target = request.target;
                       http_response answer{.status = status, .body = body};
                       if (!era.empty())
                           answer.headers.push_back({"Store-Era", era});
                       reply.send(std::move(answer));
                   }),
          client(loop, {.address = m_address,
                        .user_agent = "test",
                        .on_era_risen = [this](std::uint64_t to)
                        {
                            risen_to = to;
                        }})
    {
    }

    store_answer call(store_operation const& operation)
    {
        std::optional<store_answer> answer;
        client.call(operation, [&](store_answer a) { answer = std::move(a); });
        auto const deadline = boot_now() + 5s;
        while (!answer && boot_now() < deadline)
            loop.run_once();
        return answer.value_or(store_no_answer{});
    }

    void state(std::string to_era, std::uint64_t revision)
    {
        era = std::move(to_era);
        body = R"({"items":[],"events":[],"store_revision":)" + std::to_string(revision) +
               "}";
    }

    static store_watch watch_from(std::uint64_t since)
    {
        return {.kind = object_kind::evacuations, .since = since, .wait = 10ms};
    }

    event_loop loop;
    std::string era;
    int status = 200;
    std::string body;
    std::string last_target;
    int calls = 0;
    std::optional<std::uint64_t> risen_to;

private:
    tcp_address m_address;
    http_server m_server;

protected:
    store_client client;
};

std::uint64_t revision_in(store_answer const& answer)
{
    auto const* found = std::get_if<store_objects>(&answer);
    return found == nullptr ? 0 : found->revision;
}

TEST_F(StoreClientEra, WithoutErasVersionsAreRevisions)
{
    state("", 40);
    EXPECT_EQ(revision_in(call(store_list{.kind = object_kind::evacuations})), 40U);
    EXPECT_EQ(revision_in(call(watch_from(40))), 40U);
    EXPECT_EQ(client.counts().era_errors, 0U);
    EXPECT_EQ(client.era(), std::nullopt);
}

TEST_F(StoreClientEra, AnOlderCopyIsLaterInItsEra)
{
    state("3", 40);
    auto const before = revision_in(call(store_list{.kind = object_kind::evacuations}));
    EXPECT_EQ(revision_in(call(watch_from(before))), before);
    EXPECT_NE(last_target.find("watch=40"), std::string::npos);
    state("4", 31);
    EXPECT_TRUE(std::holds_alternative<store_history_lost>(call(watch_from(before))))
        << "asked in one era, answered in the next";
    EXPECT_EQ(risen_to, 4U);
    auto const so_far = calls;
    EXPECT_TRUE(std::holds_alternative<store_history_lost>(call(watch_from(before))));
    EXPECT_EQ(calls, so_far) << "the revision means nothing any more";
    auto const after = revision_in(call(store_list{.kind = object_kind::evacuations}));
    EXPECT_GT(after, before);
    EXPECT_EQ(revision_in(call(watch_from(after))), after);
    EXPECT_EQ(client.counts().era_rises, 1U);
}

TEST_F(StoreClientEra, AnAnswerWithoutAUsableEraIsAnError)
{
    state("3", 40);
    (void)call(store_list{.kind = object_kind::fleet});
    for (auto const* bad : {"", "2", "x", "-4", "70000"})
    {
        state(bad, 90);
        EXPECT_TRUE(std::holds_alternative<store_no_answer>(
            call(store_list{.kind = object_kind::fleet})))
            << bad;
        EXPECT_FALSE(client.reachable());
    }
    EXPECT_EQ(client.counts().era_errors, 5U);
    state("3", 41);
    EXPECT_EQ(revision_in(call(store_list{.kind = object_kind::fleet})),
              qualified_version(3, 41));
}

TEST_F(StoreClientEra, AWriteOnAConditionOfAnEarlierEraIsNotSent)
{
    state("3", 40);
    auto const before = revision_in(call(store_list{.kind = object_kind::evacuations}));
    state("4", 31);
    (void)call(store_list{.kind = object_kind::evacuations});
    auto const so_far = calls;
    store_write const write{
        .name = evacuation_object("a"), .expected = before, .value = {}};
    EXPECT_TRUE(std::holds_alternative<store_refused>(call(write)));
    EXPECT_EQ(calls, so_far);
}

} // namespace

} // namespace buckthornusher::test
