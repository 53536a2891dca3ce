// Takes callers' requests, finds the upstream that is to run each, and brings back the
// whole answer.
//
// Any node takes any request. A request with a key goes to the owner of its shard, as
// this node's replica knows it; a stale table does no harm, as a node that does not own
// the shard says so and names the owner, and the request follows (owner_search.hpp).
// A request without a key goes where its answer is expected first (placement.hpp); a node
// that has no room says so without asking its upstream, and the request is offered to the
// next: first to each with little patience, then to the best with all that there is.
//
// A request is sent to a second upstream only if the first certainly did not run it, or
// if it may be repeated and both its route and the fleet's budget allow it. Each sending
// has an id of its own; an answer that matches none that is awaited is dropped.
#ifndef BUCKTHORNUSHER_PROCESS_INGRESS_HPP
#define BUCKTHORNUSHER_PROCESS_INGRESS_HPP

#include "buckthornusher/attempt_history.hpp"
#include "buckthornusher/burn.hpp"
#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/offer_memory.hpp"
#include "buckthornusher/owner_search.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "buckthornusher/retry_budget.hpp"
#include "buckthornusher/timer_service.hpp"
#include "connection/caller_form.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/metrics.hpp"
#include "process/peer_table.hpp"
#include "process/request_trail.hpp"
#include "version/route_table.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace buckthornusher
{

class event_loop;

namespace wire
{
class Reply;
} // namespace wire

struct ingress_options
{
    caller_form form;
    std::string self; // this node
    std::string region;
    std::string domain;
    std::string origin; // the service beside which this node stands; may be empty
    retry_budget_options retries;
};

class ingress
{
public:
    ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
            peer_table& table, metrics& counts, ingress_options opts);
    ~ingress();
    ingress(ingress const&) = delete;
    ingress& operator=(ingress const&) = delete;

    // A caller's request.
    void on_request(http_request request, http_reply reply);

    // ---- messages of the request path ----
    void on_reply(wire::Envelope const& message);
    // A peer's clock has become known. `restarted`: its process is another than before,
    // so that nothing that was sent to the old one is answered any more.
    void on_clock(std::string const& node, bool restarted, instant now);

    // `number`: the document's, for logs.
    void set_routes(std::shared_ptr<route_table const> routes, std::uint64_t number)
    {
        m_routes = std::move(routes);
        m_config_number = number;
    }
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }
    void set_retries(retry_budget_options opts) { m_retries.set_options(opts); }
    // From now on only those requests are taken that the stop takes.
    void begin_stopping(planned_stop const& stop) { m_stop = stop; }
    // Gives every caller its last answer, and takes nothing more.
    void finish_all();
    void on_replica_changed(instant now);
    void tick(instant now);

    std::size_t unfinished() const { return m_flights.size(); }
    burn_recorder const& burn() const { return m_burn; }
    route_table const* routes() const { return m_routes.get(); }
    std::uint64_t config_number() const { return m_config_number; }

private:
    struct flight; // a caller's request and how far it has come
    struct place;  // a node beside an upstream
    struct placed_offer;
    using flight_id = std::uint64_t;

    flight& begin(http_request request, http_reply const& reply, caller_facts facts,
                  route_match const& match, instant now);
    void on_gone(flight_id id);
    void dispatch(flight& f, instant now);
    void dispatch_keyed(flight& f, instant now);
    void dispatch_unkeyed(flight& f, instant now);
    placed_offer next_place(flight& f, std::vector<placement_candidate>& from,
                            instant now);
    place place_of(std::string const& service, std::string const& node) const;
    void make_offer(flight& f, placement_choice const& choice, place const& where,
                    std::size_t of, instant now);
    void send_to(flight& f, place const& where, instant now);
    void run_here(flight& f);
    void wait(flight& f, instant now);
    void wait_too_long(flight& f, instant now);
    void note_offer(flight& f, order_result const& result);
    void note_trip(flight const& f, wire::Reply const& reply, instant now);
    void on_result(flight& f, order_result result, instant now);
    void on_answered(flight& f, order_answered& result, instant now);
    void on_refused(flight& f, order_refused const& result, instant now);
    void on_unknown(flight& f, order_unknown const& result, instant now);
    void on_moved(flight& f, order_moved const& moved, instant now);
    bool take_repeat(flight& f, double kept_share, instant now);
    bool take_back(flight& f, instant now);
    void dispatch_later(flight& f, instant now);
    void end_sending(flight& f, bool failed, instant now);
    void note_result(flight& f, order_result const& result,
                     std::string const& from) const;
    void on_silent(std::string const& node, instant now);
    void on_lost(std::string const& node, bool certainly, instant now);
    bool takes(instant deadline, instant now) const;
    duration stopping_retry() const;
    void cancel_sending(flight const& f);
    void note_answer(flight const& f, http_response const& response);
    double exchange_bytes(flight const& f) const;
    void refuse_early(http_request const& request, http_reply const& reply,
                      std::string const& service, reason why, duration after,
                      instant now);
    http_response refusal_response(refusal const& r) const;
    void refuse(flight& f, reason why, duration retry_after);
    void give_up(flight& f, reason why);
    void finish(flight& f, http_response response, outcome_kind kind, reason why);
    void on_deadline(flight_id id);
    void refresh_places();
    distance distance_to(member_record const& m) const;
    std::vector<placement_candidate> begin_last_round(flight& f);
    std::vector<placement_candidate> candidates(flight const& f) const;
    flight* find(flight_id id);

    event_loop& m_loop;
    coordinator* m_coordinator;
    agent& m_agent;
    peer_socket& m_peers;
    peer_table& m_table;
    metrics& m_metrics;
    ingress_options m_options;
    std::shared_ptr<route_table const> m_routes;
    std::uint64_t m_config_number = 0;
    request_sampler m_sampler;
    std::map<flight_id, std::unique_ptr<flight>> m_flights;
    std::map<std::uint64_t, flight_id> m_sendings; // whose answers are awaited from peers
    std::set<flight_id> m_waiting; // for an owner, an upstream or a peer's clock
    // The nodes beside the upstreams of each service, by the replica's members.
    std::map<std::string, std::vector<place>> m_places;
    std::uint64_t m_places_change_count = 0;
    placement m_placement;
    offer_memory m_offers;
    retry_budget m_retries;
    burn_recorder m_burn;
    std::mt19937_64 m_random;
    flight_id m_next_id = 1;
    std::optional<planned_stop> m_stop;
    bool m_finished = false; // the last answers were given
    // Bytes of a request and its answer, means over the latest ones, by class.
    std::map<std::string, double> m_exchange_bytes;
};

} // namespace buckthornusher

#endif
