// The operators' HTTP listener, which the upstreams beside the node use as well.
//
//   POST /v1/announce?service=S&port=P&slots=N&connections=N[&life=L]
//                                        an upstream announces itself
//   GET  /metrics                        counters, text exposition
//   GET  /v1/status                      JSON
//   GET  /v1/config                      the document in force
//   PUT  /v1/config?expected=NUMBER      replaces the document
#ifndef BUCKTHORNUSHER_PROCESS_OPERATOR_API_HPP
#define BUCKTHORNUSHER_PROCESS_OPERATOR_API_HPP

#include "connection/http_server.hpp"
#include "connection/peer_socket.hpp"
#include "connection/store_client.hpp"
#include "process/agent.hpp"
#include "process/ingress.hpp"
#include "process/metrics.hpp"
#include "version/config.hpp"

#include <memory>

namespace buckthornusher
{

class operator_api
{
public:
    // The dependencies that the API reads and calls. All outlive it.
    struct dependencies
    {
        node_settings const& settings;
        event_loop& loop;
        agent& local;
        store_client& store;
        metrics& counts;
        peer_socket& peers;
        ingress& requests;
        std::unique_ptr<coordinator>& coord;
    };

    explicit operator_api(dependencies p) : m_dependencies(p) {}

    void handle(http_request request, http_reply reply);
    std::string metrics_text() const;

private:
    void announce(http_request const& request, http_reply const& reply);
    void put_config(http_request const& request, http_reply const& reply);
    std::string status_json() const;
    std::string burn_json() const;
    std::string own_ip() const;

    dependencies m_dependencies;
};

} // namespace buckthornusher

#endif
