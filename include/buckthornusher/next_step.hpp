// Decides what becomes of a request that has no attempt outstanding: on its arrival,
// after a refusal or a redirect, after the loss of a node, and after a wait.
//
// Values in, an action out; the ingress gathers the ones and carries out the other. The
// candidates for a request without a key pass these vetoes, in this order:
//
//   regions      it is outside the request's regions (region_rule.hpp)
//   reach        messages to its node cannot be dated, as the node's clock is not known
//   evacuation   its failure domain is evacuated; the ingress leaves these out
//                before (refresh_upstream_nodes)
//   refusal      it refused or failed the request in this round of offers
//
// Among the others the earliest expected answer wins (placement.hpp), whose terms are
// what a cold upstream may start, room, link and urgency. A request with a key has one
// candidate, the owner of its shard, and the vetoes but the last; while an evacuated
// owner hands its shard over, the request waits.
//
// Built for a service that is full on nearly all of its nodes, for nodes that come and
// go, and for upstreams that only some requests may use.
//
// Cost: O(candidates) for each round that a decision begins, at most two.
#ifndef BUCKTHORNUSHER_NEXT_STEP_HPP
#define BUCKTHORNUSHER_NEXT_STEP_HPP

#include "buckthornusher/offer_memory.hpp"
#include "buckthornusher/outcome.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/region_rule.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace buckthornusher
{

// ---- values in ----

// What has been done for a request.
struct request_progress
{
    std::set<std::string> tried;  // nodes that refused or failed it in this round
    bool last_round = false;      // offers may wait until the request's deadline
    bool refused = false;         // by an overloaded node, in any round
    bool refused_outside = false; // by a node outside its regions, in any round
    duration retry_after{0};      // the minimum over all refusals
    friend bool operator==(request_progress const&, request_progress const&) = default;
};

struct step_request
{
    region_bound regions;
    instant deadline;
    bool only_evacuated = false; // no upstream but in evacuated domains
    // Set if this node stops too soon to let the request wait: the retry hint.
    std::optional<duration> stopping;
    friend bool operator==(step_request const&, step_request const&) = default;
};

// An upstream that can be chosen, as its node is not leaving and it is not draining.
struct step_candidate
{
    placement_candidate place;
    std::string region;
    bool here = false;        // beside this node
    bool unreachable = false; // its node's clock was asked for and is not known yet
    bool evacuated = false;
    friend bool operator==(step_candidate const&, step_candidate const&) = default;
};

// The owner of a request's shard.
struct step_owner
{
    std::string node;
    std::string region;
    bool here = false;                    // this node
    bool evacuated = false;               // its domain is, and no request may be sent
    std::optional<std::string> successor; // the region to which the shard is moving
    friend bool operator==(step_owner const&, step_owner const&) = default;
};

struct step_options
{
    duration evacuated_retry_after = std::chrono::milliseconds(300);
    offer_options offers;
    region_options regions;
    // Interval at which a waiting request is decided on again if nothing changes.
    duration waiting_retry_interval = std::chrono::milliseconds(100);
};

// ---- an action out ----

// How an offer was chosen, and until when the node may let the request wait.
struct offer_terms
{
    placement_choice choice;
    std::size_t candidates = 0;
    instant start_until;
    friend bool operator==(offer_terms const&, offer_terms const&) = default;
};

// If the node's clock is not known, it must be asked for, and the step be decided again
// with the candidate marked as unreachable; a keyed request waits instead. A last round
// begins without marks.
struct send_to_node
{
    std::string node;
    std::optional<offer_terms> terms; // none for a keyed request
    friend bool operator==(send_to_node const&, send_to_node const&) = default;
};

struct run_here
{
    std::optional<offer_terms> terms; // none for a keyed request
    friend bool operator==(run_here const&, run_here const&) = default;
};

struct wait_until // or until the members or owners change
{
    instant at;
    friend bool operator==(wait_until const&, wait_until const&) = default;
};

struct refuse_with
{
    outcome_reason reason = outcome_reason::none;
    duration retry_after{0};
    std::string why; // set for outcome_reason::no_region
    friend bool operator==(refuse_with const&, refuse_with const&) = default;
};

using step_action = std::variant<send_to_node, run_here, wait_until, refuse_with>;

struct next_step
{
    step_action action;
    bool begins_last_round = false; // forget who refused it before the action
    friend bool operator==(next_step const&, next_step const&) = default;
};

// ---- the decision ----

enum class step_veto
{
    none,
    region,
    reach,
    evacuation,
    refusal,
};

// Returns the first veto against the candidate.
step_veto veto_of(step_candidate const& c, region_bound const& regions,
                  std::set<std::string> const& tried);

// What is known of the upstreams of a request without a key.
struct step_upstreams
{
    std::vector<step_candidate> candidates;
    instant known_since; // when the service's first upstream became known
    friend bool operator==(step_upstreams const&, step_upstreams const&) = default;
};

// Returns what of the upstreams is inside the regions and what is outside.
region_supply supply_of(step_upstreams const& upstreams, region_bound const& regions);

// Returns the next step of a request without a key. `seed`: a random number, from which
// all draws are made.
next_step next_unkeyed_step(step_request const& request, request_progress const& progress,
                            placement_request const& cost,
                            step_upstreams const& upstreams, placement const& loads,
                            offer_memory const& memory, std::uint64_t seed, instant now,
                            step_options const& opts = {});

// Returns the next step of a request with a key. `owner`: empty if none is known.
next_step next_keyed_step(step_request const& request,
                          std::optional<step_owner> const& owner,
                          region_supply const& supply, instant now,
                          step_options const& opts = {});

// Returns the step of a request that cannot be sent yet.
step_action wait_or_refuse(step_request const& request, instant now,
                           step_options const& opts = {});

} // namespace buckthornusher

#endif
