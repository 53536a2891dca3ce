// Implementation of the fault plan. Uses only raw values of the random engine, as the
// results of the standard distributions differ between libraries.
#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace buckthornusher::soak
{
namespace
{

constexpr duration quiet_start = 1s;
constexpr std::uint64_t max_gap_ms = 2'500;
constexpr std::uint64_t min_fault_ms = 100;
constexpr std::uint64_t max_fault_ms = 5'000;
// One fault in so many, on average, has a second target.
constexpr std::uint64_t second_target_odds = 3;

constexpr std::array<char const*, fault_kind_count> kind_names = {
    "node_kill",         "node_pause",         "node_stop",         "upstream_kill",
    "upstream_pause",    "store_down",         "store_hang",        "store_reset",
    "store_slow",        "store_lose_answers", "store_late_writes", "store_forget",
    "store_refuse_some", "link_delay",         "link_reset",        "link_cut_to",
    "link_cut_from",     "link_silence",       "link_trickle",      "configure"};

std::uint32_t target_count(fault_kind kind, fault_plan_options const& options)
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
    duration start = quiet_start;
    while (start < options.length)
    {
        auto const kind = static_cast<fault_kind>(draw(fault_kind_count));
        auto const targets = target_count(kind, options);
        bool const has_second_target = draw(second_target_odds) == 0;
        for (int n = 0; n < (has_second_target ? 2 : 1) && targets > 0; ++n)
        {
            fault f{.start = start, .kind = kind};
            f.target = static_cast<std::uint32_t>(draw(targets));
            f.length =
                std::min(draw_ms(min_fault_ms, max_fault_ms), options.length - start);
            plan.push_back(f);
        }
        start += draw_ms(0, max_gap_ms);
    }
    return plan;
}

std::string describe(fault const& f)
{
    return std::string(to_string(f.kind)) + " on " + std::to_string(f.target) + " at " +
           std::to_string(f.start / 1ms) + " ms for " + std::to_string(f.length / 1ms) +
           " ms";
}

} // namespace buckthornusher::soak
