// A stand-in for the platform's object API, for tests and the demo; see
// connection/store_client.hpp for the calls. It keeps everything in memory.
//
//   standin_store --port 9000
//
// Faults on command: POST /v1/faults?mode=MODE[&count=N][&ms=MS]
//   none          answers as usual
//   down          answers 503 and does nothing
//   hang          never answers and does nothing
//   slow          answers after MS milliseconds
//   lose_answers  the write takes effect, the answer never comes (the next N writes)
// GET /v1/stats counts the calls.
#include "connection/http_server.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "serve.hpp"

#include "wire.pb.h"

#include <CLI/CLI.hpp>
#include <google/protobuf/util/json_util.h>

#include <map>

namespace buckthornusher
{
namespace
{

struct stored_object
{
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
};

struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
};

std::uint64_t query_number(http_request const& request, std::string_view name)
{
    return number_of(find_query(request.query, name));
}

std::string to_json(google::protobuf::Message const& message)
{
    std::string json;
    (void)google::protobuf::util::MessageToJsonString(message, &json);
    return json;
}

class store
{
public:
    store(event_loop& loop, int port)
        : m_loop(loop), m_server(loop, {.port = port, .max_body = 1'048'576},
                                 [this](http_request request, http_reply reply)
                                 { handle(request, reply); })
    {
    }

private:
    struct waiter
    {
        std::uint64_t since = 0;
        instant until;
        http_reply reply;
    };

    void handle(http_request const& request, http_reply const& reply)
    {
        if (request.path == "/v1/faults")
            return set_fault(request, reply);
        if (request.path == "/v1/stats")
            return reply.send({.body = stats()});
        if (m_mode == "hang")
            return;
        if (m_mode == "down")
            return reply.send({.status = 503, .body = "down\n"});
        if (m_mode == "slow")
        {
            m_loop.timers().at(boot_now() + m_delay, [this, request, reply](instant)
                               { answer(request, reply); });
            return;
        }
        answer(request, reply);
    }

    void set_fault(http_request const& request, http_reply const& reply)
    {
        m_mode = find_query(request.query, "mode");
        m_delay = duration(query_number(request, "ms") * 1'000);
        m_losses = query_number(request, "count");
        if (m_mode == "down" || m_mode == "hang")
            m_waiters.clear(); // their answers never come
        reply.send({.body = "ok\n"});
    }

    std::string stats() const
    {
        return "reads " + std::to_string(m_counts.reads) + "\nwatches " +
               std::to_string(m_counts.watches) + "\nwrites " +
               std::to_string(m_counts.writes) + "\nconflicts " +
               std::to_string(m_counts.conflicts) + "\nrevision " +
               std::to_string(m_revision) + "\nobjects " +
               std::to_string(m_objects.size()) + "\n";
    }

    void answer(http_request const& request, http_reply const& reply)
    {
        constexpr std::string_view prefix = "/v1/objects/";
        if (request.path == "/v1/objects")
            return find_query(request.query, "since").empty() ? list(reply)
                                                              : watch(request, reply);
        if (!request.path.starts_with(prefix))
            return reply.send({.status = 404, .body = "no such object\n"});
        auto const name = request.path.substr(prefix.size());
        if (request.method == "GET")
            return get(name, reply);
        if (request.method == "PUT" || request.method == "DELETE")
            return write(name, request, reply);
        reply.send({.status = 405, .body = "method not supported\n"});
    }

    void fill(wire::StoreObject& out, std::string const& name) const
    {
        auto const it = m_objects.find(name);
        out.set_name(name);
        out.set_deleted(it == m_objects.end() || it->second.deleted);
        if (it == m_objects.end())
            return;
        out.set_version(it->second.version);
        out.set_value(it->second.value);
    }

    void get(std::string const& name, http_reply const& reply)
    {
        ++m_counts.reads;
        wire::StoreObject out;
        fill(out, name);
        reply.send({.status = out.deleted() ? 404 : 200, .body = to_json(out)});
    }

    std::string changes(std::uint64_t since, bool with_deleted) const
    {
        wire::StoreObjects out;
        out.set_revision(m_revision);
        for (auto it = m_by_version.upper_bound(since); it != m_by_version.end(); ++it)
            if (with_deleted || !m_objects.at(it->second).deleted)
                fill(*out.add_objects(), it->second);
        return to_json(out);
    }

    void list(http_reply const& reply)
    {
        ++m_counts.reads;
        reply.send({.body = changes(0, false)});
    }

    void watch(http_request const& request, http_reply const& reply)
    {
        ++m_counts.watches;
        auto const since = query_number(request, "since");
        if (since < m_revision)
            return reply.send({.body = changes(since, true)});
        auto const until =
            boot_now() + duration(query_number(request, "wait_ms") * 1'000);
        m_waiters.push_back({.since = since, .until = until, .reply = reply});
        m_loop.timers().at(until, [this](instant now) { end_watches(now); });
    }

    void end_watches(instant now)
    {
        std::erase_if(m_waiters,
                      [&](waiter const& w)
                      {
                          bool const changed = w.since < m_revision;
                          if (changed || w.until <= now)
                              w.reply.send({.body = changes(w.since, true)});
                          return changed || w.until <= now;
                      });
    }

    void write(std::string const& name, http_request const& request,
               http_reply const& reply)
    {
        ++m_counts.writes;
        auto& o = m_objects[name];
        auto const present = o.deleted ? 0 : o.version;
        if (query_number(request, "expected") != present)
        {
            ++m_counts.conflicts;
            wire::StoreObject out;
            fill(out, name);
            return reply.send({.status = 409, .body = to_json(out)});
        }
        m_by_version.erase(o.version);
        o.version = ++m_revision;
        o.deleted = request.method == "DELETE";
        o.value = request.body;
        m_by_version[o.version] = name;
        wire::StoreWritten written;
        written.set_version(o.version);
        if (m_mode == "lose_answers" && m_losses > 0)
            --m_losses;
        else
            reply.send({.body = to_json(written)});
        end_watches(boot_now());
    }

    event_loop& m_loop;
    std::uint64_t m_revision = 0;
    std::map<std::string, stored_object> m_objects;
    std::map<std::uint64_t, std::string> m_by_version;
    std::vector<waiter> m_waiters;
    call_counts m_counts;
    std::string m_mode = "none";
    duration m_delay{0};
    std::uint64_t m_losses = 0;
    http_server m_server;
};

} // namespace
} // namespace buckthornusher

int main(int argc, char** argv)
{
    using namespace buckthornusher;
    int port = 0;
    CLI::App app("A stand-in for the platform's object API");
    app.add_option("--port", port, "port on 127.0.0.1")->required();
    CLI11_PARSE(app, argc, argv);
    event_loop loop;
    store const s(loop, port);
    return serve_until_stopped(loop);
}
