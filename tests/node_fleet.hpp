// A small fleet of real node processes in the platform's form, with the stand-in store.
// The test's own process plays the upstreams and the callers.
//
// Each test process has loopback addresses of its own, so parallel tests do not meet. The
// event loop of the test runs only inside the calls below; each of them waits for an
// event and gives up after `max_wait`.
#ifndef BUCKTHORNUSHER_TESTS_NODE_FLEET_HPP
#define BUCKTHORNUSHER_TESTS_NODE_FLEET_HPP

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "soak/child_process.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

namespace buckthornusher::test
{

inline constexpr duration max_wait = 20s;
inline constexpr duration report_interval = 500ms;
inline constexpr int callers_port = 8304;
inline constexpr int upstream_port = 8301;
inline constexpr int reports_port = 8306;

// Returns the address of machine `number` in this test process.
inline std::string machine_ip(std::size_t number)
{
    constexpr int first_network = 64;
    constexpr int networks = 128;
    constexpr int subnetworks = 250;
    auto const pid = ::getpid();
    return "127." + std::to_string(first_network + pid / subnetworks % networks) + "." +
           std::to_string(1 + pid % subnetworks) + "." + std::to_string(number + 1);
}

inline std::uint64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Runs the loop until the condition holds. Returns false if it does not within the time.
template <class Condition>
bool run_until(event_loop& loop, Condition condition, duration limit = max_wait)
{
    auto const deadline = boot_now() + limit;
    // Wakes the loop at the deadline.
    auto const timer = loop.timers().at(deadline, [](instant) {});
    while (!condition() && boot_now() < deadline)
        loop.run_once();
    loop.timers().cancel(timer);
    return condition();
}

inline void run_for(event_loop& loop, duration length)
{
    run_until(
        loop, [] { return false; }, length);
}

// Sends one request on a connection of its own. Returns nothing if there is no answer.
inline std::optional<http_response> ask(event_loop& loop, tcp_address const& to,
                                        http_request request, duration timeout = 5s)
{
    http_client client(loop, {.peer = to, .max_connections = 1});
    std::optional<http_response> answer;
    bool done = false;
    client.call(std::move(request), timeout,
                [&](http_result result)
                {
                    done = true;
                    if (result.has_value())
                        answer = std::move(result).value();
                });
    run_until(loop, [&] { return done; });
    return answer;
}

// ---- the users' configuration ----

inline nlohmann::json service_entry(std::string const& name, bool keyed)
{
    nlohmann::json entry{{"name", name}, {"health_path", "/health"}, {"max_conns", 110}};
    if (keyed)
        entry.update({{"sharded", true}, {"warmup_s", 5.0}, {"grants", "heartbeat"}});
    return entry;
}

inline nlohmann::json route_entry(std::string const& service, bool idempotent)
{
    return {{"name", "r-" + service},
            {"host", service + ".example"},
            {"path_prefix", "/" + service + "/"},
            {"kind", idempotent ? "idempotent" : "non_idempotent"},
            {"timeout_ms", 3'000},
            {"slo_latency_ms", 600},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
}

// One keyed service, "kiosk", and one of orders that run at most once, "desk".
inline nlohmann::json configuration(int version, int max_header_bytes = 16'384)
{
    return {{"version", version},
            {"routes", {route_entry("kiosk", true), route_entry("desk", false)}},
            {"services", {service_entry("kiosk", true), service_entry("desk", false)}},
            {"limits",
             {{"max_header_bytes", max_header_bytes},
              {"max_body_bytes", 1'048'576},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

inline http_request make_request(std::string const& service, std::string const& id,
                                 http_headers more = {})
{
    http_request request{.method = service == "desk" ? "POST" : "GET",
                         .target = "/" + service + "/" + id,
                         .headers = {{"Host", service + ".example"},
                                     {"X-Buckthornusher-Request-Id", id},
                                     {"X-Buckthornusher-Deadline-Ms", "3000"}}};
    for (auto& header : more)
        request.headers.push_back(std::move(header));
    return request;
}

inline http_response signed_answer(http_request const& request)
{
    return {.status = 200,
            .headers = {{"X-Buckthornusher-Request-Id",
                         std::string(find_header(request.headers,
                                                 "x-buckthornusher-request-id"))},
                        {"X-Buckthornusher-Response-Signature", "s"}},
            .body = "ok"};
}

// ---- upstreams ----

// An upstream beside a node. It reports every `report_interval` while `reports` is set,
// and answers requests with `answer` while it listens.
class live_upstream
{
public:
    struct options
    {
        std::size_t machine = 0;
        std::string service;
        std::string id;
        std::size_t body_limit = 1'048'576; // of requests
    };

    struct report_result
    {
        int status = 0; // 0: no answer
        nlohmann::json body;
    };

    live_upstream(event_loop& loop, options opts)
        : m_loop(loop), m_options(std::move(opts)),
          m_node(loop,
                 {.peer = {.ip = machine_ip(m_options.machine), .port = reports_port}}),
          m_born(unix_ms())
    {
        listen();
        report_periodically(boot_now());
    }
    ~live_upstream() { m_loop.timers().cancel(m_timer); }
    live_upstream(live_upstream const&) = delete;
    live_upstream& operator=(live_upstream const&) = delete;

    bool reports = true;
    std::string state = "ready";
    std::function<http_response(http_request const&)> answer = signed_answer;
    std::vector<instant> runs; // when requests arrived
    // Called with the answer to each report and the time at which it was sent.
    std::function<void(nlohmann::json const&, instant)> on_grant;

    void listen()
    {
        m_server.emplace(
            m_loop,
            http_server::options{
                .address = {.ip = machine_ip(m_options.machine), .port = upstream_port},
                .limits = {.read = {.header_bytes = 1'048'576,
                                    .body_bytes = m_options.body_limit}}},
            [this](http_request const& request, http_reply const& reply)
            {
                runs.push_back(boot_now());
                reply.send(answer(request));
            });
    }
    // From here on connections to it are refused, as by a crash.
    void stop_listening() { m_server.reset(); }

    nlohmann::json next_report()
    {
        return {{"service", m_options.service},
                {"address",
                 machine_ip(m_options.machine) + ":" + std::to_string(upstream_port)},
                {"zone", "z"},
                {"version", "v1"},
                {"slots", 18},
                {"state", state},
                {"cold_remaining_ms", 0},
                {"born", m_born},
                {"sequence", ++m_sequence},
                {"holds", m_holds}};
    }

    // `done` receives the result.
    template <class Done>
    void send_report(nlohmann::json const& report, Done done)
    {
        auto const sent = boot_now();
        m_node.call(request_to_node("PUT", report.dump()), 1s,
                    [this, sent, done](http_result const& result)
                    {
                        report_result out;
                        if (result.has_value())
                        {
                            out.status = result.value().status;
                            out.body = nlohmann::json::parse(result.value().body, nullptr,
                                                             /*allow_exceptions=*/false);
                            take_grant(out.body, sent);
                        }
                        done(out);
                    });
    }

    // Sends the report and waits for the answer's status; 0: there was none.
    int report(nlohmann::json const& report)
    {
        std::optional<int> status;
        send_report(report, [&](report_result const& r) { status = r.status; });
        run_until(m_loop, [&] { return status.has_value(); });
        return status.value_or(0);
    }

    // Announces its exit. Returns the status of the answer; 0: there was none.
    int depart()
    {
        std::optional<int> status;
        m_node.call(request_to_node("DELETE", {}), 1s,
                    [&](http_result const& result)
                    { status = result.has_value() ? result.value().status : 0; });
        run_until(m_loop, [&] { return status.has_value(); });
        return status.value_or(0);
    }

    bool holds_keys() const { return !m_holds.empty(); }

private:
    void report_periodically(instant now)
    {
        if (reports)
            send_report(next_report(), [](report_result const&) {});
        m_timer = m_loop.timers().at(now + report_interval,
                                     [this](instant at) { report_periodically(at); });
    }

    http_request request_to_node(std::string method, std::string body) const
    {
        return {.method = std::move(method),
                .target = "/v1/instances/" + m_options.id,
                .headers = {{"Content-Type", "application/json"}},
                .body = std::move(body)};
    }

    void take_grant(nlohmann::json const& body, instant sent)
    {
        if (!body.is_object() || !body.contains("holds"))
            return;
        m_holds = nlohmann::json::array();
        for (auto const& row : body["holds"])
            m_holds.push_back({row[0], row[1], row[2]});
        if (on_grant)
            on_grant(body, sent);
    }

    event_loop& m_loop;
    options m_options;
    http_client m_node;
    std::optional<http_server> m_server;
    std::uint64_t m_born;
    std::uint64_t m_sequence = 0;
    nlohmann::json m_holds = nlohmann::json::array();
    timer_service::timer_id m_timer;
};

// ---- nodes ----

class node_fleet : public testing::Test
{
protected:
    // Starts the store, the nodes and an upstream beside each; `services` has the service
    // of each one.
    void start(std::vector<std::string> const& services)
    {
        m_directory = std::filesystem::temp_directory_path() /
                      ("node_fleet-" + std::to_string(::getpid()));
        std::filesystem::create_directories(m_directory);
        m_store = std::make_unique<soak::child_process>(soak::child_process::options{
            .command = {program("standin_store"), "--address", store_address().ip,
                        "--port", std::to_string(store_address().port)},
            .log = m_directory / "store.log"});
        ASSERT_TRUE(
            run_until(loop, [this] { return put_configuration(configuration(1)); }));
        for (std::size_t i = 0; i < services.size(); ++i)
        {
            write_settings(i, services[i]);
            m_nodes.emplace_back();
            start_node(i);
            upstreams.push_back(std::make_unique<live_upstream>(
                loop, live_upstream::options{.machine = i,
                                             .service = services[i],
                                             .id = "i-" + std::to_string(i),
                                             .body_limit = upstream_body_limit}));
        }
    }

    void TearDown() override
    {
        m_nodes.clear();
        m_store.reset();
        if (HasFailure())
            for (auto const& entry : std::filesystem::directory_iterator(m_directory))
                if (entry.path().extension() == ".log")
                    std::cout << entry.path() << "\n"
                              << std::ifstream(entry.path()).rdbuf();
        std::filesystem::remove_all(m_directory);
    }

    void start_node(std::size_t i)
    {
        auto const name = (m_directory / ("node-" + std::to_string(i))).string();
        std::vector<std::string> command{program("buckthornusher"), "node", "--settings",
                                         name + ".toml"};
        command.insert(command.end(), node_arguments.begin(), node_arguments.end());
        m_nodes[i] = std::make_unique<soak::child_process>(
            soak::child_process::options{.command = command, .log = name + ".log"});
    }
    void kill_node(std::size_t i) { m_nodes[i].reset(); }
    soak::child_process& node(std::size_t i) { return *m_nodes[i]; }

    static tcp_address callers_of(std::size_t i)
    {
        return {.ip = machine_ip(i), .port = callers_port};
    }

    // Returns the status of one request at the node; 0: no answer.
    int status_of(std::size_t node, std::string const& service, std::string const& id,
                  http_headers more = {})
    {
        auto const answer =
            ask(loop, callers_of(node), make_request(service, id, std::move(more)));
        return answer ? answer->status : 0;
    }

    // Waits until the node answers such requests with 200.
    bool wait_until_served(std::size_t node, std::string const& service,
                           http_headers const& more = {})
    {
        auto const deadline = boot_now() + max_wait;
        for (int n = 0; boot_now() < deadline; ++n)
        {
            auto const id = "w" + std::to_string(node) + "-" + std::to_string(n);
            if (status_of(node, service, id, more) == 200)
                return true;
            run_for(loop, 50ms);
        }
        return false;
    }

    // Writes the operators' configuration. Returns whether the store has accepted it.
    bool put_configuration(nlohmann::json const& spec)
    {
        bool const creates = m_config_revision == 0;
        nlohmann::json body{{"metadata", {{"name", "main"}}}, {"spec", spec}};
        if (!creates)
            body["metadata"]["revision"] = m_config_revision;
        auto const answer =
            ask(loop, store_address(),
                {.method = creates ? "POST" : "PUT",
                 .target = std::string("/v1/objects/config") + (creates ? "" : "/main"),
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump()});
        if (!answer || answer->status >= 300)
            return false;
        m_config_revision = nlohmann::json::parse(answer->body)["metadata"]["revision"]
                                .get<std::uint64_t>();
        return true;
    }

    // Sets a fault of the stand-in store, such as "down" or "none".
    void set_store_fault(std::string const& mode)
    {
        auto const answer = ask(loop, store_address(),
                                {.method = "POST", .target = "/v1/faults?mode=" + mode});
        ASSERT_TRUE(answer && answer->status == 200);
    }

    event_loop loop;
    std::vector<std::string> node_arguments;               // of all nodes
    std::vector<std::unique_ptr<live_upstream>> upstreams; // one beside each node
    std::string more_node_settings; // lines of the section [node]; set before start()
    std::size_t upstream_body_limit = 1'048'576; // set before start()

private:
    static std::string program(std::string const& name)
    {
        return std::string(BINARY_DIR) + "/" + name;
    }

    static tcp_address store_address()
    {
        constexpr std::size_t store_machine = 200;
        constexpr int store_port = 8309;
        return {.ip = machine_ip(store_machine), .port = store_port};
    }

    void write_settings(std::size_t i, std::string const& service) const
    {
        constexpr std::size_t regions = 2;
        auto const ip = machine_ip(i);
        auto const at = [&](int port)
        {
            return "\"" + ip + ":" + std::to_string(port) + "\"\n";
        };
        std::ofstream(m_directory / ("node-" + std::to_string(i) + ".toml"))
            << "[node]\nname = \"" << ip << "\"\nregion = \"r" << i % regions
            << "\"\ndomain = \"d" << i << "\"\nform = \"platform\"\nservice = \""
            << service << "\"\nreport_interval_ms = "
            << std::chrono::duration_cast<std::chrono::milliseconds>(report_interval)
                   .count()
            << "\ngrace_s = 6\nconfig_bound_ms = 2500\ndrain_limit_ms = 2500\n"
            << more_node_settings << "[listen]\ncallers = " << at(callers_port)
            << "upstreams = " << at(reports_port) << "readiness = " << at(8'302)
            << "metrics = " << at(9'464) << "peers = " << at(7'620)
            << "operators = " << at(7'621) << "[store]\naddress = \""
            << to_string(store_address()) << "\"\n";
    }

    std::filesystem::path m_directory;
    std::unique_ptr<soak::child_process> m_store;
    std::vector<std::unique_ptr<soak::child_process>> m_nodes;
    std::uint64_t m_config_revision = 0;
};

} // namespace buckthornusher::test

#endif
