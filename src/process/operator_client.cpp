// Implementation of the operators' commands; see the header.
#include "process/operator_client.hpp"

#include "buckthornusher/evacuation.hpp"
#include "connection/http_client.hpp"
#include "process/burn_report.hpp"
#include "process/event_loop.hpp"
#include "process/read_file.hpp"

#include "wire.pb.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
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

void print(http_response const& response)
{
    (response.status == 200 ? std::cout : std::cerr) << response.body;
}

// Prints the answer to a change and returns the exit code. `bad_input`: the statuses that
// are the command's own fault.
int finish_change(http_response const& response, std::initializer_list<int> bad_input)
{
    print(response);
    if (response.status == 200)
        return exit_ok;
    if (response.status == 409)
        return exit_conflict;
    return std::find(bad_input.begin(), bad_input.end(), response.status) ==
                   bad_input.end()
               ? exit_failed
               : exit_bad_input;
}

int put_document(node_address const& node, std::string document, std::uint64_t expected)
{
    auto const response =
        call(node, {.method = "PUT",
                    .target = "/v1/config?expected=" + std::to_string(expected),
                    .body = std::move(document)});
    if (!response)
        return exit_failed;
    return finish_change(*response, {400, 422});
}

int change_evacuation(node_address const& node, std::string const& method,
                      std::string const& domain)
{
    if (!is_plain_domain(domain))
        return std::cerr << domain << ": not the name of a failure domain\n",
               exit_bad_input;
    auto const response =
        call(node, {.method = method, .target = "/v1/evacuations?domain=" + domain});
    if (!response)
        return exit_failed;
    return finish_change(*response, {400, 404});
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
    if (auto const evacuated = status.fields().find("evacuated");
        evacuated != status.fields().end())
        for (auto const& domain : evacuated->second.list_value().values())
            std::cout << "evacuated: " << domain.string_value() << "\n";
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

int domain_evacuate(node_address const& node, std::string const& domain)
{
    return change_evacuation(node, "PUT", domain);
}

int domain_restore(node_address const& node, std::string const& domain)
{
    return change_evacuation(node, "DELETE", domain);
}

int domain_list(node_address const& node)
{
    auto const response = call(node, {.method = "GET", .target = "/v1/evacuations"});
    if (!response)
        return exit_failed;
    print(*response);
    return response->status == 200 ? exit_ok : exit_failed;
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
    burn_by_service sums;
    int result = exit_ok;
    for (auto const& node : nodes)
    {
        auto const response = call(node, {.method = "GET", .target = "/v1/burn"});
        auto const counts = response ? parse_burn(response->body) : std::nullopt;
        if (response && !counts)
            std::cerr << "node " << node.address << ":" << node.port << ": status "
                      << response->status << ", the answer is not a burn report\n";
        if (counts)
            add_burn(*counts, sums);
        else
            result = exit_failed; // the report lacks this node
    }
    html ? print_burn_page(sums, std::cout) : print_burn_table(sums, std::cout);
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
