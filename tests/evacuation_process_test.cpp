// Tests of real node processes: operators evacuate failure domains through a node while
// callers send requests to all of them.
#include "node_fleet.hpp"

namespace buckthornusher::test
{
namespace
{

constexpr duration evacuation_bound = 2s; // as in the nodes' settings
constexpr int operators_port = 7'621;
constexpr int ok = 200;
constexpr int unavailable = 503;

class evacuation_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        more_node_settings = "evacuation_bound_ms = 2000\n";
        ASSERT_NO_FATAL_FAILURE(start({"desk", "desk", "kiosk", "kiosk"}));
        for (std::size_t node = 0; node < upstreams.size(); ++node)
            for (auto const* service : {"desk", "kiosk"})
                ASSERT_TRUE(wait_until_served(node, service, headers()));
    }

    static http_headers headers() { return {{"X-Buckthornusher-Shard-Key", "7"}}; }

    // Returns the status of the operators' call at the node.
    int call(std::size_t node, std::string const& method, std::string const& query)
    {
        auto const answer = ask(loop, {.ip = machine_ip(node), .port = operators_port},
                                {.method = method, .target = "/v1/evacuations" + query});
        m_text = answer ? answer->body : "";
        return answer ? answer->status : 0;
    }

    // Sends requests to all nodes in turn for so long. Returns the number not served.
    int not_served(std::string const& service, duration length)
    {
        constexpr std::size_t keys = 65'536;
        constexpr std::size_t step = 1'009; // spreads them over the shards
        int failed = 0;
        for (auto const end = boot_now() + length; boot_now() < end; ++m_requests)
        {
            auto const key = std::to_string(m_requests * step % keys);
            auto const status = status_of(m_requests % upstreams.size(), service,
                                          "e" + std::to_string(m_requests),
                                          {{"X-Buckthornusher-Shard-Key", key}});
            failed += status == ok ? 0 : 1;
            run_for(loop, 2ms);
        }
        return failed;
    }

    std::size_t runs_since(std::size_t upstream, instant since) const
    {
        auto const& runs = upstreams[upstream]->runs;
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](instant at) { return at > since; }));
    }

    std::string m_text; // of the last answer to call()
    std::size_t m_requests = 0;
};

TEST_F(evacuation_fleet, a_domain_is_emptied_in_time_and_taken_back)
{
    struct drill
    {
        std::string service;
        std::size_t evacuated = 0;
    };
    for (auto const& d : {drill{"desk", 1}, drill{"kiosk", 2}})
    {
        auto const& service = d.service;
        auto const evacuated = d.evacuated;
        auto const query = "?domain=d" + std::to_string(evacuated);
        EXPECT_EQ(not_served(service, 500ms), 0);
        ASSERT_EQ(call(3, "PUT", query), ok);
        auto const accepted = boot_now();
        EXPECT_EQ(not_served(service, 2 * evacuation_bound), 0) << service;
        EXPECT_EQ(runs_since(evacuated, accepted + evacuation_bound), 0U) << service;
        EXPECT_EQ(call(0, "GET", ""), ok);
        EXPECT_EQ(m_text, "d" + std::to_string(evacuated) + "\n");
        ASSERT_EQ(call(0, "DELETE", query), ok);
        auto const restored = boot_now();
        EXPECT_TRUE(run_until(loop,
                              [&]
                              {
                                  (void)not_served(service, 100ms);
                                  return runs_since(evacuated, restored) > 0;
                              }))
            << service;
    }
}

TEST_F(evacuation_fleet, without_another_domain_callers_are_refused_at_once)
{
    ASSERT_EQ(call(2, "PUT", "?domain=d0"), ok);
    ASSERT_EQ(call(2, "PUT", "?domain=d1"), ok);
    run_for(loop, evacuation_bound);
    auto const since = boot_now();
    for (std::size_t node = 0; node < upstreams.size(); ++node)
    {
        auto const asked = boot_now();
        EXPECT_EQ(status_of(node, "desk", "n" + std::to_string(node)), unavailable);
        EXPECT_LT(boot_now() - asked, 200ms);
    }
    EXPECT_EQ(runs_since(0, since) + runs_since(1, since), 0U);
    EXPECT_EQ(status_of(0, "kiosk", "other", headers()), ok);
    ASSERT_EQ(call(2, "DELETE", "?domain=d0"), ok);
    EXPECT_TRUE(wait_until_served(3, "desk"));
}

TEST_F(evacuation_fleet, a_restarted_node_and_a_store_that_is_away_change_nothing)
{
    ASSERT_EQ(call(3, "PUT", "?domain=d1"), ok);
    run_for(loop, evacuation_bound / 2);
    set_store_fault("down");
    run_for(loop, evacuation_bound);
    kill_node(0);
    start_node(0);
    auto const since = boot_now();
    EXPECT_TRUE(wait_until_served(0, "desk"));
    (void)not_served("desk", evacuation_bound);
    EXPECT_EQ(runs_since(1, since), 0U);
    set_store_fault("none");
}

TEST_F(evacuation_fleet, operators_are_told_what_is_wrong)
{
    EXPECT_EQ(call(0, "PUT", ""), 400);
    EXPECT_EQ(call(0, "PUT", "?domain=a%20b"), 400);
    EXPECT_EQ(call(0, "DELETE", "?domain=d1"), 404);
    EXPECT_EQ(call(0, "POST", "?domain=d1"), 405);
    ASSERT_EQ(call(0, "PUT", "?domain=d1"), ok);
    EXPECT_EQ(call(1, "PUT", "?domain=d1"), ok) << "it is evacuated already";
}

} // namespace
} // namespace buckthornusher::test
