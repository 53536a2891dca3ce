// Tests of real node processes against upstreams that fail: what callers and upstreams
// may rely on when reports are late, connections fail or processes end.
#include "node_fleet.hpp"
#include "raw_peers.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>

namespace buckthornusher::test
{
namespace
{

// ---- keys of an upstream that may be running ----

constexpr std::uint32_t keys_per_unit = 64; // each shard has at least that many
constexpr std::uint32_t units = 65'536 / keys_per_unit;

// Watches which upstream holds which keys, by the answers to their reports.
class hold_watch
{
public:
    explicit hold_watch(std::size_t upstreams) : m_until(upstreams) {}

    void on_grant(std::size_t upstream, nlohmann::json const& answer, instant sent)
    {
        auto const now = boot_now();
        auto const until =
            sent + std::chrono::milliseconds(answer.at("hold_ms").get<int>());
        std::array<instant, units> next{};
        for (auto const& row : answer.at("holds"))
            for (auto key = row[0].get<std::uint32_t>(); key <= row[1]; ++key)
                next.at(key / keys_per_unit) = until;
        m_until.at(upstream) = next;
        for (std::size_t other = 0; other < m_until.size(); ++other)
            for (std::uint32_t unit = 0; unit < units; ++unit)
                if (other != upstream && next.at(unit) > now &&
                    m_until.at(other).at(unit) > now)
                    ++m_overlaps;
    }

    std::size_t held(std::size_t upstream) const
    {
        auto const now = boot_now();
        return static_cast<std::size_t>(
            std::count_if(m_until.at(upstream).begin(), m_until.at(upstream).end(),
                          [now](instant until) { return until > now; }));
    }
    std::size_t overlaps() const { return m_overlaps; } // units granted while held

private:
    std::vector<std::array<instant, units>> m_until;
    std::size_t m_overlaps = 0;
};

class keyed_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(start({"kiosk", "kiosk", "kiosk", "desk"}));
        for (std::size_t i = 0; i < keyed; ++i)
            upstreams[i]->on_grant = [this, i](nlohmann::json const& answer, instant sent)
            {
                holds.on_grant(i, answer, sent);
            };
        ASSERT_TRUE(run_until(loop, [this] { return all_held(); }));
    }

    bool all_held() const
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < keyed; ++i)
        {
            sum += holds.held(i);
            if (holds.held(i) == 0)
                return false;
        }
        return sum == units;
    }

    // Sends a request for each of some keys, without waiting for the answers.
    void send_requests(http_client& client)
    {
        constexpr std::uint32_t step = 4'096;
        for (std::uint32_t key = 0; key < 65'536; key += step)
            client.call(
                make_request("kiosk", "k" + std::to_string(++m_sent),
                             {{"X-Buckthornusher-Shard-Key", std::to_string(key)}}),
                3s, [](http_result const&) {});
    }

    // Sends requests for its keys until the first upstream holds none any more. Returns
    // false if it still does after `max_wait`.
    bool send_until_first_holds_nothing()
    {
        http_client callers(loop, {.peer = callers_of(3), .max_connections = 64});
        auto const started = boot_now();
        while (holds.held(0) > 0 && boot_now() - started < max_wait)
        {
            send_requests(callers);
            run_for(loop, 100ms);
        }
        return holds.held(0) == 0;
    }

    static constexpr std::size_t keyed = 3;
    hold_watch holds{keyed};

private:
    int m_sent = 0;
};

// Guards against keys of a running upstream being granted to another one: its report was
// late and it refused connections, so its node took it for dead.
TEST_F(keyed_fleet,
       keys_of_an_upstream_that_refuses_connections_stay_until_its_grant_ends)
{
    upstreams[0]->reports = false;
    upstreams[0]->stop_listening();
    EXPECT_TRUE(send_until_first_holds_nothing());
    EXPECT_TRUE(
        run_until(loop, [this] { return holds.held(1) + holds.held(2) == units; }))
        << "the others get its keys in the end";
    EXPECT_EQ(holds.overlaps(), 0U);
}

// Guards against the same after a restart of the node, whose new process has granted
// nothing itself: the grants of the earlier one run on.
TEST_F(keyed_fleet, keys_granted_by_an_earlier_process_stay_until_its_lease_ends)
{
    upstreams[0]->reports = false;
    upstreams[0]->stop_listening();
    auto const late = upstreams[0]->next_report();
    kill_node(0);
    start_node(0);
    // The report arrives before the new process has a lease, so it brings no grant.
    ASSERT_TRUE(run_until(loop, [&] { return upstreams[0]->report(late) != 0; }));
    EXPECT_TRUE(send_until_first_holds_nothing());
    EXPECT_TRUE(
        run_until(loop, [this] { return holds.held(1) + holds.held(2) == units; }));
    EXPECT_EQ(holds.overlaps(), 0U);
}

