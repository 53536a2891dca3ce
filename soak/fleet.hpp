// The processes of a run and the relays between them, on loopback ports.
//
// There is one store, and each node has its own upstreams. Each link crosses a relay:
// node to store, other nodes to a node, upstream to its node, node to its upstream.
// Process faults are signals, link faults are set at the relays, and store faults are
// commands to the stand-in store.
//
// Invariant: once the last fault of a process has ended, the next poll() restarts the
// process if it is not running.
#ifndef BUCKTHORNUSHER_SOAK_FLEET_HPP
#define BUCKTHORNUSHER_SOAK_FLEET_HPP

#include "connection/http_client.hpp"
#include "soak/child_process.hpp"
#include "soak/fault_plan.hpp"
#include "soak/promises.hpp"
#include "soak/relay.hpp"

#include <map>
#include <memory>

namespace buckthornusher::soak
{

class fleet
{
public:
    static constexpr std::uint32_t upstreams_per_node = 3; // one of each service
    static constexpr std::uint32_t links_per_node = 2 + 2 * upstreams_per_node;

    struct options
    {
        std::string programs;  // folder with the built programs
        std::string directory; // for settings files, logs and journals
        std::string document;  // text of the configuration
        int base_port = 0;     // first port; each node takes 20
        std::uint32_t nodes = 6;
        // Flag of the stand-in upstream that breaks a promise, to test the checks.
        std::string break_promise;
    };

    fleet(event_loop& loop, options opts);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    std::vector<int> caller_ports() const;

    void begin(fault const& f);
    void end(fault const& f);
    // Clears the faults of all links and of the store, then polls.
    void restore();

    // Requests the status of each node: configuration number and number of owned shards.
    // Restarts processes that have ended and are under no fault.
    void poll();
    std::uint64_t shards_owned() const; // sum of the last statuses
    bool has_configuration() const;     // each node has the newest accepted one
    bool is_stopping() const;           // some node is in a planned stop
    std::vector<version_observation> const& versions() const { return m_versions; }
    std::vector<node_outage> node_outages() const;
    // Returns what went wrong in set-up, exits and planned stops, and processes above the
    // limits of memory or descriptors.
    violations check_processes();
    // Reads the journals of the upstreams. Skips a line that a killed upstream left
    // unfinished.
    std::vector<execution_start> read_journals() const;

private:
    struct node_state;
    struct upstream_state;

    int node_port(std::uint32_t node, int offset) const;
    void make_relays(std::uint32_t node);
    void start_node(std::uint32_t node);
    void start_upstream(std::uint32_t upstream);
    void write_settings(std::uint32_t node) const;
    void stop_planned(std::uint32_t node);
    void check_exit(std::uint32_t node);
    void configure();
    void store_fault(std::string const& query);
    void on_status(std::uint32_t node, std::uint32_t incarnation,
                   http_result const& result);

    event_loop& m_loop;
    options m_options;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<http_client> m_store_client;
    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::vector<std::unique_ptr<upstream_state>> m_upstreams;
    std::vector<std::unique_ptr<relay>> m_links;
    std::map<std::uint32_t, std::uint32_t> m_link_faults; // active faults by link
    std::uint32_t m_store_faults = 0;                     // active
    std::uint64_t m_newest_accepted = 0;                  // configuration number
    std::uint64_t m_changes = 0;
    std::vector<version_observation> m_versions;
    std::vector<node_outage> m_node_outages;
    violations m_violations;
};

} // namespace buckthornusher::soak

#endif
