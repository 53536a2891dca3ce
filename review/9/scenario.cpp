// A planned stop of the node from which a client reads a large answer slowly. See
// claim.txt.
#include "rig2.hpp"

#include <arpa/inet.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace review;

namespace
{

// Figures of `archive-pull` in demands/tallyline-results-grown.toml.
constexpr int deadline_ms = 2'500;
constexpr duration work = 68ms;
constexpr std::size_t answer_bytes = 540'000;

// The client sends them one behind the other on one connection, before the first answer.
constexpr std::size_t pulls = 8;

constexpr duration sent_after_signal = 1'900ms;
constexpr double bytes_per_s = 1'850'000; // 15 Mbit/s
constexpr int callers_port = 8'304;

// A client's connection over an Ethernet-like path. It reads its answer at an even rate.
class slow_reader
{
public:
    slow_reader(deployment& d, machine const& at, std::string request, double bytes_per_s)
        : m_deployment(d), m_rate(bytes_per_s), m_request(std::move(request))
    {
        constexpr int segment_bytes = 1'460;
        constexpr int buffer_bytes = 16'384;
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                           sizeof(segment_bytes));
        (void)::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                           sizeof(buffer_bytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(callers_port);
        inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
        (void)::connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
        m_watch = descriptor_watch(d.loop, fd,
                                   {.readable = [] {},
                                    .writable =
                                        [this]
                                    {
                                        (void)tcp_write(m_watch.fd(), m_request);
                                    }});
        m_watch.pause_reading(true);
        m_watch.request_write();
        m_began = boot_now();
        read_some(m_began);
    }
    ~slow_reader() { m_deployment.loop.timers().cancel(m_timer); }
    slow_reader(slow_reader const&) = delete;
    slow_reader& operator=(slow_reader const&) = delete;

    bool ended() const { return m_ended; }
    std::size_t bytes() const { return m_text.size(); }
    // The number of whole answers, each a success with its length.
    std::size_t whole_answers() const
    {
        std::size_t whole = 0;
        std::size_t at = 0;
        while (m_text.compare(at, success.size(), success) == 0)
        {
            auto const end = m_text.find("\r\n\r\n", at);
            if (end == std::string::npos || end + 4 + answer_bytes > m_text.size())
                break;
            at = end + 4 + answer_bytes;
            ++whole;
        }
        return whole;
    }

private:
    static constexpr std::string_view success = "HTTP/1.1 200 ";

    // Reads what the rate allows by now.
    void read_some(instant now)
    {
        auto const allowed = static_cast<std::size_t>(
            m_rate * std::chrono::duration<double>(now - m_began).count());
        std::array<char, 65'536> buffer{};
        while (m_text.size() < allowed && !m_ended)
        {
            auto const wanted = std::min(buffer.size(), allowed - m_text.size());
            auto const got = tcp_read(m_watch.fd(), buffer.data(), wanted);
            if (got.status == io_status::not_ready)
                break;
            m_text.append(buffer.data(), got.bytes);
            m_ended = got.status != io_status::done || whole_answers() == pulls;
        }
        if (!m_ended)
            m_timer = m_deployment.loop.timers().at(now + 10ms,
                                                    [this](instant t) { read_some(t); });
    }

    deployment& m_deployment;
    double m_rate;
    std::string m_request;
    descriptor_watch m_watch;
    std::string m_text;
    bool m_ended = false;
    instant m_began;
    timer_service::timer_id m_timer;
};

std::string request_text(std::size_t number)
{
    auto const id = "pull-" + std::to_string(number);
    return "GET /archive/" + id +
           " HTTP/1.1\r\nHost: archive.example\r\nX-Buckthornusher-Request-Id: " + id +
           "\r\nX-Buckthornusher-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\n\r\n";
}

int run(std::string const& out)
{
    deployment d(out);
    d.put_configuration(
        json::array({deployment::route_entry("archive", "download", deadline_ms)}),
        json::array({deployment::service_entry("archive", false)}));
    std::vector<machine> const machines{d.make_machine(0, "archive"),
                                        d.make_machine(1, "archive")};
    std::vector<std::unique_ptr<target>> targets;
    for (std::size_t i = 0; i < machines.size(); ++i)
    {
        d.start_node(machines[i]);
        targets.push_back(
            std::make_unique<target>(d.loop,
                                     target::options{.ip = machines[i].ip,
                                                     .service = "archive",
                                                     .id = "t" + std::to_string(i),
                                                     .work = work},
                                     d.record, nullptr));
        targets.back()->answer_body = [](http_request const&)
        {
            return std::string(answer_bytes, 'z');
        };
    }
    for (auto const& m : machines)
        if (!d.wait_ready(m))
            return d.record.line("a node is not ready"), exit_not_run;
    d.run_for(4s);
    if (makes_trouble())
        d.stop_node(machines[0]);
    auto const signalled = boot_now();
    d.run_for(sent_after_signal);
    auto const sent = boot_now();
    std::string requests;
    for (std::size_t i = 0; i < pulls; ++i)
        requests += request_text(i);
    d.record.line("sent " + std::to_string(pulls) + " pulls on one connection");
    slow_reader reader(d, machines[0], requests, bytes_per_s);
    d.run_until([&] { return reader.ended(); }, 10s);
    auto const in_ms = [](duration t)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(t).count();
    };
    auto const took = in_ms(boot_now() - sent);
    auto const runs = targets[0]->runs() + targets[1]->runs();
    auto const text =
        std::to_string(reader.whole_answers()) + " of " + std::to_string(pulls) +
        " whole answers (" + std::to_string(runs) + " ran), " +
        std::to_string(reader.bytes()) + " bytes; the connection ended " +
        std::to_string(took) + " ms after the requests and " +
        std::to_string(in_ms(boot_now() - signalled)) + " ms after the signal";
    d.record.line(text);
    std::cout << text << std::endl;
    if (took >= deadline_ms || runs != static_cast<int>(pulls))
        return d.record.line("the deadline was reached, or not all ran"), exit_not_run;
    return reader.whole_answers() == pulls ? exit_held : exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc > 1 ? argv[1] : ".");
}
