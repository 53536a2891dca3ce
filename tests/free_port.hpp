// Free ports for servers in tests.
#ifndef BUCKTHORNUSHER_TESTS_FREE_PORT_HPP
#define BUCKTHORNUSHER_TESTS_FREE_PORT_HPP

#include "connection/tcp_socket.hpp"

#include <unistd.h>

#include <cstddef>
#include <vector>

namespace buckthornusher::test
{

// Returns a loopback address with no listener; the same one for each number during the
// process. Its port is below the ephemeral ports of outgoing connections (from 32,768)
// and the ports of the test scripts (from 28,000). Each process searches a range of its
// own, so that parallel tests do not take each other's ports.
inline tcp_address free_address(std::size_t number = 0)
{
    constexpr int first_port = 10'000;
    constexpr int ports = 18'000;
    constexpr int ports_per_process = 8;
    static std::vector<tcp_address> found;
    static int tried_ports = 0;
    while (found.size() <= number && tried_ports < ports)
    {
        tcp_address address{.ip = "127.0.0.1", .port = 0};
        address.port =
            first_port + (::getpid() * ports_per_process + tried_ports++) % ports;
        int const fd = tcp_listen(address);
        if (fd < 0)
            continue;
        ::close(fd);
        found.push_back(address);
    }
    return found.at(number);
}

} // namespace buckthornusher::test

#endif
