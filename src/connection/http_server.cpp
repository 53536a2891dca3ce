// Implementation of the HTTP/1.1 server; see the header.
#include "connection/http_server.hpp"

#include "buckthornusher/answer_delivery.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr int service_unavailable = 503;
constexpr std::size_t read_buffer_bytes = 65'536;
constexpr duration sweep_period = 100ms;
// How long a connection stays half-closed after its last answer. Closing at once while
// unread bytes remain would send a reset, which could discard the answer.
constexpr duration linger_timeout = 2s;
// Added to the announced idle timeout, as a request that the caller sends just before it
// expires arrives later.
constexpr duration idle_grace = 500ms;

// Bodies up to this size are written together with their header.
constexpr std::size_t max_joined_body_bytes = 65'536;
// A request is held by the ingress, for a second attempt, by the agent, and by the
// connection or message that carries it.
constexpr std::uint64_t copies_of_request = 3;
// Between searches for stalled connections, as each looks at all of them.
constexpr duration victim_search_period = 100ms;
constexpr char const* no_memory_text = "no memory for this request now";
constexpr char const* too_long_text = "this body is too long for this node's memory";

http_response rejection_response(int status, std::string const& what)
{
    http_response response{.status = status};
    response.headers.push_back({"Content-Type", "application/problem+json"});
    response.headers.push_back({"buckthornusher-outcome", "refused"});
    response.body = R"({"title":")" + what +
                    R"(","outcome":"refused","ran":false})"
                    "\n";
    return response;
}

} // namespace

// Invariants: `response` is set at most once; `connection` is null once the answer has
// been taken for writing or the connection has closed.
struct http_exchange
{
    http_server::connection* connection = nullptr;
    bool head = false;
    bool close_after = false;
    bool dropped = false; // ends the connection without an answer
    std::optional<http_response> response;
    std::function<void()> on_disconnect;
    std::shared_ptr<memory_hold> request_held; // null once there is a response
    memory_hold held;                          // of the response
};

struct http_server::impl
{
    event_loop* loop = nullptr;
    options opts;
    handler on_request;
    descriptor_watch listener;
    std::map<connection*, std::shared_ptr<connection>> connections;
    std::size_t exchanges = 0;
    std::uint64_t unread_disconnects = 0;
    bool stopping = false;
    instant next_victim_search;
    timer_service::timer_id sweep;

    bool close_stalled();
    char const* no_room_text(std::uint64_t bytes, std::uint64_t size) const;
    void close_until_within_budget();
    bool close_victim(victim_search search, instant now);
    void accept_all();
    void sweep_connections(instant now);
};

// One caller's connection.
//
// It has three phases: it reads requests; it reads no more requests but still writes
// answers (`input_ended`); it has written its last answer and waits for the caller to
// close (`lingering`).
struct http_server::connection : std::enable_shared_from_this<connection>
{
    impl* server = nullptr;
    descriptor_watch watch;
    std::string unread; // bytes received while `max_pipelined` exchanges are unanswered
    std::optional<request_reader> reader;
    std::deque<std::shared_ptr<http_exchange>> exchanges; // unanswered, oldest first
    std::deque<std::string> out;                          // none of them is empty
    std::size_t written = 0;                              // of the first of `out`
    std::uint64_t handed_over = 0;                        // bytes, ever, to `out`
    delivery_watch delivery;
    memory_hold input;  // incomplete requests
    memory_hold output; // unwritten answers
    bool input_ended = false;
    bool lingering = false;
    bool reading_paused = false;
    bool handling = false; // within read_requests()
    instant last_progress; // of the last bytes read or answer bytes written
    instant header_start;
    instant linger_until;
    duration idle_timeout{0}; // announced in the last answer

    void on_readable();
    void take_bytes(std::string_view bytes);
    std::size_t read_requests(std::string_view bytes);
    bool read_request(std::string_view bytes, std::size_t& used);
    bool make_room(memory_hold& hold, std::uint64_t bytes, std::uint64_t size);
    bool reads_request() const { return watch.is_open() && reader.has_value(); }
    bool waits_for_handler() const;
    void dispatch_request();
    void reject(int status, std::string const& what);
    void add(std::shared_ptr<http_exchange> exchange);
    void write_answers();
    void append(http_response response, response_options const& options);
    void hold_output();
    std::uint64_t unwritten_bytes() const;
    bool awaits_delivery(instant now);
    std::uint64_t held() const;
    void flush();
    void begin_lingering();
    enum class overdue_part
    {
        none,
        header,
        body,
        next_request,
    };
    overdue_part overdue(instant now) const;
    void check_time(instant now);
    void resume_reading();
    void close();
};

