// Implementation of the fleet; see the header.
#include "soak/fleet.hpp"

#include "process/boot_clock.hpp"
#include "version/config.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace buckthornusher::soak
{
namespace
{

// Offsets of a node's ports from its first port.
constexpr int callers_offset = 0;
constexpr int operators_offset = 1;
constexpr int peers_offset = 2;
constexpr int peers_relay_offset = 3;
constexpr int store_relay_offset = 4;
constexpr int first_upstream_offset = 5; // each upstream takes three ports
constexpr int upstream_relay_offset = 1;
constexpr int announce_relay_offset = 2;
constexpr int ports_per_upstream = 3;
constexpr int ports_per_node = 20;

constexpr std::array<char const*, fleet::upstreams_per_node> services = {
    "stand-status", "ordering", "rounds"};
constexpr std::array<char const*, 4> domains = {"lj-vic", "lj-moste", "mb-tabor",
                                                "ce-hudinja"};
constexpr std::array<char const*, 4> regions = {"osrednja", "osrednja", "stajerska",
                                                "stajerska"};

constexpr duration call_timeout = 2s;
constexpr duration exit_timeout = 5s;             // beyond the grace of a planned stop
constexpr duration break_detection_time = 500ms;  // until a caller notices a kill
constexpr std::uint64_t max_resident_kb = 65'536; // the design allows a node 64 MB
constexpr std::uint64_t max_descriptors = 512;

char const* store_mode(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::store_down:
    case fault_kind::store_refuse_some:
        return "down";
    case fault_kind::store_hang:
        return "hang";
    case fault_kind::store_reset:
        return "reset";
    case fault_kind::store_slow:
        return "slow&ms=400";
    case fault_kind::store_lose_answers:
        return "lose_answers&count=5";
    case fault_kind::store_late_writes:
        return "late&count=5&ms=700";
    default:
        return "forget";
    }
}

disturbance link_disturbance(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::link_delay:
        return disturbance::delay;
    case fault_kind::link_reset:
        return disturbance::reset;
    case fault_kind::link_cut_to:
        return disturbance::cut_to;
    case fault_kind::link_cut_from:
        return disturbance::cut_from;
    case fault_kind::link_silence:
        return disturbance::silence;
    default:
        return disturbance::trickle;
    }
}

bool is_store_fault(fault_kind kind)
{
    return kind >= fault_kind::store_down && kind <= fault_kind::store_refuse_some;
}

bool is_link_fault(fault_kind kind)
{
    return kind >= fault_kind::link_delay && kind <= fault_kind::link_trickle;
}

http_client::options loopback_client(int port)
{
    return {.peer = {.ip = "127.0.0.1", .port = port}, .max_connections = 4};
}

// A process and the active faults that keep it from running.
struct disturbed_process
{
    std::unique_ptr<child_process> process;
    std::uint32_t terminations = 0; // active kills and planned stops
    std::uint32_t pauses = 0;

    void begin_termination(int signal)
    {
        ++terminations;
        process->signal(signal);
    }

    void begin_pause()
    {
        ++pauses;
        process->signal(SIGSTOP);
    }

    void end_pause()
    {
        if (--pauses == 0)
            process->signal(SIGCONT);
    }

    bool must_start() const { return terminations == 0 && !process->is_running(); }
};

} // namespace

struct fleet::node_state : disturbed_process
{
    std::unique_ptr<http_client> operators;
    std::uint32_t incarnation = 0;
    std::uint64_t shards = 0;
    std::uint64_t configuration = 0;
    bool stopping = false;             // the process received SIGTERM
    std::optional<instant> stop_began; // of a planned stop without any other fault
};

struct fleet::upstream_state : disturbed_process
{
};

