// Chooses the upstream of a service for a request without a key.
//
// Each answer from a node carries the load of the upstream beside it. A placement keeps
// the latest load report of each node, adds the requests that this node has sent since,
// and chooses the upstream with the earliest expected answer: round trip, wait for a
// slot, service time of the request's class there (service_times.hpp), and the cost of
// recent failures. Near-best choices are drawn at random, so that an upstream is not
// flooded by all nodes that saw it free at the same moment.
//
// The weight of a report decays once it is older than `full_weight_age`; an upstream of
// which nothing recent is known counts as loaded like the others. In a large fleet most
// reports are old, and an upstream must not seem free because it has not been asked.
//
// The round trip is the usual one for the distance plus the recent extra delay of
// messages at the node: a node whose processor or link is the bottleneck answers late
// although it reports free slots.
//
// An upstream without any report is assumed to be free and a little faster than the
// fastest known one, so that one that has just joined is tried soon. Until its first
// answer each further request is assumed to wait for the ones before: a node that is
// lost, or that all nodes try at once, gets one request of each.
//
// A cold upstream may start few requests per second. Until it is warm it counts as having
// only as many slots as these occupy, so that not every node queues requests there.
//
// An upstream may tell how long work takes on its VM now. Times are learnt without this
// slowness and expected with it, as far as the report is recent.
//
// A node that has not answered a probe is expected to answer later by as long as it has
// been silent.
//
// Built for upstreams of different speeds, upstreams that become slow, shed, fail part of
// their requests or join, a region whose slots are full while the other has room, and a
// node that is short of processor time.
//
// A large answer also waits for the link of the upstream's node and then needs its time
// there: the answer is expected after the later of slot and link. A link on which it
// would be late is full, and costs as much more as another region does, so that the
// request crosses to one that has room. An upstream beside this node has no link in
// between, and none in its report.
//
// Another region costs more than its delay, because the link between regions is narrow
// and its traffic is paid for. The penalty grows with the size of the request and its
// answer, so that a large exchange crosses only if the near region has no room within the
// time left.
//
// Cost: O(candidates) for a choice; memory is one entry for each upstream with a report.
#ifndef BUCKTHORNUSHER_PLACEMENT_HPP
#define BUCKTHORNUSHER_PLACEMENT_HPP

#include "buckthornusher/service_times.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

// The time for which the waiting requests of a rank occupy all slots. A rank is the
// urgency of a request; lower ranks are more urgent.
struct rank_backlog
{
    std::uint32_t rank = 0;
    duration time{0};
    friend bool operator==(rank_backlog const&, rank_backlog const&) = default;
};

// Returns the wait of a request of the rank until a slot is free for it: it waits for the
// queued requests of the same or a more urgent rank.
duration wait_of_rank(std::uint32_t rank, duration until_slot,
                      std::vector<rank_backlog> const& backlog);

// Load of an upstream, as reported by the node beside it.
struct upstream_load
{
    std::uint32_t slots = 0;   // current limit of requests at once
    std::uint32_t running = 0; // requests at the upstream
    std::uint32_t waiting = 0; // requests in the node's queue
    duration service{0};       // mean time of a request of one class; 0: unknown
    duration until_slot{0};    // until a slot is free, ignoring the waiting requests
    std::vector<rank_backlog> backlog; // most urgent rank first
    bool accepting = true;             // false: the upstream is draining or gone
    // While the upstream is cold: requests per second that may start there, and for how
    // long. 0: not bounded.
    double start_rate = 0;
    duration bounded_for{0};
    double slowness = 1;   // how long work takes on its VM now; part of `service`
    duration link_wait{0}; // until its node's link has carried the answers promised
    double link_rate = 0;  // bytes per second of large answers there; 0: not known
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
    duration silence{0}; // for which the node has not answered a probe
    // Its region is the only one for some other requests of the service. As its slots
    // fill, a request that can run elsewhere leaves them to those.
    bool contested = false;
    friend bool operator==(placement_candidate const&,
                           placement_candidate const&) = default;
};

struct placement_request
{
    double exchange_bytes = 0; // expected size of the request plus its answer
    std::uint32_t rank = 1;
    std::string request_class = {}; // requests of a class have similar service times
    bool large_answer = false;      // its answer's time on the link counts
    duration due_in{0};             // an answer after it is late
    friend bool operator==(placement_request const&, placement_request const&) = default;
};

struct placement_options
{
    duration near_round_trip = 1ms; // within a region
    duration far_round_trip = 42ms; // to another region
    duration domain_penalty = 2ms;
    duration region_penalty = 100ms;
    duration region_penalty_per_kib = 60ms; // of request and answer
    // A contested candidate costs nothing up to this share of its slots in use, and
    // `contested_cost` with all of them.
    double contested_from = 0.5;
    duration contested_cost = 300ms;
    duration full_weight_age = 500ms;  // age up to which a report counts in full
    duration report_half_life = 250ms; // of its weight afterwards
    duration default_service = 100ms;  // service time while none is known at all
    service_time_options service = {};
    // A node begins a request with a large answer at most this much before its link is
    // free for the answer (link_room.hpp).
    duration link_ahead = 100ms;
    double tie = 0.05; // relative distance to the best that counts as equal
    friend bool operator==(placement_options const&, placement_options const&) = default;
};

