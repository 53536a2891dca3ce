// The operators' commands that talk to a running node's operator listener.
//
// Each returns the process's exit code: 0 done, 1 failed or refused, 2 bad input,
// 3 conflict with another operator.
#ifndef BUCKTHORNUSHER_PROCESS_OPERATOR_CLIENT_HPP
#define BUCKTHORNUSHER_PROCESS_OPERATOR_CLIENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_conflict = 3;

// "IP:port" of any node's operator listener.
struct node_address
{
    std::string address = "127.0.0.1";
    int port = 0;
};

std::optional<node_address> parse_address(std::string const& text);

// Prints the document in force; its number goes to standard error.
int config_show(node_address const& node);

// Prints the lines in which a document differs from the one in force.
int config_diff(node_address const& node, std::string const& path);

// Replaces document number `expected`.
int config_apply(node_address const& node, std::string const& path,
                 std::uint64_t expected);

// Replaces production's document `expected` by the very bytes that trial has in force.
int config_promote(node_address const& trial, node_address const& production,
                   std::uint64_t expected);

// Prints the fleet as a node sees it: a table, or with `json` the node's own words.
int show_status(node_address const& node, bool json);

// Prints the burn of each service's error budgets, added up over the nodes, as a table or
// as a page of HTML with bars. Nodes that do not answer are named.
int report_burn(std::vector<node_address> const& nodes, bool html);

} // namespace buckthornusher

#endif
