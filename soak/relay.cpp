// Moves bytes between the two sockets of each connection, by rounds of a timer.
#include "soak/relay.hpp"

#include "connection/tcp_socket.hpp"
#include "process/boot_clock.hpp"

#include <array>
#include <deque>

namespace buckthornusher::soak
{
namespace
{

constexpr std::size_t window_bytes = 65'536;
constexpr std::size_t trickle_bytes = 200; // a round
constexpr duration round_time = 5ms;
constexpr duration added_delay = 150ms;
constexpr duration unacknowledged = 60s; // the relay never breaks a link by itself

struct chunk
{
    instant due;
    std::string bytes;
};

// One direction. Invariant: `held` is the sum of the chunks' sizes.
struct stream
{
    std::deque<chunk> chunks;
    std::size_t held = 0;
    bool ended = false; // the sender has ended its side
    bool passed_end = false;
};

} // namespace

struct relay::connection : std::enable_shared_from_this<relay::connection>
{
    descriptor_watch caller;
    descriptor_watch target;
    stream to;   // the target
    stream from; // the target
    bool broken = false;
    bool waits = false; // for a round

    void close()
    {
        broken = true;
        caller.close();
        target.close();
    }
};

relay::relay(event_loop& loop, options opts) : m_loop(loop), m_options(opts)
{
    auto const fd = tcp_listen({.ip = "127.0.0.1", .port = opts.listen_port});
    if (fd >= 0)
        m_listener = descriptor_watch(loop, fd,
                                      {.readable = [this]
                                       {
                                           accept_all();
                                       }});
}

relay::~relay()
{
    for (auto const& c : m_connections)
        c->close();
}

bool relay::is_listening() const
{
    return m_listener.is_open();
}

void relay::disturb(disturbance kind)
{
    m_disturbance = kind;
    for (auto const& c : m_connections)
        kind == disturbance::reset ? c->close() : pump(*c);
    forget_closed();
}

void relay::accept_all()
{
    for (int fd = tcp_accept(m_listener.fd()); fd >= 0; fd = tcp_accept(m_listener.fd()))
    {
        auto c = std::make_shared<connection>();
        std::weak_ptr<connection> const weak = c;
        auto const on_bytes = [this, weak]
        {
            if (auto const self = weak.lock())
                pump(*self);
            forget_closed();
        };
        c->caller = descriptor_watch(
            m_loop, fd, {.readable = on_bytes, .writable = on_bytes, .closed = on_bytes});
        auto const other = tcp_connect({.ip = "127.0.0.1", .port = m_options.target_port},
                                       unacknowledged);
        if (other >= 0)
            c->target = descriptor_watch(
                m_loop, other,
                {.readable = on_bytes, .writable = on_bytes, .closed = on_bytes});
        if (other < 0 || m_disturbance == disturbance::reset)
        {
            c->close();
            continue;
        }
        c->target.request_write();
        m_connections.push_back(std::move(c));
    }
}

namespace
{

struct passage
{
    disturbance kind;
    bool cut;
};

// Whether the connection lives.
bool read_into(stream& s, descriptor_watch const& source, passage const& p)
{
    auto const now = boot_now();
    std::array<char, 16'384> space;
    while (!s.ended && s.held < window_bytes)
    {
        auto const most = p.kind == disturbance::trickle ? trickle_bytes : space.size();
        auto const got = tcp_read(source.fd(), space.data(), most);
        if (got.status != io_status::done)
        {
            s.ended = got.status == io_status::ended;
            return got.status != io_status::broken;
        }
        s.chunks.push_back({.due = p.kind == disturbance::delay ? now + added_delay : now,
                            .bytes = std::string(space.data(), got.bytes)});
        s.held += got.bytes;
        if (p.kind == disturbance::trickle)
            return true;
    }
    return true;
}

// Whether the connection lives.
bool write_from(stream& s, descriptor_watch const& sink)
{
    auto const now = boot_now();
    while (!s.chunks.empty() && s.chunks.front().due <= now)
    {
        auto& bytes = s.chunks.front().bytes;
        auto const put = tcp_write(sink.fd(), bytes);
        if (put.status == io_status::not_ready)
            return true;
        if (put.status != io_status::done)
            return false;
        s.held -= put.bytes;
        bytes.erase(0, put.bytes);
        if (bytes.empty())
            s.chunks.pop_front();
    }
    if (s.ended && s.chunks.empty() && !s.passed_end)
    {
        s.passed_end = true;
        tcp_shutdown_write(sink.fd());
    }
    return true;
}

// Whether the connection lives. While it is cut nothing is read, so an end waits too.
bool carry(stream& s, descriptor_watch& source, descriptor_watch& sink, passage const& p)
{
    bool const lives = p.cut || (read_into(s, source, p) && write_from(s, sink));
    // What trickles is read by rounds of the timer.
    bool const reads = !p.cut && !s.ended && s.held < window_bytes;
    source.pause_reading(!reads || p.kind == disturbance::trickle);
    return lives;
}

} // namespace

void relay::pump(connection& c)
{
    if (c.broken)
        return;
    if (!c.caller.is_open() || !c.target.is_open() ||
        tcp_connect_error(c.target.fd()) != 0)
        return c.close();
    auto const kind = m_disturbance;
    bool const cut_to = kind == disturbance::cut_to || kind == disturbance::silence;
    bool const cut_from = kind == disturbance::cut_from || kind == disturbance::silence;
    bool const lives = carry(c.to, c.caller, c.target, {.kind = kind, .cut = cut_to}) &&
                       carry(c.from, c.target, c.caller, {.kind = kind, .cut = cut_from});
    if (!lives || (c.to.passed_end && c.from.passed_end))
        return c.close();
    bool const more = kind == disturbance::trickle || c.to.held > 0 || c.from.held > 0;
    if (!more || c.waits)
        return;
    c.waits = true;
    m_loop.timers().at(boot_now() + round_time,
                       [this, weak = c.weak_from_this()](instant)
                       {
                           auto const self = weak.lock();
                           if (!self)
                               return;
                           self->waits = false;
                           pump(*self);
                       });
}

void relay::forget_closed()
{
    m_connections.remove_if([](auto const& c) { return c->broken; });
}

} // namespace buckthornusher::soak
