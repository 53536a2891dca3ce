// Implementation of the operators' commands; see the header.
#include "process/operator_client.hpp"

#include "buckthornusher/burn.hpp"
#include "connection/http_client.hpp"
#include "process/event_loop.hpp"
#include "process/read_file.hpp"

#include "wire.pb.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <charconv>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace buckthornusher
{

namespace
{

constexpr duration call_timeout = 5s;

std::optional<http_response> call(node_address const& node, http_request request)
{
    event_loop loop;
    http_client client(loop, {.peer = {.ip = node.address, .port = node.port},
                              .max_connections = 1,
                              .connect_timeout = call_timeout});
    std::optional<http_result> result;
    client.call(std::move(request), call_timeout,
                [&](http_result r) { result = std::move(r); });
    while (!result)
        loop.run_once();
    if (result->has_value())
        return std::move(*result).value();
    std::cerr << "node " << node.address << ":" << node.port
              << (result->error().sent ? ": no answer to the request\n"
                                       : ": connection failed\n");
    return std::nullopt;
}

int put_document(node_address const& node, std::string document, std::uint64_t expected)
{
    auto const response =
        call(node, {.method = "PUT",
                    .target = "/v1/config?expected=" + std::to_string(expected),
                    .body = std::move(document)});
    if (!response)
        return exit_failed;
    (response->status == 200 ? std::cout : std::cerr) << response->body;
    switch (response->status)
    {
    case 200:
        return exit_ok;
    case 409:
        return exit_conflict;
    case 400:
    case 422:
        return exit_bad_input;
    default:
        return exit_failed;
    }
}

std::multiset<std::string> lines_of(std::string const& text)
{
    std::istringstream in(text);
    std::multiset<std::string> lines;
    for (std::string line; std::getline(in, line);)
        lines.insert(line);
    return lines;
}

// Prints the lines of `text` that `other` lacks, in their order.
void print_missing_lines(std::string const& text, std::string const& other, char mark)
{
    auto others = lines_of(other);
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        auto const it = others.find(line);
        if (it == others.end())
            std::cout << mark << " " << line << "\n";
        else
            others.erase(it);
    }
}

std::string field_text(google::protobuf::Struct const& from, std::string const& name)
{
    auto const it = from.fields().find(name);
    if (it == from.fields().end())
        return "-";
    auto const& value = it->second;
    if (value.has_string_value())
        return value.string_value();
    if (value.has_bool_value())
        return value.bool_value() ? "yes" : "no";
    std::ostringstream number;
    number << static_cast<std::int64_t>(value.number_value());
    return number.str();
}

void print_fleet(google::protobuf::Struct const& status)
{
    std::cout << "seen by " << field_text(status, "member") << ", revision "
              << field_text(status, "revision") << ", configuration "
              << field_text(status, "config") << ", shards owned "
              << field_text(status, "shards") << ", lease valid for "
              << field_text(status, "lease_ms") << " ms\n\n";
    constexpr int id_width = 34;
    constexpr int width = 14;
    std::cout << std::left << std::setw(id_width) << "member" << std::setw(width)
              << "region" << std::setw(width) << "domain" << std::setw(width) << "state"
              << std::setw(width) << "draining"
              << "watchers\n";
    auto const members = status.fields().find("members");
    if (members == status.fields().end())
        return;
    for (auto const& value : members->second.list_value().values())
    {
        auto const& m = value.struct_value();
        std::cout << std::setw(id_width) << field_text(m, "id");
        for (auto const* column : {"region", "domain", "state", "draining"})
            std::cout << std::setw(width) << field_text(m, column);
        std::cout << field_text(m, "watchers") << "\n";
    }
}

struct service_burn
{
    objective allowed;
    std::array<burn_counts, burn_windows.size()> windows;
};

void add_node_burn(google::protobuf::Struct const& node,
                   std::map<std::string, service_burn>& sums)
{
    auto const services = node.fields().find("services");
    if (services == node.fields().end())
        return;
    for (auto const& value : services->second.list_value().values())
    {
        auto const& fields = value.struct_value().fields();
        auto& sum = sums[fields.at("name").string_value()];
        sum.allowed.availability = fields.at("availability").number_value();
        auto const& windows = fields.at("windows").list_value();
        for (int i = 0;
             i < windows.values_size() && i < static_cast<int>(sum.windows.size()); ++i)
        {
            auto const& w = windows.values(i).struct_value().fields();
            auto const number = [&](char const* name)
            {
                return static_cast<std::uint64_t>(w.at(name).number_value());
            };
            auto& counts = sum.windows[static_cast<std::size_t>(i)];
            counts = counts + burn_counts{.total = number("total"),
                                          .failed = number("failed"),
                                          .slow = number("slow")};
        }
    }
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

void print_burn_table(std::map<std::string, service_burn> const& sums)
{
    constexpr int name_width = 18;
    constexpr int width = 12;
    std::cout << std::left << std::setw(name_width) << "service" << std::setw(width)
              << "window" << std::setw(width) << "requests" << std::setw(width)
              << "failed" << std::setw(width) << "slow" << std::setw(width)
              << "avail.burn" << std::setw(width) << "lat.burn"
              << "verdict\n"
              << std::fixed << std::setprecision(2);
    for (auto const& [name, s] : sums)
        for (std::size_t i = 0; i < s.windows.size(); ++i)
        {
            auto const& w = s.windows[i];
            std::cout << std::setw(name_width) << (i == 0 ? name : "") << std::setw(width)
                      << window_names[i] << std::setw(width) << w.total
                      << std::setw(width) << w.failed << std::setw(width) << w.slow
                      << std::setw(width) << availability_burn(w, s.allowed)
                      << std::setw(width) << latency_burn(w, s.allowed)
                      << (i == 0 ? verdict(s) : "") << "\n";
        }
}

void print_burn_bar(double burn, char const* label, std::size_t row)
{
    constexpr double pixels_per_unit = 20;
    constexpr double max_bar_pixels = 400;
    constexpr std::size_t row_height = 18;
    auto const colour = burn >= fast_burn ? "#c0392b" : burn >= 1 ? "#e0a030" : "#3a8f5c";
    std::cout << "<text x=\"0\" y=\"" << row * row_height + 13 << "\">" << label
              << "</text><rect x=\"150\" y=\"" << row * row_height + 2
              << "\" height=\"14\" width=\""
              << std::min(max_bar_pixels, burn * pixels_per_unit) + 1 << "\" fill=\""
              << colour << "\"/><text x=\"560\" y=\"" << row * row_height + 13 << "\">"
              << burn << "</text>\n";
}

void print_burn_page(std::map<std::string, service_burn> const& sums)
{
    std::cout
        << "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>"
           "<style>body{font:14px sans-serif;margin:2em}</style>"
           "<h1>Service-level burn</h1><p>1 uses the error budget exactly over its "
           "period; 14.4 in both short windows is a page, 6 over six hours a "
           "ticket.</p>\n"
        << std::fixed << std::setprecision(2);
    for (auto const& [name, s] : sums)
    {
        std::cout << "<h2>" << name << ": " << verdict(s)
                  << "</h2><svg width=\"640\" height=\"110\">\n";
        std::size_t row = 0;
        for (std::size_t i = 0; i < s.windows.size(); ++i)
        {
            auto const window = std::string(window_names[i]);
            print_burn_bar(availability_burn(s.windows[i], s.allowed),
                           ("availability " + window).c_str(), row++);
            print_burn_bar(latency_burn(s.windows[i], s.allowed),
                           ("latency " + window).c_str(), row++);
        }
        std::cout << "</svg>\n";
    }
}

} // namespace

std::optional<node_address> parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    node_address parsed{.address = text.substr(0, colon), .port = 0};
    auto const* begin = text.data() + colon + 1;
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(begin, end, parsed.port);
    if (error != std::errc{} || stop != end || parsed.port <= 0 || parsed.port > 65'535)
        return std::nullopt;
    return parsed;
}

int config_show(node_address const& node)
{
    auto const response = call(node, {.method = "GET", .target = "/v1/config"});
    if (!response)
        return exit_failed;
    if (response->status != 200)
        return std::cerr << response->body, exit_failed;
    std::cerr << "number "
              << find_header(response->headers, "buckthornusher-config-number") << "\n";
    std::cout << response->body;
    return exit_ok;
}

int config_diff(node_address const& node, std::string const& path)
{
    auto const text = read_input(path);
    if (!text)
        return exit_bad_input;
    auto const response = call(node, {.method = "GET", .target = "/v1/config"});
    if (!response)
        return exit_failed;
    auto const present = response->status == 200 ? response->body : std::string();
    print_missing_lines(present, *text, '-');
    print_missing_lines(*text, present, '+');
    return exit_ok;
}

int config_apply(node_address const& node, std::string const& path,
                 std::uint64_t expected)
{
    auto text = read_input(path);
    if (!text)
        return exit_bad_input;
    return put_document(node, std::move(*text), expected);
}

int config_promote(node_address const& trial, node_address const& production,
                   std::uint64_t expected)
{
    auto response = call(trial, {.method = "GET", .target = "/v1/config"});
    if (!response)
        return exit_failed;
    if (response->status != 200)
        return std::cerr << "trial: " << response->body, exit_failed;
    return put_document(production, std::move(response->body), expected);
}

int report_burn(std::vector<node_address> const& nodes, bool html)
{
    std::map<std::string, service_burn> sums;
    int result = exit_ok;
    for (auto const& node : nodes)
    {
        auto const response = call(node, {.method = "GET", .target = "/v1/burn"});
        google::protobuf::Struct counts;
        if (!response ||
            !google::protobuf::util::JsonStringToMessage(response->body, &counts).ok())
            result = exit_failed; // the report lacks this node
        else
            add_node_burn(counts, sums);
    }
    html ? print_burn_page(sums) : print_burn_table(sums);
    return result;
}

int show_status(node_address const& node, bool json)
{
    auto const response = call(node, {.method = "GET", .target = "/v1/status"});
    if (!response)
        return exit_failed;
    if (json)
        return std::cout << response->body, exit_ok;
    google::protobuf::Struct status;
    if (!google::protobuf::util::JsonStringToMessage(response->body, &status).ok())
        return std::cerr << "the node's response is not valid JSON\n", exit_failed;
    print_fleet(status);
    return exit_ok;
}

} // namespace buckthornusher
