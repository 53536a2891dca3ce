// Implementation of the HTTP/1.1 client; see the header.
#include "connection/http_client.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr std::size_t read_buffer_bytes = 65'536;
// A connection is not reused within this time before its peer may close it.
constexpr duration idle_margin = 1s;
constexpr duration sweep_period = 500ms;
// Bodies up to this size are written together with their header.
constexpr std::size_t max_joined_body_bytes = 65'536;
// A request that is no longer fits into the receive buffer of any peer.
constexpr std::size_t max_unhindered_bytes = 1'024;
constexpr int switching_protocols = 101; // never asked for

bool is_status(int status)
{
    return is_final_status(status) ||
           (is_interim_status(status) && status != switching_protocols);
}

// A call and its state. Lives from call() until `done` is called.
struct running_call
{
    http_client::call_id id = 0;
    http_request request;
    http_client::callback done;
    std::optional<timer_service::timer_id> timer;
};

} // namespace

// Outlives the client while one of its callbacks runs, since a callback may destroy the
// client. Whatever runs on after a callback checks `destroyed`.
struct http_client::impl : std::enable_shared_from_this<impl>
{
    event_loop* loop = nullptr;
    bool destroyed = false;
    options opts;
    // All open connections. Those without a call are also in `idle`, the most recently
    // used last.
    std::map<connection*, std::shared_ptr<connection>> connections;
    std::list<connection*> idle;
    std::map<call_id, connection*> calls;
    std::size_t incomplete_bytes = 0; // sum of received_bytes over all connections
    call_id next_id = 1;
    std::uint64_t opened = 0;
    timer_service::timer_id sweep;

    connection* take_idle(instant now);
    connection* open(instant now);
    void close_idle_if_full();
    void enforce_byte_limit();
    void sweep_connections(instant now);
};

struct http_client::connection : std::enable_shared_from_this<connection>
{
    impl* client = nullptr;
    descriptor_watch watch;
    bool connecting = true;
    instant connect_by;
    std::optional<running_call> call;
    std::optional<response_reader> reader;
    std::string out;
    std::size_t written = 0;       // of `out`, and then of the call's body
    std::size_t request_bytes = 0; // of the current call
    bool body_follows_out = false; // it is long, and not in `out`
    bool reused = false;
    bool lost = false;              // a write found the connection broken
    bool checks_silence = false;    // in place of the kernel
    bool unmatched_message = false; // a message that was not the response arrived
    bool any_sent = false;
    bool any_received = false;      // of the current call's response
    std::size_t received_bytes = 0; // since the current call began
    instant idle_until;

    void start(running_call c);
    void on_writable();
    void on_readable();
    std::string_view unwritten() const;
    void flush();
    void take_bytes(std::string_view bytes);
    bool add_received_bytes(std::size_t count);
    void release_bytes();
    bool handle_message(std::string_view rest);
    void check_silence();
    void finish(http_response response, bool reuse);
    void fail(http_failure::step failed_step);
    void end_of_stream();
    void close();
};

// ---- calls ----

void http_client::connection::start(running_call c)
{
    call = std::move(c);
    client->calls[call->id] = this;
    if (header_value(call->request.headers, "host") == nullptr)
        call->request.headers.push_back({"Host", to_string(client->opts.peer)});
    body_follows_out = call->request.body.size() > max_joined_body_bytes;
    out = body_follows_out ? serialize_header(call->request) : serialize(call->request);
    written = 0;
    request_bytes = out.size() + (body_follows_out ? call->request.body.size() : 0);
    any_sent = false;
    any_received = false;
    reader.emplace(client->opts.limits, call->request.method == "HEAD");
    if (connecting)
        watch.request_write();
    else
        flush();
}

void http_client::connection::on_writable()
{
    auto const self = shared_from_this();
    if (connecting)
    {
        if (tcp_connect_error(watch.fd()) != 0)
            return fail(http_failure::step::connect);
        connecting = false;
    }
    flush();
}

