// A small deployment on loopback for the cases 6 to 10 of the review.
//
// The nodes are processes with the command of the deploy file. The platform's store, the
// targets and the clients are stand-ins in the process of the case; they speak what the
// users' PROTOCOL page says and nothing else. Everything runs on one event loop.
//
// Time in records is in milliseconds since the start of the case.
#ifndef BUCKTHORNUSHER_REVIEW_RIG2_HPP
#define BUCKTHORNUSHER_REVIEW_RIG2_HPP

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "soak/child_process.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using namespace buckthornusher;
using nlohmann::json;

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

// Figures of sites/svecnik-mesh.toml.
inline constexpr int heartbeat_ms = 870;
inline constexpr int slots_per_target = 18;
inline constexpr int keys = 65'536;
inline constexpr int keys_per_cell = 64; // the grain at which holds are compared
inline constexpr int cells = keys / keys_per_cell;

// ---- the record of a case ----

class record_file
{
public:
    explicit record_file(std::string const& path) : m_out(path), m_start(boot_now()) {}
    void line(std::string const& text);
    std::int64_t now_ms() const;

private:
    std::ofstream m_out;
    instant m_start;
};

// ---- the platform's store ----

class store
{
public:
    store(event_loop& loop, tcp_address const& address, record_file& record);

    void write(std::string const& kind, std::string const& name, json const& spec);
    // While it is away, calls get 503 and waiting watches end.
    void set_away(bool away);
    // Keeps a copy of what it holds, and goes back to that copy in a new era.
    void keep_copy();
    void return_to_copy();
    std::uint64_t revision() const { return m_data.revision; }

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json spec;
        json status;
    };
    struct data
    {
        std::uint64_t revision = 1;
        std::map<std::string, std::map<std::string, object>> kinds;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json body;
    };
    struct watch
    {
        std::string kind;
        std::uint64_t since = 0;
        instant until;
        http_reply reply;
    };

    void handle(http_request const& request, http_reply const& reply);
    void read(std::string const& kind, std::string const& name,
              http_request const& request, http_reply const& reply);
    void change(std::string const& kind, std::string const& name,
                http_request const& request, http_reply const& reply);
    void send(http_reply const& reply, int status, json const& body) const;
    void note(std::string const& kind, std::string const& name, object const& o,
              bool deleted);
    void end_watches();
    static json to_json(std::string const& name, object const& o);

    event_loop& m_loop;
    record_file& m_record;
    data m_data;
    data m_copy;
    std::deque<event> m_history;
    std::uint64_t m_history_from = 0; // the history holds all later changes
    std::vector<watch> m_watches;
    std::uint64_t m_era = 3;
    bool m_away = false;
    http_server m_server;
};

// ---- who holds which keys ----

// What the targets of one service hold, as the platform sees it.
class ownership_check
{
public:
    explicit ownership_check(record_file& record) : m_record(record) {}

    void on_take(std::string const& target, int cell, std::uint64_t token);
    void on_hold(std::string const& target, int cell, instant until);
    void on_drop(std::string const& target, int cell);
    void on_run(std::string const& target, int cell);
    void sample(instant now);

    // Cells on which two targets held keys at the same time and both began requests.
    int both_ran() const;
    // Cells that two targets held for over half a second.
    int held_twice_long() const;
    duration longest_twice() const { return m_longest; }
    // Grants with a token that is not above all with which other targets had the key.
    int low_tokens() const { return m_low_tokens; }
    bool broken() const { return both_ran() + held_twice_long() + low_tokens() > 0; }
    std::string summary() const;

private:
    struct cell_state
    {
        std::map<std::string, instant> holders; // until when
        std::map<std::string, std::uint64_t> highest_token;
        std::optional<instant> twice_since;
        std::map<std::string, int> runs_while_twice;
        bool both_ran = false;
        bool long_twice = false;
    };

    record_file& m_record;
    std::array<cell_state, cells> m_cells;
    duration m_longest{0};
    int m_low_tokens = 0;
};

// ---- targets ----

class target
{
public:
    struct options
    {
        std::string ip;
        std::string service;
        std::string id;
        bool sharded = false;
        duration work = 20ms;
    };