fleet::fleet(event_loop& loop, options opts) : m_loop(loop), m_options(std::move(opts))
{
    m_store = std::make_unique<child_process>(
        child_process::options{.command = {m_options.programs + "/standin_store",
                                           "--port", std::to_string(m_options.base_port)},
                               .log = m_options.directory + "/store.log"});
    m_store_client =
        std::make_unique<http_client>(loop, loopback_client(m_options.base_port));
    for (std::uint32_t node = 0; node < m_options.nodes; ++node)
    {
        m_nodes.push_back(std::make_unique<node_state>());
        m_nodes[node]->operators = std::make_unique<http_client>(
            loop, loopback_client(node_port(node, operators_offset)));
        make_relays(node);
        write_settings(node);
        start_node(node);
        for (std::uint32_t n = 0; n < services.size(); ++n)
        {
            m_upstreams.push_back(std::make_unique<upstream_state>());
            start_upstream(static_cast<std::uint32_t>(m_upstreams.size() - 1));
        }
    }
}

fleet::~fleet() = default;

std::vector<int> fleet::caller_ports() const
{
    std::vector<int> ports;
    for (std::uint32_t node = 0; node < m_options.nodes; ++node)
        ports.push_back(node_port(node, callers_offset));
    return ports;
}

int fleet::node_port(std::uint32_t node, int offset) const
{
    return m_options.base_port + ports_per_node * (static_cast<int>(node) + 1) + offset;
}

void fleet::make_relays(std::uint32_t node)
{
    auto const link = [&](int listen, int target)
    {
        m_links.push_back(std::make_unique<relay>(
            m_loop, relay::options{.listen_port = listen, .target_port = target}));
        if (!m_links.back()->is_listening())
            m_violations.push_back({.promise = "set-up",
                                    .subject = "port " + std::to_string(listen),
                                    .detail = "the relay can't listen on it"});
    };
    link(node_port(node, peers_relay_offset), node_port(node, peers_offset));
    link(node_port(node, store_relay_offset), m_options.base_port);
    for (int n = 0; n < static_cast<int>(services.size()); ++n)
    {
        auto const port = node_port(node, first_upstream_offset + n * ports_per_upstream);
        link(port + upstream_relay_offset, port);
        link(port + announce_relay_offset, node_port(node, operators_offset));
    }
}

void fleet::write_settings(std::uint32_t node) const
{
    auto const address = [&](int offset)
    {
        return "\"127.0.0.1:" + std::to_string(node_port(node, offset)) + "\"\n";
    };
    auto const seed = [&](std::uint32_t other)
    {
        return "\"tcp://127.0.0.1:" +
               std::to_string(node_port(other % m_options.nodes, peers_relay_offset)) +
               "\"";
    };
    std::ofstream(m_options.directory + "/node-" + std::to_string(node) + ".toml")
        << "[node]\nname = \"n" << node << "\"\nregion = \"" << regions[node % 4]
        << "\"\ndomain = \"" << domains[node % 4] << "\"\nseeds = [" << seed(node + 1)
        << ", " << seed(node + 2) << "]\n[listen]\ncallers = " << address(callers_offset)
        << "operators = " << address(operators_offset)
        << "peers = " << address(peers_offset)
        << "advertised_peers = " << address(peers_relay_offset)
        << "[store]\naddress = " << address(store_relay_offset);
}

void fleet::start_node(std::uint32_t node)
{
    auto const name = m_options.directory + "/node-" + std::to_string(node);
    ++m_nodes[node]->incarnation;
    m_nodes[node]->stopping = false;
    m_nodes[node]->process = std::make_unique<child_process>(
        child_process::options{.command = {m_options.programs + "/buckthornusher", "node",
                                           "--settings", name + ".toml"},
                               .log = name + ".log"});
}

void fleet::start_upstream(std::uint32_t upstream)
{
    auto const node = upstream / services.size();
    auto const n = upstream % services.size();
    auto const port =
        node_port(static_cast<std::uint32_t>(node),
                  first_upstream_offset + static_cast<int>(n) * ports_per_upstream);
    auto const name = m_options.directory + "/upstream-" + std::to_string(upstream);
    child_process::options opts{
        .command = {m_options.programs + "/standin_upstream", "--port",
                    std::to_string(port), "--announced-port",
                    std::to_string(port + upstream_relay_offset), "--node-port",
                    std::to_string(port + announce_relay_offset), "--service",
                    services[n], "--journal-file", name + ".journal"},
        .log = name + ".log"};
    if (!m_options.break_promise.empty())
        opts.command.push_back("--" + m_options.break_promise);
    m_upstreams[upstream]->process = std::make_unique<child_process>(opts);
}

