// Sends requests to the node's local upstreams. All traffic to them goes through the
// agent.
//
// The agent runs a request for a shard only while this member owns the shard: it checks
// with the coordinator when the request arrives and again directly before sending it. If
// an upstream serves only granted keys, the agent sends it requests for a shard only
// while its grant for the shard is valid; the agent answers the upstream's reports with
// the grants (grant_table.hpp). A request that arrives before its shard can be served
// here waits for it, up to a share of its time (owner_wait.hpp).
//
// Results are strict: a refusal guarantees that the upstream has not begun the request
// and will not begin it; any other incomplete answer gives an unknown result.
//
// In the log an upstream request is an `order`, the incarnation of an upstream is `life`,
// and the time for which the upstream still holds a shard is `hold_ms`.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_HPP

#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/grant_table.hpp"
#include "buckthornusher/link_room.hpp"
#include "buckthornusher/memory_budget.hpp"
#include "buckthornusher/operation_table.hpp"
#include "buckthornusher/outcome.hpp"
#include "buckthornusher/placement.hpp"
#include "buckthornusher/planned_stop.hpp"
#include "buckthornusher/region_rule.hpp"
#include "buckthornusher/upstream_history.hpp"
#include "buckthornusher/upstream_liveness.hpp"
#include "buckthornusher/upstream_queue.hpp"
#include "connection/http_client.hpp"
#include "connection/upstream_form.hpp"
#include "process/loop_lag.hpp"
#include "process/request_trace.hpp"
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

// A request that the agent runs at its upstream, taken here or forwarded by another node.
struct upstream_request
{
    std::string service;
    std::optional<std::uint32_t> shard; // set for keyed services only
    http_request request;
    region_bound regions;      // in which it may run
    std::string id;            // the request id, for logs
    std::string sender;        // the forwarding node, for logs; empty: this node
    std::string operation;     // an operation id, "new" to request one, or empty
    std::string origin;        // service of the node that took the request
    std::string request_class; // requests of a class have similar service times
    std::uint32_t rank = 1;    // priority; 0 is the highest
    std::uint64_t epoch = 0;   // the shard's epoch known to the sender; 0: unknown
    bool repeatable = false;   // idempotent: may run more than once
    bool large_answer = false; // the answer's bytes bind, not its work
    instant due;               // an answer after this time is late
    instant deadline;          // no answer is of use after this time
    instant start_until;       // after this time the sender prefers another node
    // Its part of the memory budget, until nobody holds it any more; null: none.
    std::shared_ptr<memory_hold> held;
};

// ---- results of a request ----

struct request_answered
{
    http_response response;
    bool failed = false; // the answer reports a failure of the upstream
};
struct request_refused // the request did not run and will not run
{
    outcome_reason reason = outcome_reason::none;
    duration retry_after{0};
    bool reached_upstream = false; // refused by the upstream itself
};
struct request_unknown // the request may have run
{
    outcome_reason reason = outcome_reason::none;
};
struct request_moved // the request did not run; this member is not the shard's owner
{
    owner_id owner; // empty: unknown
    std::uint64_t epoch = 0;
};

using request_result =
    std::variant<request_answered, request_refused, request_unknown, request_moved>;

struct agent_options
{
    upstream_form form;
    std::string region;              // of this node
    std::string service = {};        // of the upstream beside it; may be empty
    duration report_interval = 1s;   // between reports of an upstream
    std::string domain = {};         // the failure domain of the upstreams
    duration drain_limit = 30s;      // a draining upstream gets no new requests after it
    std::uint32_t connections = 110; // if the upstream announces no maximum
    duration tick_period = 20ms;     // between calls of tick()
    // Of incomplete answers, over all connections to an upstream.
    std::size_t max_incomplete_bytes = 16'777'216;
    // The longest lease of an earlier process of this node, which may have granted keys
    // to an upstream until the end of that lease.
    duration max_lease = lease_options{}.max_lease_duration();
    // Bound on the requests to a cold upstream, for services with a `cold_rate`.
    double cold_ratio = 1;
    double cold_reserve = 0;
    double link_bytes_per_second = 0; // of the VM's link; 0: not known
};

