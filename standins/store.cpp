// A stand-in for the platform's object API, for tests, the demo and the soak. The calls
// are those of platform/object_store.hpp. All objects are kept in memory.
//
//   standin_store --port 9000 --writes-per-s 400 --reads-per-s 2000 --history-s 20
//
// Faults are set by: POST /v1/faults?mode=MODE[&count=N][&ms=MS][&agent=TEXT]
//   none          answers normally
//   down          answers 503, no effect
//   many          answers 429, no effect
//   hang          never answers, no effect
//   reset         closes the connection without an answer, no effect
//   slow          answers after MS milliseconds
//   lose_answers  the next N writes take effect but are not answered
//   late          the next N writes take effect after MS milliseconds, without an answer
//   odd           lists and watches also contain entries that no parser accepts
//   forget        discards the history: older watches get 410; the mode does not change
// With `agent` only callers whose User-Agent contains TEXT are affected. `forget` affects
// all callers.
// GET /v1/stats returns the counts of the calls.
#include "connection/http_server.hpp"
#include "platform/object_store.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "serve.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>

namespace buckthornusher
{
namespace
{

using nlohmann::json;

struct store_options
{
    std::string address = "127.0.0.1";
    int port = 0;
    std::uint64_t writes_per_s = 400;
    std::uint64_t reads_per_s = 2'000;
    std::uint64_t history_s = 20;
};

// Invariant: `revision` is the revision of the object's last change.
struct stored_object
{
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleting = false;
    json spec;
    json status;
    json finalizers = json::array();
};

struct change
{
    std::uint64_t revision = 0;
    instant at;
    std::string kind;
    json event;
};

struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused = 0;
};

// Limits the calls within any one second (sliding window).
class rate_limit
{
public:
    explicit rate_limit(std::uint64_t per_second) : m_per_second(per_second) {}

    bool allows(instant now)
    {
        while (!m_calls.empty() && now - m_calls.front() > 1s)
            m_calls.pop_front();
        if (m_calls.size() >= m_per_second)
            return false;
        m_calls.push_back(now);
        return true;
    }

private:
    std::uint64_t m_per_second;
    std::deque<instant> m_calls;
};

class store
{
public:
    store(event_loop& loop, store_options const& opts)
        : m_loop(loop), m_options(opts), m_writes(opts.writes_per_s),
          m_reads(opts.reads_per_s),
          m_server(loop, {.address = {.ip = opts.address, .port = opts.port}},
                   [this](http_request request, http_reply reply)
                   { handle(std::move(request), reply); })
    {
    }

private:
    using objects = std::map<std::string, stored_object>; // by name

    struct pending_watch
    {
        std::string kind;
        std::string agent;
        std::uint64_t since = 0;
        instant until;
        http_reply reply;
    };

    // ---- faults ----

    void handle(http_request request, http_reply const& reply)
    {
        if (request.path() == "/v1/faults")
            return set_fault(request, reply);
        if (request.path() == "/v1/stats")
            return reply.send({.body = stats()});
        bool const affected =
            m_agent.empty() || find_header(request.headers, "user-agent").find(m_agent) !=
                                   std::string_view::npos;
        auto const mode = affected ? m_mode : std::string("none");
        if (mode == "hang")
            return;
        if (mode == "reset")
            return reply.drop();
        if (mode == "down" || mode == "many")
        {
            ++m_counts.refused;
            return fail(reply, mode == "down" ? 503 : 429, "injected fault");
        }
        if (mode == "slow")
        {
            m_loop.timers().at(boot_now() + m_delay, [this, request, reply](instant)
                               { answer(request, reply, "none"); });
            return;
        }
        answer(request, reply, mode);
    }

