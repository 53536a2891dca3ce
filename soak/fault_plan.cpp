// Draws the faults of a run. Only raw draws of the engine are used: the standard's
// distributions differ between libraries.
#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace buckthornusher::soak
{
namespace
{

constexpr duration calm_start = 1s;
constexpr std::uint64_t longest_gap_ms = 2'500;
constexpr std::uint64_t shortest_fault_ms = 100;
constexpr std::uint64_t longest_fault_ms = 5'000;
constexpr std::uint64_t series_share = 3; // one fault in so many strikes twice

constexpr std::array<char const*, fault_kinds> kind_names = {
    "node_kill",         "node_pause",         "node_stop",         "upstream_kill",
    "upstream_pause",    "store_down",         "store_hang",        "store_reset",
    "store_slow",        "store_lose_answers", "store_late_writes", "store_forget",
    "store_refuse_some", "link_delay",         "link_reset",        "link_cut_to",
    "link_cut_from",     "link_silence",       "link_trickle",      "configure"};

std::uint32_t targets_of(fault_kind kind, fault_plan_options const& options)
{
    if (kind == fault_kind::upstream_kill || kind == fault_kind::upstream_pause)
        return options.upstreams;
    if (kind >= fault_kind::link_delay && kind <= fault_kind::link_trickle)
        return options.links;
    return options.nodes;
}

} // namespace

char const* to_string(fault_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::vector<fault> draw_faults(fault_plan_options const& options)
{
    std::mt19937_64 random(options.seed);
    auto const draw = [&](std::uint64_t below)
    {
        return random() % below;
    };
    auto const draw_ms = [&](std::uint64_t from, std::uint64_t to)
    {
        return duration(std::chrono::milliseconds(from + draw(to - from + 1)));
    };

    std::vector<fault> plan;
    duration at = calm_start;
    while (at < options.length)
    {
        auto const kind = static_cast<fault_kind>(draw(fault_kinds));
        auto const targets = targets_of(kind, options);
        bool const twice = draw(series_share) == 0;
        for (int n = 0; n < (twice ? 2 : 1) && targets > 0; ++n)
        {
            fault f{.at = at, .kind = kind};
            f.target = static_cast<std::uint32_t>(draw(targets));
            f.lasts = std::min(draw_ms(shortest_fault_ms, longest_fault_ms),
                               options.length - at);
            plan.push_back(f);
        }
        at += draw_ms(0, longest_gap_ms);
    }
    return plan;
}

std::string describe(fault const& f)
{
    return std::string(to_string(f.kind)) + " on " + std::to_string(f.target) + " at " +
           std::to_string(f.at / 1ms) + " ms for " + std::to_string(f.lasts / 1ms) +
           " ms";
}

} // namespace buckthornusher::soak