class agent
{
public:
    using callback = std::function<void(request_result)>;
    using request_id = std::uint64_t;

    agent(event_loop& loop, coordinator& coord, agent_options opts);
    ~agent();
    agent(agent const&) = delete;
    agent& operator=(agent const&) = delete;

    // Calls `done` once, possibly before run() returns; not after cancel() or a
    // successful withdraw().
    request_id run(upstream_request request, callback done);

    // Handles the caller's disconnect: drops a request of which nothing has been sent and
    // cancels a running idempotent one. Any other running request continues, so that its
    // answer can be stored. `done` is not called any more.
    void cancel(request_id id);

    // Withdraws a request that has not been sent. Returns false if it may have begun.
    bool withdraw(request_id id);

    // ---- upstream incarnations ----

    struct report_answer
    {
        report_verdict verdict = report_verdict::next;
        std::optional<upstream_grant> grant;
    };
    report_answer on_report(upstream_report const& report, instant now);
    // An upstream is about to exit and sends no more reports. Returns its incarnation.
    upstream_incarnation on_departure(departure_notice const& notice, instant now);
    // Takes over what the node's record says of its upstreams. Must be called before the
    // first report, and again after each change of the record.
    void restore(member_record const& record, instant now);
    upstream_history const& history() const { return m_history; }
    // Returns the number of reports whose service may not speak here.
    std::uint64_t reports_of_strangers() const { return m_strangers; }

    // Returns the upstreams that can own shards, by the rules of upstream_liveness.hpp.
    // Returns nothing soon after the start if no upstream has reported: one that kept
    // running through a restart of this process may still report.
    std::optional<std::vector<target>> targets(instant now);
    // Returns the shards that upstreams have released since the last call, with their
    // services.
    std::vector<std::pair<std::string, released_shard>> take_released(instant now);
    // Returns whether the service's upstream releases its shards through its reports.
    bool releases_by_report(std::string const& service) const;
    // Returns whether each known upstream is draining or has announced its exit. True
    // before the first report.
    bool upstreams_ended() const;

    // Returns the load of the service's upstream, with the service time of the class.
    std::optional<upstream_load>
    load(std::string const& service, std::string const& request_class, instant now) const;
    // Returns the number of answers whose load meant nothing.
    std::uint64_t broken_loads() const { return m_broken_loads; }
    // Adds the wait for the link, for senders at other nodes.
    void add_link_load(upstream_load& load, instant now) const;
    // The answers that cross the VM's link, and the room on it for further ones.
    link_schedule& link_answers() { return m_link_answers; }
    link_room const& link_downloads() const { return m_link_downloads; }
    // Returns how often an upstream that had started or recovered got fewer requests at
    // once because of its answers.
    std::uint64_t pace_steps_down() const;
    // Returns how long received messages may have waited for the event loop.
    duration lag() const { return m_lag.value(); }
    // Returns the capacity of each keyed service and its shards' request rates, as moving
    // averages over the calls.
    std::vector<load_report> take_load_reports(instant now);

    // Takes the routes of a new document. They determine which keys the old setup
    // (config.hpp) still serves.
    void set_routes(std::shared_ptr<route_table const> routes);

    // Retries the requests that wait for their shards, after a change of the replica.
    void on_replica_changed(instant now);
    // Retries the requests that wait for their shards, refuses requests whose deadlines
    // have passed, and sends queued ones. Must be called once in each `tick_period`.
    void tick(instant now);
    // Replaces the coordinator; waiting requests are checked against the new one.
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }

    // Accepts only those requests from now on that the planned stop accepts.
    void begin_stopping(planned_stop const& stop) { m_stop = stop; }
    // Refuses all new and waiting requests from now on.
    void begin_closing();
    // Refuses new requests and sends no waiting ones from now on.
    void begin_ending();
    // Ends all requests; the result of those already sent is unknown.
    void finish_all();

    std::size_t unfinished() const { return m_requests.size(); }
    operation_table& operations() { return m_operations; }