// ---- reading ----

void http_server::connection::on_readable()
{
    auto const self = shared_from_this();
    static thread_local std::array<char, read_buffer_bytes> buffer;
    while (watch.is_open() && !reading_paused)
    {
        auto const got = tcp_read_all(watch.fd(), buffer.data(), buffer.size());
        // The caller has closed, so it cannot receive answers to the bytes read before.
        if (got.status != io_status::done && got.status != io_status::not_ready)
        {
            server->unread_disconnects += got.bytes > 0 ? 1 : 0;
            return close();
        }
        if (got.bytes == 0)
            return;
        last_progress = boot_now();
        if (!input_ended)
            take_bytes({buffer.data(), got.bytes});
        if (got.status == io_status::not_ready)
            return;
    }
}

void http_server::connection::take_bytes(std::string_view bytes)
{
    if (!unread.empty())
    {
        unread.append(bytes);
        return resume_reading();
    }
    auto const used = read_requests(bytes);
    if (used < bytes.size() && !input_ended)
        unread.assign(bytes.substr(used));
}

// Reads requests from `unread`.
void http_server::connection::resume_reading()
{
    if (handling)
        return;
    auto const bytes = std::exchange(unread, {});
    auto const used = read_requests(bytes);
    if (used < bytes.size() && !input_ended)
        unread = bytes.substr(used) + unread;
}

// Returns how many bytes were used; the caller keeps the rest in `unread`.
std::size_t http_server::connection::read_requests(std::string_view bytes)
{
    handling = true;
    std::size_t used = 0;
    while (!input_ended && watch.is_open() && read_request(bytes, used))
    {
    }
    handling = false;
    bool const full = exchanges.size() >= server->opts.max_pipelined;
    if (full != reading_paused && watch.is_open())
        watch.pause_reading(reading_paused = full);
    return used;
}

// Reads up to the end of one request. Returns false if no further request can be read
// from these bytes now.
bool http_server::connection::read_request(std::string_view bytes, std::size_t& used)
{
    if (exchanges.size() >= server->opts.max_pipelined)
        return false;
    if (!reader)
    {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while (used < bytes.size() && (bytes[used] == '\r' || bytes[used] == '\n'))
            ++used;
        if (used == bytes.size())
            return false;
        reader.emplace(server->opts.limits.read);
        header_start = boot_now();
    }
    bool const had_header = reader->header_complete();
    used += reader->put(bytes.substr(used));
    if (reader->failed())
    {
        auto const error = reader->error(); // a copy, as reject() destroys the reader
        reject(error.status, error.what);
        return false;
    }
    if (!reader->complete())
    {
        if (!had_header && reader->header_complete() && reader->expects_continue() &&
            exchanges.empty())
        {
            out.emplace_back(continue_response);
            handed_over += out.back().size();
            flush();
        }
        if (!reads_request())
            return false;
        auto const bytes = reader->held_bytes();
        if (!make_room(input, bytes, bytes) && reads_request())
            reject(service_unavailable, server->no_room_text(bytes, bytes));
        return false;
    }
    dispatch_request();
    return true;
}

// Sets the hold to `bytes`, for a request of `size`, and closes stalled connections for
// that if it must. Returns false if there is no room. Closing others cancels their
// requests, so others begin and are answered, which may end this connection too: it may
// be closed or read no request afterwards.
bool http_server::connection::make_room(memory_hold& hold, std::uint64_t bytes,
                                        std::uint64_t size)
{
    while (!hold.try_set(bytes, size))
        if (!server->opts.memory->ever_has_room(bytes, size) ||
            !server->close_stalled() || !reads_request())
            return false;
    return true;
}

