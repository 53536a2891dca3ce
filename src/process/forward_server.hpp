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
#ifndef BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP
#define BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP

#include "buckthornusher/memory_budget.hpp"
#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/peer_table.hpp"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace buckthornusher
{

class forward_server
{
public:
    forward_server(agent& local, peer_socket& peers, peer_table const& table,
                   std::string self, memory_budget* memory = nullptr)
        : m_agent(local), m_peers(peers), m_peer_table(table), m_self(std::move(self)),
          m_memory(memory)
    {
    }

    void on_forward(peer_route const& route, wire::Envelope const& message);
    void on_cancel(peer_route const& route, wire::Envelope const& message);
    // Begins the requests received since the last call. Returns whether there were any.
    bool begin_received();

    std::size_t unfinished() const { return m_requests.size(); }

private:
    using request_key = std::pair<std::string, std::uint64_t>; // connection, attempt

    struct received_request
    {
        peer_route route;
        std::uint64_t attempt = 0;
        std::uint64_t session = 0; // of the process it was sent to
        upstream_request request;
        instant read_at;
        std::shared_ptr<memory_hold> held; // null: its body is not long
    };

    // What a reply's load report is about.
    struct request_kind
    {
        std::string service;
        std::string request_class;
    };

    void begin(received_request arrived);
    void reply(peer_route const& route, std::uint64_t attempt, request_kind const& kind,
               instant read_at, request_result const& result);

    agent& m_agent;
    peer_socket& m_peers;
    peer_table const& m_peer_table;
    std::string m_self;
    memory_budget* m_memory; // outlives this; null: no bound
    std::vector<received_request> m_received;
    // Unfinished requests; 0: not begun yet.
    std::map<request_key, agent::request_id> m_requests;
};

} // namespace buckthornusher

#endif
