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
struct work_begin
{
    std::string attempt;   // the caller's id of the attempt
    std::string operation; // id of an order that must not run twice; empty: none
    std::string service;
    std::string shard;       // empty: no key
    std::uint64_t epoch = 0; // of the shard's owner
    bool read_only = true;
    instant at;
    friend bool operator==(work_begin const&, work_begin const&) = default;
};

enum class attempt_end
{
    answered,
    refused, // the answer says that it did not run
    unknown,
    cut_off,     // the connection broke after the request had left
    not_reached, // the request can't have left
    left,        // the caller went away, or waited no longer
};

// One try of a caller at one node.
struct caller_attempt
{
    std::string id;
    std::size_t node = 0;
    instant sent;
    instant ended;
    attempt_end end = attempt_end::answered;
    bool whole = true;     // an answer that is the request's own
    bool stopping = false; // the node said that it stops
    friend bool operator==(caller_attempt const&, caller_attempt const&) = default;
};

// A time in which a caller's connection to a node may break.
struct broken_time
{
    std::size_t node = 0;
    instant from;
    instant until;
    friend bool operator==(broken_time const&, broken_time const&) = default;
};

// A node told its configuration's number. Ordered by time for each life of a node.
struct version_seen
{
    std::size_t node = 0;
    std::uint32_t incarnation = 0;
    std::uint64_t number = 0;
    friend bool operator==(version_seen const&, version_seen const&) = default;
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

// No owner begins work on a shard after a later owner has begun.
violations check_one_owner(std::vector<work_begin> const& begins);
// What isn't read-only begins once: by operation, and by attempt.
violations check_not_twice(std::vector<work_begin> const& begins);
violations check_refusals(std::vector<caller_attempt> const& attempts,
                          std::vector<work_begin> const& begins);
violations check_answers(std::vector<caller_attempt> const& attempts);
violations check_not_cut_off(std::vector<caller_attempt> const& attempts,
                             std::vector<broken_time> const& excused);
// A node that stops answers what it has taken, or says that it has not run.
violations check_stops(std::vector<caller_attempt> const& attempts);
violations check_versions(std::vector<version_seen> const& seen);
// Begins beyond the first of an attempt are repeats of the product's own.
violations check_retries(std::vector<work_begin> const& begins,
                         retry_allowance const& allowance, std::size_t nodes,
                         duration length);

} // namespace buckthornusher::soak

#endif
