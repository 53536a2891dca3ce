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

class event_loop;

// A file descriptor that the loop watches and owns: it is closed with the watch.
//
// `readable` is called while there is something to read (also an end or an error),
// `writable` once after each request_write(). `closed` is called if the loop gives the
// descriptor up by itself; the descriptor is no longer valid then. Handlers may call
// close(), which makes no further calls.
class descriptor_watch
{
public:
    struct handlers
    {
        std::function<void()> readable;
        std::function<void()> writable = {};
        std::function<void()> closed = {};
    };

    descriptor_watch() = default;
    // Takes the descriptor over in any case; is_open() tells whether it is watched.
    descriptor_watch(event_loop& loop, int fd, handlers h);
    ~descriptor_watch() { close(); }
    descriptor_watch(descriptor_watch const&) = delete;
    descriptor_watch& operator=(descriptor_watch const&) = delete;
    descriptor_watch(descriptor_watch&&) = default;
    descriptor_watch& operator=(descriptor_watch&& other) noexcept;

    bool is_open() const;
    int fd() const; // -1 once closed
    void request_write();
    // While reading is paused `readable` is not called.
    void pause_reading(bool paused);
    void close();

    struct state; // shared with the loop

private:
    std::shared_ptr<state> m_state;
};

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

    // For how long what a descriptor's handler reads now may have waited, at the most:
    // since the loop last saw all descriptors that were ready.
    duration max_unread_time(instant now) const;

    // Runs `fn` after each round of the loop, before it waits again. `fn` returns whether
    // it did something; all hooks run until none does, up to a bound: then timers and
    // descriptors have their turn first, without waiting.
    void after_round(std::function<bool()> fn);

private:
    friend class descriptor_watch;
    struct impl;
    void run_hooks();

    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
