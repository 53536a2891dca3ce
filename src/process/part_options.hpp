// The options of a node's parts, as they follow from its settings and its document.
//
// Pure functions. What differs between our own form and the platform's is chosen here.
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

// Requires text that the settings' reader has accepted, "IP:port".
tcp_address to_address(std::string const& text);

caller_form make_caller_form(wire_form form);
upstream_form make_upstream_form(wire_form form);

// A document in the form in which operators write it.
checked<document> parse_in(wire_form form, std::string_view text);

lease_options make_lease(node_settings const& settings);
retry_budget_options make_retries(node_settings const& settings);

// `leaves`: no process follows at the node's place that could take its shards over.
planned_stop_options make_stop(node_settings const& settings, bool leaves);

// What the document leaves open stays as it is by default.
http_server_limits to_server_limits(caller_limits const& limits);

} // namespace buckthornusher

#endif
