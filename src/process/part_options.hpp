// Derives the options of a node's components from its settings and its document.
//
// Pure functions. They choose between the native wire form and the platform's.
#ifndef BUCKTHORNUSHER_PROCESS_PART_OPTIONS_HPP
#define BUCKTHORNUSHER_PROCESS_PART_OPTIONS_HPP

#include "buckthornusher/lease.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "buckthornusher/retry_budget.hpp"
#include "connection/caller_form.hpp"
#include "connection/http_server.hpp"
#include "connection/upstream_form.hpp"
#include "version/config.hpp"

#include <string>
#include <string_view>

namespace buckthornusher
{

// Requires "IP:port", as validated by the settings parser.
tcp_address to_address(std::string const& text);

caller_form make_caller_form(wire_form form);
upstream_form make_upstream_form(wire_form form);

// Parses a document written in the given form.
checked<document> parse_document_as(wire_form form, std::string_view text);

lease_options make_lease_options(node_settings const& settings);
retry_budget_options make_retry_budget_options(node_settings const& settings);

// `leaves`: no later process of this node takes over its shards, so it leaves the fleet.
planned_stop_options make_planned_stop_options(node_settings const& settings,
                                               bool leaves);

// Limits that the document does not set keep their defaults.
http_server_limits to_server_limits(caller_limits const& limits);

} // namespace buckthornusher

#endif