private:
    struct link;           // an upstream
    struct active_request; // a request and its progress
    using link_ptr = std::shared_ptr<link>;

    std::uint32_t connections_to(upstream_report const& report) const;
    std::uint32_t usable_slots(upstream_report const& report) const;
    link_ptr make_link(upstream_report const& report) const;
    std::optional<upstream_grant> renew_grants(link& l, upstream_report const& report,
                                               instant now);
    bool expects_shards(link& l, std::string const& service, instant now) const;
    std::set<std::uint32_t> busy_shards(std::string const& service) const;
    bool keyed(std::string const& service) const;
    void learn_warm_up(link& l, upstream_report const& report, instant now) const;
    void set_start_options(link& l, std::string const& service_name) const;
    void note_written(link& l, instant now);
    void note_load(link& l, http_response const& response, instant now);
    void apply_condition(link& l, instant now) const;
    bool paces(std::string const& service) const;
    void begin_pace_of_new(link& l, upstream_report const& report, instant now) const;
    void note_pace(link& l, std::string const& request_class, answer_meaning meaning,
                   instant started, instant now) const;
    void note_failure(link& l, http_failure const& failure, duration took,
                      instant now) const;
    void try_begin(active_request& w, instant now);
    void wait_for_shard(active_request& w);
    void mark_departed(instant now);
    void add_unreported(std::vector<target>& found, instant now) const;
    bool is_superseded(link const& l, instant now) const;
    bool is_superseded(upstream_incarnation const& unreported) const;
    upstream_evidence evidence_of(link const& l, instant now) const;
    bool is_silent(link const& l, instant now) const;
    bool is_evacuated() const;
    bool accepts_requests(link const& l, bool keyed_request, instant now) const;
    void admit(active_request& w, instant now);
    bool admit_to_link(active_request& w, instant now);
    void note_link_end(active_request const& w, request_result const& result);
    bool choose_backend(active_request& w);
    void set_region_routes();
    bool outside_regions(active_request& w) const;
    bool check_operation(active_request& w, instant now);
    void start(active_request& w, instant now);
    void start_queued(link& l, instant now);
    void on_upstream_result(request_id id, instant started, http_result result);
    void handle_result(active_request& w, http_result& result, instant started,
                       instant now);
    void finish(active_request& w, request_result result);
    void end_at_lease_expiry(active_request const& w);
    void record_operation_result(active_request& w, request_result const& result);
    void end_trace(active_request& w, request_result const& result);
    void refuse_all(std::vector<request_id> const& ids, outcome_reason reason,
                    duration retry_after);
    http_request make_http_request(active_request const& w, link const& l,
                                   duration left) const;
    active_request* find(request_id id);

    event_loop& m_loop;
    coordinator* m_coordinator;
    agent_options m_options;
    instant m_started;
    std::map<std::string, link_ptr> m_links; // by service, and the old setup
    upstream_history m_history;
    std::shared_ptr<route_table const> m_routes;
    std::uint64_t m_routes_number = 0; // of the calls of set_routes()
    bool m_binds_regions = false;      // m_routes binds a route to regions
    // Unfinished requests of each shard at its upstream and at the old setup. Invariant:
    // a request is sent to one of them only while the other has none.
    struct backend_counts
    {
        std::size_t upstream = 0;
        std::size_t old_setup = 0;
    };
    std::map<shard_id, backend_counts> m_backends; // if the document has departments
    std::map<request_id, std::unique_ptr<active_request>> m_requests; // unfinished
    // Requests for each shard since the last load reports, and the rates in those
    // reports.
    std::map<shard_id, std::uint32_t> m_request_counts;
    std::map<shard_id, double> m_request_rates;
    instant m_rates_reported_at;
    std::set<request_id> m_waiting; // for their shard
    link_schedule m_link_answers;
    link_room m_link_downloads;
    operation_table m_operations;
    request_sampler m_sampler;
    std::mt19937_64 m_random;
    request_id m_next_id = 1;
    std::uint64_t m_broken_loads = 0;
    std::uint64_t m_strangers = 0; // their reports
    loop_lag m_lag;
    std::optional<planned_stop> m_stop;
    bool m_closing = false;
    bool m_ending = false;
};

} // namespace buckthornusher

#endif
