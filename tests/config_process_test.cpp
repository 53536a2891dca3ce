// Tests of real node processes on what they answer from their configuration while they
// may not have the newest.
#include "node_fleet.hpp"

namespace buckthornusher::test
{
namespace
{

constexpr duration config_bound = 2'500ms; // as in the nodes' settings
constexpr int unavailable = 503;
constexpr int not_found = 404;

class config_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(start({"desk", "desk"}));
        for (std::size_t node = 0; node < upstreams.size(); ++node)
            ASSERT_TRUE(wait_until_served(node, "desk"));
    }

    // The configuration with a route for /late/ to the service of orders.
    static nlohmann::json with_late_route()
    {
        auto next = configuration(2);
        auto route = route_entry("desk", true);
        route["name"] = "r-late";
        route["host"] = "late.example";
        route["path_prefix"] = "/late/";
        next["routes"].push_back(route);
        return next;
    }

    // Nodes name themselves to the store by their IP; the operator does not.
    void set_store_fault_for_nodes(std::string const& mode)
    {
        set_store_fault(mode + "&agent=127.");
    }
};

// Guards against 404, which no caller repeats, from a version of unknown age.
TEST_F(config_fleet, a_route_added_while_no_node_reads_the_store_is_not_denied)
{
    set_store_fault_for_nodes("hang");
    ASSERT_TRUE(put_configuration(with_late_route()));
    auto const accepted = boot_now();
    int refused = 0;
    for (int n = 0; boot_now() < accepted + 2 * config_bound; ++n)
    {
        bool const in_bound = boot_now() < accepted + config_bound;
        auto const answer =
            ask(loop, callers_of(static_cast<std::size_t>(n) % upstreams.size()),
                make_request("late", "l" + std::to_string(n)));
        ASSERT_TRUE(answer);
        if (in_bound)
            continue;
        ASSERT_EQ(answer->status, unavailable) << "request " << n;
        ASSERT_FALSE(find_header(answer->headers, "retry-after").empty());
        ++refused;
    }
    EXPECT_GT(refused, 0);
    set_store_fault("none");
    for (std::size_t node = 0; node < upstreams.size(); ++node)
        EXPECT_TRUE(wait_until_served(node, "late"));
    EXPECT_TRUE(
        run_until(loop, [this] { return status_of(0, "never", "n") == not_found; }));
}

// Guards against a conflict that is told from a number of unknown age.
TEST_F(config_fleet, a_node_without_evidence_tells_an_operator_of_no_conflict)
{
    constexpr int operators_port = 7'621;
    constexpr int conflict = 409;
    std::ifstream example(std::string(SOURCE_DIR) + "/examples/svecnik.toml");
    http_request const change{
        .method = "PUT",
        .target = "/v1/config?expected=2",
        .body = std::string(std::istreambuf_iterator<char>(example), {})};
    auto const status = [&]
    {
        auto const answer =
            ask(loop, {.ip = machine_ip(0), .port = operators_port}, change);
        return answer ? answer->status : 0;
    };
    EXPECT_EQ(status(), conflict) << "number 1 is known to be the newest";
    set_store_fault_for_nodes("hang");
    ASSERT_TRUE(put_configuration(with_late_route()));
    EXPECT_TRUE(run_until(loop, [&] { return status() == unavailable; }));
}

} // namespace
} // namespace buckthornusher::test
