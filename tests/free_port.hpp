// Ports for the tests' own servers.
#ifndef BUCKTHORNUSHER_TESTS_FREE_PORT_HPP
#define BUCKTHORNUSHER_TESTS_FREE_PORT_HPP

#include "connection/tcp_socket.hpp"

#include <unistd.h>

#include <cstddef>
#include <vector>

namespace buckthornusher::test
{

// An address on loopback at which nobody listens; for each number the same one for the
// whole process. Below the ports that the system gives to outgoing connections (from
// 32,768) and those of the scripts beside this file (from 28,000). Each process has some
// ports of its own, so that no other takes what it has found free.
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
