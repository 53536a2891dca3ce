// Handler of the operators' HTTP listener, which local upstreams use as well.
//
//   POST /v1/announce?service=S&port=P&slots=N&connections=N[&life=L]
//                                        registers a local upstream
//   GET  /metrics                        metrics, text format
//   GET  /v1/status                      the node's view of the fleet, JSON
//   GET  /v1/burn                        error budget burn by service, JSON
//   GET  /v1/config                      the current configuration document
//   PUT  /v1/config?expected=NUMBER      replaces document NUMBER
//   GET  /v1/evacuations                 the evacuated failure domains, one per line
//   PUT  /v1/evacuations?domain=NAME     evacuates a domain
//   DELETE /v1/evacuations?domain=NAME   takes a domain back
//
// Errors: 400 bad parameters, 404 unknown path, no configuration or domain not evacuated,
// 409 the current document is another than NUMBER, or the deployment reads no
// evacuations, 422 invalid document, 503 the node cannot tell yet whether its document is
// the newest, 504 the store did not answer and the outcome of the write is unknown.
//
// The parameter `life` is the upstream's incarnation. The metric `chunk_writes_total`
// counts writes of shard groups.
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
    // The components that the API reads and calls. All must outlive it.
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
    void list_evacuations(http_reply const& reply) const;
    void change_evacuation(http_request const& request, http_reply const& reply);
    void put_config(http_request const& request, http_reply const& reply);
    void set_link_metrics() const;
    std::string status_json() const;
    std::string burn_json() const;
    std::string own_ip() const;

    dependencies m_dependencies;
};

} // namespace buckthornusher

#endif
