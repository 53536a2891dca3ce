// The process's event loop: libwebsockets' poll loop with the timers of timer_service.
//
// Thread safety: one thread runs the loop and owns all sockets, timers and state of a
// node, so a node needs no locks. ZeroMQ is attached through its file descriptor.
#ifndef BUCKTHORNUSHER_PROCESS_EVENT_LOOP_HPP
#define BUCKTHORNUSHER_PROCESS_EVENT_LOOP_HPP

#include "buckthornusher/timer_service.hpp"

#include <functional>
#include <memory>

struct lws_context;

namespace buckthornusher
{

class event_loop;

// Watches and owns a file descriptor, which is closed with the watch.
//
// `readable` is called while there is something to read, including an end of stream or an
// error; `writable` is called once after each request_write(). `closed` is called after
// the loop itself has closed the descriptor. Handlers may call close(), after which no
// handler is called.
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
    // Takes ownership of `fd`. If it cannot be watched, closes it: is_open() is false
    // then.
    descriptor_watch(event_loop& loop, int fd, handlers h);
    ~descriptor_watch() { close(); }
    descriptor_watch(descriptor_watch const&) = delete;
    descriptor_watch& operator=(descriptor_watch const&) = delete;
    descriptor_watch(descriptor_watch&&) = default;
    descriptor_watch& operator=(descriptor_watch&& other) noexcept;

    bool is_open() const;
    int fd() const; // -1 once closed
    void request_write();
    // `readable` is not called while reading is paused.
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

    // Runs until stop().
    void run();
    // Handles the events that are ready; waits for one until the next timer is due.
    void run_once();
    // May be called from a signal handler.
    void stop();

    lws_context* context() const;
    timer_service& timers();

    // Calls `readable` whenever `fd` is readable. Returns false if libwebsockets does not
    // accept the descriptor.
    bool wake_on(int fd, std::function<void()> readable);

    // Runs timers exactly when they are due instead of up to 1 ms late. Costs a full
    // core.
    void run_timers_precisely();

    // Returns the longest time for which data that a handler reads now may have waited:
    // the time since the loop last saw all descriptors that were ready.
    duration max_unread_time(instant now) const;

    // Runs `fn` after each round of the loop, before it waits again. `fn` returns whether
    // it did any work. All hooks are repeated until none does, up to a fixed number of
    // passes; the loop then serves timers and descriptors without waiting and goes on.
    void after_round(std::function<bool()> fn);

private:
    friend class descriptor_watch;
    struct impl;
    void run_hooks();

    std::unique_ptr<impl> m_impl;
};

} // namespace buckthornusher

#endif
