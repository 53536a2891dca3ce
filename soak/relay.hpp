// A loopback relay on one link, which disturbs the bytes that cross it.
//
// It listens on one port and opens a connection to the other for each that it accepts.
// Bytes are never lost or changed: as on a real network they are late, or the connection
// breaks. Each direction of a connection holds at max_read `window_bytes`; beyond that
// its sender is not read, so a cut fills the sender's buffers as a real one does.
//
// Cost: O(bytes); a timer each 5 ms for each connection with bytes that wait.
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
    delay,
    reset, // breaks what is open and what is opened
    cut_to,
    cut_from,
    silence,
    trickle,
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
