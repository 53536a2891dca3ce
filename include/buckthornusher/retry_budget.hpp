// Limits retries to a share of the regular traffic, so that a fault does not multiply
// load.
//
// The limit holds for the whole fleet: in any window, the retries for a service are at
// most `ratio` times the requests of that window and the one before it, plus a reserve.
// With `used_share` of one half or less they are at most `ratio` times the requests of
// the busier of the two windows, plus the reserve. Nodes do not communicate for this:
// each counts the requests that it accepted from callers and the retries that it made,
// and keeps to the ratio of its own requests and to its part of the reserve. The parts
// never add up to more than the whole, also during a network partition.
//
// A retry counts from when it is allowed; the window slides in steps of an eighth.
//
// Cost: O(1); memory is nine counter pairs for each service.
#ifndef BUCKTHORNUSHER_RETRY_BUDGET_HPP
#define BUCKTHORNUSHER_RETRY_BUDGET_HPP

#include "buckthornusher/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace buckthornusher
{

struct retry_budget_options
{
    double ratio = 0.1;  // retries for each request
    double reserve = 20; // retries of all nodes in a window without any request
    duration window = 10s;
    std::uint32_t nodes = 1; // number of nodes that share the reserve
    // Share of the budget that nodes use. The rest is left for the calls that upstreams
    // make when they run a request a second time: those are retries too at the service
    // that they call.
    double used_share = 0.45;
    friend bool operator==(retry_budget_options const&,
                           retry_budget_options const&) = default;
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options opts) : m_options(opts) {}

    // Changes all options but the number of nodes and the window, which the counters
    // depend on.
    void set_options(retry_budget_options opts)
    {
        opts.nodes = m_options.nodes;
        opts.window = m_options.window;
        m_options = opts;
    }
    void set_nodes(std::uint32_t nodes) { m_options.nodes = nodes == 0 ? 1 : nodes; }

    // Counts a caller's request for the service.
    void on_request(std::string const& service, instant now);
    // Takes one retry from the budget. Returns false, and takes nothing, if less than
    // `reserved_share` of the budget would be left for other uses.
    bool try_acquire(std::string const& service, instant now, double reserved_share = 0);
    // Returns the number of retries that could be made now.
    double remaining(std::string const& service, instant now) const;

private:
    static constexpr std::size_t steps = 8;

    struct step
    {
        std::int64_t number = -1; // steps since the start of the clock; -1: unused
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    // Ring indexed by step number. It has one step more than a window, as the window
    // covers its oldest step only in part.
    using ring = std::array<step, steps + 1>;

    struct sums
    {
        double requests = 0;
        double retries = 0;
    };

    sums count(std::string const& service, instant now) const;
    double allowed(sums const& s) const;
    std::int64_t step_number(instant now) const;
    step& step_at(std::string const& service, instant now);

    retry_budget_options m_options;
    std::map<std::string, ring> m_services;
};

} // namespace buckthornusher

#endif
