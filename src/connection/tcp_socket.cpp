// Implementation of non-blocking TCP sockets; see the header.
#include "connection/tcp_socket.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace buckthornusher
{

namespace
{

constexpr int backlog = 1'024; // connections waiting to be accepted

bool to_socket_address(tcp_address const& address, sockaddr_in& out)
{
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    if (inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) == 1)
        return true;
    errno = EINVAL;
    return false;
}

void set_option(int fd, int level, int name, int value)
{
    // Failure is ignored: the options affect latency and how soon a lost connection is
    // detected, not correctness.
    (void)::setsockopt(fd, level, name, &value, sizeof(value));
}

int close_and_fail(int fd)
{
    int const error = errno;
    ::close(fd);
    errno = error;
    return -1;
}

} // namespace

std::string to_string(tcp_address const& address)
{
    return address.ip + ":" + std::to_string(address.port);
}

int tcp_listen(tcp_address const& address)
{
    sockaddr_in socket_address{};
    if (!to_socket_address(address, socket_address))
        return -1;
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&socket_address),
               sizeof(socket_address)) != 0 ||
        ::listen(fd, backlog) != 0)
        return close_and_fail(fd);
    return fd;
}

int tcp_accept(int listener)
{
    int const fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
        set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    return fd;
}

int tcp_connect(tcp_address const& peer, duration unacknowledged_timeout)
{
    sockaddr_in socket_address{};
    if (!to_socket_address(peer, socket_address))
        return -1;
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    tcp_set_unacknowledged_timeout(fd, unacknowledged_timeout);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&socket_address),
                  sizeof(socket_address)) != 0 &&
        errno != EINPROGRESS)
        return close_and_fail(fd);
    return fd;
}

int tcp_connect_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

void tcp_set_unacknowledged_timeout(int fd, duration timeout)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
}

std::optional<tcp_silence> tcp_peer_silence(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    bool const answered = ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    // No TCP state is 0: a system that fills in nothing does not tell.
    if (!answered || info.tcpi_state == 0)
        return std::nullopt;
    return tcp_silence{.unanswered = info.tcpi_retransmits + info.tcpi_probes,
                       .since_acknowledged =
                           std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

bool is_lost(tcp_silence const& silence, duration unacknowledged_timeout)
{
    constexpr int min_unanswered = 2;
    return silence.unanswered >= min_unanswered &&
           silence.since_acknowledged >= unacknowledged_timeout;
}

std::uint64_t tcp_unacknowledged_bytes(int fd)
{
    int bytes = 0;
    bool const told = ::ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return told ? static_cast<std::uint64_t>(bytes) : 0;
}

io_result tcp_read(int fd, char* buffer, std::size_t size)
{
    auto const got = ::recv(fd, buffer, size, 0);
    if (got > 0)
        return {.status = io_status::done, .bytes = static_cast<std::size_t>(got)};
    if (got == 0)
        return {.status = io_status::ended};
    bool const retry = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return {.status = retry ? io_status::not_ready : io_status::broken};
}

io_result tcp_read_all(int fd, char* buffer, std::size_t size)
{
    std::size_t filled = 0;
    while (filled < size)
    {
        auto const got = tcp_read(fd, buffer + filled, size - filled);
        filled += got.bytes;
        if (got.status != io_status::done)
            return {.status = got.status, .bytes = filled};
    }
    return {.status = io_status::done, .bytes = filled};
}

io_result tcp_write(int fd, std::string_view bytes)
{
    auto const put = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (put >= 0)
        return {.status = io_status::done, .bytes = static_cast<std::size_t>(put)};
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
        return {.status = io_status::not_ready};
    // A reset gives EPIPE only if the end of the peer's bytes arrived before it.
    return {.status = errno == EPIPE ? io_status::ended : io_status::broken};
}

void tcp_shutdown_write(int fd)
{
    ::shutdown(fd, SHUT_WR);
}

} // namespace buckthornusher
