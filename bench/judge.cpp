// Checks the journals of the upstreams after a run.
//
//   bench_judge --ports 9101,9102,...
//
// Prints the number of executions, of operations, of operations that were executed more
// than once ("doubles") and of overlaps. An overlap is an execution of a shard that ended
// after one under a later epoch had started. All upstreams of a run share one machine, so
// their times are comparable. Exits with 1 if there are doubles or overlaps, and with 2
// if a journal cannot be read.
#include "connection/http_client.hpp"
#include "process/event_loop.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace
{

using namespace buckthornusher;

constexpr int unreadable_journal_code = 2; // exit code
constexpr std::size_t max_journal_bytes = 256'000'000;

struct execution
{
    std::uint64_t epoch = 0;
    std::uint64_t start = 0; // microseconds
    std::uint64_t end = 0;
};

using shard_history =
    std::map<std::pair<std::string, std::string>, std::vector<execution>>;

std::optional<std::string> fetch_journal(event_loop& loop, int port)
{
    http_client client(loop, {.peer = {.ip = "127.0.0.1", .port = port},
                              .max_connections = 1,
                              .limits = {.body_bytes = max_journal_bytes},
                              .max_incomplete_bytes = max_journal_bytes});
    std::optional<http_result> result;
    client.call({.method = "GET", .target = "/journal"}, 10s,
                [&](http_result r) { result = std::move(r); });
    while (!result)
        loop.run_once();
    if (result->has_error())
        return std::nullopt;
    return result->value().body;
}

// Counts the executions that ended after one under a later epoch had started.
std::uint64_t count_overlaps(std::vector<execution> const& history)
{
    std::map<std::uint64_t, std::uint64_t> first_start; // by epoch
    for (auto const& e : history)
    {
        auto const it = first_start.try_emplace(e.epoch, e.start).first;
        it->second = std::min(it->second, e.start);
    }
    std::uint64_t overlaps = 0;
    for (auto const& e : history)
        for (auto it = first_start.upper_bound(e.epoch); it != first_start.end(); ++it)
            if (it->second < e.end)
            {
                ++overlaps;
                break;
            }
    return overlaps;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<int> ports;
    CLI::App app("Checks the journals of the upstreams after a run");
    app.add_option("--ports", ports, "upstreams' ports on 127.0.0.1")
        ->delimiter(',')
        ->required();
    CLI11_PARSE(app, argc, argv);
    event_loop loop;
    std::map<std::string, std::uint64_t> operations;
    shard_history shards;
    std::uint64_t executions = 0;
    for (auto const port : ports)
    {
        auto const text = fetch_journal(loop, port);
        if (!text)
        {
            std::cerr << "can't read the journal of the upstream at port " << port
                      << "\n";
            return unreadable_journal_code;
        }
        std::istringstream journal(*text);
        std::string operation;
        std::string service;
        std::string shard;
        std::string epoch;
        std::string path;
        execution e;
        while (journal >> operation >> service >> shard >> epoch >> path >> e.start >>
               e.end)
        {
            ++executions;
            if (operation != "-")
                ++operations[operation];
            if (epoch == "-")
                continue;
            e.epoch = std::stoull(epoch);
            shards[{service, shard}].push_back(e);
        }
    }
    std::uint64_t duplicates = 0;
    for (auto const& entry : operations)
        duplicates += entry.second > 1 ? 1 : 0;
    std::uint64_t overlaps = 0;
    for (auto const& entry : shards)
        overlaps += count_overlaps(entry.second);
    std::cout << "executions " << executions << "\noperations " << operations.size()
              << "\ndoubles " << duplicates << "\noverlaps " << overlaps << "\n";
    return duplicates + overlaps == 0 ? 0 : 1;
}
