// Decides what a node believes of an upstream beside it that has not reported in time.
//
// Absence proves nothing. An upstream whose report is late may be running; one that
// refuses, resets or ignores connections may be overloaded. Keys that were granted to an
// upstream are therefore free only when
//   - the upstream has released them in a report,
//   - a later incarnation of it has reported, which holds nothing, or
//   - all grants that any process of this node may have given it have expired.
// Routing may act on less: if a belief about an upstream without keys is wrong, requests
// take a detour until its next report, and nothing else.
//
//   switch (standing_of({.since_report = now - reported_at, ...}, report_interval)) ...
//
// Pure functions on durations of one process's clock. Cost: O(1).
#ifndef BUCKTHORNUSHER_UPSTREAM_LIVENESS_HPP
#define BUCKTHORNUSHER_UPSTREAM_LIVENESS_HPP

#include "buckthornusher/time.hpp"

namespace buckthornusher
{

struct upstream_evidence
{
    duration since_report{0};    // since its latest report
    duration since_answer{0};    // since its latest answer to a request
    duration grants_left{0};     // until the last of its grants has certainly expired
    bool departed = false;       // it has announced its exit and reports no more
    bool connect_failed = false; // the latest attempt to connect, for whatever reason
    friend bool operator==(upstream_evidence const&, upstream_evidence const&) = default;
};

enum class upstream_standing
{
    serving, // gets shards and requests
    ending,  // keeps the shards it has and gets no further ones
    gone,    // holds nothing; its shards may be given to others
};

// Never `gone` while `grants_left` is positive.
upstream_standing standing_of(upstream_evidence const& evidence,
                              duration report_interval);

// Whether it has neither reported nor answered for a while. Of use for routing only.
bool is_silent(upstream_evidence const& evidence, duration report_interval);

// Returns the time from the start of a process within which an upstream that an earlier
// process of the node knew counts as serving although it has not reported. Not less than
// `max_lease`: the earlier process may have granted it keys until the end of a lease.
duration first_report_wait(duration report_interval, duration max_lease);

} // namespace buckthornusher

#endif
