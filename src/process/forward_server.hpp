// Runs the orders that other nodes send here, and tells them what became of each.
//
// An order that has waited too long on its way, or was meant for an earlier process at
// this place, is refused. Each reply tells how busy the upstream is.
//
// Orders begin once all messages that have arrived with them are read: after a long round
// of the loop the cancel of an order waits behind it, and what is cancelled never begins.
#ifndef BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP
#define BUCKTHORNUSHER_PROCESS_FORWARD_SERVER_HPP

#include "connection/peer_socket.hpp"
#include "process/agent.hpp"
#include "process/peer_table.hpp"

#include <map>
#include <utility>
#include <vector>

namespace buckthornusher
{

class forward_server
{
public:
    forward_server(agent& local, peer_socket& peers, peer_table const& table,
                   std::string self)
        : m_agent(local), m_peers(peers), m_peer_table(table), m_self(std::move(self))
    {
    }

    void on_forward(peer_route const& route, wire::Envelope const& message);
    void on_cancel(peer_route const& route, wire::Envelope const& message);
    // Begins the orders that have arrived since the last call. Returns whether any did.
    bool begin_received();

    std::size_t unfinished() const { return m_requests.size(); }

private:
    using request_key = std::pair<std::string, std::uint64_t>; // connection and attempt

    struct received_request
    {
        peer_route route;
        std::uint64_t attempt = 0;
        std::uint64_t session = 0; // of the process that it was meant for
        upstream_request request;
        instant read_at;
    };

    void begin(received_request arrived);
    void reply(peer_route const& route, std::uint64_t attempt, std::string const& service,
               instant read_at, request_result const& result);

    agent& m_agent;
    peer_socket& m_peers;
    peer_table const& m_peer_table;
    std::string m_self;
    std::vector<received_request> m_received;
    // Unfinished; 0: not begun yet.
    std::map<request_key, agent::request_id> m_requests;
};

} // namespace buckthornusher

#endif
