// Internal types shared by the ingress's source files.
//
// ingress.cpp accepts and finishes requests, ingress_denials.cpp handles those that no
// route allows, ingress_regions.cpp keeps requests in their regions, ingress_sending.cpp
// chooses nodes and sends attempts, ingress_results.cpp handles the results of attempts.
#ifndef BUCKTHORNUSHER_PROCESS_INGRESS_IMPL_HPP
#define BUCKTHORNUSHER_PROCESS_INGRESS_IMPL_HPP

#include "process/ingress.hpp"

namespace buckthornusher
{

inline constexpr duration no_owner_retry_after = 300ms; // the shard may be owned by then

struct ingress::upstream_node
{
    std::string node;
    std::string endpoint;
    std::string region;
    distance network_distance = distance::same_domain;
    std::uint32_t slots = 1;
};

// Invariant: at most one of `local_request` and `sent_to` is set; each is cleared before
// the request is dispatched again.
struct ingress::pending_request
{
    pending_request_id id = 0;
    upstream_request request;
    http_reply reply;
    instant arrived;
    duration latency_bound{0}; // of the latency objective
    std::uint32_t max_attempts = 1;
    // The document by which its regions were determined last; 0: none.
    std::uint64_t regions_as_of = 0;
    attempt_history attempts;
    owner_search search;  // for the shard's owner
    std::string sent_to;  // the peer with the outstanding attempt; empty: none
    std::string endpoint; // of `sent_to`
    distance network_distance = distance::same_domain; // to `sent_to`
    instant sent_at;
    std::uint64_t attempt_id = 0; // of the last attempt; 0: a delayed dispatch is due
    std::optional<agent::request_id> local_request;
    request_progress progress;
    // Whether the current offer is to a node whose last load report had no free slot.
    bool offered_to_full_node = false;
    std::optional<instant> waiting_since;
    instant retry_at; // next dispatch of a waiting request; sooner on a replica change
    timer_service::timer_id timer;
    request_trace trace;
};

} // namespace buckthornusher

#endif
