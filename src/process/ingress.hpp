// Accepts callers' requests, routes each to an upstream and returns the complete
// response.
//
// Any node accepts any request. A keyed request goes to the owner of its shard according
// to this node's replica of the assignments. A stale replica is harmless: a node that
// does not own the shard answers with the owner that it knows, and the request is
// redirected there (owner_search.hpp). An unkeyed request goes to the node with the
// earliest expected answer (placement.hpp). An overloaded node refuses without contacting
// its upstream, and the request is offered to the next node. In the first round over the
// nodes an offer has a short limit on the wait for a slot; in the second, last round it
// has all of the request's remaining time.
//
// A request is sent to a second upstream only if it certainly did not run at the first,
// or if it is repeatable and both its route and the fleet's retry budget allow a retry.
// Each attempt has an id of its own; an answer that matches no outstanding attempt is
// dropped.
//
// Not thread-safe: all calls come from the event loop's thread.
#ifndef BUCKTHORNUSHER_PROCESS_INGRESS_HPP
#define BUCKTHORNUSHER_PROCESS_INGRESS_HPP

#include "buckthornusher/attempt_history.hpp"
#include "buckthornusher/burn.hpp"
#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/link_intake.hpp"
#include "buckthornusher/next_step.hpp"
#include "buckthornusher/offer_memory.hpp"
#include "buckthornusher/owner_search.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "buckthornusher/retry_budget.hpp"
#include "buckthornusher/run_end.hpp"
#include "buckthornusher/timer_service.hpp"
#include "connection/caller_form.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/metrics.hpp"
#include "process/peer_table.hpp"
#include "process/request_trace.hpp"
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
    std::string self; // this node's name
    std::string region;
    std::string domain;
    std::string origin; // the service whose upstream is on this VM; may be empty
    retry_budget_options retries;
    region_options regions;
    double link_bytes_per_second = 0; // of the VM's link; 0: not known
};

class ingress
{
public:
    ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
            peer_table& table, metrics& counts, ingress_options opts);
    ~ingress();
    ingress(ingress const&) = delete;
    ingress& operator=(ingress const&) = delete;

    // Handles a caller's request; `reply` receives one response, unless the caller
    // disconnects first.
    void on_request(http_request request, http_reply reply);

    // ---- messages of the request path ----
    void on_reply(wire::Envelope const& message);
    // Handles a peer's clock reading. `restarted`: the peer runs as a new process, which
    // will not answer requests sent to the previous one.
    void on_clock(std::string const& node, bool restarted, instant now);

    // `number`: the number of the configuration document, for logs.
    void set_routes(std::shared_ptr<route_table const> routes, std::uint64_t number);
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }
    void set_retries(retry_budget_options opts) { m_retries.set_options(opts); }
    // Accepts only requests that `stop` allows from now on.
    void begin_stopping(planned_stop const& stop) { m_stop = stop; }
    // Answers every pending request and refuses all later ones.
    void finish_all();
    void on_replica_changed(instant now);
    void tick(instant now);

    std::size_t unfinished() const { return m_pending.size() + m_unverified.size(); }
    burn_recorder const& burn() const { return m_burn; }
    route_table const* routes() const { return m_routes.get(); }
    std::uint64_t config_number() const { return m_config_number; }
    link_intake const& arriving() const { return m_link_intake; }
    std::uint64_t link_intake_refusals() const { return m_link_intake_refusals; }

