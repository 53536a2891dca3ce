// The operators' configuration document for one environment, and the settings of one
// process. Both are TOML.
//
// Parsing validates the whole text. An unknown key, a missing key, and a value of the
// wrong type or out of range are errors; each names the line, the key, the value found
// and the values allowed. A text with any error is rejected as a whole; the result holds
// the errors found.
#ifndef BUCKTHORNUSHER_VERSION_CONFIG_HPP
#define BUCKTHORNUSHER_VERSION_CONFIG_HPP

#include "buckthornusher/time.hpp"

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

struct config_error
{
    std::uint32_t line = 0; // 1-based; 0: not tied to a line
    std::string key;        // such as "service.rounds.shards"
    std::string found;
    std::string allowed;
    friend bool operator==(config_error const&, config_error const&) = default;
};

// Returns, for example, "line 7: service.rounds.shards: found 0, allowed 1 to 65536".
std::string to_string(config_error const& error);

template <class T>
using checked = boost::outcome_v2::basic_result<T, std::vector<config_error>,
                                                boost::outcome_v2::policy::all_narrow>;

// The part of a request that holds its key.
enum class key_source
{
    path,   // the path segment after the route's prefix
    query,  // a query parameter
    header, // a header
};

// The requests of a route that may be executed more than once, and so be retried.
enum class repeat_rule
{
    by_method,    // requests with the method GET
    idempotent,   // all requests
    at_most_once, // no request
};

// A service that receives a weighted share of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
    friend bool operator==(weighted_service const&, weighted_service const&) = default;
};

// A rule that maps requests to services. Among the routes of a request's host whose
// prefixes match the request's path, the one with the longest prefix applies. Routes
// without a host apply to hosts that have no routes of their own.
struct route_config
{
    std::string host; // empty: hosts without routes of their own
    std::string prefix;
    std::vector<weighted_service> services; // one or more
    key_source source = key_source::path;
    std::string parameter; // name of the query parameter or header; unused for paths
    repeat_rule repeats = repeat_rule::by_method;
    duration timeout{0};            // maximum wait of a caller; 0: the service's deadline
    duration latency{0};            // latency objective; 0: the service's
    std::uint32_t rank = 1;         // priority; 0 is the highest
    std::uint32_t max_attempts = 3; // maximum number of upstreams tried for a request
    // Regions in which its requests may be served; empty: all.
    std::vector<std::string> regions;
    bool large_answers = false; // downloads: the answers' bytes bind, not their work
    friend bool operator==(route_config const&, route_config const&) = default;
};

// The type of a service's keys.
enum class key_form
{
    text,   // any text; a hash of the key selects the shard
    number, // 0 to 65,535; each shard is a contiguous range
};

struct service_config
{
    std::string name;
    bool keyed = true; // each key has one owner; if false, any target may run a request
    key_form keys = key_form::text;
    std::uint32_t shards = 64;     // for keyed services
    bool fenced = true;            // its upstreams reject requests with outdated epochs
    duration deadline = 1s;        // of requests that state none
    double availability = 0.999;   // objective: share of the requests answered
    duration latency = 19ms;       // objective: bound for 99 % of the answers
    std::uint32_t connections = 0; // maximum per upstream that reports none; 0: default
    double cold_rate = 0;          // requests per second to a cold upstream; 0: no bound
    duration cold_time{0};         // for which an upstream is cold after its start
    friend bool operator==(service_config const&, service_config const&) = default;
};

// Size and time limits for callers' requests. 0 selects the built-in limit.
struct caller_limits
{
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    duration header_timeout{0};
    duration idle_timeout{0};
    friend bool operator==(caller_limits const&, caller_limits const&) = default;
};

// A group of keys that migrates as a unit from the old setup, the system that served the
// keys before this one. The owner of each shard sends a department's requests either to
// the old setup or to its own upstream. As each key has one owner, that owner also
// serializes the switch between the two.
struct department_config
{
    std::string name;
    std::string service;      // a keyed service
    std::string key_prefix;   // common prefix of its keys
    bool handed_over = false; // true: served by this system, not by the old setup
    friend bool operator==(department_config const&, department_config const&) = default;
};

// Address of the old setup.
struct old_setup_config
{
    std::string address;
    int port = 0;
    std::uint32_t connections = 0; // maximum per node
    friend bool operator==(old_setup_config const&, old_setup_config const&) = default;
};

struct document
{
    std::string environment;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    caller_limits limits;
    std::vector<department_config> departments; // in migration order
    old_setup_config old_setup;                 // port 0: no old setup
    // Words that this version does not know. What they stand in is served as carefully as
    // possible; the rest of the document is not affected.
    std::vector<config_error> unknown_words;
    friend bool operator==(document const&, document const&) = default;
};

// Parses and validates a TOML document, including check_document().
checked<document> parse_document(std::string_view text);

// Returns the maximum time that a request of the service may take: its deadline or the
// longest timeout of its routes, whichever is greater.
duration max_request_time(document const& doc, service_config const& service);

// Returns the inconsistencies between parts of a document: routes to services that are
// not defined, duplicate pairs of host and prefix, and routes whose weights are all 0.
std::vector<config_error> check_document(document const& doc);

// The wire format used with callers, upstreams and operators.
enum class wire_form
{
    native,   // this project's: docs/CALLERS.md and docs/OPERATIONS.md
    platform, // the platform's: platform/
};

// Settings of one node. Addresses are "IP:port".
struct node_settings
{
    std::string name; // unique; a node at another location needs another name
    std::string region;
    std::string domain; // failure domain
    wire_form form = wire_form::native;
    std::string service;          // of the co-located upstream; may be empty
    std::string callers;          // HTTP from callers
    std::string operators;        // HTTP from operators and native upstreams
    std::string upstreams;        // the same for platform upstreams; may be empty
    std::string readiness;        // the same for readiness probes; may be empty
    std::string metrics;          // the same for metrics collectors; may be empty
    std::string peers;            // ZeroMQ from other nodes
    std::string advertised_peers; // address for other nodes; empty: `peers`
    std::string store;
    std::vector<std::string>
        seeds; // peers to ask while the store is down, "tcp://IP:port"
    duration report_interval = 1s; // between reports of an upstream
    duration grace = 20s;          // maximum time from the request to stop until exit
    // Maximum time for which an upstream that is draining is still sent new requests.
    duration drain_limit = 30s;
    duration config_bound = 15s; // maximum time until a new document is in force
    // Maximum time from an evacuation of a failure domain until its upstreams get no
    // requests; 0: evacuations are not read.
    duration evacuation_bound{0};
    // Bound on the requests that a cold upstream gets in any second: its service's
    // `cold_rate` times the ratio, plus the reserve.
    double cold_ratio = 1;
    double cold_reserve = 0;
    // Of this process; 0: not given, those of the smallest VM are assumed.
    std::uint64_t memory_bytes = 0;
    double link_bits = 0;        // per second, of the VM's link; 0: not known
    double retry_ratio = 0.2;    // retry budget: retries per request, over all nodes
    double retry_reserve = 50;   // retries allowed in a window in addition to the ratio
    duration retry_window = 10s; // over which the retry budget is counted
    std::string log_level = "info";
    friend bool operator==(node_settings const&, node_settings const&) = default;
};

// Parses settings. `overrides` are figures "section.key=number" that replace those of the
// text; one without a number changes nothing.
checked<node_settings> parse_settings(std::string_view text,
                                      std::vector<std::string> const& overrides = {});

} // namespace buckthornusher

#endif
