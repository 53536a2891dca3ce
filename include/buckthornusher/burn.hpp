// How fast services use up their error budgets.
//
// An objective allows a share of requests to fail, the error budget. The burn rate of a
// window is the share that failed in it over the share that is allowed: at 1 the budget
// lasts exactly its period; at 14.4 a month's budget is gone in two days. A request that
// was refused or unknown fails the availability objective; an answer slower than the
// bound fails the latency objective.
//
// The part keeps counts by minute for the longest window. Counts begin with the process,
// so a restarted node has no past: reports add up the nodes' counts, never their rates,
// and say how many minutes each node has covered.
//
// Cost: O(1) for each request; memory is 360 minutes of five numbers for each service.
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
    std::uint64_t failed = 0; // refused or unknown
    std::uint64_t slow = 0;   // answered, but later than the objective's bound
    friend bool operator==(burn_counts const&, burn_counts const&) = default;
};

burn_counts operator+(burn_counts const& a, burn_counts const& b);

struct objective
{
    double availability = 0.999;  // share that must be answered
    double within_latency = 0.99; // share of the answers that must come within the bound
};

// Failed share over allowed share; 0 without requests.
double availability_burn(burn_counts const& counts, objective const& o);
double latency_burn(burn_counts const& counts, objective const& o);

inline constexpr std::array<duration, 3> burn_windows{5min, 60min, 360min};

// A page is due at once if both the short and the middle window burn this fast; a ticket
// if the longest window does.
inline constexpr double fast_burn = 14.4;
inline constexpr double slow_burn = 6.0;

class burn_recorder
{
public:
    void count(std::string const& service, bool answered, bool slow, instant now);

    // Counts of the window that ends now, by service.
    std::map<std::string, burn_counts> window(duration length, instant now) const;

private:
    struct minute
    {
        std::int64_t number = -1; // since the clock's start
        burn_counts counts;
    };

    // A ring by minute number modulo its size.
    static constexpr std::size_t ring_size = 361;
    std::map<std::string, std::vector<minute>> m_services;
};

} // namespace buckthornusher

#endif
