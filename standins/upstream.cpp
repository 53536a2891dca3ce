// A stand-in for an upstream of the users, for tests, the demo and the benches.
//
//   standin_upstream --port 9100 --service stand-status --node-port 8101
//
// It announces itself to the node beside it, runs at most `slots` requests concurrently,
// sheds the rest, and keeps a journal of the executed requests. With --fenced (the
// default) it refuses a request with an epoch if it has seen a higher epoch for the
// shard or if the lease has ended.
//
// GET /journal returns one line for each executed request that is not a GET:
//   OPERATION SERVICE SHARD EPOCH PATH START_US END_US
// With --journal-file a line is appended to that file as soon as a request starts:
//   REQUEST_ID OPERATION SERVICE SHARD EPOCH METHOD START_US
// GET /stats returns counts. A request to /drain makes it refuse new requests. GET /load
// returns the number of running requests, up to one second old.
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "serve.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <map>

namespace buckthornusher
{
namespace
{

constexpr char const* sending_header = "buckthornusher-sending";

struct upstream_options
{
    int port = 0;
    int announced_port = 0; // port at which others reach it; 0: `port`
    int node_port = 0;
    std::string journal_file; // empty: none
    bool repeat_journal = false;
    std::string service;
    std::uint32_t slots = 20;
    std::uint32_t connections = 110;
    bool fenced = true;
    std::uint32_t work_us = 0;
    std::uint32_t cold_start_ms = 0;
    std::uint32_t lag_ms = 1'000;
};

class upstream
{
public:
    upstream(event_loop& loop, upstream_options const& opts)
        : m_loop(loop), m_options(opts), m_started(boot_now()),
          m_node(loop, {.peer = {.ip = "127.0.0.1", .port = opts.node_port},
                        .max_connections = 1}),
          m_server(loop,
                   {.address = {.ip = "127.0.0.1", .port = opts.port},
                    .limits = {.read = {.body_bytes = 4'194'304}}},
                   [this](http_request request, http_reply reply)
                   { handle(std::move(request), reply); })
    {
        if (!opts.journal_file.empty())
            m_start_journal.open(opts.journal_file, std::ios::app);
        announce();
        loop.timers().every(boot_now(), 500ms, [this](instant) { announce(); });
        loop.timers().every(boot_now(), duration(opts.lag_ms * 1'000),
                            [this](instant) { m_lagging_load = m_running; });
    }

private:
    void announce()
    {
        auto const query =
            "service=" + m_options.service + "&port=" +
            std::to_string(m_options.announced_port != 0 ? m_options.announced_port
                                                         : m_options.port) +
            "&slots=" + std::to_string(m_options.slots) +
            "&connections=" + std::to_string(m_options.connections) +
            "&life=" + std::to_string(to_micros(m_started));
        m_node.call({.method = "POST", .target = "/v1/announce?" + query}, 1s,
                    [](http_result const&) {});
    }

    void handle(http_request request, http_reply const& reply)
    {
        if (request.path() == "/journal")
            return reply.send({.body = m_journal});
        if (request.path() == "/load")
            return reply.send({.body = std::to_string(m_lagging_load) + "\n"});
        if (request.path() == "/health")
            return reply.send({.body = "ok\n"});
        if (request.path() == "/stats")
            return reply.send({.body = stats()});
        if (request.path() == "/drain")
        {
            m_draining = true; // refuses new requests and finishes running ones
            return reply.send({.body = "ok\n"});
        }
        if (m_draining)
            return refuse(request, reply, 503, "draining");
        if (m_running >= m_options.slots)
            return refuse(request, reply, 503, "shed");
        if (boot_now() - m_started < duration(m_options.cold_start_ms * 1'000))
            return refuse(request, reply, 503, "cold");
        if (m_options.fenced && !accepts(request))
            return refuse(request, reply, 409, "fenced");
        run(std::move(request), reply);
    }

    void refuse(http_request const& request, http_reply const& reply, int status,
                std::string const& reason)
    {
        ++m_refused[reason];
        reply.send(
            {.status = status,
             .headers = {{"buckthornusher-ran", "no"},
                         {sending_header, header_or_dash(request, sending_header)}},
             .body = reason + "\n"});
    }

    bool accepts(http_request const& request)
    {
        auto const epoch_text = find_header(request.headers, "buckthornusher-epoch");
        if (epoch_text.empty())
            return true; // only requests of a shard carry an epoch
        auto const shard =
            std::string(find_header(request.headers, "buckthornusher-shard"));
        auto const until = find_header(request.headers, "buckthornusher-lease-until");
        if (to_micros(boot_now()) >= parse_number(until))
            return false;
        auto& highest = m_epochs[shard];
        if (parse_number(epoch_text) < highest)
            return false;
        highest = parse_number(epoch_text);
        return true;
    }

    void run(http_request request, http_reply const& reply)
    {
        ++m_running;
        reply.on_disconnect([this] { ++m_cancelled; });
        auto const start = boot_now();
        write_start_line(request, start);
        if (m_options.repeat_journal)
            write_start_line(request, start);
        auto work = duration(m_options.work_us);
        if (auto const wanted = find_query(request.query(), "work_us"); !wanted.empty())
            work = duration(parse_number(wanted));
        if (work <= 0us)
            return finish(request, reply, start);
        m_loop.timers().at(start + work,
                           [this, request = std::move(request), reply, start](instant)
                           { finish(request, reply, start); });
    }

    static std::string header_or_dash(http_request const& request, char const* name)
    {
        auto const value = find_header(request.headers, name);
        return value.empty() ? std::string("-") : std::string(value);
    }

    void write_start_line(http_request const& request, instant start)
    {
        if (!m_start_journal.is_open())
            return;
        m_start_journal << header_or_dash(request, "x-request-id") << " "
                        << header_or_dash(request, "buckthornusher-operation") << " "
                        << m_options.service << " "
                        << header_or_dash(request, "buckthornusher-shard") << " "
                        << header_or_dash(request, "buckthornusher-epoch") << " "
                        << request.method << " " << to_micros(start) << std::endl;
    }

    void finish(http_request const& request, http_reply const& reply, instant start)
    {
        --m_running;
        ++m_executed;
        if (request.method != "GET")
            m_journal += header_or_dash(request, "buckthornusher-operation") + " " +
                         m_options.service + " " +
                         header_or_dash(request, "buckthornusher-shard") + " " +
                         header_or_dash(request, "buckthornusher-epoch") + " " +
                         std::string(request.path()) + " " +
                         std::to_string(to_micros(start)) + " " +
                         std::to_string(to_micros(boot_now())) + "\n";
        auto const size = find_query(request.query(), "size");
        reply.send(
            {.headers = {{sending_header, header_or_dash(request, sending_header)}},
             .body = size.empty() ? m_options.service + " " +
                                        std::string(request.path()) + "\n" + request.body
                                  : std::string(parse_number(size), 'x')});
    }

    std::string stats() const
    {
        auto text = "executed " + std::to_string(m_executed) + "\nrunning " +
                    std::to_string(m_running) + "\ncancelled " +
                    std::to_string(m_cancelled) + "\n";
        for (auto const& [reason, count] : m_refused)
            text += "refused_" + reason + " " + std::to_string(count) + "\n";
        return text;
    }

    event_loop& m_loop;
    upstream_options m_options;
    instant m_started;
    std::uint32_t m_running = 0;
    std::uint32_t m_lagging_load = 0;
    std::uint64_t m_executed = 0;
    std::uint64_t m_cancelled = 0; // requests whose caller disconnected before the answer
    bool m_draining = false;
    std::map<std::string, std::uint64_t> m_refused;
    std::map<std::string, std::uint64_t> m_epochs; // highest epoch seen, by shard
    std::string m_journal;
    // Requests at their start, flushed line by line so that it survives a kill.
    std::ofstream m_start_journal;
    http_client m_node;
    http_server m_server;
};

} // namespace
} // namespace buckthornusher

int main(int argc, char** argv)
{
    using namespace buckthornusher;
    upstream_options opts;
    CLI::App app("A stand-in for an upstream");
    app.add_option("--port", opts.port, "port on 127.0.0.1")->required();
    app.add_option("--node-port", opts.node_port,
                   "operators' port of the node beside the upstream");
    app.add_option("--announced-port", opts.announced_port,
                   "port at which others reach the upstream, if different");
    app.add_option("--journal-file", opts.journal_file,
                   "file to which each request is appended as it starts");
    app.add_flag("--repeat-journal", opts.repeat_journal,
                 "writes each line of the journal file twice");
    app.add_option("--service", opts.service, "service name")->required();
    app.add_option("--slots", opts.slots, "concurrent requests");
    app.add_option("--connections", opts.connections, "concurrent connections");
    app.add_option("--work-us", opts.work_us,
                   "service time of a request in microseconds");
    app.add_option("--cold-start-ms", opts.cold_start_ms,
                   "refuses requests for this time after its start");
    app.add_flag("--fenced,!--unfenced", opts.fenced,
                 "refuses requests with an old epoch or an ended lease");
    CLI11_PARSE(app, argc, argv);
    event_loop loop;
    upstream const u(loop, opts);
    return serve_until_stopped(loop);
}
