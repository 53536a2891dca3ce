// What the ingress's source files share: a request on its way, and where it may go.
//
// The parts stand in files by subject: ingress.cpp (arrival, ends), ingress_sending.cpp
// and ingress_results.cpp.
#ifndef BUCKTHORNUSHER_PROCESS_INGRESS_IMPL_HPP
#define BUCKTHORNUSHER_PROCESS_INGRESS_IMPL_HPP

#include "process/ingress.hpp"

namespace buckthornusher
{

inline constexpr duration no_owner_retry_after = 300ms; // when there may be an owner

struct ingress::upstream_node
{
    std::string node;
    std::string endpoint;
    distance network_distance = distance::same_domain;
    std::uint32_t slots = 1;
};

// What the next offer of a request is to be; no choice: no node is known that takes it.
struct ingress::offer_choice
{
    std::optional<placement_choice> choice;
    offer_step step = offer_step::ask;
};

// Invariant: at most one of `local` and `sent_to` is set; each is cleared before the
// request is dispatched again.
struct ingress::pending_request
{
    pending_request_id id = 0;
    order request;
    http_reply reply;
    instant arrived;
    duration latency_bound{0}; // of the objective
    std::uint32_t max_attempts = 1;
    attempt_history attempts;
    owner_search search; // of the shard's owner
    std::string sent_to; // an answer is awaited from this node
    std::string endpoint;
    distance network_distance = distance::same_domain; // of the node that it was sent to
    instant sent_at;
    std::uint64_t attempt_id = 0; // of the answer that is awaited
    std::optional<agent::order_id> local_request;
    std::set<std::string> tried; // nodes without room or that failed it, in this round
    bool last_round = false;     // offers with all the patience there is
    bool refused = false;        // by a node without room
    bool offered_to_full_node =
        false;               // the present offer is to a node that said it is full
    duration retry_after{0}; // the shortest that a node named
    std::optional<instant> waiting_since;
    instant retry_at; // while it waits, unless there is news
    timer_service::timer_id timer;
    request_trace trace;
};

} // namespace buckthornusher

#endif