    target(event_loop& loop, options opts, record_file& record, ownership_check* check);
    ~target();
    target(target const&) = delete;
    target& operator=(target const&) = delete;

    int held_cells() const;
    std::vector<int> cells_held() const;
    int runs() const { return m_runs; }
    std::uint64_t born() const { return m_born; }
    tcp_address address() const;
    // The body of the answer to a request; by default a short text.
    std::function<std::string(http_request const&)> answer_body;

private:
    struct cell
    {
        bool held = false;
        bool leaving = false; // released once its last request has ended
        std::uint64_t token = 0;
        std::uint64_t seen = 0; // the highest token ever seen
        int running = 0;
    };

    void beat();
    void on_answer(http_result const& result, instant sent);
    void take_rows(json const& rows);
    void release(int index);
    void expire(instant now);
    json rows_held() const;
    void handle(http_request const& request, http_reply const& reply);
    void run(http_request const& request, http_reply const& reply, int index);
    static void reject(http_request const& request, http_reply const& reply, int status);

    event_loop& m_loop;
    options m_options;
    record_file& m_record;
    ownership_check* m_check;
    http_client m_node;
    http_server m_server;
    std::uint64_t m_born;
    std::uint64_t m_sequence = 0;
    std::array<cell, cells> m_cells;
    instant m_hold_until;
    json m_freed = json::array();
    bool m_beating = false;
    int m_runs = 0;
    timer_service::timer_id m_next_beat;
    timer_service::timer_id m_expiry;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// ---- the deployment ----

struct machine
{
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
};

class deployment
{
public:
    explicit deployment(std::string const& out_directory);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    std::string const& directory() const { return m_directory; } // removed at the end
    machine make_machine(std::size_t number, std::string const& service) const;
    // Starts the node of the machine, as at the first start or after it has ended.
    void start_node(machine const& m);
    void kill_node(machine const& m);
    void stop_node(machine const& m); // SIGTERM
    bool node_runs(machine const& m);
    std::uint64_t resident_kb(machine const& m); // 0: it does not run
    // Waits until the node says that it is ready.
    bool wait_ready(machine const& m, duration limit = 20s);

    bool run_until(std::function<bool()> const& condition, duration limit);
    void run_for(duration length);

    static json service_entry(std::string const& name, bool sharded);
    static json route_entry(std::string const& service, std::string const& kind,
                            int timeout_ms);
    void put_configuration(json const& routes, json const& services);

    // Sends a client's request on a new connection and calls `done` with the result.
    void send(machine const& at, http_request request, duration timeout,
              http_client::callback done);
    // The same for the answer's status; 0: no answer.
    int ask(machine const& at, http_request request, duration timeout = 5s);
    static http_request make_request(std::string const& service, std::string const& id,
                                     int deadline_ms, std::optional<int> key = {});

    event_loop loop;
    record_file record;
    store platform;

private:
    void write_settings(machine const& m) const;
    std::string ip_of(std::size_t number) const;

    std::string m_directory;
    std::string m_program;
    int m_version = 0;
    std::map<std::string, std::unique_ptr<soak::child_process>> m_nodes; // by ip
    std::vector<std::shared_ptr<http_client>> m_clients;
};

// ---- clients ----

// Sends one idempotent request after the other to a sharded service, to each machine in
// turn, until it is destroyed. Each has a new connection.
class traffic
{
public:
    // Reaches all cells in turn.
    static int every_cell(int number);

    struct options
    {
        std::string service;
        int deadline_ms = 1'500;
        duration gap = 8ms;
        std::function<int(int)> key_of = every_cell; // of the request with that number
    };

    traffic(deployment& d, std::vector<machine> machines, options opts);
    ~traffic();
    traffic(traffic const&) = delete;
    traffic& operator=(traffic const&) = delete;

    int sent() const { return m_sent; }
    int served() const { return m_served; }

private:
    void send_next();

    deployment& m_deployment;
    std::vector<machine> m_machines;
    options m_options;
    int m_sent = 0;
    int m_served = 0;
    timer_service::timer_id m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Whether the disruption is to be made: not with TROUBLE=0.
bool makes_trouble();
std::uint64_t unix_ms();

} // namespace review

#endif
