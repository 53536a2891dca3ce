// Implementation of the relay: moves bytes on socket events and on a timer.
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
constexpr std::size_t trickle_bytes_per_pump = 200; // per direction
constexpr duration pump_interval = 5ms;
constexpr duration added_delay = 150ms;
// Long enough that the relay itself never breaks a connection.
constexpr duration unacknowledged_timeout = 60s;

struct segment
{
    instant due;
    std::string bytes;
};

// One direction of a connection.
// Invariant: `held_bytes` is the sum of the sizes of `segments`.
struct stream
{
    std::deque<segment> segments;
    std::size_t held_bytes = 0;
    bool ended = false; // the sender has shut down its side
    bool end_forwarded = false;
};

} // namespace

struct relay::connection : std::enable_shared_from_this<relay::connection>
{
    descriptor_watch caller;
    descriptor_watch target;
    stream to;   // towards the target
    stream from; // from the target
    bool broken = false;
    bool pump_scheduled = false; // a timer for the next pump() is set

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
    remove_closed();
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
            remove_closed();
        };
        c->caller = descriptor_watch(
            m_loop, fd, {.readable = on_bytes, .writable = on_bytes, .closed = on_bytes});
        auto const other = tcp_connect({.ip = "127.0.0.1", .port = m_options.target_port},
                                       unacknowledged_timeout);
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

struct transfer_mode
{
    disturbance kind;
    bool cut;
};

// Reads what the window allows. Returns false if the connection is broken.
bool read_into(stream& s, descriptor_watch const& source, transfer_mode const& p)
{
    auto const now = boot_now();
    std::array<char, 16'384> space;
    while (!s.ended && s.held_bytes < window_bytes)
    {
        auto const max_read =
            p.kind == disturbance::trickle ? trickle_bytes_per_pump : space.size();
        auto const got = tcp_read(source.fd(), space.data(), max_read);
        if (got.status != io_status::done)
        {
            s.ended = got.status == io_status::ended;
            return got.status != io_status::broken;
        }
        s.segments.push_back(
            {.due = p.kind == disturbance::delay ? now + added_delay : now,
             .bytes = std::string(space.data(), got.bytes)});
        s.held_bytes += got.bytes;
        if (p.kind == disturbance::trickle)
            return true;
    }
    return true;
}

// Writes the segments that are due. Returns false if the connection is broken.
bool write_from(stream& s, descriptor_watch const& sink)
{
    auto const now = boot_now();
    while (!s.segments.empty() && s.segments.front().due <= now)
    {
        auto& bytes = s.segments.front().bytes;
        auto const put = tcp_write(sink.fd(), bytes);
        if (put.status == io_status::not_ready)
            return true;
        if (put.status != io_status::done)
            return false;
        s.held_bytes -= put.bytes;
        bytes.erase(0, put.bytes);
        if (bytes.empty())
            s.segments.pop_front();
    }
    if (s.ended && s.segments.empty() && !s.end_forwarded)
    {
        s.end_forwarded = true;
        tcp_shutdown_write(sink.fd());
    }
    return true;
}

// Moves the bytes of one direction. Returns false if the connection is broken. A cut
// direction is not read, so a shutdown of its sender waits as well.
bool transfer(stream& s, descriptor_watch& source, descriptor_watch& sink,
              transfer_mode const& p)
{
    bool const is_open = p.cut || (read_into(s, source, p) && write_from(s, sink));
    // With trickle only the timer reads.
    bool const reads = !p.cut && !s.ended && s.held_bytes < window_bytes;
    source.pause_reading(!reads || p.kind == disturbance::trickle);
    return is_open;
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
    bool const is_open =
        transfer(c.to, c.caller, c.target, {.kind = kind, .cut = cut_to}) &&
        transfer(c.from, c.target, c.caller, {.kind = kind, .cut = cut_from});
    if (!is_open || (c.to.end_forwarded && c.from.end_forwarded))
        return c.close();
    bool const more =
        kind == disturbance::trickle || c.to.held_bytes > 0 || c.from.held_bytes > 0;
    if (!more || c.pump_scheduled)
        return;
    c.pump_scheduled = true;
    m_loop.timers().at(boot_now() + pump_interval,
                       [this, weak = c.weak_from_this()](instant)
                       {
                           auto const self = weak.lock();
                           if (!self)
                               return;
                           self->pump_scheduled = false;
                           pump(*self);
                       });
}

void relay::remove_closed()
{
    m_connections.remove_if([](auto const& c) { return c->broken; });
}

} // namespace buckthornusher::soak
