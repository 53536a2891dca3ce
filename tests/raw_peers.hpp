// A caller and an upstream that exchange raw bytes under the test's control.
#ifndef BUCKTHORNUSHER_TESTS_RAW_PEERS_HPP
#define BUCKTHORNUSHER_TESTS_RAW_PEERS_HPP

#include "connection/tcp_socket.hpp"
#include "free_port.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher::test
{

inline std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (auto const part : parts)
        text += part;
    return text;
}

// A client connection that exchanges raw bytes. Waits at most 20 s for the peer.
class raw_connection
{
public:
    raw_connection(event_loop& loop, tcp_address const& to)
        : m_loop(loop), m_watch(loop, tcp_connect(to, 5s),
                                {.readable = [this] { read(); },
                                 .writable =
                                     [this]
                                 {
                                     m_connected = true;
                                 }})
    {
        m_watch.request_write();
        run_until([this] { return m_connected; });
    }

    void write(std::string_view bytes) { tcp_write(m_watch.fd(), bytes); }

    // Runs the loop until the peer has sent `end` or closed. Returns all bytes so far.
    std::string read_until(std::string_view end)
    {
        run_until([&] { return m_closed || m_read.find(end) != std::string::npos; });
        return m_read;
    }
    std::string read_all()
    {
        run_until([this] { return m_closed; });
        return m_read;
    }
    bool closed() const { return m_closed; }
    int fd() const { return m_watch.fd(); }
    void close() { m_watch.close(); }

private:
    template <class Done>
    void run_until(Done done)
    {
        auto const deadline = boot_now() + 20s;
        while (!done() && boot_now() < deadline)
            m_loop.run_once();
    }

    void read()
    {
        std::array<char, 4'096> space{};
        auto const got = tcp_read(m_watch.fd(), space.data(), space.size());
        m_read.append(space.data(), got.bytes);
        if (got.status == io_status::ended || got.status == io_status::broken)
        {
            m_closed = true;
            m_watch.close();
        }
    }

    event_loop& m_loop;
    std::string m_read;
    bool m_connected = false;
    bool m_closed = false;
    descriptor_watch m_watch;
};

// The socket takes no further packet, so that its peer hears no acknowledgement, as if
// the machine were gone.
inline void fall_silent(int fd)
{
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    sock_fprog const program{.len = 1, .filter = &drop_all};
    ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

// Listens at free_address(), or at the given address, and answers each request with the
// result of `answer`: a request without a body at its end, and a longer one once
// `answer_after` bytes of it were read. The rest of it stays unread. A mark at the end of
// the answer is not sent but executed:
//   <end>        closes the connection normally
//   <reset>      resets the connection
//   <end-reset>  ends its own side normally and then resets the connection
//   <end-write>  ends its own side and leaves the connection open
//   <endless>    sends `unit` repeatedly until the peer closes
struct raw_upstream
{
    explicit raw_upstream(event_loop& on, tcp_address const& at = free_address())
        : listener_loop(on), listener(on, tcp_listen(at),
                                      {.readable = [this]
                                       {
                                           accept();
                                       }})
    {
    }

    event_loop& listener_loop;
    std::vector<std::shared_ptr<descriptor_watch>> connections;
    std::vector<int> requests_per_connection; // same index as `connections`
    std::string read;
    std::function<std::string(int)> answer; // argument: number of the request, from 0
    std::size_t answer_after = 0;           // 0: at the end of the request's header
    std::string unit;
    std::size_t unit_bytes_sent = 0;
    int requests = 0;
    descriptor_watch listener;

    void accept()
    {
        int const fd = tcp_accept(listener.fd());
        if (fd < 0)
            return;
        auto const n = connections.size();
        requests_per_connection.push_back(0);
        connections.push_back(std::make_shared<descriptor_watch>(
            listener_loop, fd,
            descriptor_watch::handlers{.readable = [this, n] { on_bytes(n); },
                                       .writable =
                                           [this, n]
                                       {
                                           send_units(*connections[n]);
                                       }}));
    }

    void send_units(descriptor_watch& to)
    {
        auto const at = unit_bytes_sent % unit.size();
        auto const sent = tcp_write(to.fd(), std::string_view(unit).substr(at));
        if (sent.status != io_status::done && sent.status != io_status::not_ready)
            return to.close();
        unit_bytes_sent += sent.bytes;
        to.request_write();
    }

    void on_bytes(std::size_t n)
    {
        std::array<char, 65'536> space{};
        auto const c = connections[n];
        auto const got = tcp_read(c->fd(), space.data(), space.size());
        if (got.status != io_status::done)
            return c->close();
        read.append(space.data(), got.bytes);
        m_unanswered += got.bytes;
        bool const early = answer_after > 0 && m_unanswered >= answer_after;
        if (!early && !read.ends_with("\r\n\r\n"))
            return;
        m_unanswered = 0;
        if (early)
            c->pause_reading(true);
        ++requests_per_connection[n];
        send_answer(*c, answer(requests++));
    }

    void send_answer(descriptor_watch& to, std::string_view text)
    {
        std::string_view mark;
        if (text.ends_with('>'))
            mark = text.substr(text.rfind('<'));
        text.remove_suffix(mark.size());
        tcp_write(to.fd(), text);
        if (mark == "<endless>")
            to.request_write();
        if (mark == "<end-write>" || mark == "<end-reset>")
            tcp_shutdown_write(to.fd());
        if (mark == "<reset>" || mark == "<end-reset>")
        {
            linger const hard{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(to.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        }
        if (mark == "<end>" || mark == "<reset>" || mark == "<end-reset>")
            to.close();
    }

private:
    std::size_t m_unanswered = 0; // bytes read since the last answer
};

} // namespace buckthornusher::test

#endif
