// The only way to the upstreams beside a node.
//
// The agent runs an order for a shard only while this member owns it: it asks the
// coordinator when the order arrives and again directly before the bytes leave. An
// upstream that serves granted keys only is asked for a shard only while it holds it; the
// answers to its reports are made here (hold_ledger.hpp). Orders that arrive shortly
// before the shard does wait within their deadlines.
//
// What becomes of an order is told apart strictly: a refusal says that the upstream has
// not begun and will not begin; everything else that is not a whole answer is unknown.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_HPP

#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/grant_table.hpp"
#include "buckthornusher/operation_table.hpp"
#include "buckthornusher/outcome.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "buckthornusher/report_order.hpp"
#include "buckthornusher/upstream_queue.hpp"
#include "connection/http_client.hpp"
#include "connection/upstream_form.hpp"
#include "process/loop_lag.hpp"
#include "process/request_trail.hpp"
#include "version/route_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>

namespace buckthornusher
{

struct order
{
    std::string service;
    std::optional<std::uint32_t> shard; // of a keyed service
    http_request request;
    std::string id;            // the request's, for logs
    std::string sender;        // the node that sent it here, for logs; empty: this one
    std::string operation;     // an operation id, "new" to obtain one, or empty
    std::string origin;        // the service beside which the request began
    std::string request_class; // orders of a class need about the same time
    std::uint32_t rank = 1;
    std::uint64_t epoch = 0; // of the shard's owner, as the sender knows it; 0: unknown
    bool repeatable = false; // it may run more than once
    instant due;             // an answer after it is late
    instant deadline;        // an answer after it is useless
    instant start_until;     // after it the sender would rather look elsewhere
};

// ---- results of an order ----

struct order_answered
{
    http_response response;
    bool failed = false; // it tells of a failure of the upstream
};
struct order_refused // it did not run
{
    reason why = reason::none;
    duration retry_after{0};
    bool reached_upstream = false; // it was the upstream that refused it
};
struct order_unknown // it may have run
{
    reason why = reason::none;
};
struct order_moved // it did not run; this member is not the owner
{
    owner_id owner; // none: unknown
    std::uint64_t epoch = 0;
};

using order_result =
    std::variant<order_answered, order_refused, order_unknown, order_moved>;

struct agent_options
{
    upstream_form form;
    duration report_interval = 1s;   // at which upstreams report
    duration drain_limit = 30s;      // an upstream that leaves gets nothing new after it
    std::uint32_t connections = 110; // to an upstream that does not say how many it takes
    duration tick_period = 20ms;     // between calls of tick()
};

class agent
{
public:
    using callback = std::function<void(order_result)>;
    using order_id = std::uint64_t;

    agent(event_loop& loop, coordinator& coord, agent_options opts);
    ~agent();
    agent(agent const&) = delete;
    agent& operator=(agent const&) = delete;

    // Calls `done` once, perhaps at once.
    order_id run(order o, callback done);

    // The caller has gone: an order of which nothing has left this process is dropped, a
    // running one that may be repeated is cancelled; another goes on, so that its answer
    // can be kept.
    void cancel(order_id id);

    // Takes an order back that has not been sent. False: it may have begun.
    bool withdraw(order_id id);

    // ---- the upstreams' lives ----

    struct report_answer
    {
        report_verdict verdict = report_verdict::next;
        std::optional<upstream_grant> grant;
    };
    report_answer on_report(upstream_report const& report, instant now);
    // The life of that id ends soon and does not report any more.
    void on_departure(std::string const& incarnation_id, instant now);

    // The upstreams that can own shards, and whether that is known yet: an upstream may
    // have gone on beside a process that has just started.
    std::optional<std::vector<target>> targets(instant now);
    // Shards that upstreams have released since the last call, by service.
    std::vector<std::pair<std::string, released_shard>> take_released(instant now);
    // Whether the service's shards are released by reports of its upstream.
    bool releases_by_report(std::string const& service) const;
    // No upstream has been heard of, or all have said that they end.
    bool upstreams_ended() const;

    std::optional<upstream_load> load(std::string const& service, instant now) const;
    // How far this process is behind its work.
    duration lag() const { return m_lag.value(); }
    // What keyed services were asked for since the last call.
    std::vector<load_report> take_load_reports(instant now);

    // A new document: which keys the old setup still serves.
    void set_routes(std::shared_ptr<route_table const> routes);

    // The replica has changed: orders that wait for their shard may go on.
    void on_replica_changed(instant now);
    // Ends orders whose deadlines have passed.
    void tick(instant now);
    // This member's coordinator was replaced; orders that wait are asked again.
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }

    // From now on only those orders are taken that the stop takes.
    void begin_stopping(planned_stop const& stop) { m_stop = stop; }
    // From now on nothing new is taken; what waits is refused.
    void begin_closing();
    // From now on nothing new is taken, and what waits is not sent any more.
    void begin_ending();
    // Ends all orders: what has been sent may run.
    void finish_all();

    std::size_t unfinished() const { return m_works.size(); }
    operation_table& operations() { return m_operations; }

private:
    struct link; // an upstream
    struct work; // an order and how far it has come
    using link_ptr = std::shared_ptr<link>;

    link_ptr make_link(upstream_report const& report) const;
    std::optional<upstream_grant> renew_grants(link& l, upstream_report const& report,
                                               instant now);
    bool expects_shards(link& l, std::string const& service, instant now) const;
    std::set<std::uint32_t> busy_shards(std::string const& service) const;
    bool keyed(std::string const& service) const;
    void try_begin(work& w, instant now);
    void wait(work& w);
    bool is_silent(link const& l, instant now) const;
    bool takes_orders(link const& l, bool keyed_order, instant now) const;
    void admit(work& w, instant now);
    bool choose_backend(work& w);
    bool check_operation(work& w, instant now);
    void start(work& w, instant now);
    void start_queued(link& l, instant now);
    void on_upstream(order_id id, instant started, http_result result);
    void settle(work& w, http_result& result, instant started, instant now);
    void finish(work& w, order_result result);
    void end_with_lease(work const& w);
    void settle_operation(work& w, order_result const& result);
    void end_trail(work& w, order_result const& result);
    void refuse_all(std::vector<order_id> const& ids, reason why, duration retry_after);
    http_request upstream_request(work const& w, link const& l, duration left) const;
    work* find(order_id id);

    event_loop& m_loop;
    coordinator* m_coordinator;
    agent_options m_options;
    instant m_started;
    std::map<std::string, link_ptr> m_links;             // by service, and the old setup
    std::map<std::string, report_order> m_report_orders; // by service
    std::shared_ptr<route_table const> m_routes;
    // Unfinished orders of each shard at its upstream and at the old setup. Invariant: an
    // order is sent to one of them only while the other has none.
    struct backend_counts
    {
        std::size_t upstream = 0;
        std::size_t old_setup = 0;
    };
    std::map<shard_id, backend_counts> m_backends;     // of services with departments
    std::map<order_id, std::unique_ptr<work>> m_works; // unfinished
    // Requests for shards since the last reports, and the rates that were told in those.
    std::map<shard_id, std::uint32_t> m_asked;
    std::map<shard_id, double> m_rates;
    instant m_rates_told;
    std::set<order_id> m_waiting; // for their shard
    operation_table m_operations;
    request_sampler m_sampler;
    std::mt19937_64 m_random;
    order_id m_next_id = 1;
    loop_lag m_lag;
    std::optional<planned_stop> m_stop;
    bool m_closing = false;
    bool m_ending = false;
};

} // namespace buckthornusher

#endif