struct placement_choice
{
    std::string node;
    duration expected{0};    // time until the answer
    duration wait{0};        // part of it spent waiting for a slot
    bool load_known = false; // a recent load report exists
    bool full = false;       // load_known, and no slot is free or the link is full
    friend bool operator==(placement_choice const&, placement_choice const&) = default;
};

// ---- rounds of offers ----
//
// A request is offered to nodes in two rounds. In the first a node may queue it only for
// a short time, so that after a refusal the next node is asked soon. In the last round a
// few nodes may queue it until its deadline. Recent load reports save offers that would
// certainly be refused.
//
// Built for a service that is full on nearly all of its nodes.

struct offers_made
{
    bool last_round = false;    // nodes may queue it until its deadline
    std::size_t refused_by = 0; // nodes that refused or failed in this round
    bool refused = false;       // at least one node refused, in any round
    // Whether a request that was refused is offered to full nodes too (offer_memory.hpp).
    bool offer_if_full = true;
    friend bool operator==(offers_made const&, offers_made const&) = default;
};

enum class offer_step
{
    ask,        // send it to the chosen node
    last_round, // begin the last round, and choose again
    refuse,     // it cannot be served within its deadline, or enough nodes were asked
};

struct offer_options
{
    // Longest time for which a node may queue a request in the first round.
    duration first_round_max_wait = 60ms;
    std::size_t max_last_round_refusals = 3;
    friend bool operator==(offer_options const&, offer_options const&) = default;
};

// Returns the next step for a request. `left`: time until its deadline.
offer_step next_offer(placement_choice const& choice, offers_made const& made,
                      duration left, offer_options const& opts = {});

class placement
{
public:
    explicit placement(placement_options opts) : m_options(opts), m_times(opts.service) {}

    // An answer from the node carried its load, whose service time is that of the class.
    void on_load(std::string const& node, upstream_load const& load, instant now,
                 std::string const& request_class = {});
    // A request was sent to the node.
    void on_sent(std::string const& node);
    // The answer arrived, or is no longer awaited. `failed`: the request failed at the
    // upstream or in transit.
    void on_done(std::string const& node, bool failed, instant now);
    // A round trip to the node was measured, without the time spent at the node.
    void on_round_trip(std::string const& node, distance away, duration round_trip,
                       instant now);
    // Excludes a node that does not answer from the choice until `until`.
    void avoid(std::string const& node, instant until);

    // Returns the best candidate, or nothing if all are excluded. `draw`: a random number
    // that decides between near-best candidates.
    std::optional<placement_choice> choose(std::vector<placement_candidate> const& from,
                                           placement_request const& request,
                                           std::uint64_t draw, instant now) const;

    // Describes the node's latest report for logs: "running/slots+waiting~service ms,
    // reported wait of the least urgent rank, age ms, sent since", and the wait for its
    // link if that is reported.
    std::string describe(std::string const& node, instant now) const;

    // Removes all nodes but these.
    void keep_only(std::vector<std::string> const& nodes);

private:
    // A moving average that decays towards zero while no samples arrive.
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
        std::uint32_t sent_since = 0;  // requests of this node, not in the report yet
        std::uint32_t outstanding = 0; // requests of this node without an answer
        decaying_mean delay;           // of messages, seconds beyond the usual round trip
        decaying_mean failure;         // recent share of failures, 0 to 1
        instant avoid_until;
    };

    // What is assumed of candidates of which too little is known.
    struct assumed_load
    {
        double slowness = 1;   // of an upstream without a report
        double busy_share = 0; // of the slots
        double wait = 0;       // seconds
        double link_wait = 0;  // seconds
    };
    assumed_load assume(std::vector<placement_candidate> const& from,
                        placement_request const& request, instant now) const;
    double report_weight(entry const& e, instant now) const;
    duration usual_round_trip(distance away) const;
    duration cost_of_contest(double used_share) const;
    void add_link(placement_choice& choice, entry const& e,
                  placement_request const& request, duration service, double assumed_wait,
                  instant now) const;
    // Returns the penalty for another region.
    duration region_cost(double exchange_bytes) const;
    // Returns the usual round trip plus the penalties for distance and bytes.
    duration distance_cost(distance away, double exchange_bytes) const;
    std::optional<placement_choice> estimate(placement_candidate const& c,
                                             placement_request const& request,
                                             assumed_load const& assumed,
                                             instant now) const;

    placement_options m_options;
    std::map<std::string, entry> m_entries; // by node
    service_times m_times;
};

} // namespace buckthornusher

#endif