private:
    struct pending_request; // a caller's request and its progress
    // A request that the present configuration does not allow, held until that is known
    // to be the newest one.
    struct unverified_request
    {
        http_request request;
        http_reply reply;
        instant arrived;
        instant until; // then it is refused
    };
    struct upstream_node; // a node with a local upstream
    using pending_request_id = std::uint64_t;

    pending_request& create_pending_request(http_request request, http_reply const& reply,
                                            caller_facts facts, route_match const& match,
                                            instant arrived);
    void route(http_request request, http_reply const& reply, instant arrived);
    void deny(http_request request, http_reply const& reply, std::string const& service,
              outcome_reason reason, instant arrived);
    void hold(http_request request, http_reply const& reply, instant arrived,
              instant now);
    void refuse_unverified(http_request const& request, http_reply const& reply,
                           instant now);
    void review_unverified(instant now);
    void on_caller_gone(pending_request_id id);
    void dispatch(pending_request& pending, instant now);
    void dispatch_keyed(pending_request& pending, instant now);
    void dispatch_unkeyed(pending_request& pending, instant now);
    void renew_regions(pending_request& pending) const;
    void note_known_services(instant now);
    step_options steps() const;
    step_request limits_of(pending_request const& pending, instant now);
    step_upstreams known_upstreams(pending_request const& pending, instant now);
    region_supply known_supply(pending_request const& pending, instant now);
    void carry_out(pending_request& pending, step_action const& action, instant now);
    void refuse_outside(pending_request& pending, std::string const& why, duration after,
                        instant now);
    upstream_node upstream_node_of(std::string const& service,
                                   std::string const& node) const;
    void make_offer(pending_request& pending, std::string const& node,
                    offer_terms const& terms, instant now);
    void send_to(pending_request& pending, upstream_node const& target, instant now);
    bool refuse_without_link(pending_request& pending, instant now);
    duration spread(pending_request const& pending, duration retry_after, instant now);
    void run_locally(pending_request& pending);
    void wait(pending_request& pending, instant until, instant now);
    bool only_evacuated(std::string const& service, instant now);
    void refuse_after_long_wait(pending_request& pending, instant now);
    void record_offer_result(pending_request& pending, request_result const& result);
    void record_round_trip(pending_request const& pending, wire::Reply const& reply,
                           instant now);
    void on_result(pending_request& pending, request_result result, instant now);
    void on_answered(pending_request& pending, request_answered& result, instant now);
    void on_refused(pending_request& pending, request_refused const& result, instant now);
    void on_unknown(pending_request& pending, request_unknown const& result, instant now);
    void on_moved(pending_request& pending, request_moved const& moved, instant now);
    bool acquire_retry(pending_request& pending, double reserved_share, instant now);
    bool abandon_attempt(pending_request& pending, attempt_loss loss, instant now);
    void dispatch_later(pending_request& pending, instant now);
    void end_attempt(pending_request& pending, bool failed, instant now);
    void note_load(std::string const& node, upstream_load load,
                   pending_request const* answered, instant now);
    void trace_result(pending_request& pending, request_result const& result,
                      std::string const& from) const;
    void on_peer_silent(std::string const& node, instant now);
    void on_peer_lost(std::string const& node, bool confirmed, instant now);
    bool accepts(instant deadline, instant now) const;
    duration stopping_retry_after() const;
    void cancel_attempt(pending_request const& pending);
    void record_exchange_size(pending_request const& pending,
                              http_response const& response);
    double exchange_bytes(pending_request const& pending) const;
    void refuse_early(http_request const& request, http_reply const& reply,
                      std::string const& service, outcome_reason reason, duration after,
                      instant now);
    http_response refusal_response(refusal const& r) const;
    void refuse(pending_request& pending, outcome_reason reason, duration retry_after);
    void finish_unknown(pending_request& pending, outcome_reason reason);
    void finish(pending_request& pending, http_response response, outcome_kind kind,
                outcome_reason reason);
    void on_deadline(pending_request_id id);
    void refresh_upstream_nodes();
    distance distance_to(member_record const& m) const;
    pending_request* find(pending_request_id id);

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
    std::map<pending_request_id, std::unique_ptr<pending_request>> m_pending;
    // Attempts at peers that have not been answered, by attempt id.
    std::map<std::uint64_t, pending_request_id> m_attempts;
    std::map<pending_request_id, unverified_request> m_unverified;
    std::uint64_t m_reviewed_config_number = 0; // when m_unverified was last reviewed
    std::set<pending_request_id> m_waiting; // for an owner, an upstream or a peer's clock
    // The nodes with a local upstream of each service, from the replica's members.
    std::map<std::string, std::vector<upstream_node>> m_upstream_nodes;
    std::uint64_t m_upstream_nodes_change_count = 0;
    bool m_binds_regions = false; // m_routes binds a route to regions
    // By service: regions that are the only ones for some of its requests.
    std::map<std::string, std::set<std::string>> m_contested;
    // When the first upstream of each service became known.
    std::map<std::string, instant> m_known_since;
    std::map<std::string, instant> m_next_region_log; // by service
    std::uint64_t m_evacuation_change_count = 0;      // when m_upstream_nodes was built
    // Services with upstreams in evacuated domains, which are not among m_upstream_nodes.
    std::set<std::string> m_evacuated_services;
    placement m_placement;
    offer_memory m_offers;
    retry_budget m_retries;
    burn_recorder m_burn;
    std::mt19937_64 m_random;
    pending_request_id m_next_id = 1;
    std::optional<planned_stop> m_stop;
    bool m_finished = false;   // finish_all() was called
    link_intake m_link_intake; // for large answers from other nodes
    std::uint64_t m_link_intake_refusals = 0;
    // Bytes of a request and its response, exponential moving average by request class.
    std::map<std::string, double> m_exchange_bytes;
};

} // namespace buckthornusher

#endif
