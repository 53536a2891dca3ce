// Bounds repeats to a share of real traffic, so that a fault does not multiply load.
//
// The bound is on the whole fleet: in any window, repeats for a service are at most
// `ratio` times the requests of that window and of the one before it, and a reserve; with
// half of it used or less, at most `ratio` times the requests of the busier of the two.
// Nodes do not ask each other. Each counts the requests that it took from callers and the
// repeats that it made, and keeps to the ratio of its own and to its part of the reserve;
// the parts add up to no more than the whole, also while nodes cannot talk.
//
// A repeat counts from when it is allowed; a window slides in steps of an eighth.
//
// Cost: O(1); memory is nine numbers for each service.
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
    double ratio = 0.1;  // repeats for each request
    double reserve = 20; // repeats in a window without any request, by all nodes
    duration window = 10s;
    std::uint32_t nodes = 1; // that share the reserve
    // The part that is used. The rest is for the calls that upstreams make when they run
    // a request a second time: those count as repeats at the service that they call.
    double used_share = 0.45;
    friend bool operator==(retry_budget_options const&,
                           retry_budget_options const&) = default;
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options opts) : m_options(opts) {}

    // The window's length must stay.
    void set_options(retry_budget_options opts)
    {
        opts.nodes = m_options.nodes;
        opts.window = m_options.window;
        m_options = opts;
    }
    void set_nodes(std::uint32_t nodes) { m_options.nodes = nodes == 0 ? 1 : nodes; }

    // A caller's request for the service.
    void on_request(std::string const& service, instant now);
    // Takes one repeat from the budget; false if it would leave less than that share of
    // the budget to others.
    bool try_acquire(std::string const& service, instant now, double reserved_share = 0);
    // Repeats that could be made now.
    double remaining(std::string const& service, instant now) const;

private:
    static constexpr std::size_t steps = 8;

    struct step
    {
        std::int64_t number = -1; // since the clock's start, in steps
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    // A ring by step number; one more than a window holds, as the first is cut.
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
