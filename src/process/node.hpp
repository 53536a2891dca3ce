// The daemon: one process beside an upstream.
//
// The node owns the event loop and all sockets, carries out the coordinator's effects,
// and joins its parts: ingress, agent, coordinator, store client, operators' HTTP.
#ifndef BUCKTHORNUSHER_PROCESS_NODE_HPP
#define BUCKTHORNUSHER_PROCESS_NODE_HPP

#include "version/config.hpp"

#include <memory>

namespace buckthornusher
{

class node
{
public:
    // Throws std::runtime_error if an address cannot be bound.
    explicit node(node_settings settings);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    // Serves until a stop has been completed. Returns the process's exit code.
    int run();

    // Asks for a planned stop; a second call shortens it. May be called from a signal
    // handler.
    void request_stop();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
