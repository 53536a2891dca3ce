// Implementation of the counters and latency histograms; see the header.
#include "process/metrics.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <sstream>

namespace buckthornusher
{

namespace
{

namespace bh = boost::histogram;

constexpr double min_latency_us = 50;
constexpr double max_latency_us = 10'000'000;
constexpr unsigned latency_bins = 60;
constexpr std::array<char const*, 4> outcome_names{"answered", "refused", "unknown",
                                                   "left"};

auto make_latency()
{
    return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
        latency_bins, min_latency_us, max_latency_us));
}

using latency_histogram = decltype(make_latency());

struct service_counts
{
    std::map<std::pair<outcome_kind, outcome_reason>, std::uint64_t> outcomes;
    std::uint64_t retries = 0;
    latency_histogram latency = make_latency(); // of answered requests
    double latency_sum_us = 0;
};

void write_latency(std::ostream& out, std::string const& service,
                   service_counts const& counts)
{
    constexpr double us_per_s = 1e6;
    double total = 0;
    for (auto const& bin : bh::indexed(counts.latency, bh::coverage::all))
    {
        total += static_cast<double>(*bin);
        if (bin.bin().upper() <= max_latency_us)
            out << "buckthornusher_latency_seconds_bucket{service=\"" << service
                << "\",le=\"" << bin.bin().upper() / us_per_s << "\"} " << total << "\n";
    }
    out << "buckthornusher_latency_seconds_bucket{service=\"" << service
        << "\",le=\"+Inf\"} " << total << "\n";
    out << "buckthornusher_latency_seconds_sum{service=\"" << service << "\"} "
        << counts.latency_sum_us / us_per_s << "\n";
    out << "buckthornusher_latency_seconds_count{service=\"" << service << "\"} " << total
        << "\n";
}

} // namespace

char const* to_string(outcome_kind kind)
{
    return outcome_names[static_cast<std::size_t>(kind)];
}

struct metrics::impl
{
    std::map<std::string, service_counts> services;
    std::map<std::string, std::uint64_t> values;
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::count_outcome(std::string const& service, outcome_kind kind,
                            outcome_reason reason, duration latency)
{
    auto& counts = m_impl->services[service];
    ++counts.outcomes[{kind, reason}];
    if (kind != outcome_kind::answered)
        return;
    counts.latency(static_cast<double>(latency.count()));
    counts.latency_sum_us += static_cast<double>(latency.count());
}

void metrics::count_retry(std::string const& service)
{
    ++m_impl->services[service].retries;
}

void metrics::set(std::string const& name, std::uint64_t value)
{
    m_impl->values[name] = value;
}

std::string metrics::exposition() const
{
    std::ostringstream out;
    // First, as collectors may cut a long page.
    for (auto const& [name, value] : m_impl->values)
        out << "buckthornusher_" << name << " " << value << "\n";
    out << "# TYPE buckthornusher_requests_total counter\n";
    for (auto const& [service, counts] : m_impl->services)
        for (auto const& [key, count] : counts.outcomes)
            out << "buckthornusher_requests_total{service=\"" << service
                << "\",outcome=\"" << outcome_names[static_cast<std::size_t>(key.first)]
                << "\",reason=\"" << to_string(key.second) << "\"} " << count << "\n";
    out << "# TYPE buckthornusher_retries_total counter\n";
    for (auto const& [service, counts] : m_impl->services)
        out << "buckthornusher_retries_total{service=\"" << service << "\"} "
            << counts.retries << "\n";
    out << "# TYPE buckthornusher_latency_seconds histogram\n";
    for (auto const& [service, counts] : m_impl->services)
        write_latency(out, service, counts);
    return out.str();
}

} // namespace buckthornusher