// ---- an upstream that has left ----

class order_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(start({"desk", "desk", "kiosk"}));
        for (std::size_t i = 0; i < 2; ++i)
            ASSERT_TRUE(wait_until_served(i, "desk"));
    }

    // Restarts the node beside the upstream that leaves and waits until it serves.
    void restart_node()
    {
        kill_node(0);
        start_node(0);
        ASSERT_TRUE(wait_until_served(0, "desk"));
    }

    // Sends orders to all nodes for longer than an upstream counts as present after its
    // last report. Returns how many of them reached the upstream that has left.
    std::size_t orders_that_reach_it()
    {
        auto const before = upstreams[0]->runs.size();
        auto const until = boot_now() + 3 * report_interval + 500ms;
        for (int n = 0; boot_now() < until; ++n)
            for (std::size_t node = 0; node < 3; ++node)
                status_of(node, "desk", std::to_string(n) + "-" + std::to_string(node));
        return upstreams[0]->runs.size() - before;
    }

    static constexpr int acknowledged = 200;
    static constexpr int outdated = 410;
};

// Guards against an upstream in trouble whose answer bears a status that is none.
TEST_F(order_fleet, a_status_that_is_none_is_never_passed_on)
{
    constexpr int answer_lost = 502;
    for (auto const& upstream : upstreams)
        upstream->stop_listening();
    std::string status;
    std::vector<std::unique_ptr<raw_upstream>> odd;
    for (std::size_t i = 0; i < 2; ++i)
    {
        odd.push_back(std::make_unique<raw_upstream>(
            loop, tcp_address{.ip = machine_ip(i), .port = upstream_port}));
        odd[i]->answer = [&, i](int)
        {
            constexpr std::string_view name = "X-Buckthornusher-Request-Id: ";
            auto const& read = odd[i]->read;
            auto const at = read.rfind(name) + name.size();
            auto const id = read.substr(at, read.find('\r', at) - at);
            return std::string("HTTP/1.1 ")
                .append(status)
                .append(" Odd\r\n")
                .append(name)
                .append(id)
                .append("\r\nX-Buckthornusher-Response-Signature: s\r\n"
                        "Content-Length: 2\r\n\r\nok");
        };
    }
    for (auto const* const none : {"000", "099", "101", "600", "999"})
    {
        status = none;
        EXPECT_EQ(status_of(0, "desk", std::string("odd-") + none), answer_lost) << none;
    }
}

// Guards against a target that has left being used again: its node was restarted after
// the acknowledgement, and a report from before arrived late.
TEST_F(order_fleet, an_upstream_that_left_is_not_used_again_after_its_node_restarts)
{
    upstreams[0]->reports = false;
    auto const late = upstreams[0]->next_report();
    ASSERT_EQ(upstreams[0]->depart(), acknowledged);
    restart_node();
    EXPECT_EQ(upstreams[0]->report(late), outdated);
    EXPECT_EQ(orders_that_reach_it(), 0U);
}

// Guards against the same where the process that acknowledges the exit does not know the
// upstream yet.
TEST_F(order_fleet, an_upstream_that_leaves_right_after_a_restart_is_not_used_again)
{
    upstreams[0]->reports = false;
    auto const late = upstreams[0]->next_report();
    kill_node(0);
    start_node(0);
    ASSERT_TRUE(run_until(loop, [&] { return upstreams[0]->depart() == acknowledged; }));
    EXPECT_EQ(upstreams[0]->report(late), outdated);
    EXPECT_EQ(orders_that_reach_it(), 0U);
    restart_node();
    EXPECT_EQ(upstreams[0]->report(late), outdated);
    EXPECT_EQ(orders_that_reach_it(), 0U);
}

// Guards against the keys of an upstream being given away when the node gives up the
// upstream of another service that was at its address before.
TEST_F(order_fleet, keys_stay_with_an_upstream_that_took_over_anothers_address)
{
    constexpr std::size_t keyed = 2;
    hold_watch holds(keyed);
    upstreams[2]->on_grant = [&](nlohmann::json const& answer, instant sent)
    {
        holds.on_grant(0, answer, sent);
    };
    ASSERT_TRUE(run_until(loop, [&] { return holds.held(0) == units; }));
    kill_node(0);
    upstreams[0].reset();
    run_for(loop, 100ms);
    upstreams[0] = std::make_unique<live_upstream>(
        loop, live_upstream::options{.machine = 0, .service = "kiosk", .id = "i-new"});
    std::map<int, int> epochs; // of the keys at which its ranges begin
    int regranted = 0;         // at another epoch, although held
    upstreams[0]->on_grant = [&](nlohmann::json const& answer, instant sent)
    {
        for (auto const& row : answer.at("holds"))
        {
            auto const [known, is_new] = epochs.try_emplace(row[0], row[2]);
            regranted += !is_new && known->second != row[2] ? 1 : 0;
        }
        holds.on_grant(1, answer, sent);
    };
    start_node(0);
    EXPECT_TRUE(run_until(loop, [&] { return holds.held(1) > 0; }));
    // Longer than a new process waits for the upstreams of the earlier one.
    run_for(loop, 6 * report_interval + 2s);
    EXPECT_GT(holds.held(1), 0U);
    EXPECT_EQ(regranted, 0) << "its owner generation ended";
    EXPECT_EQ(holds.overlaps(), 0U);
}

