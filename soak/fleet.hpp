// The processes of a run and the relays between them, on loopback ports.
//
// One store, and for each node its upstreams. Every link crosses a relay: node to store,
// other nodes to a node, upstream to its node, node to its upstream. Faults are done to
// processes by signals, to links by relays, to the store by its own commands.
//
// Invariant: a process whose fault has ended runs, unless a later fault holds it.
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
        std::string programs;  // folder with the programs
        std::string directory; // for settings, logs and journals
        std::string document;  // the configuration's text
        int base_port = 0;     // ports from here on, 20 for each node
        std::uint32_t nodes = 6;
        std::string break_promise; // an upstream's switch, to prove the checks
    };

    fleet(event_loop& loop, options opts);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    std::vector<int> caller_ports() const;

    void begin(fault const& f);
    void end(fault const& f);
    // Ends the disturbances that are left and starts what doesn't run.
    void restore();

    // Asks every node for its configuration's number and its shards.
    void poll();
    std::uint64_t shards_owned() const; // by the last answers
    bool has_configuration() const;     // at every node, the newest accepted
    bool is_stopping() const;           // a node that was asked to stop still runs
    std::vector<version_observation> const& versions() const { return m_versions; }
    std::vector<node_outage> node_outages() const;
    // What planned stops and resources left to be desired.
    violations check_processes();
    // What the upstreams have begun, of their journals.
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
    void on_status(std::uint32_t node, std::uint32_t life, http_result const& result);

    event_loop& m_loop;
    options m_options;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<http_client> m_store_client;
    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::vector<std::unique_ptr<upstream_state>> m_upstreams;
    std::vector<std::unique_ptr<relay>> m_links;
    std::map<std::uint32_t, std::uint32_t> m_link_faults; // number in force, by link
    std::uint32_t m_store_faults = 0;                     // in force
    std::uint64_t m_newest_accepted = 0; // highest configuration number that was accepted
    std::uint64_t m_changes = 0;
    std::vector<version_observation> m_versions;
    std::vector<node_outage> m_node_outages;
    violations m_violations;
};

} // namespace buckthornusher::soak

#endif
