// The process's event loop: libwebsockets' poll loop with our timers.
//
// One thread runs the loop; all sockets, timers and state of a node belong to it,
// so nothing in a node is locked. ZeroMQ joins by its file descriptor.
#ifndef BUCKTHORNUSHER_PROCESS_EVENT_LOOP_HPP
#define BUCKTHORNUSHER_PROCESS_EVENT_LOOP_HPP

#include "buckthornusher/timer_service.hpp"

#include <functional>
#include <memory>

struct lws_context;

namespace buckthornusher
{

class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    // Serves until stop().
    void run();
    // Serves what is ready, waiting no longer than the next timer.
    void run_once();
    // May be called from a signal handler.
    void stop();

    lws_context* context() const;
    timer_service& timers();

    // Calls `readable` when `fd` is readable. Returns whether libwebsockets took the
    // descriptor.
    bool wake_on(int fd, std::function<void()> readable);

    // Timers run when they are due rather than up to a millisecond late; costs a core.
    void run_timers_precisely();

    // Runs `fn` after each round of the loop, before it waits again. `fn` returns whether
    // it did something; all hooks run until none does.
    void after_round(std::function<bool()> fn);

    // Keeps an object until libwebsockets has made its last callback.
    void keep(std::shared_ptr<void> object);

private:
    void run_hooks();

    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
