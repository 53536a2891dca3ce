// The report on the burn of the services' error budgets, summed over nodes.
//
//   burn_by_service sums;
//   if (auto const counts = parse_burn(body)) add_burn(*counts, sums);
//   print_burn_table(sums, std::cout);
#ifndef BUCKTHORNUSHER_PROCESS_BURN_REPORT_HPP
#define BUCKTHORNUSHER_PROCESS_BURN_REPORT_HPP

#include "buckthornusher/burn.hpp"

#include <array>
#include <map>
#include <optional>
#include <ostream>
#include <string>

namespace buckthornusher
{

struct service_burn
{
    objective allowed;
    std::array<burn_counts, burn_windows.size()> windows;
};
using burn_by_service = std::map<std::string, service_burn>;

// Parses a node's answer. Returns nothing if it is not JSON, or if a service lacks a
// member or has one out of range: such an answer comes from another program.
std::optional<burn_by_service> parse_burn(std::string const& body);

// Adds a node's counts. The latest node's objectives are kept.
void add_burn(burn_by_service const& node, burn_by_service& sums);

void print_burn_table(burn_by_service const& sums, std::ostream& out);
void print_burn_page(burn_by_service const& sums, std::ostream& out); // HTML

} // namespace buckthornusher

#endif
