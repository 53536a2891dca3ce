// The operators' commands, which call the operator listener of a running node.
//
// Each returns the process's exit code: 0 success, 1 failed or refused, 2 invalid input,
// 3 conflict with another operator's change.
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

// The address of any node's operator listener.
struct node_address
{
    std::string address = "127.0.0.1";
    int port = 0;
};

// Parses "IP:port". Returns nothing if the text has another form.
std::optional<node_address> parse_address(std::string const& text);

// Prints the current document to standard output and its number to standard error.
int config_show(node_address const& node);

// Prints the lines in which the document at `path` differs from the current one.
int config_diff(node_address const& node, std::string const& path);

// Replaces document number `expected` by the one at `path`.
int config_apply(node_address const& node, std::string const& path,
                 std::uint64_t expected);

// Replaces production's document number `expected` by a byte-exact copy of trial's
// current document.
int config_promote(node_address const& trial, node_address const& production,
                   std::uint64_t expected);

// Evacuates a failure domain, or takes it back.
int domain_evacuate(node_address const& node, std::string const& domain);
int domain_restore(node_address const& node, std::string const& domain);

// Prints the evacuated domains that the node knows of, one per line.
int domain_list(node_address const& node);

// Prints the fleet as the node sees it: as a table, or with `json` the unchanged
// response.
int show_status(node_address const& node, bool json);

// Prints the error budget burn of each service, summed over the nodes, as a table or as
// an HTML page with bars. Nodes that do not answer are named on standard error, and the
// command fails after the report.
int report_burn(std::vector<node_address> const& nodes, bool html);

} // namespace buckthornusher

#endif