void http_server::connection::dispatch_request()
{
    auto exchange = std::make_shared<http_exchange>();
    exchange->connection = this;
    exchange->request_held = std::make_shared<memory_hold>(server->opts.memory);
    exchange->held = memory_hold(server->opts.memory);
    auto const size = reader->held_bytes();
    auto const bytes = copies_of_request * size;
    input.set(0);
    bool const fits = make_room(*exchange->request_held, bytes, size);
    if (!reads_request())
        return;
    exchange->close_after = !reader->keep_alive();
    input_ended = exchange->close_after;
    auto request = reader->take();
    reader.reset();
    exchange->head = request.method == "HEAD";
    add(exchange);
    if (!fits && server->opts.memory != nullptr)
        server->opts.memory->note_refused();
    if (!fits)
        return http_reply(exchange).send(
            rejection_response(service_unavailable, server->no_room_text(bytes, size)));
    if (server->exchanges > server->opts.max_exchanges)
        return http_reply(exchange).send(
            rejection_response(service_unavailable, "too many requests at once"));
    server->on_request(std::move(request), http_reply(exchange));
}

void http_server::connection::reject(int status, std::string const& what)
{
    input_ended = true;
    reader.reset();
    unread.clear();
    input.set(0);
    if (status == service_unavailable && server->opts.memory != nullptr)
        server->opts.memory->note_refused();
    auto exchange = std::make_shared<http_exchange>();
    exchange->connection = this;
    exchange->close_after = true;
    add(exchange);
    http_reply(exchange).send(rejection_response(status, what));
}

void http_server::connection::add(std::shared_ptr<http_exchange> exchange)
{
    ++server->exchanges;
    exchanges.push_back(std::move(exchange));
}

// ---- writing ----

void http_server::connection::write_answers()
{
    if (!watch.is_open())
        return;
    auto const self = shared_from_this();
    bool wrote = false;
    while (!exchanges.empty() &&
           (exchanges.front()->response || exchanges.front()->dropped))
    {
        auto const exchange = std::move(exchanges.front());
        exchanges.pop_front();
        --server->exchanges;
        exchange->connection = nullptr;
        exchange->on_disconnect = nullptr;
        // During a stop, requests that are partly read are still read and answered.
        bool const last_while_stopping = server->stopping && exchanges.empty() && !reader;
        bool const last =
            exchange->close_after || exchange->dropped || last_while_stopping;
        idle_timeout = std::max<duration>(server->opts.limits.idle_timeout, 1s);
        auto const idle_seconds =
            std::chrono::duration_cast<std::chrono::seconds>(idle_timeout);
        if (exchange->response)
            append(
                std::move(*exchange->response),
                {.close = last,
                 .head = exchange->head,
                 .keep_alive_seconds = static_cast<std::uint32_t>(idle_seconds.count())});
        wrote = true;
        if (!last)
            continue;
        // Requests after the last answer are dropped. The close tells the caller that
        // they were not answered.
        input_ended = true;
        unread.clear();
        reader.reset();
        input.set(0);
        for (auto const& later : std::exchange(exchanges, {}))
        {
            --server->exchanges;
            later->connection = nullptr;
            if (auto const on_disconnect = std::move(later->on_disconnect))
                on_disconnect();
        }
    }
    if (wrote)
        last_progress = boot_now();
    flush();
    hold_output();
    if (!watch.is_open())
        return;
    if (!unread.empty() || reading_paused)
        resume_reading();
}

// Appends an answer to the bytes to write. A long body is moved, not copied.
void http_server::connection::append(http_response response,
                                     response_options const& options)
{
    bool const has_body = carries_body(response, options) && !response.body.empty();
    bool const joined = has_body && response.body.size() <= max_joined_body_bytes;
    auto text =
        joined ? serialize(response, options) : serialize_header(response, options);
    handed_over += text.size() + (has_body && !joined ? response.body.size() : 0);
    if (!out.empty() && out.back().size() + text.size() <= max_joined_body_bytes)
        out.back() += text;
    else
        out.push_back(std::move(text));
    if (has_body && !joined)
        out.push_back(std::move(response.body));
}

// Counts the unwritten bytes. They are ready for the caller, so they are held in any
// case; if that exceeds the budget, the slowest connections are closed.
void http_server::connection::hold_output()
{
    output.set(unwritten_bytes() + written);
    server->close_until_within_budget();
}

std::uint64_t http_server::connection::unwritten_bytes() const
{
    std::uint64_t bytes = 0;
    for (auto const& part : out)
        bytes += part.size();
    return bytes - written;
}

bool http_server::connection::awaits_delivery(instant now)
{
    auto const sent = handed_over - unwritten_bytes();
    auto const in_kernel = std::min(sent, tcp_unacknowledged_bytes(watch.fd()));
    delivery.note(
        {.handed_over = handed_over, .written = sent, .acknowledged = sent - in_kernel},
        now);
    return delivery.awaited(now);
}