// Returns bytes of the request to write next; none if it has been written, or has ended.
std::string_view http_client::connection::unwritten() const
{
    if (written < out.size())
        return std::string_view(out).substr(written);
    if (!body_follows_out || !call)
        return {};
    return std::string_view(call->request.body).substr(written - out.size());
}

void http_client::connection::flush()
{
    while (watch.is_open())
    {
        auto const next = unwritten();
        if (next.empty())
            break;
        auto const put = tcp_write(watch.fd(), next);
        if (put.status == io_status::not_ready)
            return watch.request_write();
        if (put.status != io_status::done)
        {
            // The peer may have responded before, so the response is read first.
            lost = put.status == io_status::broken;
            return on_readable();
        }
        any_sent = true;
        written += put.bytes;
    }
    if (body_follows_out && call)
        call->request.body = std::string();
    body_follows_out = false;
    out.clear();
    written = 0;
}

void http_client::connection::on_readable()
{
    auto const self = shared_from_this();
    static thread_local std::array<char, read_buffer_bytes> buffer;
    while (watch.is_open())
    {
        if (connecting)
            return on_writable(); // a failed connection is also readable
        auto const got = tcp_read(watch.fd(), buffer.data(), buffer.size());
        if (got.status == io_status::not_ready)
            return;
        if (got.status == io_status::ended && !lost)
            return end_of_stream();
        if (got.status != io_status::done)
            return fail(http_failure::step::answer);
        take_bytes({buffer.data(), got.bytes});
        // Must follow take_bytes(): the callback of a call that fails here may read into
        // the same thread-local buffer.
        if (watch.is_open())
            client->enforce_byte_limit();
        // The end of the connection may be that of the response. It must be read now, as
        // the watch closes a descriptor that both sides are done with.
        bool const needs_eof = reader && reader->needs_eof();
        if (got.bytes < buffer.size() && !needs_eof)
            return;
    }
}

// Fails the call and returns false if its bytes exceed the limits.
bool http_client::connection::add_received_bytes(std::size_t count)
{
    received_bytes += count;
    client->incomplete_bytes += count;
    auto const& limits = client->opts.limits;
    if (received_bytes > limits.header_bytes + limits.body_bytes)
        return fail(http_failure::step::too_long), false;
    return true;
}

void http_client::connection::release_bytes()
{
    client->incomplete_bytes -= std::exchange(received_bytes, 0);
}

void http_client::connection::take_bytes(std::string_view bytes)
{
    if (call && !add_received_bytes(bytes.size()))
        return;
    while (!bytes.empty())
    {
        if (!call)
            return close(); // unsolicited bytes
        any_received = true;
        auto const used = reader->put(bytes);
        bytes.remove_prefix(used);
        if (reader->failed())
            return fail(http_failure::step::answer);
        if (!reader->complete())
            return;
        if (!handle_message(bytes))
            return;
    }
}

// Handles a complete message; `rest` are the bytes after it. Returns true if the response
// is still awaited, starting with those bytes.
bool http_client::connection::handle_message(std::string_view rest)
{
    bool const head = call->request.method == "HEAD";
    bool const keep_alive = reader->keep_alive();
    auto const peer_timeout = reader->keep_alive_seconds();
    auto response = reader->take();
    if (!is_status(response.status))
        return fail(http_failure::step::answer), false;
    bool const interim = is_interim_status(response.status);
    bool const matches = interim || !client->opts.is_response_to ||
                         client->opts.is_response_to(call->request, response);
    if (interim || !matches)
    {
        unmatched_message = unmatched_message || !matches;
        if (!keep_alive && !interim)
            return fail(http_failure::step::answer), false;
        reader.emplace(client->opts.limits, head);
        return true;
    }
    auto idle = client->opts.idle_timeout;
    if (peer_timeout)
        idle = std::min<duration>(idle, std::chrono::seconds(*peer_timeout));
    idle_until = boot_now() + idle - idle_margin;
    bool const request_written = unwritten().empty();
    finish(std::move(response),
           keep_alive && request_written && rest.empty() && !unmatched_message);
    return false;
}

