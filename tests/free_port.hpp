// Ports for the tests' own servers.
#ifndef BUCKTHORNUSHER_TESTS_FREE_PORT_HPP
#define BUCKTHORNUSHER_TESTS_FREE_PORT_HPP

#include "connection/tcp_socket.hpp"

#include <unistd.h>

namespace buckthornusher::test
{

// An address on loopback at which nobody listens; the same one for the whole process.
// Below the ports that the system gives to outgoing connections (from 32,768) and those
// of the scripts beside this file (from 28,000). Processes begin at different ports.
inline tcp_address free_address()
{
    constexpr int first_port = 10'000;
    constexpr int ports = 18'000;
    static tcp_address const found = []
    {
        tcp_address address{.ip = "127.0.0.1", .port = 0};
        int fd = -1;
        for (int tried = 0; fd < 0 && tried < ports; ++tried)
        {
            address.port = first_port + (::getpid() + tried) % ports;
            fd = tcp_listen(address);
        }
        ::close(fd);
        return address;
    }();
    return found;
}

} // namespace buckthornusher::test

#endif
