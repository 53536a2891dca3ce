// Non-blocking TCP sockets with IPv4 addresses in text form.
//
// Thin wrappers over system calls. Results distinguish a clean end of the stream, a lost
// connection, and an operation that would block.
#ifndef BUCKTHORNUSHER_CONNECTION_TCP_SOCKET_HPP
#define BUCKTHORNUSHER_CONNECTION_TCP_SOCKET_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
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
    done,      // some bytes were transferred
    not_ready, // the operation would block
    ended,     // the peer has closed its side cleanly
    broken,    // the connection is lost
};

struct io_result
{
    io_status status = io_status::not_ready;
    std::size_t bytes = 0;
    friend bool operator==(io_result const&, io_result const&) = default;
};

// Returns a listening descriptor, or -1 with errno set.
int tcp_listen(tcp_address const& address);
// Returns the next pending connection, or -1 if none can be accepted.
int tcp_accept(int listener);
// Starts to connect and returns the descriptor, or -1 with errno set. The kernel takes
// the connection for lost if sent bytes stay unacknowledged for `unacknowledged_timeout`,
// or if the peer's window stays closed for that long, even if the peer acknowledges all
// probes of it (RFC 9293, section 3.8.6.1).
int tcp_connect(tcp_address const& peer, duration unacknowledged_timeout);
// Returns the result of tcp_connect() once the descriptor is writable: 0, or the errno
// with which it failed.
int tcp_connect_error(int fd);

// Sets that timeout anew; zero: the kernel's own limits apply, which are minutes.
void tcp_set_unacknowledged_timeout(int fd, duration timeout);

// How long a peer has been silent that should have acknowledged something.
struct tcp_silence
{
    int unanswered = 0; // retransmissions and probes of its window since it did
    duration since_acknowledged{0};
    friend bool operator==(tcp_silence const&, tcp_silence const&) = default;
};
// Returns nothing if the system does not tell.
std::optional<tcp_silence> tcp_peer_silence(int fd);
// Whether a peer that is silent in this way is lost. One that only keeps its window
// closed answers each probe; a single one may be on its way, or lost by the network.
bool is_lost(tcp_silence const& silence, duration unacknowledged_timeout);

// Returns the bytes written to the connection that its peer has not acknowledged; 0 also
// if the system does not tell.
std::uint64_t tcp_unacknowledged_bytes(int fd);

io_result tcp_read(int fd, char* buffer, std::size_t size);
// Reads until no bytes are available (`not_ready`), the buffer is full (`done`) or the
// connection has ended (`ended`, `broken`); `bytes` counts the bytes read before that.
io_result tcp_read_all(int fd, char* buffer, std::size_t size);
// Returns `ended` if the peer had closed its side cleanly and then refused the bytes: all
// that it sent can be read up to its end. Returns `broken` if the connection was lost.
// The loss is reported once: the reads that follow return what has arrived, and then
// `ended`.
io_result tcp_write(int fd, std::string_view bytes);
// Shuts down the sending side; the peer's bytes can still be read.
void tcp_shutdown_write(int fd);

} // namespace buckthornusher

#endif