void fleet::begin(fault const& f)
{
    if (is_store_fault(f.kind))
    {
        ++m_store_faults;
        auto const one_node = f.kind == fault_kind::store_refuse_some;
        return store_fault(store_mode(f.kind) +
                           (one_node ? "&agent=n" + std::to_string(f.target) : ""));
    }
    if (is_link_fault(f.kind))
    {
        ++m_link_faults[f.target];
        return m_links[f.target]->disturb(link_disturbance(f.kind));
    }
    switch (f.kind)
    {
    case fault_kind::node_kill:
        m_nodes[f.target]->stop_began.reset();
        m_node_outages.push_back(
            {.node = f.target, .from = boot_now(), .until = boot_now()});
        return m_nodes[f.target]->begin_termination(SIGKILL);
    case fault_kind::node_pause:
        m_nodes[f.target]->stop_began.reset();
        return m_nodes[f.target]->begin_pause();
    case fault_kind::node_stop:
        return stop_planned(f.target);
    case fault_kind::upstream_kill:
        return m_upstreams[f.target]->begin_termination(SIGKILL);
    case fault_kind::upstream_pause:
        return m_upstreams[f.target]->begin_pause();
    default:
        return configure();
    }
}

void fleet::end(fault const& f)
{
    if (is_store_fault(f.kind))
        return --m_store_faults == 0 ? store_fault("none") : void();
    if (is_link_fault(f.kind))
        return --m_link_faults[f.target] == 0
                   ? m_links[f.target]->disturb(disturbance::none)
                   : void();
    switch (f.kind)
    {
    case fault_kind::node_kill:
    case fault_kind::node_stop:
        --m_nodes[f.target]->terminations;
        break;
    case fault_kind::node_pause:
        m_nodes[f.target]->end_pause();
        break;
    case fault_kind::upstream_kill:
        --m_upstreams[f.target]->terminations;
        break;
    case fault_kind::upstream_pause:
        m_upstreams[f.target]->end_pause();
        break;
    default:
        break;
    }
    poll();
}

// The duration of a stop is checked only if no other fault affects the node.
void fleet::stop_planned(std::uint32_t node)
{
    auto& n = *m_nodes[node];
    if (n.terminations == 0 && n.pauses == 0 && n.process->is_running())
        n.stop_began = boot_now();
    n.stopping = true;
    n.begin_termination(SIGTERM);
}

void fleet::check_exit(std::uint32_t node)
{
    auto& n = *m_nodes[node];
    auto const subject = "node " + std::to_string(node);
    if (auto const code = n.process->exit_code())
    {
        if (*code != 0 && *code != child_process::signal_base + SIGKILL)
            m_violations.push_back({.promise = "processes end in order",
                                    .subject = subject,
                                    .detail = "exit code " + std::to_string(*code)});
        n.stop_began.reset();
    }
    else if (n.stop_began &&
             boot_now() - *n.stop_began > node_settings{}.grace + exit_timeout)
    {
        m_violations.push_back(
            {.promise = "processes end in order",
             .subject = subject,
             .detail = "planned stop did not end within the grace and 5 s"});
        n.stop_began.reset();
    }
}

void fleet::restore()
{
    for (auto const& link : m_links)
        link->disturb(disturbance::none);
    store_fault("none");
    poll();
}

void fleet::poll()
{
    for (std::uint32_t node = 0; node < m_nodes.size(); ++node)
    {
        auto& n = *m_nodes[node];
        if (!n.process->is_running())
        {
            check_exit(node);
            n.shards = 0;
            n.configuration = 0;
            if (n.must_start())
                start_node(node);
            continue;
        }
        check_exit(node);
        n.operators->call(
            {.method = "GET", .target = "/v1/status"}, call_timeout,
            [this, node, incarnation = n.incarnation](http_result const& result)
            { on_status(node, incarnation, result); });
    }
    for (std::uint32_t upstream = 0; upstream < m_upstreams.size(); ++upstream)
        if (m_upstreams[upstream]->must_start())
            start_upstream(upstream);
}

