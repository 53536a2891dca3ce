// TCP sockets without blocking, over IPv4 addresses in text form.
//
// Thin cover over the system's calls; each result keeps apart what callers must tell
// apart: an end in good order, an error, and nothing for now.
#ifndef BUCKTHORNUSHER_CONNECTION_TCP_SOCKET_HPP
#define BUCKTHORNUSHER_CONNECTION_TCP_SOCKET_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornusher
{

struct tcp_address
{
    std::string ip; // such as 10.0.0.1
    int port = 0;
    friend auto operator<=>(tcp_address const&, tcp_address const&) = default;
};

std::string to_string(tcp_address const& address);

enum class io_status
{
    done,      // some bytes were moved
    not_ready, // none can be moved now
    ended,     // the peer has ended its side in good order
    broken,    // the connection is lost
};

struct io_result
{
    io_status status = io_status::not_ready;
    std::size_t bytes = 0;
    friend bool operator==(io_result const&, io_result const&) = default;
};

// A descriptor, or -1 with errno set.
int tcp_listen(tcp_address const& address);
// The next connection; -1 if there is none.
int tcp_accept(int listener);
// Starts to connect. `unacknowledged_timeout`: bytes that the peer has not acknowledged
// for so long break the connection.
int tcp_connect(tcp_address const& peer, duration unacknowledged_timeout);
// Of a connection that has become writable: 0, or the error for which it failed.
int tcp_connect_error(int fd);

io_result tcp_read(int fd, char* buffer, std::size_t size);
// Reads until nothing is left (`not_ready`), the buffer is full (`done`) or the peer's
// end shows; `bytes` were read before that.
io_result tcp_read_all(int fd, char* buffer, std::size_t size);
io_result tcp_write(int fd, std::string_view bytes);
// Ends our side; the peer's bytes can still be read.
void tcp_shutdown_write(int fd);

} // namespace buckthornusher

#endif