// Guards against a report from before a drain ending it under the next process.
TEST_F(order_fleet, an_upstream_that_drains_is_not_used_again_after_its_node_restarts)
{
    upstreams[0]->reports = false;
    auto const late = upstreams[0]->next_report();
    upstreams[0]->state = "draining";
    ASSERT_EQ(upstreams[0]->report(upstreams[0]->next_report()), acknowledged);
    restart_node();
    EXPECT_EQ(upstreams[0]->report(late), acknowledged);
    EXPECT_EQ(orders_that_reach_it(), 0U);
}

// Guards against an exit that is acknowledged while it can't be kept: the next process
// would not know it.
TEST_F(order_fleet, an_exit_is_not_acknowledged_while_the_store_is_down)
{
    upstreams[0]->reports = false;
    set_store_fault("down");
    EXPECT_NE(upstreams[0]->depart(), acknowledged);
    EXPECT_EQ(orders_that_reach_it(), 0U) << "it is not used, though";
    set_store_fault("none");
    EXPECT_TRUE(run_until(loop, [&] { return upstreams[0]->depart() == acknowledged; }));
}

// ---- lengths and bytes from outside ----

// Guards against a header field that the configuration allows ending the process that
// reads it.
TEST_F(order_fleet, a_header_field_up_to_the_configured_limit_is_served)
{
    constexpr int max_header_bytes = 131'072;
    constexpr std::size_t long_field = 70'000;
    http_headers const note = {{"X-Note", std::string(long_field, 'a')}};
    EXPECT_EQ(status_of(0, "desk", "before", note), 431);
    ASSERT_TRUE(put_configuration(configuration(2, max_header_bytes)));
    ASSERT_TRUE(wait_until_served(0, "desk", note));
    for (std::size_t i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(wait_until_served(i, "desk", note)) << "at node " << i;
        EXPECT_TRUE(node(i).is_running());
    }
}

struct endless_answer
{
    char const* name;
    char const* begin; // sent once
    char const* unit;  // sent without end
};

std::ostream& operator<<(std::ostream& out, endless_answer const& a)
{
    return out << a.name;
}

class endless_upstream : public order_fleet,
                         public testing::WithParamInterface<endless_answer>
{
};

