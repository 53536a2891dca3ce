// To which upstream of a service a request without a key goes.
//
// Each answer from a node tells how busy the upstream beside it is; the part keeps the
// last word of each, adds what this node has sent since, and chooses the upstream whose
// answer is expected first: the way there and back, the wait for a slot, the time that
// it takes, and what failures have cost lately. A word grows old: after `fresh_for` it
// counts less and less, so that nobody is avoided for ever, nor flooded by all nodes that
// saw it free at the same moment, as near-best choices are drawn at random.
//
// The way is what it is by distance, and what messages have lately waited at the node
// beyond that: a node whose processor or link binds answers late though it tells of free
// slots.
//
// An upstream of which nothing is known is taken for a little faster than the fastest
// that is known, so that one that has just joined is tried soon and its speed learnt.
//
//   load it answers: upstreams of different speeds; one that turns slow, sheds or fails
//   part of its requests; one that joins; a region whose slots are full while the other
//   has room; a node that is short of processor.
//
// Another region costs more than its delay, as the link between regions is narrow and
// its bytes are paid for: the penalty grows with what the request and its answer weigh,
// so that a large exchange crosses only where the near region has no room in time.
//
// Cost: O(candidates) for a choice; memory is one entry for each upstream heard of.
#ifndef BUCKTHORNUSHER_PLACEMENT_HPP
#define BUCKTHORNUSHER_PLACEMENT_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

// For how long the waiting requests of a rank keep all slots.
struct rank_backlog
{
    std::uint32_t rank = 0;
    duration time{0};
    friend bool operator==(rank_backlog const&, rank_backlog const&) = default;
};

// How busy an upstream is, by the node beside it.
struct upstream_load
{
    std::uint32_t slots = 0;   // that are used at present
    std::uint32_t running = 0; // requests
    std::uint32_t waiting = 0;
    duration service{0};               // mean time of a request
    duration until_slot{0};            // until one is free, apart from those that wait
    std::vector<rank_backlog> backlog; // by falling urgency
    bool accepting = true;             // false: it is leaving, or gone
    friend bool operator==(upstream_load const&, upstream_load const&) = default;
};

enum class distance
{
    same_domain,
    same_region,
    other_region,
};

struct placement_candidate
{
    std::string node;
    distance away = distance::same_domain;
    std::uint32_t slots = 1;
    friend bool operator==(placement_candidate const&,
                           placement_candidate const&) = default;
};

struct placement_request
{
    double exchange_bytes = 0; // the likely size of the request and its answer together
    std::uint32_t rank = 1;
    friend bool operator==(placement_request const&, placement_request const&) = default;
};

struct placement_options
{
    duration near_round_trip = 1ms; // there and back within a region
    duration far_round_trip = 42ms; // to another region
    duration domain_penalty = 2ms;
    duration region_penalty = 100ms;
    duration region_penalty_per_kib = 60ms; // of an exchange
    duration full_weight_age = 500ms;       // a word on load counts in full
    duration default_service = 100ms;    // of a service time while none at all is known
    double unknown_service_factor = 0.8; // of the fastest known, where nothing is known
    double tie = 0.05;                   // choices this close to the best are drawn
    friend bool operator==(placement_options const&, placement_options const&) = default;
};

struct placement_choice
{
    std::string node;
    duration expected{0};    // until the answer
    duration wait{0};        // of it, for a slot
    bool load_known = false; // the node has told its load lately
    bool full = false;       // and that no slot is free
    friend bool operator==(placement_choice const&, placement_choice const&) = default;
};

// ---- how a request is offered ----
//
// First with little patience, so that one that is refused soon goes on to the next; then
// with all that there is, to a few. What the nodes have told lately saves offers that
// would surely be refused.
//
//   load it answers: a service that is full at nearly all of its nodes.

struct offers_made
{
    bool last_round = false;    // with all the patience there is
    std::size_t refused_by = 0; // nodes without room, or that failed, in this round
    bool refused = false;       // by some node, in any round
    bool offer_if_full = true;  // to offer it to nodes that are full (offer_memory.hpp)
    friend bool operator==(offers_made const&, offers_made const&) = default;
};

enum class offer_step
{
    ask,        // the choice
    last_round, // begin it, and choose anew
    refuse,     // it surely cannot be served in time, or enough have been asked
};

struct offer_options
{
    // How long an upstream may let a request wait while there are others to ask.
    duration first_round_max_wait = 60ms;
    std::size_t max_last_round_refusals = 3;
    friend bool operator==(offer_options const&, offer_options const&) = default;
};

// `left`: the request's time.
offer_step next_offer(placement_choice const& choice, offers_made const& made,
                      duration left, offer_options const& opts = {});

class placement
{
public:
    explicit placement(placement_options opts) : m_options(opts) {}

    // An answer from the node told its load.
    void on_load(std::string const& node, upstream_load const& load, instant now);
    // A request was sent to the node.
    void on_sent(std::string const& node);
    // Its answer has come, or is not awaited any more. `failed`: the upstream, or the way
    // to it, failed it.
    void on_done(std::string const& node, bool failed, instant now);
    // The way to the node and back has taken so long, without the time at the node.
    void on_round_trip(std::string const& node, distance away, duration round_trip,
                       instant now);
    // Nothing has been heard from the node for too long.
    void avoid(std::string const& node, instant until);

    // The best of the candidates, none if all are out. `draw` decides between those that
    // are about as good: any number.
    std::optional<placement_choice> choose(std::vector<placement_candidate> const& from,
                                           placement_request const& request,
                                           std::uint64_t draw, instant now) const;

    // What is known of the node, for logs: "running/slots+waiting~service ms, the wait
    // that it told for the least urgent, age ms, sent since".
    std::string describe(std::string const& node, instant now) const;

    // Forgets nodes that are not among those kept.
    void keep_only(std::vector<std::string> const& nodes);

private:
    // A mean of the latest samples that fades while none come.
    struct decaying_mean
    {
        double value = 0;
        instant updated;

        double at(instant now, double half_life) const;
        void add(double sample, double weight, double half_life, instant now);
    };

    struct entry
    {
        std::optional<upstream_load> load;
        instant load_received;
        std::uint32_t sent_since = 0;  // of ours, not in the load that was told
        std::uint32_t outstanding = 0; // of ours, all
        decaying_mean delay;           // of messages, seconds beyond the usual trip
        decaying_mean failure;         // share of late, 0 to 1
        instant avoid_until;
    };

    duration assumed_service(std::vector<placement_candidate> const& from) const;
    duration usual_round_trip(distance away) const;
    // The usual trip, and what its distance and bytes count as.
    duration distance_cost(distance away, double exchange_bytes) const;
    std::optional<placement_choice> estimate(placement_candidate const& c,
                                             placement_request const& request,
                                             duration assumed_service, instant now) const;

    placement_options m_options;
    std::map<std::string, entry> m_entries; // by node
};

} // namespace buckthornusher

#endif
