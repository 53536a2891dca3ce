// The only way to the upstreams beside a node.
//
// The agent runs an order for a shard only while this member owns it: it asks the
// coordinator when the order arrives and again directly before the bytes leave, and the
// upstream gets the epoch and the end of the lease with each order. Orders that arrive
// shortly before the shard does wait within their deadlines.
#ifndef BUCKTHORNUSHER_PROCESS_AGENT_HPP
#define BUCKTHORNUSHER_PROCESS_AGENT_HPP

#include "buckthornusher/admission.hpp"
#include "buckthornusher/coordinator.hpp"
#include "buckthornusher/operation_table.hpp"
#include "buckthornusher/outcome.hpp"
#include "connection/http_client.hpp"
#include "version/route_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

namespace buckthornusher
{

struct order
{
    std::string service;
    std::optional<std::uint32_t> shard; // of a keyed service
    http_request request;
    std::string operation; // an operation id, "new" to obtain one, or empty
    instant deadline;
};

inline bool idempotent(http_request const& request)
{
    return request.method == "GET";
}

// ---- results of an order ----

struct order_answered
{
    http_response response;
};
struct order_refused // it did not run
{
    reason why = reason::none;
    duration retry_after{0};
};
struct order_unknown // it may have run
{
    reason why = reason::none;
};
struct order_moved // it did not run; this member is not the owner
{
    member_id owner; // none: unknown
    std::uint64_t epoch = 0;
};

using order_result =
    std::variant<order_answered, order_refused, order_unknown, order_moved>;

struct announcement
{
    std::string service;
    int port = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    friend bool operator==(announcement const&, announcement const&) = default;
};

class agent
{
public:
    using callback = std::function<void(order_result)>;
    using order_id = std::uint64_t;

    agent(event_loop& loop, coordinator& coord, std::string upstream_address);
    ~agent();
    agent(agent const&) = delete;
    agent& operator=(agent const&) = delete;

    // Calls `done` once, perhaps at once.
    order_id run(order o, callback done);

    // The caller has gone: a waiting order is dropped, a running read is cancelled, a
    // running order that is not idempotent goes on so that its answer can be kept.
    void cancel(order_id id);

    // An upstream has announced itself; it does so again and again while it lives.
    void on_announcement(announcement const& a, instant now);
    // The targets that have announced themselves recently.
    std::vector<target> targets(instant now);

    // A new document: which keys the old setup still serves.
    void set_routes(std::shared_ptr<route_table const> routes);

    // The replica has changed: orders that wait for their shard may go on.
    void on_replica_changed(instant now);
    // Ends orders whose deadlines have passed.
    void tick(instant now);
    // This member's coordinator was replaced; orders that wait are asked again.
    void set_coordinator(coordinator& coord) { m_coordinator = &coord; }

    std::size_t unfinished() const { return m_works.size(); }
    operation_table& operations() { return m_operations; }

private:
    struct link; // an upstream
    struct work; // an order and how far it has come

    std::unique_ptr<link> make_link(announcement const& a, std::string const& address);
    void try_begin(work& w, instant now);
    void admit(work& w, instant now);
    bool choose_backend(work& w);
    bool check_operation(work& w, instant now);
    void start(work& w, instant now);
    void on_upstream(order_id id, instant started, http_result result);
    void finish(work& w, order_result result);
    void settle_operation(work& w, order_result const& result);
    void start_all(std::vector<std::uint64_t> const& ids, instant now);
    http_request upstream_request(work const& w) const;

    event_loop& m_loop;
    coordinator* m_coordinator;
    std::string m_upstream_address;
    std::map<std::string, std::unique_ptr<link>> m_links; // by service, and the old setup
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
    std::set<order_id> m_waiting;                      // for their shard
    operation_table m_operations;
    std::mt19937_64 m_random;
    order_id m_next_id = 1;
};

} // namespace buckthornusher

#endif
