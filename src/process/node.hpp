// The daemon: one process beside an upstream.
//
// The node owns the event loop and all sockets, carries out the coordinator's effects,
// and joins its parts: ingress, agent, coordinator, store client, operators' HTTP.
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
    // Reads the settings anew; see reload().
    using settings_source = std::function<checked<node_settings>()>;

    // Throws std::runtime_error if an address cannot be bound.
    node(node_settings settings, settings_source source);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    // Serves until a stop has been completed. Returns the process's exit code.
    int run();

    // Asks for a planned stop; a second call shortens it. May be called from a signal
    // handler.
    void request_stop();

    // Asks for the settings to be read anew; the node does so from time to time by
    // itself. What can change in a running process is taken: limits and the log's level.
    // Settings that cannot be read change nothing. May be called from a signal handler.
    void request_reload();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
