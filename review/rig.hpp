// Parts shared by the review's cases: a store, targets, clients and nodes as processes.
//
// Everything runs on loopback addresses and the real clock. The store, the targets and
// the clients are threads of the case's process; each node is a process of its own,
// started with the command and the settings template of the deploy file. Stand-ins do
// what the users' pages say of them; a case switches on what it needs beyond that.
#ifndef BUCKTHORNUSHER_REVIEW_RIG_HPP
#define BUCKTHORNUSHER_REVIEW_RIG_HPP

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig
{

// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

// Seconds since the start of the case, on the steady clock.
double now();
void sleep_for(double seconds);

// Appends a line with the time to record.txt.
void open_record(std::string const& path);
void record(char const* format, ...) __attribute__((format(printf, 1, 2)));

// An address 127.x.y.N of this run; every run has its own x and y.
std::string address(int n);

struct message
{
    std::string start; // request or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string const& name) const;
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const;
    int status() const;
};

// A blocking connection with a receive buffer.
class connection
{
public:
    explicit connection(int fd) : m_fd(fd) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    // Returns nothing if the peer does not answer within the time.
    static std::unique_ptr<connection> open(std::string const& ip, int port,
                                            double timeout);
    bool write(std::string const& bytes) const;
    // Reads one message with a Content-Length, or one without a body.
    bool read(message& out, double timeout);
    bool peer_closed() const;
    void reset();                    // closes with RST
    void reset_from_outside() const; // makes reads fail, and the close reset
    int fd() const { return m_fd; }

private:
    bool fill(double until);
    int m_fd;
    std::string m_buffer;
};

std::string response(int status,
                     std::vector<std::pair<std::string, std::string>> const& headers,
                     std::string const& body);

// Accepts connections and serves each on a thread of its own.
class server
{
public:
    using handler = std::function<bool(connection&, message const&)>;
    // Returns false to reset the new connection.
    using gate = std::function<bool()>;

    server(std::string ip, int port, handler on_message, gate accepts = {});
    ~server();
    bool listening() const { return m_fd >= 0; }
    int open_connections() const { return *m_open; }
    void reset_connections(); // those that are open now
    void stop_listening();

private:
    int m_fd = -1;
    std::thread m_thread;
    std::atomic<bool> m_stop{false};
    std::shared_ptr<std::atomic<int>> m_open = std::make_shared<std::atomic<int>>(0);
    std::mutex m_mutex;
    std::vector<std::weak_ptr<connection>> m_connections;
};

// The platform's store: objects, conditional writes and watches.
class store
{
public:
    store(std::string const& ip, int port);
    bool listening() const { return m_server.listening(); }
    // Writes config/main, as the operator does.
    void put_config(nlohmann::json const& spec);

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json event;
    };
    bool handle(connection& c, message const& m);
    nlohmann::json to_json(std::string const& name, object const& o) const;
    std::string watch(std::string const& kind, std::uint64_t since, double wait);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, object>> m_kinds;
    std::vector<change> m_history;
    server m_server;
};

// One run of a request at a target.
struct run_entry
{
    double at = 0;
    std::string request;
    std::string target;
    std::string method;
};

struct target_options
{
    std::string id;
    std::string service;
    std::string ip;
    int port = 8301;
    int control_port = 8306;
    std::string zone;
    int slots = 18;
    int queue = 72;
    int max_connections = 110;
    bool sharded = false;
    double heartbeat = 0.87;
    double work = 0.05;
};

// A target and its heartbeats. Keys are held in units of 64, as one shard of the product
// has that many; the rows on the wire are exact.
class target
{
public:
    static constexpr int keys = 65536;
    static constexpr int unit = 64;
    static constexpr int units = keys / unit;

    explicit target(target_options opts);
    ~target();
    bool listening() const { return m_server != nullptr && m_server->listening(); }

    // ---- what a case may change ----
    std::atomic<double> work{0.05};
    // Heartbeats are sent, but arrive no sooner than this.
    std::atomic<double> beats_held_until{0};
    std::atomic<bool> beats{true};
    std::atomic<bool> draining{false};
    // While more requests than this are queued, no further connections are accepted.
    std::atomic<int> long_queue{4};
    // Whether work goes on when the caller's connection has closed.
    std::atomic<bool> ignores_close{false};

    // The target's process has ended: connections to it are reset.
    std::atomic<bool> ended{false};

    // The process crashes: its connections are reset. The port's queue of new connections
    // is full from then on, so that opening packets are dropped, until end_silence().
    bool crash();
    void end_silence();

    // Sends one heartbeat's text without waiting for its turn; returns the body.
    std::string next_beat();
    int send_beat(std::string const& body, double& sent_at, std::string& answer);
    int send_delete();

