// Implementation of the burn report; see the header.
#include "process/burn_report.hpp"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <iomanip>

namespace buckthornusher
{

namespace
{

using json_object = google::protobuf::Struct;

// Returns the member if it is a number from 0 to `max`.
std::optional<double> number(json_object const& from, char const* name, double max)
{
    auto const it = from.fields().find(name);
    if (it == from.fields().end() || !it->second.has_number_value())
        return std::nullopt;
    auto const value = it->second.number_value();
    return value >= 0 && value <= max ? std::optional(value) : std::nullopt;
}

std::optional<burn_counts> parse_counts(json_object const& window)
{
    constexpr double max_count = 1e15; // exact in a double
    auto const total = number(window, "total", max_count);
    auto const failed = number(window, "failed", max_count);
    auto const slow = number(window, "slow", max_count);
    if (!total || !failed || !slow)
        return std::nullopt;
    return burn_counts{.total = static_cast<std::uint64_t>(*total),
                       .failed = static_cast<std::uint64_t>(*failed),
                       .slow = static_cast<std::uint64_t>(*slow)};
}

std::optional<service_burn> parse_service(json_object const& from)
{
    auto const availability = number(from, "availability", 1);
    auto const windows = from.fields().find("windows");
    if (!availability || windows == from.fields().end())
        return std::nullopt;
    service_burn service;
    service.allowed.availability = *availability;
    auto const& list = windows->second.list_value().values();
    for (std::size_t i = 0;
         i < std::min(service.windows.size(), static_cast<std::size_t>(list.size())); ++i)
    {
        auto const counts = parse_counts(list.Get(static_cast<int>(i)).struct_value());
        if (!counts)
            return std::nullopt;
        service.windows[i] = *counts;
    }
    return service;
}

char const* verdict(service_burn const& s)
{
    auto const max_burn = [&](std::size_t window)
    {
        return std::max(availability_burn(s.windows[window], s.allowed),
                        latency_burn(s.windows[window], s.allowed));
    };
    if (max_burn(0) >= fast_burn && max_burn(1) >= fast_burn)
        return "PAGE";
    return max_burn(2) >= slow_burn ? "TICKET" : "ok";
}

constexpr std::array<char const*, burn_windows.size()> window_names{"5 min", "1 h",
                                                                    "6 h"};

void print_burn_bar(double burn, char const* label, std::size_t row, std::ostream& out)
{
    constexpr double pixels_per_unit = 20;
    constexpr double max_bar_pixels = 400;
    constexpr std::size_t row_height = 18;
    auto const colour = burn >= fast_burn ? "#c0392b" : burn >= 1 ? "#e0a030" : "#3a8f5c";
    out << "<text x=\"0\" y=\"" << row * row_height + 13 << "\">" << label
        << "</text><rect x=\"150\" y=\"" << row * row_height + 2
        << "\" height=\"14\" width=\""
        << std::min(max_bar_pixels, burn * pixels_per_unit) + 1 << "\" fill=\"" << colour
        << "\"/><text x=\"560\" y=\"" << row * row_height + 13 << "\">" << burn
        << "</text>\n";
}

} // namespace

std::optional<burn_by_service> parse_burn(std::string const& body)
{
    json_object node;
    if (!google::protobuf::util::JsonStringToMessage(body, &node).ok())
        return std::nullopt;
    burn_by_service services;
    auto const listed = node.fields().find("services");
    if (listed == node.fields().end())
        return services;
    for (auto const& value : listed->second.list_value().values())
    {
        auto const& from = value.struct_value();
        auto const name = from.fields().find("name");
        auto const service = parse_service(from);
        if (!service || name == from.fields().end() || !name->second.has_string_value())
            return std::nullopt;
        services[name->second.string_value()] = *service;
    }
    return services;
}

void add_burn(burn_by_service const& node, burn_by_service& sums)
{
    for (auto const& [name, service] : node)
    {
        auto& sum = sums[name];
        sum.allowed = service.allowed;
        for (std::size_t i = 0; i < sum.windows.size(); ++i)
            sum.windows[i] = sum.windows[i] + service.windows[i];
    }
}

void print_burn_table(burn_by_service const& sums, std::ostream& out)
{
    constexpr int name_width = 18;
    constexpr int width = 12;
    out << std::left << std::setw(name_width) << "service" << std::setw(width) << "window"
        << std::setw(width) << "requests" << std::setw(width) << "failed"
        << std::setw(width) << "slow" << std::setw(width) << "avail.burn"
        << std::setw(width) << "lat.burn"
        << "verdict\n"
        << std::fixed << std::setprecision(2);
    for (auto const& [name, s] : sums)
        for (std::size_t i = 0; i < s.windows.size(); ++i)
        {
            auto const& w = s.windows[i];
            out << std::setw(name_width) << (i == 0 ? name : "") << std::setw(width)
                << window_names[i] << std::setw(width) << w.total << std::setw(width)
                << w.failed << std::setw(width) << w.slow << std::setw(width)
                << availability_burn(w, s.allowed) << std::setw(width)
                << latency_burn(w, s.allowed) << (i == 0 ? verdict(s) : "") << "\n";
        }
}

void print_burn_page(burn_by_service const& sums, std::ostream& out)
{
    out << "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>"
           "<style>body{font:14px sans-serif;margin:2em}</style>"
           "<h1>Service-level burn</h1><p>1 uses the error budget exactly over its "
           "period; 14.4 in both short windows is a page, 6 over six hours a "
           "ticket.</p>\n"
        << std::fixed << std::setprecision(2);
    for (auto const& [name, s] : sums)
    {
        out << "<h2>" << name << ": " << verdict(s)
            << "</h2><svg width=\"640\" height=\"110\">\n";
        std::size_t row = 0;
        for (std::size_t i = 0; i < s.windows.size(); ++i)
        {
            auto const window = std::string(window_names[i]);
            print_burn_bar(availability_burn(s.windows[i], s.allowed),
                           ("availability " + window).c_str(), row++, out);
            print_burn_bar(latency_burn(s.windows[i], s.allowed),
                           ("latency " + window).c_str(), row++, out);
        }
        out << "</svg>\n";
    }
}

} // namespace buckthornusher