// Fails the call if its peer is lost. The kernel would also take a peer for lost that
// reads a long request slowly, so it is not left to it once a call takes longer.
void http_client::connection::check_silence()
{
    if (request_bytes <= max_unhindered_bytes)
        return;
    auto const silence = tcp_peer_silence(watch.fd());
    if (!silence)
        return;
    if (!std::exchange(checks_silence, true))
        tcp_set_unacknowledged_timeout(watch.fd(), 0s);
    if (is_lost(*silence, client->opts.unacknowledged_timeout))
        fail(http_failure::step::answer);
}

void http_client::connection::finish(http_response response, bool reuse)
{
    auto const self = shared_from_this();
    auto finished = std::move(*call);
    call.reset();
    reader.reset();
    release_bytes();
    client->calls.erase(finished.id);
    if (finished.timer)
        client->loop->timers().cancel(*finished.timer);
    if (reuse)
    {
        reused = true;
        if (std::exchange(checks_silence, false))
            tcp_set_unacknowledged_timeout(watch.fd(),
                                           client->opts.unacknowledged_timeout);
        client->idle.push_back(this);
    }
    else
        close();
    finished.done(std::move(response));
}

void http_client::connection::fail(http_failure::step failed_step)
{
    auto const self = shared_from_this();
    std::optional<running_call> failed;
    std::swap(failed, call);
    release_bytes();
    close();
    if (!failed)
        return;
    client->calls.erase(failed->id);
    if (failed->timer)
        client->loop->timers().cancel(*failed->timer);
    if (failed_step == http_failure::step::answer && !any_sent)
        failed_step = http_failure::step::connect;
    failed->done(http_failure{.failed_step = failed_step,
                              .sent = any_sent,
                              .reused = reused,
                              .response_started = any_received,
                              .peer = to_string(client->opts.peer)});
}

void http_client::connection::end_of_stream()
{
    if (!call)
        return close();
    reader->put_eof();
    if (!reader->complete())
        return fail(http_failure::step::answer);
    if (handle_message({}))
        fail(http_failure::step::answer);
}

void http_client::connection::close()
{
    auto const self = shared_from_this();
    watch.close();
    client->idle.remove(this);
    client->connections.erase(this);
    if (call)
        fail(http_failure::step::answer);
}

// ---- connections ----

http_client::connection* http_client::impl::take_idle(instant now)
{
    while (!idle.empty())
    {
        auto* c = idle.back();
        if (c->idle_until <= now)
        {
            c->close(); // also removes it from `idle`
            continue;
        }
        idle.pop_back();
        return c;
    }
    return nullptr;
}

void http_client::impl::close_idle_if_full()
{
    if (connections.size() >= opts.max_connections && !idle.empty())
        idle.front()->close(); // also removes it from `idle`
}

http_client::connection* http_client::impl::open(instant now)
{
    int const fd = tcp_connect(opts.peer, opts.unacknowledged_timeout);
    if (fd < 0)
        return nullptr;
    auto c = std::make_shared<connection>();
    auto* raw = c.get();
    c->client = this;
    c->connect_by = now + opts.connect_timeout;
    c->watch = descriptor_watch(*loop, fd,
                                {.readable = [raw] { raw->on_readable(); },
                                 .writable = [raw] { raw->on_writable(); },
                                 .closed =
                                     [raw]
                                 {
                                     raw->close();
                                 }});
    if (!c->watch.is_open())
        return nullptr;
    ++opened;
    connections.emplace(raw, std::move(c));
    return raw;
}

void http_client::impl::enforce_byte_limit()
{
    if (incomplete_bytes <= opts.max_incomplete_bytes)
        return;
    auto const largest_entry =
        std::max_element(connections.begin(), connections.end(),
                         [](auto const& a, auto const& b)
                         { return a.second->received_bytes < b.second->received_bytes; });
    auto const largest = largest_entry->second;
    largest->fail(http_failure::step::too_long);
}

