// A loopback TCP relay that simulates network faults on one link.
//
// It listens on one port and opens a connection to the target port for each connection
// that it accepts. Bytes are never lost or changed: as with TCP on a real network they
// are late, or the connection breaks. Each direction of a connection buffers at most
// 64 KiB; beyond that the relay stops reading, so a cut fills the sender's buffers as a
// real partition does.
//
// Cost: O(bytes); one timer every 5 ms for each connection with buffered bytes.
#ifndef BUCKTHORNUSHER_SOAK_RELAY_HPP
#define BUCKTHORNUSHER_SOAK_RELAY_HPP

#include "process/event_loop.hpp"

#include <list>
#include <memory>

namespace buckthornusher::soak
{

enum class disturbance
{
    none,
    delay,    // each byte by 150 ms
    reset,    // closes open connections and new ones
    cut_to,   // holds back bytes to the target
    cut_from, // holds back bytes from the target
    silence,  // both
    trickle,  // about 200 bytes per direction every 5 ms
};

class relay
{
public:
    struct options
    {
        int listen_port = 0;
        int target_port = 0; // both on 127.0.0.1
    };

    relay(event_loop& loop, options opts);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    bool is_listening() const;
    void disturb(disturbance kind);

private:
    struct connection;
    void accept_all();
    void pump(connection& c);
    void remove_closed();

    event_loop& m_loop;
    options m_options;
    disturbance m_disturbance = disturbance::none;
    descriptor_watch m_listener;
    std::list<std::shared_ptr<connection>> m_connections;
};

} // namespace buckthornusher::soak

#endif
