// Implementation of the event loop; see the header.
#include "process/event_loop.hpp"

#include "process/boot_clock.hpp"

#include <libwebsockets.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <deque>
#include <map>
#include <stdexcept>
#include <utility>
#include <vector>

namespace buckthornusher
{

namespace
{

constexpr duration max_poll_wait = 1s;
constexpr int max_events_per_poll = 64;
constexpr int max_hook_passes = 8; // within a round

int wake_callback(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                  size_t /*len*/)
{
    auto const* readable =
        static_cast<std::function<void()> const*>(lws_get_opaque_user_data(wsi));
    if (reason == LWS_CALLBACK_RAW_RX_FILE && readable != nullptr)
        (*readable)();
    return 0;
}

lws_protocols const wake_protocols[] = {
    {"wake", wake_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

// libwebsockets polls in whole milliseconds, and a timer that has expired before the poll
// begins does not limit it.
constexpr duration poll_resolution = 1ms;

struct wake_timer
{
    lws_sorted_usec_list_t sul{}; // first member: the callback gets its address
    lws_context* context = nullptr;
};

void on_wake_timer(lws_sorted_usec_list_t* sul)
{
    auto* timer = reinterpret_cast<wake_timer*>(sul);
    lws_sul_schedule(timer->context, 0, sul, on_wake_timer, poll_resolution.count());
}

} // namespace

// Invariant: once closed, `fd` is -1 and `loop` has no entry for `id`.
struct descriptor_watch::state
{
    descriptor_watch::handlers callbacks;
    event_loop::impl* loop = nullptr;
    std::uint64_t id = 0;
    int fd = -1;
    bool wants_read = true;
    bool wants_write = false;

    void handle(std::uint32_t events);
    void update_interest() const; // in the epoll set
    void close();
};

struct event_loop::impl
{
    lws_context* context = nullptr;
    lws_vhost* wake_vhost = nullptr;
    wake_timer wake;
    timer_service timers;
    std::vector<std::function<bool()>> hooks;
    bool hooks_pending = false; // some hook had work in the last pass
    std::deque<std::function<void()>> read_callbacks; // a deque keeps addresses stable
    // Holds the watched descriptors; libwebsockets polls only the epoll descriptor, as
    // its own poll costs time for each descriptor, ready or not.
    int epoll_fd = -1;
    std::map<std::uint64_t, std::shared_ptr<descriptor_watch::state>> watches;
    std::uint64_t next_watch = 1;
    // A descriptor that is ready now became ready after `ready_seen_at`; one that becomes
    // ready from now on does so after `next_ready_seen_at`.
    instant ready_seen_at;
    instant next_ready_seen_at;

    void serve_watches();
    bool precise_timers = false;
    std::atomic<bool> stopped{false};
};

void event_loop::impl::serve_watches()
{
    std::array<epoll_event, max_events_per_poll> events{};
    auto const now = boot_now();
    ready_seen_at = next_ready_seen_at;
    int const count = ::epoll_wait(epoll_fd, events.data(), max_events_per_poll, 0);
    if (count < max_events_per_poll)
        next_ready_seen_at = now;
    for (int i = 0; i < count; ++i)
    {
        // A handler of this round may have closed it.
        auto const it = watches.find(events.at(i).data.u64);
        if (it == watches.end())
            continue;
        auto const keep = it->second;
        keep->handle(events.at(i).events);
    }
}

void descriptor_watch::state::handle(std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0 && std::exchange(wants_write, false))
    {
        update_interest();
        if (callbacks.writable)
            callbacks.writable();
    }
    if (fd >= 0 && wants_read && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        callbacks.readable();
    // Both directions are closed and the handlers have left the descriptor open.
    if (fd < 0 || (events & (EPOLLHUP | EPOLLERR)) == 0)
        return;
    close();
    if (callbacks.closed)
        callbacks.closed();
}

void descriptor_watch::state::update_interest() const
{
    epoll_event event{};
    event.events = (wants_read ? EPOLLIN : 0U) | (wants_write ? EPOLLOUT : 0U);
    event.data.u64 = id;
    ::epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

void descriptor_watch::state::close()
{
    auto const keep = loop->watches.extract(id);
    ::epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
    ::close(std::exchange(fd, -1));
}

descriptor_watch::descriptor_watch(event_loop& loop, int fd, handlers h)
    : m_state(std::make_shared<state>())
{
    auto& s = *m_state;
    s.callbacks = std::move(h);
    s.loop = loop.m_impl.get();
    s.id = s.loop->next_watch++;
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = s.id;
    if (::epoll_ctl(s.loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    {
        ::close(fd);
        return;
    }
    s.fd = fd;
    s.loop->watches.emplace(s.id, m_state);
}

descriptor_watch& descriptor_watch::operator=(descriptor_watch&& other) noexcept
{
    close();
    m_state = std::move(other.m_state);
    return *this;
}

bool descriptor_watch::is_open() const
{
    return fd() >= 0;
}

int descriptor_watch::fd() const
{
    return m_state == nullptr ? -1 : m_state->fd;
}

void descriptor_watch::request_write()
{
    if (is_open() && !std::exchange(m_state->wants_write, true))
        m_state->update_interest();
}

void descriptor_watch::pause_reading(bool paused)
{
    if (is_open() && std::exchange(m_state->wants_read, !paused) == paused)
        m_state->update_interest();
}

void descriptor_watch::close()
{
    if (is_open())
        m_state->close();
}

event_loop::event_loop() : m_impl(std::make_unique<impl>())
{
    m_impl->ready_seen_at = m_impl->next_ready_seen_at = boot_now();
    std::signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    // With IPv6 enabled, no socket can be opened on a system without it.
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.gid = -1;
    info.uid = -1;
    m_impl->context = lws_create_context(&info);
    if (m_impl->context == nullptr)
        throw std::runtime_error("event loop: cannot create the libwebsockets context");
    lws_context_creation_info vhost{};
    vhost.port = CONTEXT_PORT_NO_LISTEN;
    vhost.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    vhost.vhost_name = "wake";
    vhost.protocols = wake_protocols;
    m_impl->wake_vhost = lws_create_vhost(m_impl->context, &vhost);
    m_impl->epoll_fd = ::epoll_create1(EPOLL_CLOEXEC);
    if (m_impl->epoll_fd < 0 ||
        !wake_on(m_impl->epoll_fd, [impl = m_impl.get()] { impl->serve_watches(); }))
        throw std::runtime_error("event loop: cannot watch descriptors");
}

event_loop::~event_loop()
{
    for (auto const& entry : m_impl->watches)
        ::close(std::exchange(entry.second->fd, -1));
    lws_sul_cancel(&m_impl->wake.sul);
    lws_context_destroy(m_impl->context);
}

lws_context* event_loop::context() const
{
    return m_impl->context;
}

duration event_loop::max_unread_time(instant now) const
{
    return now - m_impl->ready_seen_at;
}

timer_service& event_loop::timers()
{
    return m_impl->timers;
}

bool event_loop::wake_on(int fd, std::function<void()> readable)
{
    lws_sock_file_fd_type descriptor{};
    descriptor.filefd = fd;
    auto* wsi = lws_adopt_descriptor_vhost(m_impl->wake_vhost, LWS_ADOPT_RAW_FILE_DESC,
                                           descriptor, "wake", nullptr);
    if (wsi == nullptr)
        return false;
    m_impl->read_callbacks.push_back(std::move(readable));
    lws_set_opaque_user_data(wsi, &m_impl->read_callbacks.back());
    return true;
}

void event_loop::run_timers_precisely()
{
    m_impl->precise_timers = true;
}

void event_loop::after_round(std::function<bool()> fn)
{
    m_impl->hooks.push_back(std::move(fn));
}

void event_loop::run_once()
{
    if (m_impl->timers.run_due(boot_now()))
        run_hooks();
    auto wait = max_poll_wait;
    if (auto const due = m_impl->timers.next_due())
        wait = std::clamp(std::chrono::duration_cast<duration>(*due - boot_now()),
                          duration{0}, duration{max_poll_wait});
    if (m_impl->hooks_pending || (m_impl->precise_timers && wait < 2 * poll_resolution))
        wait = 0us;
    if (wait > 0us)
    {
        // Wakes up to one poll_resolution late instead of spinning for the last fraction
        // of a millisecond.
        m_impl->wake.context = m_impl->context;
        lws_sul_schedule(m_impl->context, 0, &m_impl->wake.sul, on_wake_timer,
                         (wait + poll_resolution).count());
    }
    lws_service(m_impl->context, wait > 0us ? 0 : -1);
    m_impl->serve_watches(); // even if none is ready: updates ready_seen_at
    run_hooks();
}

void event_loop::run_hooks()
{
    auto& more = m_impl->hooks_pending;
    more = true;
    for (int pass = 0; more && pass < max_hook_passes; ++pass)
    {
        more = false;
        for (auto const& hook : m_impl->hooks)
            more = hook() || more;
    }
}

void event_loop::run()
{
    while (!m_impl->stopped.load())
        run_once();
}

void event_loop::stop()
{
    m_impl->stopped.store(true);
    lws_cancel_service(m_impl->context);
}

} // namespace buckthornusher
