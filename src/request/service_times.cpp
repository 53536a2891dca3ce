// Times of classes of requests at upstreams; see the header.
#include "buckthornusher/service_times.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornusher
{

namespace
{

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

// Returns the weight, 1 to 0, of what was learnt at that time.
double faded(instant learnt, duration half_life, instant now)
{
    return std::exp2(-seconds(now - learnt) / seconds(half_life));
}

double blend(double value, double usual, double weight)
{
    return usual + weight * (value - usual);
}

} // namespace

void service_times::note(std::string const& node, std::string const& request_class,
                         duration time, instant now)
{
    if (time <= duration{0})
        return;
    auto const s = seconds(time);
    auto& usual = m_usual.try_emplace(request_class, s).first->second;
    usual = blend(s, usual, m_options.usual_weight);
    auto const [it, is_new] = m_upstreams.try_emplace(node);
    auto& u = it->second;
    auto const relative = s / usual;
    u.slowness = is_new ? relative
                        : blend(relative, slowness_at(u, now), m_options.slowness_weight);
    u.slowness_at = now;
    u.times[request_class] = {.time = time, .at = now};
}

double service_times::slowness_at(upstream const& u, instant now) const
{
    return blend(u.slowness, 1, faded(u.slowness_at, m_options.slowness_half_life, now));
}

std::optional<duration> service_times::expected(std::string const& node,
                                                std::string const& request_class,
                                                double unknown, instant now) const
{
    auto const usual = m_usual.find(request_class);
    if (usual == m_usual.end())
        return std::nullopt;
    auto const it = m_upstreams.find(node);
    auto const slowness =
        it == m_upstreams.end() ? unknown : slowness_at(it->second, now);
    auto s = usual->second * slowness;
    if (it != m_upstreams.end())
        if (auto const t = it->second.times.find(request_class);
            t != it->second.times.end())
            s = blend(seconds(t->second.time), s,
                      faded(t->second.at, m_options.report_half_life, now));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

double service_times::unknown_slowness(std::vector<std::string_view> const& nodes,
                                       instant now) const
{
    std::optional<double> fastest;
    for (auto const node : nodes)
        if (auto const it = m_upstreams.find(node); it != m_upstreams.end())
            fastest = std::min(fastest.value_or(slowness_at(it->second, now)),
                               slowness_at(it->second, now));
    return fastest.value_or(1) * m_options.unknown_factor;
}

void service_times::keep_only(std::vector<std::string> const& nodes)
{
    std::erase_if(
        m_upstreams, [&](auto const& u)
        { return std::find(nodes.begin(), nodes.end(), u.first) == nodes.end(); });
}

} // namespace buckthornusher
