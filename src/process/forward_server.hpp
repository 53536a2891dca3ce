// Runs the requests that other nodes forward to this one and replies with their results.
//
// Refuses as stale a request whose deadline has passed on arrival or that was sent to an
// earlier process of this node. Each reply carries the current load of the upstream.
//
// A request begins only after all messages that arrived with it have been read: after a
// long round of the loop a request's cancel may be queued behind it, and a request that
// was cancelled before it began never runs.
//
// A request with a long body is refused as overloaded if the process's memory budget has
// no room for it. An answer that cannot be sent is replaced by the word that it is lost.
//
// A peer that took this node for silent has closed the connection on which its requests
// came. Their replies go to the connection on which it was heard last, or wait until it
// is heard again, until nobody can use them any more.
//
// A large answer of a route with large answers waits for its turn on the VM's link
// (link_schedule.hpp), if the link's rate is known; everything else is sent at once.
#ifndef BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP
#define BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP

#include "buckthornusher/memory_budget.hpp"
#include "buckthornusher/timer_service.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/peer_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace buckthornusher
{

class forward_server
{
public:
    forward_server(event_loop& loop, agent& local, peer_socket& peers,
                   peer_table const& table, std::string self,
                   memory_budget* memory = nullptr)
        : m_loop(loop), m_agent(local), m_peers(peers), m_peer_table(table),
          m_self(std::move(self)), m_memory(memory)
    {
    }

    void on_forward(peer_route const& route, wire::Envelope const& message);
    void on_cancel(peer_route const& route, wire::Envelope const& message);
    // Begins the requests received since the last call. Returns whether there were any.
    bool begin_received();
    // Notes the connection on which a node was just heard.
    void note_route(std::string const& node, peer_route const& route);
    // Gives up the replies whose requests' time is over.
    void drop_overdue(instant now);
    // Returns the number of replies that could not be sent in time.
    std::uint64_t lost_replies() const { return m_lost_replies; }
    // Counts what the node has sent since the last call as the link's work. To be called
    // often: what is counted late looks like work that is still to be done.
    void count_sent(instant now);

    std::size_t unfinished() const { return m_requests.size() + m_held.size(); }
    // Returns the number of answers that wait for the link.
    std::size_t held() const { return m_held.size(); }

private:
    using request_key = std::pair<std::string, std::uint64_t>; // connection, attempt

    struct received_request
    {
        peer_route route;
        std::uint64_t attempt = 0;
        std::uint64_t session = 0; // of the process it was sent to
        upstream_request request;
        instant read_at;
    };

    // What a reply's load report is about.
    struct request_kind
    {
        std::string service;
        std::string request_class;
    };

    struct outgoing_reply
    {
        peer_route route;
        std::string node; // that sent the request
        std::uint64_t attempt = 0;
        request_kind kind;
        instant read_at;
        request_result result;
        // Of a request with a large answer.
        bool large = false;
        instant due;
        instant deadline;
        duration link_time{0}; // on the link, once released
    };

    void begin(received_request arrived);
    void send_or_hold(outgoing_reply r);
    void reply(outgoing_reply const& r);
    bool send_reply(outgoing_reply const& r);
    void note_lost(outgoing_reply const& r);
    void hold(outgoing_reply r, std::uint64_t bytes, instant now);
    bool drop_held(request_key const& key);
    void release_held(instant now);

    event_loop& m_loop;
    agent& m_agent;
    peer_socket& m_peers;
    peer_table const& m_peer_table;
    std::string m_self;
    memory_budget* m_memory; // outlives this; null: no bound
    std::vector<received_request> m_received;
    // Unfinished requests; 0: not begun yet.
    std::map<request_key, agent::request_id> m_requests;
    // Answers that wait for the link. Invariant: the ids are those that wait in the
    // agent's link_answers(), and a release timer is set while there are any.
    std::map<std::uint64_t, outgoing_reply> m_held;
    std::uint64_t m_next_held = 1;
    std::optional<timer_service::timer_id> m_release_timer;
    std::uint64_t m_counted_bytes = 0;          // of the socket's sent bytes
    std::map<std::string, peer_route> m_routes; // on which each node was heard last
    std::vector<outgoing_reply> m_unsent;       // to nodes without a connection; bounded
    std::uint64_t m_lost_replies = 0;
};

} // namespace buckthornusher

#endif
