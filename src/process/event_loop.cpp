// The process's event loop: see the header.
#include "process/event_loop.hpp"

#include "process/boot_clock.hpp"

#include <libwebsockets.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

namespace buckthornusher
{

namespace
{

constexpr duration longest_wait = 1s;

int wake_callback(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                  size_t /*len*/)
{
    auto const* readable =
        static_cast<std::function<void()> const*>(lws_get_opaque_user_data(wsi));
    if (reason == LWS_CALLBACK_RAW_RX_FILE && readable != nullptr)
        (*readable)();
    return 0;
}

int watch_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                   size_t len);

lws_protocols const wake_protocols[] = {
    {"wake", wake_callback, 0, 0, 0, nullptr, 0},
    {"watch", watch_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

// libwebsockets polls in whole milliseconds, and one that has expired before the poll
// begins does not bound it.
constexpr duration poll_step = 1ms;

struct wake_timer
{
    lws_sorted_usec_list_t sul{}; // first member: the callback gets its address
    lws_context* context = nullptr;
};

void on_sul(lws_sorted_usec_list_t* sul)
{
    auto* timer = reinterpret_cast<wake_timer*>(sul);
    lws_sul_schedule(timer->context, 0, sul, on_sul, poll_step.count());
}

} // namespace

// Invariant: `wsi` is null once libwebsockets has destroyed the connection or is about
// to; `self` keeps the state while libwebsockets can call back.
struct descriptor_watch::state
{
    descriptor_watch::handlers on;
    lws* wsi = nullptr;
    int fd = -1;
    bool in_callback = false;
    bool closing = false; // closed by its owner within a callback
    std::shared_ptr<state> self;
};

namespace
{

int watch_callback(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* /*in*/,
                   size_t /*len*/)
{
    auto* raw = static_cast<descriptor_watch::state*>(lws_get_opaque_user_data(wsi));
    if (raw == nullptr)
        return 0;
    auto const s = raw->self; // lives until the end of the call
    switch (reason)
    {
    case LWS_CALLBACK_RAW_RX_FILE:
        s->in_callback = true;
        if (!s->closing)
            s->on.readable();
        s->in_callback = false;
        return s->closing ? -1 : 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        s->in_callback = true;
        if (!s->closing && s->on.writable)
            s->on.writable();
        s->in_callback = false;
        return s->closing ? -1 : 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        lws_set_opaque_user_data(wsi, nullptr);
        s->wsi = nullptr;
        s->fd = -1;
        s->self.reset();
        if (!std::exchange(s->closing, true) && s->on.closed)
            s->on.closed();
        return 0;
    default:
        return 0;
    }
}

} // namespace

struct event_loop::impl
{
    lws_context* context = nullptr;
    lws_vhost* wake_vhost = nullptr;
    wake_timer wake;
    timer_service timers;
    std::vector<std::function<bool()>> hooks;
    std::deque<std::function<void()>> readers; // by descriptor; addresses stay
    bool precise = false;
    std::atomic<bool> stopped{false};
};

descriptor_watch::descriptor_watch(event_loop& loop, int fd, handlers h)
    : m_state(std::make_shared<state>())
{
    m_state->on = std::move(h);
    lws_sock_file_fd_type descriptor{};
    descriptor.filefd = fd;
    auto* wsi = lws_adopt_descriptor_vhost(
        loop.m_impl->wake_vhost, LWS_ADOPT_RAW_FILE_DESC, descriptor, "watch", nullptr);
    if (wsi == nullptr)
    {
        ::close(fd);
        m_state->closing = true;
        return;
    }
    m_state->wsi = wsi;
    m_state->fd = fd;
    m_state->self = m_state;
    lws_set_opaque_user_data(wsi, m_state.get());
}

descriptor_watch& descriptor_watch::operator=(descriptor_watch&& other) noexcept
{
    close();
    m_state = std::move(other.m_state);
    return *this;
}

bool descriptor_watch::is_open() const
{
    return m_state != nullptr && m_state->wsi != nullptr && !m_state->closing;
}

int descriptor_watch::fd() const
{
    return is_open() ? m_state->fd : -1;
}

void descriptor_watch::request_write()
{
    if (is_open())
        lws_callback_on_writable(m_state->wsi);
}

void descriptor_watch::pause_reading(bool paused)
{
    if (is_open())
        lws_rx_flow_control(m_state->wsi, paused ? 0 : 1);
}

void descriptor_watch::close()
{
    if (!is_open())
        return;
    m_state->closing = true;
    if (!m_state->in_callback)
        lws_set_timeout(m_state->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
}

event_loop::event_loop() : m_impl(std::make_unique<impl>())
{
    std::signal(SIGPIPE, SIG_IGN);
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    // Where the system has no IPv6, no socket could be opened with it.
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
}

event_loop::~event_loop()
{
    lws_sul_cancel(&m_impl->wake.sul);
    lws_context_destroy(m_impl->context);
}

lws_context* event_loop::context() const
{
    return m_impl->context;
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
    m_impl->readers.push_back(std::move(readable));
    lws_set_opaque_user_data(wsi, &m_impl->readers.back());
    return true;
}

void event_loop::run_timers_precisely()
{
    m_impl->precise = true;
}

void event_loop::after_round(std::function<bool()> fn)
{
    m_impl->hooks.push_back(std::move(fn));
}

void event_loop::run_once()
{
    if (m_impl->timers.run_due(boot_now()))
        run_hooks();
    auto wait = longest_wait;
    if (auto const due = m_impl->timers.next_due())
        wait = std::clamp(std::chrono::duration_cast<duration>(*due - boot_now()),
                          duration{0}, duration{longest_wait});
    if (m_impl->precise && wait < 2 * poll_step)
        wait = 0us;
    if (wait > 0us)
    {
        // Up to a step late, rather than spinning through the last part of a millisecond.
        m_impl->wake.context = m_impl->context;
        lws_sul_schedule(m_impl->context, 0, &m_impl->wake.sul, on_sul,
                         (wait + poll_step).count());
    }
    lws_service(m_impl->context, wait > 0us ? 0 : -1);
    run_hooks();
}

void event_loop::run_hooks()
{
    bool again = true;
    while (std::exchange(again, false))
        for (auto const& hook : m_impl->hooks)
            again = hook() || again;
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
