// Burn rates of the services' error budgets.
//
// An objective allows a share of requests to fail: the error budget. The burn rate of a
// window is the share of its requests that failed, divided by the allowed share. At a
// rate of 1 the budget lasts exactly its period; at 14.4 the budget of a month is used up
// in two days. A request that was refused or whose outcome is unknown counts against the
// availability objective; an answer slower than the bound counts against the latency
// objective.
//
// The recorder keeps counts by minute for the longest window, in memory only. A restarted
// node therefore starts without history. Reports add up the counts of all nodes, not
// their rates, and state how many minutes each node has covered.
//
// Thread safety: none; a recorder is used from one thread.
// Cost: O(1) per request; memory is 361 minutes of four numbers per service.
#ifndef BUCKTHORNUSHER_BURN_HPP
#define BUCKTHORNUSHER_BURN_HPP

#include "buckthornusher/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornusher
{

struct burn_counts
{
    std::uint64_t total = 0;
    std::uint64_t failed = 0; // refused, or the outcome is unknown
    std::uint64_t slow = 0;   // answered, but later than the latency bound
    friend bool operator==(burn_counts const&, burn_counts const&) = default;
};

burn_counts operator+(burn_counts const& a, burn_counts const& b);

struct objective
{
    double availability = 0.999;  // share of the requests that must be answered
    double within_latency = 0.99; // share of the answers that must meet the latency bound
};

// Return the burn rate, or 0 if there were no requests (or no answers). Precondition: the
// objective is below 1.
double availability_burn(burn_counts const& counts, objective const& o);
double latency_burn(burn_counts const& counts, objective const& o);

inline constexpr std::array<duration, 3> burn_windows{5min, 60min, 360min};

// Alert thresholds of the burn rate. `fast_burn` in both the 5-minute and the 60-minute
// window calls for a page, `slow_burn` in the 360-minute window for a ticket.
inline constexpr double fast_burn = 14.4;
inline constexpr double slow_burn = 6.0;

class burn_recorder
{
public:
    // Counts one request that ended at `now`.
    void count(std::string const& service, bool answered, bool slow, instant now);

    // Returns the counts, by service, of the window of `length` that ends at `now`.
    // Services without requests in the window are absent.
    std::map<std::string, burn_counts> window(duration length, instant now) const;

private:
    struct minute
    {
        std::int64_t number = -1; // minutes since the epoch of the clock; -1: unused
        burn_counts counts;
    };

    // Slots of a ring, indexed by minute number modulo the size: the longest window and
    // the current minute.
    static constexpr std::size_t ring_size = 361;
    std::map<std::string, std::vector<minute>> m_services;
};

} // namespace buckthornusher

#endif