    bool holds(int index, double at) const; // unit, at that time
    int running() const { return m_running; }
    int queued() const { return m_queued; }
    int held_units() const;
    target_options const& options() const { return m_options; }
    std::vector<run_entry> runs() const;
    std::vector<double> begins(int index) const; // of requests with keys of that unit
    std::uint64_t resets() const { return m_resets; }

private:
    struct unit_state
    {
        bool held = false;
        bool leaving = false;
        std::uint64_t fence = 0;
        std::uint64_t seen = 0; // the highest fence
        double until = 0;
        int running = 0;
    };
    bool handle(connection& c, message const& m);
    bool run(connection& c, message const& m, int index);
    void beat_loop();
    void apply(nlohmann::json const& answer, double sent_at);
    void release_idle();

    target_options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_slot_free;
    std::vector<unit_state> m_units;
    std::vector<std::vector<double>> m_begins;
    std::vector<std::pair<int, std::string>> m_freed; // unit, handover
    std::vector<run_entry> m_runs;
    std::atomic<int> m_running{0};
    std::atomic<int> m_queued{0};
    std::atomic<std::uint64_t> m_resets{0};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_born = 0;
    std::uint64_t m_handover = 1;
    std::atomic<bool> m_stop{false};
    std::unique_ptr<server> m_server;
    std::thread m_beats;
    int m_silent_listener = -1;
    std::vector<int> m_silent_connections; // that fill its queue
};

struct node_options
{
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
    std::string store;
};

// A node's process: the command of the deploy file with the settings of its template.
class node
{
public:
    node(node_options opts, std::string directory);
    ~node();
    bool start();
    void stop(); // kills it, if it runs
    void signal(int number) const;
    bool alive(int* status = nullptr);
    bool wait_until_ready(double seconds) const;
    // Peak resident memory in MB.
    double peak_memory_mb() const;
    double resident_mb() const;
    node_options const& options() const { return m_options; }
    double started_at() const { return m_started; }
    std::string const& log() const { return m_log; }

    static constexpr int outbound_port = 8304;
    static constexpr int readiness_port = 8302;
    static constexpr int control_port = 8306;

private:
    node_options m_options;
    std::string m_directory;
    std::string m_log;
    int m_pid = -1;
    double m_started = 0;
};

// What a client saw of one request.
struct outcome
{
    int status = 0; // 0: no answer
    bool complete = false;
    bool closed = false; // the connection ended without an answer
    std::string reason;
    message answer;
};

outcome ask(connection& c, std::string const& bytes, double timeout);
std::string
request_text(std::string const& method, std::string const& host, std::string const& path,
             std::string const& id, int deadline_ms,
             std::vector<std::pair<std::string, std::string>> const& more = {},
             std::string const& body = {});

// The configuration of PROTOCOL.md's form: services and routes.
nlohmann::json service_entry(std::string const& name, bool sharded);
nlohmann::json route_entry(std::string const& name, std::string const& host,
                           std::string const& prefix, bool idempotent,
                           std::string const& service, int timeout_ms, int latency_ms);
nlohmann::json configuration(int version, nlohmann::json routes, nlohmann::json services);

// A fleet as small as the sample deployment allows: one node and one target a machine.
struct machine_plan
{
    std::string service;
    bool sharded = false;
    double work = 0.1;
};

class fleet
{
public:
    // Starts the store, the targets and the nodes, and writes the first configuration.
    fleet(std::vector<machine_plan> const& plan, nlohmann::json const& config);
    // Ends all nodes, removes the temporary folder and exits.
    [[noreturn]] void finish(int code);
    // Waits until all nodes are ready and all keys of sharded services are held.
    bool wait_until_serving(double seconds);

    store& platform() { return *m_store; }
    target& target_at(std::size_t i) { return *m_targets[i]; }
    // Starts a target again, with a new id, after crash(). The earlier one is kept
    // for its records.
    bool restart_target(std::size_t i);
    std::vector<run_entry> runs() const; // of all targets
    node& node_at(std::size_t i) { return *m_nodes[i]; }
    std::size_t size() const { return m_nodes.size(); }
    std::string const& directory() const { return m_directory; }

private:
    std::string m_directory;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<target>> m_targets;
    std::vector<std::unique_ptr<target>> m_ended_targets;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<machine_plan> m_plan;
};

// Clients of one machine that send orders one after the other on kept connections, and
// remember which of these connections ended without an answer.
class order_clients
{
public:
    order_clients(fleet& f, std::size_t machine, int number);
    void stop();
    // Records the orders that a target ran and whose kept connection ended without an
    // answer. Returns their number. Call it after stop().
    int record_lost() const;

private:
    void run(int client);

    fleet& m_fleet;
    std::size_t m_machine;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_answered{0};
    std::mutex m_mutex;
    std::set<std::string> m_cut;
    std::vector<std::thread> m_threads;
};

// The services and routes that the cases use: "kiosk" is divided by key, "desk" takes
// orders that run once at most.
nlohmann::json usual_configuration();
std::vector<machine_plan> usual_plan();

bool trouble(); // the environment does not say TROUBLE=0
std::string temporary_directory();

} // namespace rig

#endif
