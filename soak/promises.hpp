// Checks of the system's guarantees ("promises") on the records of callers and upstreams.
//
// The checks are pure functions over records. The soak collects the records; the tests
// pass records that break each promise. All processes of a run share one machine and one
// clock, so their times are comparable. Cost: O(n log n) in the number of records.
#ifndef BUCKTHORNUSHER_SOAK_PROMISES_HPP
#define BUCKTHORNUSHER_SOAK_PROMISES_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher::soak
{

// The start of a request at an upstream, from the upstream's journal.
struct execution_start
{
    std::string attempt;   // id that the caller gave the attempt
    std::string operation; // operation id, which may start only once; empty: none
    std::string service;
    std::string shard;       // empty: request without a key
    std::uint64_t epoch = 0; // of the owner that sent the request; 0: none
    bool read_only = true;
    instant started;
    friend bool operator==(execution_start const&, execution_start const&) = default;
};

enum class attempt_outcome
{
    answered,
    refused,           // the response states that the request did not run
    unknown,           // the response states that the request may have run
    connection_broken, // after the request was sent
    not_reached,       // the request was not sent
    abandoned,         // the caller cancelled the request or its timeout passed
};

// One request of a caller to one node.
struct caller_attempt
{
    std::string id;
    std::size_t node = 0;
    instant sent;
    instant ended;
    attempt_outcome outcome = attempt_outcome::answered;
    bool body_matches = true; // the body is the answer to this request
    bool stopping = false;    // the response gives the reason "stopping"
    friend bool operator==(caller_attempt const&, caller_attempt const&) = default;
};

// An interval in which callers' connections to a node may break.
struct node_outage
{
    std::size_t node = 0;
    instant from;
    instant until;
    friend bool operator==(node_outage const&, node_outage const&) = default;
};

// A configuration number that a node reported. Ordered by time within each incarnation
// of a node.
struct version_observation
{
    std::size_t node = 0;
    std::uint32_t incarnation = 0;
    std::uint64_t number = 0;
    friend bool operator==(version_observation const&,
                           version_observation const&) = default;
};

// The retry budget of the nodes.
struct retry_allowance
{
    double ratio = 0;   // retries per attempt
    double reserve = 0; // further retries per window and node
    duration window = 10s;
    friend bool operator==(retry_allowance const&, retry_allowance const&) = default;
};

struct violation
{
    std::string promise;
    std::string subject; // attempt, operation, shard or node
    std::string detail;
    friend bool operator==(violation const&, violation const&) = default;
};

using violations = std::vector<violation>;

// No request of a shard starts under an older epoch than one that started before it.
violations check_single_owner(std::vector<execution_start> const& starts);
// A request that is not read-only starts at most once, by its operation id or, without
// one, by its attempt.
violations check_executed_once(std::vector<execution_start> const& starts);
// An attempt that was refused has not started at an upstream.
violations check_refusals(std::vector<caller_attempt> const& attempts,
                          std::vector<execution_start> const& starts);
// Each answer carries the body of its own request.
violations check_answers(std::vector<caller_attempt> const& attempts);
// A connection to a node breaks only during an outage of that node.
violations check_connections(std::vector<caller_attempt> const& attempts,
                             std::vector<node_outage> const& excused);
// A node in a planned stop answers each request that it accepted, or refuses it as not
// run; it reports no outcome as unknown.
violations check_planned_stops(std::vector<caller_attempt> const& attempts);
// The configuration number never falls within an incarnation of a node.
violations check_versions(std::vector<version_observation> const& observations);
// Each start of an attempt beyond its first is a retry by a node. Their number stays
// within the allowance of all nodes over `length`.
violations check_retries(std::vector<execution_start> const& starts,
                         retry_allowance const& allowance, std::size_t nodes,
                         duration length);

} // namespace buckthornusher::soak

#endif
