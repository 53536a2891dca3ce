// Test of node processes whose VMs have narrow links: a burst of downloads at one node,
// of which the upstream is beside another, and small requests of the same upstream.
#include "node_fleet.hpp"

namespace buckthornusher::test
{
namespace
{

constexpr std::size_t large_bytes = 90'000;
constexpr double link_bytes_per_second = 15e6 / 8;
constexpr int at_once = 40; // downloads, more than twice what 600 ms of the link carry

nlohmann::json desk_route(std::string const& prefix, std::string const& kind)
{
    auto route = route_entry("desk", true);
    route["name"] = prefix;
    route["path_prefix"] = "/" + prefix + "/";
    route["kind"] = kind;
    route["timeout_ms"] = 2'500;
    return route;
}

class narrow_links : public node_fleet
{
protected:
    void SetUp() override
    {
        node_arguments = {"--set", "vm.link_mbps=15"};
        ASSERT_NO_FATAL_FAILURE(start({"desk", "kiosk"}));
        auto spec = configuration(2);
        spec["routes"] = {route_entry("kiosk", true), desk_route("desk", "download"),
                          desk_route("small", "idempotent")};
        ASSERT_TRUE(put_configuration(spec));
        upstreams[0]->answer = [](http_request const& request)
        {
            auto answer = signed_answer(request);
            if (request.target.starts_with("/desk/"))
                answer.body.assign(large_bytes, 'x');
            return answer;
        };
        ASSERT_TRUE(run_until(loop, [this] { return ask_for("small", "w") == 200; }));
        ASSERT_TRUE(run_until(loop, [this] { return ask_for("desk", "w") == 200; }));
    }

    http_request request_for(std::string const& prefix, std::string const& id)
    {
        return {.method = "GET",
                .target = "/" + prefix + "/" + id,
                .headers = {{"Host", "desk.example"},
                            {"X-Buckthornusher-Request-Id",
                             prefix + id + std::to_string(++m_asked)},
                            {"X-Buckthornusher-Deadline-Ms", "2500"}}};
    }

    int ask_for(std::string const& prefix, std::string const& id)
    {
        auto const answer = ask(loop, callers_of(1), request_for(prefix, id));
        return answer ? answer->status : 0;
    }

private:
    int m_asked = 0;
};

TEST_F(narrow_links, a_burst_of_downloads_is_served_as_far_as_the_links_carry_it)
{
    http_client callers(loop, {.peer = callers_of(1), .max_connections = at_once});
    http_client small_callers(loop, {.peer = callers_of(1), .max_connections = at_once});
    int ended = 0;
    int whole = 0;
    int refused = 0;
    int small_ended = 0;
    int small_whole = 0;
    auto const runs_before = upstreams[0]->runs.size();
    auto const begun = boot_now();
    instant last_whole = begun;
    for (int i = 0; i < at_once; ++i)
    {
        callers.call(request_for("desk", std::to_string(i)), 10s,
                     [&](http_result const& result)
                     {
                         ++ended;
                         if (!result.has_value())
                             return;
                         bool const answered = result.value().status == 200 &&
                                               result.value().body.size() == large_bytes;
                         whole += answered ? 1 : 0;
                         refused += result.value().status == 429 ? 1 : 0;
                         if (answered)
                             last_whole = boot_now();
                     });
        small_callers.call(request_for("small", std::to_string(i)), 10s,
                           [&](http_result const& result)
                           {
                               ++small_ended;
                               if (result.has_value() && result.value().status == 200)
                                   ++small_whole;
                           });
    }
    ASSERT_TRUE(
        run_until(loop, [&] { return ended == at_once && small_ended == at_once; }));
    EXPECT_EQ(whole + refused, at_once) << "each is answered or refused";
    EXPECT_EQ(small_whole, at_once);
    EXPECT_GE(whole, 4);
    EXPECT_GE(refused, at_once / 2);
    // No faster than the link, and nothing is done in vain.
    auto const took = std::chrono::duration<double>(last_whole - begun).count();
    EXPECT_LE((whole - 1) * large_bytes, link_bytes_per_second * (took + 0.02));
    EXPECT_LE(upstreams[0]->runs.size() - runs_before,
              static_cast<std::size_t>(whole + small_whole));
    std::cout << whole << " whole in " << took << " s, " << refused << " refused\n";
}

} // namespace
} // namespace buckthornusher::test
