// The operators' document for one environment, and a process's settings; both TOML.
//
// Parsing checks everything: an unknown key, a value of the wrong type or out of range
// and a missing key are errors that name the line, the key, what was found and what is
// allowed. A document with an error is refused whole.
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
    std::uint32_t line = 0; // 0: the document as a whole
    std::string key;        // such as "service.rounds.shards"
    std::string found;
    std::string allowed;
    friend bool operator==(config_error const&, config_error const&) = default;
};

// "line 7: service.rounds.shards: found 0, allowed 1 to 65536"
std::string to_string(config_error const& error);

template <class T>
using checked = boost::outcome_v2::basic_result<T, std::vector<config_error>,
                                                boost::outcome_v2::policy::all_narrow>;

// Where a request's key is found.
enum class key_source
{
    path,   // the path's segment after the prefix
    query,  // a query parameter
    header, // a header
};

// Which of a route's requests may run more than once.
enum class repeat_rule
{
    by_method,    // those with the method GET
    idempotent,   // all
    at_most_once, // none
};

// One of the services among which a route divides its requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
    friend bool operator==(weighted_service const&, weighted_service const&) = default;
};

// Of the routes of a host the one with the longest prefix that begins the path counts; a
// route without a host is for those hosts that have no routes of their own.
struct route_config
{
    std::string host; // empty: any
    std::string prefix;
    std::vector<weighted_service> services; // one or more
    key_source source = key_source::path;
    std::string parameter; // of the query or header
    repeat_rule repeats = repeat_rule::by_method;
    duration timeout{0};    // the longest that a caller waits; 0: the service's deadline
    duration latency{0};    // objective; 0: the service's
    std::uint32_t rank = 1; // 0 is the most urgent
    std::uint32_t max_attempts = 3; // upstreams to which one request may be sent
    friend bool operator==(route_config const&, route_config const&) = default;
};

// What keys are.
enum class key_form
{
    text,   // any; hashed to a shard
    number, // 0 to 65,535; shards are ranges
};

struct service_config
{
    std::string name;
    bool keyed = true; // keys have one owner; otherwise any target may run a request
    key_form keys = key_form::text;
    std::uint32_t shards = 64;     // of a keyed service
    bool fenced = true;            // its upstreams check epochs
    duration deadline = 1s;        // of a request that names none
    double availability = 0.999;   // objective: share of requests answered
    duration latency = 19ms;       // objective: for 99 in 100
    std::uint32_t connections = 0; // that an upstream takes from all; 0: as it announces
    friend bool operator==(service_config const&, service_config const&) = default;
};

// What callers may send, and how long they may take; 0: the built-in limit.
struct caller_limits
{
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    duration header_timeout{0};
    duration idle_timeout{0};
    friend bool operator==(caller_limits const&, caller_limits const&) = default;
};

// A part of the organisation whose keys are handed over from the old setup as one. The
// owner of each shard sends a department's requests to the old setup or to its own
// upstream, so the one owner of a key also orders the change between the two.
struct department_config
{
    std::string name;
    std::string service;    // a keyed one
    std::string key_prefix; // of its keys
    bool handed_over = false;
    friend bool operator==(department_config const&, department_config const&) = default;
};

// Where the old setup answers.
struct old_setup_config
{
    std::string address;
    int port = 0;
    std::uint32_t connections = 0; // for each node
    friend bool operator==(old_setup_config const&, old_setup_config const&) = default;
};

struct document
{
    std::string environment;
    std::vector<service_config> services; // by name
    std::vector<route_config> routes;
    caller_limits limits;
    std::vector<department_config> departments; // in the order of their handover
    old_setup_config old_setup;                 // port 0: there is none
    friend bool operator==(document const&, document const&) = default;
};

checked<document> parse_document(std::string_view text);

// The longest time that a request of the service may have.
duration max_request_time(document const& doc, service_config const& service);

// What is wrong between the parts of a document: routes to services that it lacks, the
// same place twice, a split without weight.
std::vector<config_error> check_document(document const& doc);

// The form in which callers, upstreams and operators speak.
enum class wire_form
{
    native,   // ours: docs/CALLERS.md and docs/OPERATIONS.md
    platform, // the platform's: platform/
};

// Addresses are "IP:port".
struct node_settings
{
    std::string name; // one for each place: a node elsewhere needs another
    std::string region;
    std::string domain;
    wire_form form = wire_form::native;
    std::string service;   // of the upstream beside the node; may be empty
    std::string callers;   // HTTP from callers
    std::string operators; // HTTP from operators, and in our form from upstreams
    std::string upstreams; // the same for upstreams in the platform's form; may be empty
    std::string readiness; // the same for who asks whether to send callers here
    std::string metrics;   // the same for collectors of metrics; may be empty
    std::string peers;     // ZeroMQ
    std::string advertised_peers; // where other nodes reach `peers`; empty: there
    std::string store;
    std::vector<std::string>
        seeds;                     // peers to ask when the store is down, "tcp://IP:port"
    duration report_interval = 1s; // of upstreams
    duration grace = 20s;          // between the request to stop and the end
    // After an upstream has said that it is leaving nothing new is sent to it for longer.
    duration drain_limit = 30s;
    duration config_bound = 15s; // a new document is to be in force within it
    double retry_ratio = 0.2;    // repeats for each request, over all nodes
    double retry_reserve = 50;   // and besides, in a window
    duration retry_window = 10s;
    std::string log_level = "info";
    friend bool operator==(node_settings const&, node_settings const&) = default;
};

checked<node_settings> parse_settings(std::string_view text);

} // namespace buckthornusher

#endif
