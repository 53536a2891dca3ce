// Implementation of the parts of the review's cases; see the header.
#include "rig.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace rig
{

using nlohmann::json;

namespace
{

auto const start_time = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::FILE* record_file = nullptr;

bool equal_names(std::string const& a, std::string const& b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in socket_address(std::string const& ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto const mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream in(target.substr(mark + 1));
    for (std::string part; std::getline(in, part, '&');)
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
    return {};
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_time)
        .count();
}

void sleep_for(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void open_record(std::string const& path)
{
    record_file = std::fopen(path.c_str(), "w");
}

void record(char const* format, ...)
{
    std::lock_guard const lock(record_mutex);
    if (record_file == nullptr)
        return;
    std::fprintf(record_file, "%9.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file, format, args);
    va_end(args);
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

std::string address(int n)
{
    static int const run = static_cast<int>(getpid());
    return "127." + std::to_string(64 + run % 128) + "." +
           std::to_string(run / 128 % 250) + "." + std::to_string(n);
}

bool trouble()
{
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string temporary_directory()
{
    std::string name = "/tmp/review-XXXXXX";
    auto const* made = mkdtemp(name.data());
    return made == nullptr ? std::string() : name;
}

// ---- messages ----

std::string message::header(std::string const& name) const
{
    for (auto const& h : headers)
        if (equal_names(h.first, name))
            return h.second;
    return {};
}

std::string message::target() const
{
    auto const first = start.find(' ');
    auto const last = start.rfind(' ');
    return first == last ? std::string() : start.substr(first + 1, last - first - 1);
}

int message::status() const
{
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
}

connection::~connection()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

void connection::reset()
{
    linger const now_and_hard{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof(now_and_hard));
    ::close(std::exchange(m_fd, -1));
}

void connection::reset_from_outside() const
{
    linger const now_and_hard{1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now_and_hard, sizeof(now_and_hard));
    ::shutdown(m_fd, SHUT_RD);
}

std::unique_ptr<connection> connection::open(std::string const& ip, int port,
                                             double timeout)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return nullptr;
    auto c = std::make_unique<connection>(fd);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    auto const to = socket_address(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof(to)) != 0)
    {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (::poll(&p, 1, static_cast<int>(timeout * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    int const one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return c;
}

bool connection::write(std::string const& bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        auto const n =
            ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool connection::fill(double until)
{
    pollfd p{m_fd, POLLIN, 0};
    auto const left = until - now();
    if (left <= 0 || ::poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0)
        return false;
    char buffer[65536];
    auto const n = ::recv(m_fd, buffer, sizeof(buffer), 0);
    if (n <= 0)
        return false;
    m_buffer.append(buffer, static_cast<std::size_t>(n));
    return true;
}

bool connection::peer_closed() const
{
    char c = 0;
    auto const n = ::recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::read(message& out, double timeout)
{
    auto const until = now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill(until))
            return false;
    out = {};
    std::istringstream head(m_buffer.substr(0, end + 2));
    std::string line;
    std::getline(head, line);
    out.start = line.substr(0, line.size() - 1);
    while (std::getline(head, line) && line.size() > 1)
    {
        line.pop_back();
        auto const colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers.emplace_back(line.substr(0, colon), value);
    }
    auto const length = out.header("Content-Length");
    auto const size = length.empty() ? 0 : std::stoull(length);
    while (m_buffer.size() < end + 4 + size)
        if (!fill(until))
            return false;
    out.body = m_buffer.substr(end + 4, size);
    m_buffer.erase(0, end + 4 + size);
    return true;
}

std::string response(int status,
                     std::vector<std::pair<std::string, std::string>> const& headers,
                     std::string const& body)
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& h : headers)
        text += h.first + ": " + h.second + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request_text(std::string const& method, std::string const& host,
                         std::string const& path, std::string const& id, int deadline_ms,
                         std::vector<std::pair<std::string, std::string>> const& more,
                         std::string const& body)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                "\r\nX-Buckthornusher-Request-Id: " + id +
                "\r\nX-Buckthornusher-Deadline-Ms: " + std::to_string(deadline_ms) +
                "\r\n";
    for (auto const& h : more)
        text += h.first + ": " + h.second + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

outcome ask(connection& c, std::string const& bytes, double timeout)
{
    outcome seen;
    if (!c.write(bytes))
    {
        seen.closed = true;
        return seen;
    }
    if (c.read(seen.answer, timeout))
    {
        seen.status = seen.answer.status();
        seen.complete = true;
        return seen;
    }
    seen.closed = c.peer_closed();
    return seen;
}

// ---- servers ----

server::server(std::string ip, int port, handler on_message, gate accepts)
{
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const one = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto const at = socket_address(ip, port);
    if (::bind(m_fd, reinterpret_cast<sockaddr const*>(&at), sizeof(at)) != 0 ||
        ::listen(m_fd, 512) != 0)
    {
        ::close(std::exchange(m_fd, -1));
        return;
    }
    m_thread = std::thread(
        [this, on_message = std::move(on_message), accepts = std::move(accepts)]
        {
            while (!m_stop)
            {
                pollfd p{m_fd, POLLIN, 0};
                if (::poll(&p, 1, 100) <= 0)
                    continue;
                int const fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                auto c = std::make_shared<connection>(fd);
                if (accepts && !accepts())
                {
                    c->reset();
                    continue;
                }
                int const on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                ++*m_open;
                {
                    std::lock_guard const lock(m_mutex);
                    std::erase_if(m_connections,
                                  [](auto const& known) { return known.expired(); });
                    m_connections.push_back(c);
                }
                std::thread(
                    [c, on_message, open = m_open]
                    {
                        constexpr double idle = 30;
                        message m;
                        while (c->read(m, idle) && on_message(*c, m))
                        {
                        }
                        --*open;
                    })
                    .detach();
            }
        });
}

void server::reset_connections()
{
    std::lock_guard const lock(m_mutex);
    for (auto const& known : m_connections)
        if (auto const c = known.lock())
            c->reset_from_outside();
}

void server::stop_listening()
{
    m_stop = true;
    if (m_thread.joinable())
        m_thread.join();
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

server::~server()
{
    stop_listening();
}

// ---- the store ----

store::store(std::string const& ip, int port)
    : m_server(ip, port, [this](connection& c, message const& m) { return handle(c, m); })
{
}

json store::to_json(std::string const& name, object const& o) const
{
    return {{"metadata",
             {{"name", name},
              {"revision", o.revision},
              {"create_revision", o.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", nullptr}};
}

void store::put_config(json const& spec)
{
    std::lock_guard const lock(m_mutex);
    auto& o = m_kinds["config"]["main"];
    o.spec = spec;
    o.revision = ++m_revision;
    if (o.created == 0)
        o.created = o.revision;
    m_history.push_back(
        {m_revision, "config", {{"deleted", false}, {"object", to_json("main", o)}}});
    m_changed.notify_all();
}

std::string store::watch(std::string const& kind, std::uint64_t since, double wait)
{
    std::unique_lock lock(m_mutex);
    auto const until = std::chrono::steady_clock::now() +
                       std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                           std::chrono::duration<double>(wait));
    json events = json::array();
    for (;;)
    {
        for (auto const& c : m_history)
            if (c.revision > since && c.kind == kind)
                events.push_back(c.event);
        if (!events.empty() ||
            m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return json{{"events", events}, {"store_revision", m_revision}}.dump();
}

bool store::handle(connection& c, message const& m)
{
    auto const target = m.target();
    auto path = target.substr(0, target.find('?'));
    constexpr char const* prefix = "/v1/objects/";
    if (path.rfind(prefix, 0) != 0)
        return c.write(response(404, {}, "{}"));
    path.erase(0, std::strlen(prefix));
    auto const slash = path.find('/');
    auto const kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    auto const since = query_value(target, "watch");
    if (m.method() == "GET" && !since.empty())
    {
        auto const wait = query_value(target, "wait_ms");
        auto const ms = wait.empty() ? 0 : std::stoull(wait);
        return c.write(response(
            200, {}, watch(kind, std::stoull(since), static_cast<double>(ms) / 1000)));
    }
    std::lock_guard const lock(m_mutex);
    auto& all = m_kinds[kind];
    if (m.method() == "GET")
    {
        json items = json::array();
        for (auto const& [n, o] : all)
            items.push_back(to_json(n, o));
        return c.write(response(
            200, {},
            json{{"items", items}, {"has_more", false}, {"store_revision", m_revision}}
                .dump()));
    }
    auto const body = json::parse(m.body, nullptr, false);
    auto const meta = body.is_object() ? body.value("metadata", json::object()) : json{};
    if (m.method() == "POST")
        name = meta.value("name", "");
    auto const it = all.find(name);
    bool const exists = it != all.end();
    if (m.method() == "POST" && exists)
        return c.write(response(409, {}, to_json(name, it->second).dump()));
    if (m.method() != "POST" && !exists)
        return c.write(response(404, {}, "{}"));
    auto const asked = query_value(target, "revision");
    auto const expected = meta.is_object() && meta.contains("revision")
                              ? meta["revision"].get<std::uint64_t>()
                              : (asked.empty() ? 0 : std::stoull(asked));
    if (exists && expected != 0 && expected != it->second.revision)
        return c.write(response(409, {}, to_json(name, it->second).dump()));
    if (m.method() == "DELETE")
    {
        it->second.revision = ++m_revision;
        auto const last = to_json(name, it->second);
        all.erase(it);
        m_history.push_back({m_revision, kind, {{"deleted", true}, {"object", last}}});
        m_changed.notify_all();
        return c.write(response(200, {}, last.dump()));
    }
    auto& o = all[name];
    auto const spec = body.value("spec", json{});
    if (exists && o.spec == spec)
        return c.write(response(200, {}, to_json(name, o).dump()));
    o.spec = spec;
    o.revision = ++m_revision;
    if (!exists)
        o.created = o.revision;
    auto const text = to_json(name, o);
    m_history.push_back({m_revision, kind, {{"deleted", false}, {"object", text}}});
    m_changed.notify_all();
    return c.write(response(exists ? 200 : 201, {}, text.dump()));
}

json service_entry(std::string const& name, bool sharded)
{
    json s{{"name", name},
           {"health_path", "/health"},
           {"max_conns", 110},
           {"protocol", "h1"},
           {"tls", false}};
    if (sharded)
    {
        s["sharded"] = true;
        s["warmup_s"] = 5.0;
        s["grants"] = "heartbeat";
    }
    return s;
}

json route_entry(std::string const& name, std::string const& host,
                 std::string const& prefix, bool idempotent, std::string const& service,
                 int timeout_ms, int latency_ms)
{
    return {{"name", name},
            {"host", host},
            {"path_prefix", prefix},
            {"kind", idempotent ? "idempotent" : "non_idempotent"},
            {"timeout_ms", timeout_ms},
            {"slo_latency_ms", latency_ms},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
}

json configuration(int version, json routes, json services)
{
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// ---- targets ----

target::target(target_options opts) : work(opts.work), m_options(std::move(opts))
{
    m_units.resize(units);
    m_begins.resize(units);
    m_born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    m_server = std::make_unique<server>(
        m_options.ip, m_options.port,
        [this](connection& c, message const& m) { return handle(c, m); },
        [this]
        {
            if (ended)
                return false;
            bool const room = m_server->open_connections() < m_options.max_connections &&
                              m_queued <= long_queue;
            m_resets += room ? 0 : 1;
            return room;
        });
    m_beats = std::thread([this] { beat_loop(); });
}

target::~target()
{
    m_stop = true;
    m_beats.join();
    m_slot_free.notify_all();
}

bool target::crash()
{
    constexpr int queue_fillers = 4;
    beats = false;
    ended = true;
    m_server->stop_listening();
    m_server->reset_connections();
    m_silent_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const one = 1;
    setsockopt(m_silent_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto const at = socket_address(m_options.ip, m_options.port);
    auto const* address = reinterpret_cast<sockaddr const*>(&at);
    if (::bind(m_silent_listener, address, sizeof(at)) != 0 ||
        ::listen(m_silent_listener, 0) != 0)
        return false;
    // With its queue full, the port drops further opening packets.
    for (int i = 0; i < queue_fillers; ++i)
    {
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)::connect(fd, address, sizeof(at));
        m_silent_connections.push_back(fd);
    }
    return true;
}

void target::end_silence()
{
    for (int const fd : std::exchange(m_silent_connections, {}))
        ::close(fd);
    ::close(std::exchange(m_silent_listener, -1));
}

std::vector<run_entry> target::runs() const
{
    std::lock_guard const lock(m_mutex);
    return m_runs;
}

std::vector<double> target::begins(int index) const
{
    std::lock_guard const lock(m_mutex);
    return m_begins[static_cast<std::size_t>(index)];
}

bool target::holds(int index, double at) const
{
    std::lock_guard const lock(m_mutex);
    auto const& u = m_units[static_cast<std::size_t>(index)];
    return u.held && at < u.until;
}

int target::held_units() const
{
    std::lock_guard const lock(m_mutex);
    auto const t = now();
    return static_cast<int>(std::count_if(m_units.begin(), m_units.end(),
                                          [&](unit_state const& u)
                                          { return u.held && t < u.until; }));
}

bool target::handle(connection& c, message const& m)
{
    auto const id = m.header("X-Buckthornusher-Request-Id");
    auto const path = m.target();
    if (ended)
    {
        c.reset();
        return false;
    }
    if (path == "/health")
        return c.write(response(draining ? 503 : 200,
                                {{"X-Buckthornusher-Instance-Id", m_options.id}}, ""));
    auto const expected = m.header("X-Buckthornusher-Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        return c.write(response(421,
                                {{"X-Buckthornusher-Request-Id", id},
                                 {"X-Buckthornusher-Instance-Id", m_options.id}},
                                ""));
    int index = -1;
    if (m_options.sharded)
        index = std::atoi(m.header("X-Buckthornusher-Shard-Key").c_str()) / unit;
    return run(c, m, index);
}

bool target::run(connection& c, message const& m, int index)
{
    auto const id = m.header("X-Buckthornusher-Request-Id");
    auto const not_run = [&](int status)
    {
        return c.write(response(
            status,
            {{"X-Buckthornusher-Request-Id", id}, {"X-Buckthornusher-Not-Executed", "1"}},
            ""));
    };
    auto const left = m.header("X-Buckthornusher-Deadline-Ms");
    auto const deadline = now() + (left.empty() ? 10.0 : std::atof(left.c_str()) / 1000);
    std::unique_lock lock(m_mutex);
    if (m_running >= m_options.slots && m_queued >= m_options.queue)
    {
        lock.unlock();
        return not_run(503);
    }
    ++m_queued;
    while (m_running >= m_options.slots && now() < deadline)
        m_slot_free.wait_for(lock, std::chrono::milliseconds(5));
    --m_queued;
    if (m_running >= m_options.slots)
    {
        lock.unlock();
        return not_run(503);
    }
    if (index >= 0)
    {
        auto& u = m_units[static_cast<std::size_t>(index)];
        if (!u.held || u.leaving || now() >= u.until)
        {
            lock.unlock();
            return not_run(421);
        }
        ++u.running;
        m_begins[static_cast<std::size_t>(index)].push_back(now());
    }
    ++m_running;
    m_runs.push_back(
        {.at = now(), .request = id, .target = m_options.id, .method = m.method()});
    lock.unlock();
    bool cut = false;
    auto const end = std::min(now() + work, deadline);
    while (now() < end && !cut)
    {
        sleep_for(std::min(0.01, end - now()));
        cut = !ignores_close && c.peer_closed();
    }
    bool const in_time = now() < deadline;
    lock.lock();
    --m_running;
    bool lease_over = false;
    if (index >= 0)
    {
        auto& u = m_units[static_cast<std::size_t>(index)];
        --u.running;
        lease_over = now() >= u.until;
    }
    lock.unlock();
    m_slot_free.notify_one();
    if (cut)
        return false;
    if (ended)
    {
        c.reset();
        return false;
    }
    int const status = lease_over ? 500 : in_time ? 200 : 504;
    return c.write(response(status,
                            {{"X-Buckthornusher-Request-Id", id},
                             {"X-Buckthornusher-Response-Signature", m_options.id}},
                            "done by " + m_options.id + " for " + id));
}

void target::release_idle()
{
    for (int i = 0; i < units; ++i)
    {
        auto& u = m_units[static_cast<std::size_t>(i)];
        if (u.held && now() >= u.until)
            u.held = u.leaving = false;
        if (!u.held || !u.leaving || u.running > 0)
            continue;
        u.held = u.leaving = false;
        char token[32];
        std::snprintf(token, sizeof(token), "%016llx",
                      static_cast<unsigned long long>(m_handover));
        m_freed.emplace_back(i, token);
    }
    ++m_handover;
}

std::string target::next_beat()
{
    std::lock_guard const lock(m_mutex);
    release_idle();
    json body{{"service", m_options.service},
              {"address", m_options.ip + ":" + std::to_string(m_options.port)},
              {"zone", m_options.zone},
              {"version", "v1"},
              {"slots", m_options.slots},
              {"state", draining ? "draining" : "ready"},
              {"cold_remaining_ms", 0},
              {"sequence", ++m_sequence},
              {"born", m_born}};
    if (m_options.sharded)
    {
        json holds = json::array();
        for (int i = 0; i < units; ++i)
        {
            auto const& u = m_units[static_cast<std::size_t>(i)];
            if (!u.held && u.running == 0)
                continue;
            int const first = i * unit;
            if (!holds.empty() && holds.back()[1] == first - 1 &&
                holds.back()[2] == u.fence)
                holds.back()[1] = first + unit - 1;
            else
                holds.push_back({first, first + unit - 1, u.fence});
        }
        json freed = json::array();
        for (auto const& [i, token] : m_freed)
        {
            int const first = i * unit;
            if (!freed.empty() && freed.back()[1] == first - 1 &&
                freed.back()[2] == token)
                freed.back()[1] = first + unit - 1;
            else
                freed.push_back({first, first + unit - 1, token});
        }
        body["holds"] = holds;
        body["freed"] = freed;
    }
    return body.dump();
}

int target::send_beat(std::string const& body, double& sent_at, std::string& answer)
{
    sent_at = now();
    auto const c = connection::open(m_options.ip, m_options.control_port, 1.0);
    if (c == nullptr)
        return 0;
    auto const text = "PUT /v1/instances/" + m_options.id +
                      " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
    auto const seen = ask(*c, text, 1.0);
    answer = seen.answer.body;
    return seen.status;
}

int target::send_delete()
{
    auto const c = connection::open(m_options.ip, m_options.control_port, 1.0);
    if (c == nullptr)
        return 0;
    return ask(*c,
               "DELETE /v1/instances/" + m_options.id +
                   " HTTP/1.1\r\nHost: control\r\n\r\n",
               1.0)
        .status;
}

void target::apply(json const& answer, double sent_at)
{
    if (!m_options.sharded || !answer.is_object() || !answer.contains("holds"))
        return;
    auto const until = sent_at + answer.value("hold_ms", 0.0) / 1000;
    std::lock_guard const lock(m_mutex);
    m_freed.clear();
    std::vector<bool> named(units, false);
    for (auto const& row : answer["holds"])
    {
        int const first = row[0].get<int>() / unit;
        int const last = row[1].get<int>() / unit;
        auto const fence = row[2].get<std::uint64_t>();
        bool accepted = true;
        for (int i = first; i <= last; ++i)
            accepted = accepted && m_units[static_cast<std::size_t>(i)].seen <= fence;
        for (int i = first; accepted && i <= last; ++i)
        {
            auto& u = m_units[static_cast<std::size_t>(i)];
            named[static_cast<std::size_t>(i)] = true;
            u.held = true;
            u.leaving = false;
            u.fence = u.seen = fence;
            u.until = std::max(u.until, until);
        }
    }
    for (int i = 0; i < units; ++i)
        if (!named[static_cast<std::size_t>(i)])
            m_units[static_cast<std::size_t>(i)].leaving =
                m_units[static_cast<std::size_t>(i)].held;
}

void target::beat_loop()
{
    auto next = now();
    while (!m_stop)
    {
        if (now() < next || !beats)
        {
            sleep_for(0.005);
            continue;
        }
        auto const body = next_beat();
        next = now() + m_options.heartbeat;
        double sent = now();
        auto const made = sent;
        while (!m_stop && now() < beats_held_until)
            sleep_for(0.005); // on its way
        if (!beats)
            continue;
        std::string answer;
        auto const status = send_beat(body, sent, answer);
        // An answer counts only if it comes within a second of the beat's start.
        if (status < 200 || status > 299 || now() - made > 1.0)
            continue;
        apply(json::parse(answer, nullptr, false), made);
        std::lock_guard const lock(m_mutex);
        for (auto const& u : m_units)
            if (u.held && u.leaving)
                next = std::min(next, now() + 0.1);
    }
}

// ---- nodes ----

node::node(node_options opts, std::string directory)
    : m_options(std::move(opts)), m_directory(std::move(directory)),
      m_log(m_directory + "/" + m_options.ip + ".log")
{
    std::map<std::string, std::string> const values{
        {"ip", m_options.ip},
        {"region", m_options.region},
        {"zone", m_options.zone},
        {"service", m_options.service},
        {"heartbeat_ms", "870"},
        {"bounds.grace_s", "6"},
        {"bounds.config_apply_ms", "2500"},
        {"bounds.drain_ms", "2500"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "56"},
        {"bounds.budget_window_s", "10"},
        {"listen.outbound", m_options.ip + ":8304"},
        {"listen.control", m_options.ip + ":8306"},
        {"listen.readiness_addr", m_options.ip + ":8302"},
        {"port_range.0", "7620"},
        {"port_range.1", "7635"},
        {"platform.address", m_options.store}};
    std::ifstream in("deploy/settings.toml.in");
    std::stringstream text;
    text << in.rdbuf();
    auto settings = text.str();
    for (auto const& [name, value] : values)
        for (auto at = settings.find("{{" + name + "}}"); at != std::string::npos;
             at = settings.find("{{" + name + "}}"))
            settings.replace(at, name.size() + 4, value);
    std::ofstream(m_directory + "/" + m_options.ip + ".toml") << settings;
}

node::~node()
{
    stop();
}

void node::stop()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool node::start()
{
    m_started = now();
    m_pid = ::fork();
    if (m_pid != 0)
        return m_pid > 0;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
    int const log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    auto const settings = m_directory + "/" + m_options.ip + ".toml";
    ::execl("target/buckthornusher", "target/buckthornusher", "node", "--settings",
            settings.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
}

void node::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool node::alive(int* status)
{
    if (m_pid <= 0)
        return false;
    int code = 0;
    if (::waitpid(m_pid, &code, WNOHANG) == 0)
        return true;
    m_pid = -1;
    if (status != nullptr)
        *status = code;
    return false;
}

bool node::wait_until_ready(double seconds) const
{
    for (auto const until = now() + seconds; now() < until; sleep_for(0.05))
    {
        auto const c = connection::open(m_options.ip, readiness_port, 0.2);
        if (c != nullptr &&
            ask(*c, "GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n", 0.5).status == 200)
            return true;
    }
    return false;
}

namespace
{

double status_mb(int pid, std::string const& field)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.rfind(field + ":", 0) == 0)
            return std::atof(line.c_str() + field.size() + 1) / 1024;
    return 0;
}

} // namespace

double node::peak_memory_mb() const
{
    return status_mb(m_pid, "VmHWM");
}

double node::resident_mb() const
{
    return status_mb(m_pid, "VmRSS");
}

// ---- fleets ----

fleet::fleet(std::vector<machine_plan> const& plan, json const& config)
    : m_directory(temporary_directory()), m_plan(plan)
{
    constexpr int store_host = 250;
    constexpr int store_port = 8309;
    static char const* const zones[] = {"lj-vic", "mb-tabor", "lj-moste", "ce-hudinja"};
    static char const* const regions[] = {"osrednja", "stajerska", "osrednja",
                                          "stajerska"};
    m_store = std::make_unique<store>(address(store_host), store_port);
    m_store->put_config(config);
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        auto const ip = address(static_cast<int>(i) + 1);
        target_options t;
        t.id = "i-" + std::to_string(7000 + i);
        t.service = plan[i].service;
        t.ip = ip;
        t.zone = zones[i % 4];
        t.sharded = plan[i].sharded;
        t.work = plan[i].work;
        m_targets.push_back(std::make_unique<target>(t));
        node_options n;
        n.ip = ip;
        n.zone = zones[i % 4];
        n.region = regions[i % 4];
        n.service = plan[i].service;
        n.store = address(store_host) + ":" + std::to_string(store_port);
        m_nodes.push_back(std::make_unique<node>(n, m_directory));
    }
    for (auto const& n : m_nodes)
        n->start();
}

bool fleet::restart_target(std::size_t i)
{
    auto options = m_targets[i]->options();
    options.id += "-" + std::to_string(m_ended_targets.size());
    m_targets[i]->end_silence();
    m_ended_targets.push_back(std::move(m_targets[i]));
    m_targets[i] = std::make_unique<target>(options);
    return m_targets[i]->listening();
}

std::vector<run_entry> fleet::runs() const
{
    std::vector<run_entry> all;
    for (auto const* group : {&m_targets, &m_ended_targets})
        for (auto const& t : *group)
            for (auto& r : t->runs())
                all.push_back(std::move(r));
    return all;
}

void fleet::finish(int code)
{
    for (auto const& n : m_nodes)
        n->stop();
    std::filesystem::remove_all(m_directory);
    std::_Exit(code);
}

bool fleet::wait_until_serving(double seconds)
{
    auto const until = now() + seconds;
    if (!m_store->listening())
        return false;
    for (auto const& t : m_targets)
        if (!t->listening())
            return false;
    for (auto const& n : m_nodes)
        if (!n->wait_until_ready(until - now()))
            return false;
    std::map<std::string, int> wanted;
    for (auto const& p : m_plan)
        if (p.sharded)
            wanted[p.service] = target::units;
    for (; now() < until; sleep_for(0.1))
    {
        auto missing = wanted;
        for (auto const& t : m_targets)
            if (t->options().sharded)
                missing[t->options().service] -= t->held_units();
        if (std::all_of(missing.begin(), missing.end(),
                        [](auto const& m) { return m.second <= 0; }))
            return true;
    }
    return false;
}

// ---- clients ----

order_clients::order_clients(fleet& f, std::size_t machine, int number)
    : m_fleet(f), m_machine(machine)
{
    for (int i = 0; i < number; ++i)
        m_threads.emplace_back([this, i] { run(i); });
}

void order_clients::stop()
{
    m_stop = true;
    for (auto& t : m_threads)
        t.join();
}

void order_clients::run(int client)
{
    std::unique_ptr<connection> open;
    bool kept = false; // the connection has carried an answer
    for (int n = 0; !m_stop; ++n)
    {
        if (open == nullptr)
        {
            open = connection::open(m_fleet.node_at(m_machine).options().ip,
                                    node::outbound_port, 1);
            kept = false;
        }
        if (open == nullptr)
        {
            sleep_for(0.1);
            continue;
        }
        auto const id = std::to_string(m_machine) + "-" + std::to_string(client) + "-" +
                        std::to_string(n);
        ++m_sent;
        auto const seen = ask(
            *open,
            request_text("POST", "desk.example", "/order/" + id, id, 1500, {}, "order"),
            1.8);
        m_answered += seen.status == 200 ? 1 : 0;
        if (kept && seen.closed)
        {
            std::lock_guard const lock(m_mutex);
            m_cut.insert(id);
        }
        kept = true;
        if (!seen.complete)
            open.reset();
        sleep_for(0.05);
    }
}

int order_clients::record_lost() const
{
    int lost = 0;
    for (auto const& r : m_fleet.runs())
        if (m_cut.contains(r.request))
        {
            ++lost;
            record("order %s ran at %s at %.3f, and its connection ended without an "
                   "answer",
                   r.request.c_str(), r.target.c_str(), r.at);
        }
    record("sent %d, answered %d, cut on a kept connection %zu, of these passed on to a "
           "target %d",
           m_sent.load(), m_answered.load(), m_cut.size(), lost);
    return lost;
}

json usual_configuration()
{
    return configuration(
        7,
        {route_entry("r-1", "kiosk.example", "/status/", true, "kiosk", 1500, 600),
         route_entry("r-2", "desk.example", "/order/", false, "desk", 1500, 600)},
        {service_entry("kiosk", true), service_entry("desk", false)});
}

std::vector<machine_plan> usual_plan()
{
    std::vector<machine_plan> plan;
    for (int i = 0; i < 4; ++i)
        plan.push_back({.service = "desk", .work = 0.21});
    for (int i = 0; i < 4; ++i)
        plan.push_back({.service = "kiosk", .sharded = true, .work = 0.16});
    return plan;
}

} // namespace rig
