// The daemon: one process next to an upstream.
//
// The node owns the event loop and all sockets, applies the coordinator's effects and
// connects the components: ingress, agent, coordinator, store client, operator HTTP API.
#ifndef BUCKTHORNUSHER_PROCESS_NODE_HPP
#define BUCKTHORNUSHER_PROCESS_NODE_HPP

#include "version/config.hpp"

#include <functional>
#include <memory>

namespace buckthornusher
{

class node
{
public:
    // Reads the settings again; see request_reload().
    using settings_source = std::function<checked<node_settings>()>;

    // Throws std::runtime_error if an address cannot be bound.
    node(node_settings settings, settings_source source);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    // Runs until a planned stop has completed. Returns the process's exit code.
    int run();

    // Requests a planned stop; a second call shortens it. May be called from a signal
    // handler.
    void request_stop();

    // Requests a reload of the settings, which the node also reloads periodically.
    // Applies those that can change in a running process: the stop's grace period, the
    // log level and the retry budget. Settings that cannot be read change nothing. May be
    // called from a signal handler.
    void request_reload();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
