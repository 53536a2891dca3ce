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

struct route_config
{
    std::string prefix;
    key_source source = key_source::path;
    std::string parameter; // of the query or header
    friend bool operator==(route_config const&, route_config const&) = default;
};

struct service_config
{
    std::string name;
    bool keyed = true; // keys have one owner; otherwise any target may run a request
    std::uint32_t shards = 64; // of a keyed service
    bool fenced = true;        // its upstreams check epochs
    duration deadline = 1s;    // of a request that names none
    std::vector<route_config> routes;
    double availability = 0.999; // objective: share of requests answered
    duration latency = 19ms;     // objective: for 99 in 100
    friend bool operator==(service_config const&, service_config const&) = default;
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
    std::vector<service_config> services;       // by name
    std::vector<department_config> departments; // in the order of their handover
    old_setup_config old_setup;                 // port 0: there is none
    friend bool operator==(document const&, document const&) = default;
};

checked<document> parse_document(std::string_view text);

struct node_settings
{
    std::string name;
    std::string region;
    std::string domain;
    std::string address = "127.0.0.1";
    int caller_port = 0;   // HTTP from callers
    int operator_port = 0; // HTTP from operators and the upstreams beside the node
    int peer_port = 0;     // ZeroMQ
    std::string store_address = "127.0.0.1";
    int store_port = 0;
    std::vector<std::string>
        seeds; // peers to ask when the store is down, "tcp://IP:port"
    std::string log_level = "info";
    friend bool operator==(node_settings const&, node_settings const&) = default;
};

checked<node_settings> parse_settings(std::string_view text);

} // namespace buckthornusher

#endif