// What closing the connection would give back: requests that are being handled are not
// part of it.
std::uint64_t http_server::connection::held() const
{
    auto bytes = input.bytes() + output.bytes();
    for (auto const& exchange : exchanges)
        bytes += exchange->response ? exchange->held.bytes() : 0;
    return bytes;
}

// Whether its oldest request is being handled, so that no progress is no fault of its
// caller.
bool http_server::connection::waits_for_handler() const
{
    return !exchanges.empty() && !exchanges.front()->response;
}

void http_server::connection::flush()
{
    while (watch.is_open() && !out.empty())
    {
        auto const put =
            tcp_write(watch.fd(), std::string_view(out.front()).substr(written));
        if (put.status == io_status::not_ready)
            return watch.request_write();
        if (put.status != io_status::done)
            return close();
        written += put.bytes;
        last_progress = boot_now();
        if (written < out.front().size())
            continue;
        output.set(output.bytes() -
                   std::min<std::uint64_t>(output.bytes(), out.front().size()));
        out.pop_front();
        written = 0;
    }
    output.set(0);
    if (input_ended && exchanges.empty() && watch.is_open() && !lingering)
        begin_lingering();
}

void http_server::connection::begin_lingering()
{
    lingering = true;
    linger_until = boot_now() + linger_timeout;
    tcp_shutdown_write(watch.fd());
    if (reading_paused)
        watch.pause_reading(reading_paused = false);
}

// ---- end ----

void http_server::connection::close()
{
    auto const self = shared_from_this();
    watch.close();
    server->connections.erase(this);
    input.set(0);
    output.set(0);
    out.clear();
    unread.clear();
    reader.reset();
    for (auto const& exchange : std::exchange(exchanges, {}))
    {
        --server->exchanges;
        exchange->connection = nullptr;
        if (auto const on_disconnect = std::move(exchange->on_disconnect))
            on_disconnect();
    }
}

// Returns the part of a request for which the caller has exceeded the timeout.
http_server::connection::overdue_part http_server::connection::overdue(instant now) const
{
    auto const& limits = server->opts.limits;
    auto const since_progress = now - last_progress;
    if (reader && !reader->header_complete())
        return now - header_start > limits.header_timeout ? overdue_part::header
                                                          : overdue_part::none;
    if (reader)
        return since_progress > limits.idle_timeout ? overdue_part::body
                                                    : overdue_part::none;
    auto const idle = std::max(limits.idle_timeout, idle_timeout) + idle_grace;
    return exchanges.empty() && since_progress > idle ? overdue_part::next_request
                                                      : overdue_part::none;
}

void http_server::connection::check_time(instant now)
{
    if (lingering)
    {
        if (now >= linger_until)
            close();
        return;
    }
    if (overdue(now) == overdue_part::none)
        return;
    // After a long round of the event loop, timers run before descriptors are read: the
    // bytes may have arrived in time and be unread.
    on_readable();
    if (!watch.is_open())
        return;
    switch (overdue(now))
    {
    case overdue_part::none:
        return;
    case overdue_part::header:
        return reject(408, "the header did not come in time");
    case overdue_part::body:
        return reject(408, "the body did not come in time");
    case overdue_part::next_request:
        return close(); // also if the caller does not read its answers
    }
}

// ---- the server ----

bool http_server::impl::close_victim(victim_search search, instant now)
{
    std::vector<memory_holder> holders;
    std::vector<connection*> holding;
    for (auto const& entry : connections)
    {
        auto const* c = entry.first;
        // Neither a connection that asks for room for its request nor one that waits for
        // its answer is stalled.
        bool const spared = c->handling || c->waits_for_handler();
        if (c->held() == 0 || (spared && search == victim_search::stalled))
            continue;
        holders.push_back(
            {.bytes = c->held(),
             .last_progress = c->waits_for_handler() ? now : c->last_progress});
        holding.push_back(entry.first);
    }
    auto const victim = choose_victim(holders, search, now, opts.memory->options());
    if (!victim)
        return false;
    opts.memory->note_closed();
    holding[*victim]->close();
    return true;
}

char const* http_server::impl::no_room_text(std::uint64_t bytes, std::uint64_t size) const
{
    return opts.memory->ever_has_room(bytes, size) ? no_memory_text : too_long_text;
}