    void set_fault(http_request const& request, http_reply const& reply)
    {
        auto const mode = std::string(find_query(request.query(), "mode"));
        reply.send({.body = "ok\n"});
        if (mode == "forget")
        {
            m_history.clear();
            m_discarded_revision = m_revision;
            return end_watches(boot_now());
        }
        m_mode = mode;
        m_agent = find_query(request.query(), "agent");
        m_delay = duration(query_number(request, "ms") * 1'000);
        m_answers_to_lose = query_number(request, "count");
        if (mode == "down" || mode == "hang" || mode == "reset")
            std::erase_if(m_pending_watches, // never answered
                          [this](pending_watch const& w)
                          { return w.agent.find(m_agent) != std::string::npos; });
    }

    std::string stats() const
    {
        std::size_t objects = 0;
        for (auto const& entry : m_kinds)
            objects += entry.second.size();
        return "reads " + std::to_string(m_counts.reads) + "\nwatches " +
               std::to_string(m_counts.watches) + "\nwrites " +
               std::to_string(m_counts.writes) + "\nconflicts " +
               std::to_string(m_counts.conflicts) + "\nrefused " +
               std::to_string(m_counts.refused) + "\nrevision " +
               std::to_string(m_revision) + "\nobjects " + std::to_string(objects) + "\n";
    }

    // ---- calls ----

    static std::uint64_t query_number(http_request const& request, std::string_view name)
    {
        return parse_number(find_query(request.query(), name));
    }

    static void fail(http_reply const& reply, int status, std::string const& reason)
    {
        reply.send({.status = status, .body = json{{"error", reason}}.dump()});
    }

    static void send(http_reply const& reply, int status, json const& body)
    {
        send_text(reply, status, body.dump());
    }

    static void send_text(http_reply const& reply, int status, std::string body)
    {
        http_response response{.status = status, .body = std::move(body)};
        response.headers.push_back({"Content-Type", "application/json"});
        reply.send(std::move(response));
    }

    // Objects as another program may have written them: nested deep, with a number that
    // no type holds, with half of a surrogate pair, and no object at all.
    static std::vector<std::string> odd_objects()
    {
        constexpr std::size_t levels = 50'000;
        auto const with_spec = [](std::string const& name, std::string const& spec)
        {
            return R"({"metadata":{"name":")" + name + R"(","revision":1},"spec":)" +
                   spec + "}";
        };
        auto const deep = std::string(levels, '[') + std::string(levels, ']');
        return {with_spec("odd-deep", deep),
                with_spec("member.odd-deep", R"({"member":)" + deep + "}"),
                with_spec("member.odd-port",
                          R"({"member":{"id":{"node":"odd-port","incarnation":"1"},)"
                          R"("endpoint":"tcp://127.0.0.1:70000"}})"),
                with_spec("odd-number", R"({"slots":1e400})"),
                with_spec("odd-text", R"({"service":"\ud800"})"),
                "7"};
    }

    // Inserts odd entries, as `wrapped`, at the start of the array `name`.
    static std::string with_odd_entries(std::string text, std::string const& name,
                                        bool wrapped)
    {
        auto const start = "\"" + name + "\":[";
        auto const position = text.find(start);
        if (position == std::string::npos)
            return text;
        bool const empty = text[position + start.size()] == ']';
        std::string odd;
        for (auto const& o : odd_objects())
            odd += (odd.empty() ? "" : ",") +
                   (wrapped ? R"({"deleted":false,"object":)" + o + "}" : o);
        return text.insert(position + start.size(), odd + (empty ? "" : ","));
    }

    void answer(http_request const& request, http_reply const& reply,
                std::string const& mode)
    {
        auto const path = platform::parse_path(request.path());
        if (!path)
            return fail(reply, 404, "no such path");
        auto const now = boot_now();
        bool const reads = request.method == "GET";
        bool const stale = reads && find_query(request.query(), "stale_ok") == "1";
        if (!stale && !(reads ? m_reads : m_writes).allows(now))
        {
            ++m_counts.refused;
            return fail(reply, 429, "calls exceed the rate limit");
        }
        if (reads)
            return read(*path, request, reply);
        ++m_counts.writes;
        bool const loses_answer =
            (mode == "lose_answers" || mode == "late") && m_answers_to_lose > 0;
        if (!loses_answer)
            return write(*path, request,
                         [reply](int status, json const& body)
                         { send(reply, status, body); });
        --m_answers_to_lose;
        auto const discard_answer = [](int, json const&) {
        };
        if (mode == "lose_answers")
            return write(*path, request, discard_answer);
        m_loop.timers().at(now + m_delay,
                           [this, path = *path, request, discard_answer](instant)
                           { write(path, request, discard_answer); });
    }

    void read(platform::object_path const& path, http_request const& request,
              http_reply const& reply)
    {
        if (!find_query(request.query(), "watch").empty())
            return watch(path.kind, request, reply);
        ++m_counts.reads;
        auto const& all = m_kinds[path.kind];
        if (path.name.empty())
        {
            auto const body = list(all, find_query(request.query(), "after")).dump();
            return send_text(reply, 200,
                             m_mode == "odd" ? with_odd_entries(body, "items", false)
                                             : body);
        }
        auto const it = all.find(path.name);
        if (it == all.end())
            return fail(reply, 404, "no such object");
        send(reply, 200, to_json(it->first, it->second));
    }

    json list(objects const& all, std::string_view after) const
    {
        constexpr std::size_t page = 500;
        json items = json::array();
        auto it = all.upper_bound(std::string(after));
        for (; it != all.end() && items.size() < page; ++it)
            items.push_back(to_json(it->first, it->second));
        return {{"items", std::move(items)},
                {"has_more", it != all.end()},
                {"store_revision", m_revision}};
    }

    static json to_json(std::string const& name, stored_object const& o)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", o.revision},
                  {"create_revision", o.created},
                  {"finalizers", o.finalizers},
                  {"deleting", o.deleting}}},
                {"spec", o.spec},
                {"status", o.status}};
    }

    // ---- watches ----

    void watch(std::string const& kind, http_request const& request,
               http_reply const& reply)
    {
        ++m_counts.watches;
        auto const now = boot_now();
        auto const until = now + duration(query_number(request, "wait_ms") * 1'000);
        m_pending_watches.push_back(
            {.kind = kind,
             .agent = std::string(find_header(request.headers, "user-agent")),
             .since = query_number(request, "watch"),
             .until = until,
             .reply = reply});
        m_loop.timers().at(until, [this](instant at) { end_watches(at); });
        end_watches(now);
    }

    void end_watches(instant now)
    {
        while (!m_history.empty() &&
               now - m_history.front().at > std::chrono::seconds(m_options.history_s))
        {
            m_discarded_revision = m_history.front().revision;
            m_history.pop_front();
        }
        std::erase_if(m_pending_watches,
                      [&](pending_watch const& w) { return end_watch(w, now); });
    }

    bool end_watch(pending_watch const& w, instant now) const
    {
        if (w.since < m_discarded_revision)
        {
            fail(w.reply, 410, "the history since this revision is discarded");
            return true;
        }
        json events = json::array();
        for (auto const& c : m_history)
            if (c.revision > w.since && c.kind == w.kind)
                events.push_back(c.event);
        if (events.empty() && w.until > now)
            return false;
        auto const body = json{{"events", events}, {"store_revision", m_revision}}.dump();
        send_text(w.reply, 200,
                  m_mode == "odd" ? with_odd_entries(body, "events", true) : body);
        return true;
    }

    // ---- writes ----

    using write_callback = std::function<void(int, json const&)>;

    void write(platform::object_path path, http_request const& request,
               write_callback const& done)
    {
        auto body = json::parse(request.body, nullptr, false);
        if (request.method != "DELETE" && !body.is_object())
            return done(400, {{"error", "the body is not a JSON object"}});
        auto const meta =
            body.is_object() ? body.value("metadata", json::object()) : json();
        if (request.method == "POST")
            path.name = meta.value("name", "");
        constexpr std::string_view status_suffix = "/status";
        bool const status = path.name.ends_with(status_suffix);
        if (status)
            path.name.resize(path.name.size() - status_suffix.size());
        auto& all = m_kinds[path.kind];
        auto const it = all.find(path.name);
        if (request.method == "POST" ? it != all.end() : it == all.end())
        {
            if (it == all.end())
                return done(404, {{"error", "no such object"}});
            ++m_counts.conflicts;
            return done(409, to_json(it->first, it->second));
        }
        auto const expected_revision = meta.is_object() && meta.contains("revision")
                                           ? meta["revision"].get<std::uint64_t>()
                                           : query_number(request, "revision");
        if (it != all.end() && expected_revision != 0 &&
            expected_revision != it->second.revision)
        {
            ++m_counts.conflicts;
            return done(409, to_json(it->first, it->second));
        }
        if (request.method == "DELETE")
            return remove(path, it, done);
        auto& o = all[path.name];
        auto next = o;
        if (status)
            next.status = body.value("status", json());
        else
        {
            next.spec = body.value("spec", json());
            next.finalizers = meta.value("finalizers", o.finalizers);
        }
        bool const unchanged = it != all.end() && next.spec == o.spec &&
                               next.status == o.status && next.finalizers == o.finalizers;
        if (unchanged)
            return done(200, to_json(path.name, o));
        bool const created = o.revision == 0;
        o = std::move(next);
        o.revision = ++m_revision;
        if (created)
            o.created = o.revision;
        if (o.deleting && o.finalizers.empty())
            return remove(path, all.find(path.name), done);
        record_change(path, to_json(path.name, o), false);
        done(created ? 201 : 200, to_json(path.name, o));
    }

    void remove(platform::object_path const& path, objects::iterator it,
                write_callback const& done)
    {
        auto& o = it->second;
        o.revision = ++m_revision;
        o.deleting = true;
        auto const last = to_json(it->first, o);
        bool const removed = o.finalizers.empty();
        if (removed)
            m_kinds[path.kind].erase(it);
        record_change(path, last, removed);
        done(200, last);
    }

    void record_change(platform::object_path const& path, json object, bool deleted)
    {
        m_history.push_back(
            {.revision = m_revision,
             .at = boot_now(),
             .kind = path.kind,
             .event = {{"deleted", deleted}, {"object", std::move(object)}}});
        end_watches(boot_now());
    }

    event_loop& m_loop;
    store_options m_options;
    std::uint64_t m_revision = 1;
    std::uint64_t m_discarded_revision = 0; // the history holds only later changes
    std::map<std::string, objects> m_kinds;
    std::deque<change> m_history;
    std::vector<pending_watch> m_pending_watches;
    call_counts m_counts;
    rate_limit m_writes;
    rate_limit m_reads;
    std::string m_mode = "none";
    std::string m_agent;
    duration m_delay{0};
    std::uint64_t m_answers_to_lose = 0;
    http_server m_server;
};

} // namespace
} // namespace buckthornusher

int main(int argc, char** argv)
{
    using namespace buckthornusher;
    store_options opts;
    CLI::App app("A stand-in for the platform's object API");
    app.add_option("--address", opts.address, "IP to listen on");
    app.add_option("--port", opts.port, "port")->required();
    app.add_option("--writes-per-s", opts.writes_per_s,
                   "writes per second; further writes get 429");
    app.add_option("--reads-per-s", opts.reads_per_s,
                   "reads per second; further reads get 429");
    app.add_option("--history-s", opts.history_s,
                   "seconds of history that watches can resume from");
    CLI11_PARSE(app, argc, argv);
    event_loop loop;
    store const s(loop, opts);
    return serve_until_stopped(loop);
}
