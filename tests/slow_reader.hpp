// A caller that reads the answers on its connection at an even rate.
#ifndef BUCKTHORNUSHER_TESTS_SLOW_READER_HPP
#define BUCKTHORNUSHER_TESTS_SLOW_READER_HPP

#include "connection/tcp_socket.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>

namespace buckthornusher::test
{

class slow_reader
{
public:
    struct options
    {
        tcp_address to;
        std::string requests; // sent at once, one behind the other
        double bytes_per_second = 0;
    };

    slow_reader(event_loop& loop, options opts)
        : m_loop(loop), m_options(std::move(opts)),
          m_watch(loop, connect_with_small_buffer(m_options.to),
                  {.readable = [] {},
                   .writable =
                       [this]
                   {
                       tcp_write(m_watch.fd(), m_options.requests);
                   }}),
          m_began(boot_now())
    {
        m_watch.pause_reading(true);
        m_watch.request_write();
        read_some(m_began);
    }
    ~slow_reader() { m_loop.timers().cancel(m_timer); }
    slow_reader(slow_reader const&) = delete;
    slow_reader& operator=(slow_reader const&) = delete;

    bool ended() const { return m_ended; }
    std::string const& text() const { return m_text; }

private:
    static int connect_with_small_buffer(tcp_address const& to)
    {
        constexpr int segment_bytes = 1'460; // as on a network
        constexpr int buffer_bytes = 16'384;
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(to.port));
        inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        (void)::connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
        return fd;
    }

    // Reads what the rate allows by now.
    void read_some(instant now)
    {
        auto const passed = std::chrono::duration<double>(now - m_began).count();
        auto const allowed =
            static_cast<std::size_t>(m_options.bytes_per_second * passed);
        std::array<char, 65'536> buffer{};
        while (m_text.size() < allowed && !m_ended)
        {
            auto const wanted = std::min(buffer.size(), allowed - m_text.size());
            auto const got = tcp_read(m_watch.fd(), buffer.data(), wanted);
            if (got.status == io_status::not_ready)
                break;
            m_text.append(buffer.data(), got.bytes);
            m_ended = got.status != io_status::done;
        }
        if (!m_ended)
            m_timer = m_loop.timers().at(now + 10ms, [this](instant t) { read_some(t); });
    }

    event_loop& m_loop;
    options m_options;
    descriptor_watch m_watch;
    std::string m_text;
    bool m_ended = false;
    instant m_began;
    timer_service::timer_id m_timer;
};

} // namespace buckthornusher::test

#endif
