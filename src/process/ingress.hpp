// Takes callers' requests, finds the owner, and brings back the whole answer.
//
// Any node takes any request. The ingress finds the shard's owner in its replica and
// hands the request to the agent beside it or to the owner's node. A stale table does
// no harm: a node that does not own the shard says so and names the owner, and the
// request follows, up to a number of hops. Each attempt has an id of its own; an answer
// that matches no running attempt is dropped.
#ifndef BUCKTHORNUSHER_PROCESS_INGRESS_HPP
#define BUCKTHORNUSHER_PROCESS_INGRESS_HPP

#include "buckthornusher/burn.hpp"
#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/request_clock.hpp"
#include "buckthornusher/retry_budget.hpp"
#include "buckthornusher/timer_service.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/metrics.hpp"
#include "version/route_table.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace buckthornusher
{

class event_loop;

class ingress
{
public:
    ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
            metrics& counts);
    ~ingress();
    ingress(ingress const&) = delete;
    ingress& operator=(ingress const&) = delete;

    // A caller's request.
    void on_request(http_request request, http_reply reply);

    // ---- messages of the request path ----
    void on_forward(peer_route const& route, wire::Envelope const& message);
    void on_reply(wire::Envelope const& message);
    void on_hello(peer_route const& route);
    void on_hello_ack(wire::Envelope const& message);
    void on_cancel(peer_route const& route, wire::Envelope const& message);

    void set_routes(std::shared_ptr<route_table const> routes)
    {
        m_routes = std::move(routes);
    }
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }
    void on_replica_changed(instant now);
    void tick(instant now);
    // From now on callers are told to close their connections.
    void begin_stopping() { m_stopping = true; }

    std::size_t unfinished() const { return m_flights.size(); }
    burn_recorder const& burn() const { return m_burn; }
    route_table const* routes() const { return m_routes.get(); }

private:
    struct flight; // a caller's request and how far it has come
    using flight_id = std::uint64_t;

    void dispatch(flight& f, instant now);
    void run_here(flight& f);
    void forward(flight& f, member_id const& owner, instant now);
    bool ask_clock(member_id const& member, std::string const& endpoint, instant now);
    void on_result(flight_id id, order_result result);
    void follow(flight& f, order_moved const& moved);
    void wait_for_owner(flight& f);
    bool try_again(flight& f, reason why);
    void refuse(flight& f, reason why, duration retry_after);
    void give_up(flight& f, reason why);
    void finish(flight& f, http_response response, outcome_kind kind, reason why);
    void on_deadline(flight_id id);
    member_id choose_target(std::string const& service) const;

    event_loop& m_loop;
    coordinator* m_coordinator;
    agent& m_agent;
    peer_socket& m_peers;
    metrics& m_metrics;
    std::shared_ptr<route_table const> m_routes;
    std::map<flight_id, std::unique_ptr<flight>> m_flights;
    std::set<flight_id> m_waiting; // for an owner or a peer's clock
    std::map<std::pair<std::string, std::uint64_t>, agent::order_id> m_remote_orders;
    request_clock m_clocks;
    std::map<member_id, instant> m_asked_clocks;
    retry_budget m_retries;
    burn_recorder m_burn;
    mutable std::mt19937_64 m_random;
    flight_id m_next_id = 1;
    bool m_stopping = false;
};

} // namespace buckthornusher

#endif
