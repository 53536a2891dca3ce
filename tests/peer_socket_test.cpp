// Tests of the socket between nodes.
#include "connection/peer_socket.hpp"

#include "free_port.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include "wire.pb.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <pthread.h>
#include <string>
#include <thread>

namespace buckthornusher
{
namespace
{

std::string endpoint_of(std::size_t number)
{
    return "tcp://" + to_string(test::free_address(number));
}

wire::Envelope message_of(std::uint64_t attempt)
{
    wire::Envelope message;
    message.mutable_cancel()->set_attempt(attempt);
    return message;
}

// Sends a signal to the thread that creates it, again and again, until it is destroyed or
// has sent them all.
class signal_storm
{
public:
    explicit signal_storm(int signals)
        : m_thread(
              [this, signals, target = ::pthread_self()]
              {
                  for (m_sent = 0; m_sent < signals && !m_over; ++m_sent)
                      ::pthread_kill(target, SIGUSR1);
              })
    {
    }
    ~signal_storm()
    {
        m_over = true;
        m_thread.join();
    }
    signal_storm(signal_storm const&) = delete;
    signal_storm& operator=(signal_storm const&) = delete;

    int sent() const { return m_sent; }

private:
    std::atomic<bool> m_over{false};
    std::atomic<int> m_sent{0};
    std::thread m_thread;
};

// Guards against a signal that ends the process: it interrupts a call of ZeroMQ.
TEST(peer_socket, messages_pass_under_a_storm_of_signals)
{
    constexpr int signals = 200'000;
    struct sigaction action
    {
    };
    action.sa_handler = [](int) {
    };
    struct sigaction before
    {
    };
    ASSERT_EQ(::sigaction(SIGUSR1, &action, &before), 0);
    event_loop loop;
    std::uint64_t received = 0;
    peer_socket server(loop, endpoint_of(0),
                       [&](peer_route const&, wire::Envelope const&) { ++received; });
    peer_socket client(loop, endpoint_of(1),
                       [](peer_route const&, wire::Envelope const&) {});
    std::uint64_t sent = 0;
    auto const deadline = boot_now() + 60s;
    loop.timers().every(boot_now(), 1ms, [](instant) {}); // wakes the loop
    {
        signal_storm const storm(signals);
        while (storm.sent() < signals && boot_now() < deadline)
        {
            for (int i = 0; i < 16; ++i)
                sent += client.send(endpoint_of(0), message_of(sent)) ? 1 : 0;
            loop.run_once();
        }
        EXPECT_EQ(storm.sent(), signals);
    }
    while (received < sent && boot_now() < deadline)
        loop.run_once();
    EXPECT_GT(sent, 0U);
    EXPECT_EQ(received, sent);
    EXPECT_EQ(server.counts().malformed, 0U);
    ::sigaction(SIGUSR1, &before, nullptr);
}

} // namespace
} // namespace buckthornusher
