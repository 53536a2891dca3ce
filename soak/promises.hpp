// What the product promises, checked on what callers and upstreams saw.
//
// Pure functions over records: the soak collects the records, tests break each promise.
// All processes of a run share one machine and one clock, so times are comparable.
// Cost: O(n log n) in the records.
#ifndef BUCKTHORNUSHER_SOAK_PROMISES_HPP
#define BUCKTHORNUSHER_SOAK_PROMISES_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher::soak
{

// An upstream began to work on a request.
struct execution_start
{
    std::string attempt;   // the caller's id of the attempt
    std::string operation; // id of an order that must not run twice; empty: none
    std::string service;
    std::string shard;       // empty: no key
    std::uint64_t epoch = 0; // of the shard's owner
    bool read_only = true;
    instant started;
    friend bool operator==(execution_start const&, execution_start const&) = default;
};

enum class attempt_outcome
{
    answered,
    refused, // the answer says that it did not run
    unknown,
    connection_broken, // the connection broke after the request had abandoned
    not_reached,       // the request can't have abandoned
    abandoned,         // the caller went away, or waited no longer
};

// One try of a caller at one node.
struct caller_attempt
{
    std::string id;
    std::size_t node = 0;
    instant sent;
    instant ended;
    attempt_outcome outcome = attempt_outcome::answered;
    bool body_matches = true; // an answer that is the request's own
    bool stopping = false;    // the node said that it stops
    friend bool operator==(caller_attempt const&, caller_attempt const&) = default;
};

// A time in which a caller's connection to a node may break.
struct node_outage
{
    std::size_t node = 0;
    instant from;
    instant until;
    friend bool operator==(node_outage const&, node_outage const&) = default;
};

// A node told its configuration's number. Ordered by time for each life of a node.
struct version_observation
{
    std::size_t node = 0;
    std::uint32_t life = 0;
    std::uint64_t number = 0;
    friend bool operator==(version_observation const&,
                           version_observation const&) = default;
};

struct retry_allowance
{
    double ratio = 0;   // of the attempts
    double reserve = 0; // in each window, for each node
    duration window = 10s;
    friend bool operator==(retry_allowance const&, retry_allowance const&) = default;
};

struct violation
{
    std::string promise;
    std::string subject; // request, key or node
    std::string detail;
    friend bool operator==(violation const&, violation const&) = default;
};

using violations = std::vector<violation>;

// No owner starts work on a shard after a later owner has begun.
violations check_single_owner(std::vector<execution_start> const& starts);
// What isn't read-only starts once: by operation, and by attempt.
violations check_executed_once(std::vector<execution_start> const& starts);
violations check_refusals(std::vector<caller_attempt> const& attempts,
                          std::vector<execution_start> const& starts);
violations check_answers(std::vector<caller_attempt> const& attempts);
violations check_connections(std::vector<caller_attempt> const& attempts,
                             std::vector<node_outage> const& excused);
// A node that stops answers what it has taken, or says that it has not run.
violations check_planned_stops(std::vector<caller_attempt> const& attempts);
violations check_versions(std::vector<version_observation> const& observations);
// Begins beyond the first of an attempt are repeats of the product's own.
violations check_retries(std::vector<execution_start> const& starts,
                         retry_allowance const& allowance, std::size_t nodes,
                         duration length);

} // namespace buckthornusher::soak

#endif