// Closes a stalled connection. Returns false if there is none.
bool http_server::impl::close_stalled()
{
    auto const now = boot_now();
    if (opts.memory == nullptr || now < next_victim_search)
        return false;
    if (close_victim(victim_search::stalled, now))
        return true;
    next_victim_search = now + victim_search_period;
    return false;
}

void http_server::impl::close_until_within_budget()
{
    if (opts.memory == nullptr || !opts.memory->exceeded())
        return;
    auto const now = boot_now();
    while (opts.memory->exceeded() && close_victim(victim_search::any, now))
    {
    }
}

void http_server::impl::accept_all()
{
    for (;;)
    {
        int const fd = tcp_accept(listener.fd());
        if (fd < 0)
            return; // no pending connection, or no free descriptor
        auto c = std::make_shared<connection>();
        c->server = this;
        c->input = memory_hold(opts.memory);
        c->output = memory_hold(opts.memory);
        c->last_progress = boot_now();
        auto* raw = c.get();
        c->watch = descriptor_watch(*loop, fd,
                                    {.readable = [raw] { raw->on_readable(); },
                                     .writable = [raw] { raw->flush(); },
                                     .closed =
                                         [raw]
                                     {
                                         raw->close();
                                     }});
        if (!c->watch.is_open())
            continue;
        connections.emplace(raw, std::move(c));
    }
}

void http_server::impl::sweep_connections(instant now)
{
    auto const all = connections; // a copy, as a check may close connections
    for (auto const& entry : all)
        entry.second->check_time(now);
    sweep = loop->timers().at(now + sweep_period,
                              [this](instant at) { sweep_connections(at); });
}

http_reply::http_reply(std::weak_ptr<http_exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void http_reply::send(http_response response) const
{
    auto const exchange = m_exchange.lock();
    if (exchange == nullptr || exchange->connection == nullptr || exchange->response)
        return;
    exchange->request_held.reset();
    exchange->held.set(response.body.size());
    exchange->response = std::move(response);
    exchange->connection->write_answers();
}

std::shared_ptr<memory_hold> http_reply::request_hold() const
{
    auto const exchange = m_exchange.lock();
    return exchange == nullptr ? nullptr : exchange->request_held;
}

void http_reply::on_disconnect(std::function<void()> fn) const
{
    if (auto const exchange = m_exchange.lock())
        exchange->on_disconnect = std::move(fn);
}

void http_reply::drop() const
{
    auto const exchange = m_exchange.lock();
    if (exchange == nullptr || exchange->connection == nullptr || exchange->response)
        return;
    exchange->dropped = true;
    exchange->connection->write_answers();
}

http_server::http_server(event_loop& loop, options opts, handler on_request)
    : m_impl(std::make_shared<impl>())
{
    m_impl->loop = &loop;
    m_impl->opts = std::move(opts);
    m_impl->on_request = std::move(on_request);
    int const fd = tcp_listen(m_impl->opts.address);
    if (fd < 0)
        throw std::runtime_error("http server: cannot listen on " +
                                 to_string(m_impl->opts.address) + ": " +
                                 std::strerror(errno));
    m_impl->listener = descriptor_watch(loop, fd,
                                        {.readable = [raw = m_impl.get()]
                                         {
                                             raw->accept_all();
                                         }});
    m_impl->sweep_connections(boot_now());
}

http_server::~http_server()
{
    m_impl->loop->timers().cancel(m_impl->sweep);
    m_impl->listener.close();
    for (auto const& entry : std::exchange(m_impl->connections, {}))
    {
        auto& c = *entry.second;
        c.watch.close();
        for (auto const& exchange : c.exchanges)
            exchange->connection = nullptr;
    }
}

void http_server::set_limits(http_server_limits limits)
{
    m_impl->opts.limits = limits;
}

void http_server::begin_stopping()
{
    m_impl->stopping = true;
}

std::uint64_t http_server::unread_disconnects() const
{
    return m_impl->unread_disconnects;
}

std::size_t http_server::awaited_deliveries(instant now)
{
    return static_cast<std::size_t>(std::count_if(
        m_impl->connections.begin(), m_impl->connections.end(),
        [&](auto const& entry) { return entry.second->awaits_delivery(now); }));
}

std::size_t http_server::connections() const
{
    return m_impl->connections.size();
}

} // namespace buckthornusher
