// To which upstream a request without a key goes: see the header.
#include "buckthornusher/placement.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

namespace
{

constexpr double failure_weight = 0.15;   // of the newest end
constexpr double failure_half_life = 2.0; // seconds without an end
constexpr double worst_failure = 0.9;
constexpr double bytes_per_kib = 1'024;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

} // namespace

void placement::on_load(std::string const& node, upstream_load const& load, instant now)
{
    auto& e = m_entries[node];
    e.load = load;
    e.told = now;
    e.sent_since = 0;
}

void placement::on_sent(std::string const& node)
{
    auto& e = m_entries[node];
    ++e.sent_since;
    ++e.awaited;
}

void placement::on_done(std::string const& node, bool failed, instant now)
{
    auto& e = m_entries[node];
    if (e.awaited > 0)
        --e.awaited;
    if (!e.load && e.sent_since > 0)
        --e.sent_since;
    e.failure += failure_weight * ((failed ? 1.0 : 0.0) - e.failure);
    e.failure_seen = now;
}

void placement::avoid(std::string const& node, instant until)
{
    m_entries[node].avoid_until = until;
}

// The time that an upstream is taken to need of which nothing is known.
duration placement::guess(std::vector<placement_candidate> const& from) const
{
    std::optional<duration> fastest;
    for (auto const& c : from)
    {
        auto const it = m_entries.find(c.node);
        if (it == m_entries.end() || !it->second.load || it->second.load->service <= 0us)
            continue;
        auto const service = it->second.load->service;
        fastest = fastest ? std::min(*fastest, service) : service;
    }
    if (!fastest)
        return m_options.first_guess;
    return from_seconds(m_options.optimism * seconds(*fastest));
}

duration placement::way(distance away, double exchange_bytes) const
{
    switch (away)
    {
    case distance::same_domain:
        break;
    case distance::same_region:
        return m_options.near_trip + m_options.domain_penalty;
    case distance::other_region:
        return m_options.far_trip + m_options.region_penalty +
               from_seconds(seconds(m_options.region_penalty_per_kib) * exchange_bytes /
                            bytes_per_kib);
    }
    return m_options.near_trip;
}

std::optional<duration> placement::expected(placement_candidate const& c, duration way,
                                            duration guess, instant now) const
{
    auto const it = m_entries.find(c.node);
    if (it == m_entries.end())
        return way + guess;
    auto const& e = it->second;
    if (now < e.avoid_until)
        return std::nullopt;
    auto const slots = std::max(1U, e.load ? e.load->slots : c.slots);
    auto const service = e.load && e.load->service > 0us ? e.load->service : guess;
    double busy = e.sent_since;
    if (e.load)
    {
        if (!e.load->accepting && now - e.told < m_options.fresh_for * 4)
            return std::nullopt;
        auto const age = now - e.told;
        auto const stale = seconds(std::max(duration{0}, age - m_options.fresh_for));
        auto const weight = std::exp(-stale / std::max(0.05, seconds(service)));
        busy += weight * (e.load->running + e.load->waiting);
    }
    auto const beyond = std::max(0.0, busy + 1 - slots);
    auto const s = seconds(service);
    auto const failing =
        std::min(worst_failure, e.failure * std::exp2(-seconds(now - e.failure_seen) /
                                                      failure_half_life));
    return way + from_seconds((s + beyond * s / slots) / (1 - failing));
}

std::optional<placement_choice>
placement::choose(std::vector<placement_candidate> const& from, double exchange_bytes,
                  std::uint64_t draw, instant now) const
{
    std::vector<placement_choice> choices;
    auto const unknown = guess(from);
    for (auto const& c : from)
        if (auto const e = expected(c, way(c.away, exchange_bytes), unknown, now))
            choices.push_back({.node = c.node, .expected = *e});
    if (choices.empty())
        return std::nullopt;
    auto const best = std::min_element(choices.begin(), choices.end(),
                                       [](auto const& a, auto const& b)
                                       { return a.expected < b.expected; })
                          ->expected;
    auto const bound = best + from_seconds(seconds(best) * m_options.tie);
    std::erase_if(choices, [&](auto const& c) { return c.expected > bound; });
    return choices[draw % choices.size()];
}

std::string placement::describe(std::string const& node, instant now) const
{
    auto const it = m_entries.find(node);
    if (it == m_entries.end() || !it->second.load)
        return "unknown";
    auto const& e = it->second;
    auto const in_ms = [](duration d)
    {
        return std::to_string(d.count() / 1'000);
    };
    return std::to_string(e.load->running) + "/" + std::to_string(e.load->slots) + "+" +
           std::to_string(e.load->waiting) + "~" + in_ms(e.load->service) + "ms," +
           in_ms(now - e.told) + "ms," + std::to_string(e.sent_since) + "sent";
}

void placement::keep_only(std::vector<std::string> const& nodes)
{
    std::erase_if(
        m_entries, [&](auto const& e)
        { return std::find(nodes.begin(), nodes.end(), e.first) == nodes.end(); });
}

} // namespace buckthornusher