void http_client::impl::sweep_connections(instant now)
{
    auto const self = shared_from_this();
    auto const all = connections; // a copy, as closing a connection changes the map
    for (auto const& entry : all)
    {
        if (destroyed)
            return;
        auto& c = *entry.second;
        if (c.connecting && c.connect_by <= now)
            c.fail(http_failure::step::connect);
        else if (!c.call && c.idle_until <= now)
            c.close();
        else if (c.call && !c.connecting)
            c.check_silence();
    }
    if (destroyed)
        return;
    sweep = loop->timers().at(now + sweep_period,
                              [this](instant at) { sweep_connections(at); });
}

http_client::http_client(event_loop& loop, options opts)
    : m_impl(std::make_shared<impl>())
{
    m_impl->loop = &loop;
    m_impl->opts = std::move(opts);
    m_impl->sweep_connections(boot_now());
}

http_client::~http_client()
{
    m_impl->destroyed = true;
    m_impl->loop->timers().cancel(m_impl->sweep);
    for (auto const& entry : std::exchange(m_impl->connections, {}))
    {
        auto& c = *entry.second;
        if (c.call && c.call->timer)
            m_impl->loop->timers().cancel(*c.call->timer);
        c.call.reset();
        c.watch.close();
    }
}

http_client::call_id http_client::call(http_request request, duration timeout,
                                       callback done, call_connection selection)
{
    auto const id = m_impl->next_id++;
    auto const now = boot_now();
    auto const fail_with_step = [&](http_failure::step failed_step)
    {
        done(http_failure{.failed_step = failed_step,
                          .sent = false,
                          .peer = to_string(m_impl->opts.peer)});
        return id;
    };
    connection* c = nullptr;
    if (selection == call_connection::any)
        c = m_impl->take_idle(now);
    else
        m_impl->close_idle_if_full();
    if (c == nullptr && m_impl->connections.size() >= m_impl->opts.max_connections)
        return fail_with_step(http_failure::step::busy);
    if (c == nullptr)
        c = m_impl->open(now);
    if (c == nullptr)
        return fail_with_step(http_failure::step::connect);
    running_call running{
        .id = id, .request = std::move(request), .done = std::move(done), .timer = {}};
    if (timeout > 0us)
        running.timer =
            m_impl->loop->timers().at(now + timeout,
                                      [impl = m_impl.get(), id](instant)
                                      {
                                          auto const it = impl->calls.find(id);
                                          if (it == impl->calls.end())
                                              return;
                                          it->second->call->timer.reset();
                                          it->second->fail(http_failure::step::timeout);
                                      });
    c->start(std::move(running));
    return id;
}

void http_client::cancel(call_id id)
{
    auto const it = m_impl->calls.find(id);
    if (it != m_impl->calls.end())
        it->second->fail(http_failure::step::cancelled);
}

bool http_client::cancel_if_unsent(call_id id)
{
    auto const it = m_impl->calls.find(id);
    if (it == m_impl->calls.end() || it->second->any_sent)
        return false;
    it->second->fail(http_failure::step::cancelled);
    return true;
}

bool http_client::has_sent(call_id id) const
{
    auto const it = m_impl->calls.find(id);
    return it == m_impl->calls.end() || it->second->any_sent;
}

std::size_t http_client::incomplete_bytes() const
{
    return m_impl->incomplete_bytes;
}

std::size_t http_client::connections() const
{
    return m_impl->connections.size();
}

std::uint64_t http_client::connections_opened() const
{
    return m_impl->opened;
}

char const* to_string(http_failure::step failed_step)
{
    switch (failed_step)
    {
    case http_failure::step::busy:
        return "busy";
    case http_failure::step::connect:
        return "connect";
    case http_failure::step::answer:
        return "answer";
    case http_failure::step::too_long:
        return "too-long";
    case http_failure::step::timeout:
        return "timeout";
    case http_failure::step::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace buckthornusher