// Guards against bytes without end from an upstream being kept until the node runs out of
// memory, with the requests of all other callers.
TEST_P(endless_upstream, takes_a_bounded_part_of_its_nodes_memory)
{
    // The design allows a node 64 MB, and the client may hold twice its 16 MB of
    // incomplete answers (http_client.hpp).
    constexpr std::uint64_t max_kb = 65'536 + 2 * 16'384;
    constexpr int enough = 48; // requests that the faulty upstream answers
    constexpr int at_once = 8;
    constexpr int max_rounds = 100;
    ASSERT_TRUE(wait_until_served(0, "kiosk", {{"X-Buckthornusher-Shard-Key", "7"}}));
    upstreams[0]->stop_listening();
    raw_upstream faulty(loop, {.ip = machine_ip(0), .port = upstream_port});
    faulty.answer = [](int)
    {
        return std::string(GetParam().begin) + "<endless>";
    };
    for (int i = 0; i < 1'000; ++i)
        faulty.unit += GetParam().unit;
    http_client callers(loop, {.peer = callers_of(0), .max_connections = at_once});
    int sent = 0;
    int ended = 0;
    int unanswered = 0;
    auto const on_result = [&](http_result const& result)
    {
        ++ended;
        unanswered += result.has_value() ? 0 : 1;
    };
    for (int round = 0; faulty.requests < enough && round < max_rounds; ++round)
    {
        for (int i = 0; i < at_once; ++i)
            callers.call(make_request("desk", "e" + std::to_string(++sent)), 10s,
                         on_result);
        ASSERT_TRUE(run_until(loop, [&] { return ended == sent; }));
        // Other requests of the node are answered meanwhile.
        EXPECT_EQ(status_of(0, "kiosk", "k" + std::to_string(round),
                            {{"X-Buckthornusher-Shard-Key", "7"}}),
                  200);
    }
    EXPECT_EQ(unanswered, 0);
    EXPECT_GE(faulty.requests, enough);
    EXPECT_GT(faulty.unit_bytes_sent, 0U);
    EXPECT_TRUE(node(0).is_running());
    EXPECT_LT(node(0).peak_resident_kb(), max_kb);
    std::cout << GetParam().name << ": peak " << node(0).peak_resident_kb() << " KB, "
              << faulty.unit_bytes_sent << " bytes sent, " << faulty.requests << " of "
              << sent << " requests reached it\n";
}

INSTANTIATE_TEST_SUITE_P(
    all, endless_upstream,
    testing::Values(
        endless_answer{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        endless_answer{"one_field", "HTTP/1.1 200 OK\r\nX-Field: ", "value"},
        endless_answer{"no_line", "", "not HTTP"},
        endless_answer{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_answer{"length",
                       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n",
                       "body"},
        endless_answer{"allowed_length",
                       "HTTP/1.1 200 OK\r\nContent-Length: 8388608\r\n\r\n", "body"},
        endless_answer{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "4\r\nbody\r\n"},
        endless_answer{"chunk_line",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
        endless_answer{"trailer",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                       "X-Field: value\r\n"},
        endless_answer{"until_close", "HTTP/1.1 200 OK\r\n\r\n", "body"}),
    [](auto const& info) { return std::string(info.param.name); });

// ---- routes bound to regions ----

// Nodes in two regions with callers at all of them, and upstreams of both services in
// each region.
class region_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(start({"desk", "desk", "kiosk", "kiosk"}));
        for (std::size_t i = 0; i < nodes; ++i)
        {
            ASSERT_TRUE(wait_until_served(i, "desk"));
            ASSERT_TRUE(wait_until_served(i, "kiosk", key));
        }
    }

    // Puts a document that binds the route to the region, and waits until it has spread.
    void bind(std::size_t route, std::string const& region)
    {
        m_spec["version"] = ++m_version;
        m_spec["routes"][route]["allowed_regions"] = {region};
        ASSERT_TRUE(run_until(loop, [&] { return put_configuration(m_spec); }));
        run_for(loop, spread_time);
    }

    // Sends some requests to each node. Returns the number of answers by status.
    std::map<int, int> send_some(std::string const& service, http_headers const& more)
    {
        std::map<int, int> found;
        for (int n = 0; n < requests_per_node; ++n)
            for (std::size_t i = 0; i < nodes; ++i)
                ++found[status_of(i, service, "q" + std::to_string(++m_sent), more)];
        return found;
    }

    static constexpr std::size_t nodes = 4; // of the regions r0, r1, r0 and r1
    static constexpr int requests_per_node = 25;
    static constexpr int all = requests_per_node * static_cast<int>(nodes);
    static constexpr std::size_t kiosk_route = 0;
    static constexpr std::size_t desk_route = 1;
    static constexpr duration spread_time = 2s;
    http_headers const key{{"X-Buckthornusher-Shard-Key", "77"}};

private:
    nlohmann::json m_spec = configuration(1);
    int m_version = 1;
    int m_sent = 0;
};

TEST_F(region_fleet, orders_reach_upstreams_in_their_region_only)
{
    ASSERT_NO_FATAL_FAILURE(bind(desk_route, "r1"));
    auto const before = upstreams[0]->runs.size();
    EXPECT_EQ(send_some("desk", {}), (std::map<int, int>{{200, all}}));
    EXPECT_EQ(upstreams[0]->runs.size(), before);
    ASSERT_NO_FATAL_FAILURE(bind(desk_route, "nowhere"));
    auto const began = boot_now();
    EXPECT_EQ(send_some("desk", {}), (std::map<int, int>{{503, all}}));
    EXPECT_LT(boot_now() - began, 5s); // each at once
    EXPECT_EQ(upstreams[0]->runs.size(), before);
}

TEST_F(region_fleet, keys_move_into_the_regions_of_their_service)
{
    ASSERT_NO_FATAL_FAILURE(bind(kiosk_route, "r1"));
    ASSERT_TRUE(run_until(loop, [&] { return !upstreams[2]->holds_keys(); }));
    ASSERT_TRUE(wait_until_served(0, "kiosk", key));
    auto const before = upstreams[2]->runs.size();
    EXPECT_EQ(send_some("kiosk", key), (std::map<int, int>{{200, all}}));
    EXPECT_EQ(upstreams[2]->runs.size(), before);
}

} // namespace
} // namespace buckthornusher::test