void fleet::on_status(std::uint32_t node, std::uint32_t incarnation,
                      http_result const& result)
{
    auto& n = *m_nodes[node];
    if (!result.has_value() || n.incarnation != incarnation)
        return;
    auto const status =
        nlohmann::json::parse(result.value().body, nullptr, /*allow_exceptions=*/false);
    if (!status.is_object())
        return;
    n.shards = status.value("shards", std::uint64_t{0});
    n.configuration = status.value("config", std::uint64_t{0});
    m_versions.push_back(
        {.node = node, .incarnation = incarnation, .number = n.configuration});
}

std::uint64_t fleet::shards_owned() const
{
    std::uint64_t sum = 0;
    for (auto const& n : m_nodes)
        sum += n->shards;
    return sum;
}

bool fleet::has_configuration() const
{
    for (auto const& n : m_nodes)
        if (n->configuration == 0 || n->configuration < m_newest_accepted)
            return false;
    return m_newest_accepted > 0;
}

bool fleet::is_stopping() const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(),
                       [](auto const& n) { return n->stopping; });
}

std::vector<node_outage> fleet::node_outages() const
{
    auto times = m_node_outages;
    for (auto& b : times)
        b.until += break_detection_time;
    return times;
}

void fleet::configure()
{
    // Sent to the node with the newest configuration: the others would refuse the change
    // for its expected number.
    std::uint32_t newest = 0;
    for (std::uint32_t node = 0; node < m_nodes.size(); ++node)
        if (m_nodes[node]->configuration > m_nodes[newest]->configuration)
            newest = node;
    auto const expected = m_nodes[newest]->configuration;
    auto const document =
        m_options.document + "\n# change " + std::to_string(++m_changes) + "\n";
    m_nodes[newest]->operators->call(
        {.method = "PUT",
         .target = "/v1/config?expected=" + std::to_string(expected),
         .body = document},
        call_timeout,
        [this, expected](http_result const& result)
        {
            if (result.has_value() && result.value().status < 300)
                m_newest_accepted = std::max(m_newest_accepted, expected + 1);
        });
}

void fleet::store_fault(std::string const& query)
{
    m_store_client->call(
        {.method = "POST", .target = "/v1/faults?mode=" + query}, call_timeout,
        [this, query](http_result const& result)
        {
            if (!result.has_value())
                m_violations.push_back(
                    {.promise = "set-up",
                     .subject = "store",
                     .detail = "no answer to the fault command: " + query});
        });
}

violations fleet::check_processes()
{
    auto found = m_violations;
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
    {
        auto& process = *m_nodes[node]->process;
        auto const subject = "node " + std::to_string(node);
        if (auto const kb = process.resident_kb(); kb > max_resident_kb)
            found.push_back({.promise = "bounded memory",
                             .subject = subject,
                             .detail = std::to_string(kb) + " KB"});
        if (auto const count = process.descriptors(); count > max_descriptors)
            found.push_back({.promise = "bounded descriptors",
                             .subject = subject,
                             .detail = std::to_string(count)});
    }
    return found;
}

std::vector<execution_start> fleet::read_journals() const
{
    std::vector<execution_start> starts;
    for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream)
    {
        std::ifstream journal(m_options.directory + "/upstream-" +
                              std::to_string(upstream) + ".journal");
        for (std::string line; std::getline(journal, line);)
        {
            std::istringstream fields(line);
            execution_start b;
            std::string epoch;
            std::string method;
            std::int64_t started_us = 0;
            // A killed process may have left an incomplete line.
            if (!(fields >> b.attempt >> b.operation >> b.service >> b.shard >> epoch >>
                  method >> started_us))
                continue;
            b.operation = b.operation == "-" ? "" : b.operation;
            b.shard = b.shard == "-" ? "" : b.shard;
            b.epoch = epoch == "-" ? 0 : std::stoull(epoch);
            b.read_only = method == "GET";
            b.started = instant(duration(started_us));
            starts.push_back(b);
        }
    }
    return starts;
}

} // namespace buckthornusher::soak
