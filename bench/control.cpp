// Cost of the coordination for each node, by fleet size.
//
//   bench_control --members 26,52,104,208
//
// Runs coordinators on the simulated fleet of tests/fake_fleet.hpp in virtual time,
// without faults and then with the kill of one node. For each size it prints, per node
// and second of virtual time: CPU time, messages and bytes sent (protobuf, without
// framing), and the calls to the store. CPU time includes that of the simulation, so it
// is an upper bound.
#include "../tests/fake_fleet.hpp"
#include "connection/wire.hpp"

#include "wire.pb.h"

#include <CLI/CLI.hpp>

#include <ctime>
#include <fstream>
#include <iostream>

namespace
{

using namespace buckthornusher;
using namespace buckthornusher::test;

constexpr auto quiet_from = 20s;
constexpr auto quiet_until = 50s;
constexpr auto loss_until = 60s;

double process_seconds()
{
    timespec ts{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

double resident_kb()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word)
        if (word == "VmRSS:")
        {
            double kb = 0;
            status >> kb;
            return kb;
        }
    return 0;
}

struct reading
{
    double cpu = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t store_calls = 0;
};

void measure(std::uint32_t members, std::uint32_t shards_per_member)
{
    fleet_options opts;
    opts.members = members;
    opts.domains = 11;
    opts.regions = 3;
    opts.shards = members * shards_per_member;
    opts.seed = 1;
    opts.faults_end = quiet_until;
    opts.end = loss_until + 1s;
    opts.load = false;
    auto const before_kb = resident_kb();
    fake_fleet fleet(opts);
    reading now;
    fleet.drop =
        [&](member_id const& from, member_id const&, control_message const& message)
    {
        wire::Envelope envelope;
        encode(from, *envelope.mutable_sender());
        encode(message, envelope);
        ++now.messages;
        now.bytes += envelope.ByteSizeLong();
        return false;
    };
    auto const read = [&](reading& into)
    {
        into = now;
        into.cpu = process_seconds();
        into.store_calls = fleet.store_calls();
    };
    reading start;
    reading end;
    reading after_loss;
    double kb = 0;
    fleet.schedule(quiet_from, [&] { read(start); });
    fleet.schedule(quiet_until, [&] { read(end); });
    fleet.schedule(quiet_until,
                   [&] { fleet.begin_fault({.kind = fault::kill, .length = 60s}); });
    fleet.schedule(loss_until,
                   [&]
                   {
                       read(after_loss);
                       kb = resident_kb() - before_kb;
                   });
    auto const failure = fleet.run({});
    auto const seconds = std::chrono::duration<double>(quiet_until - quiet_from).count();
    auto const per_node = [&](double value)
    {
        return value / seconds / members;
    };
    std::cout << "members " << members << " shards " << opts.shards << " cpu_percent "
              << 100 * per_node(end.cpu - start.cpu) << " messages_per_s "
              << per_node(static_cast<double>(end.messages - start.messages))
              << " bytes_per_s " << per_node(static_cast<double>(end.bytes - start.bytes))
              << " kb_per_node " << kb / members << " store_calls_per_hour "
              << static_cast<double>(end.store_calls - start.store_calls) * 3'600 /
                     seconds
              << " loss: bytes_per_node "
              << static_cast<double>(after_loss.bytes - end.bytes) / members -
                     10 * per_node(static_cast<double>(end.bytes - start.bytes))
              << " store_calls " << after_loss.store_calls - end.store_calls << "\n";
    if (failure && failure->find("not served") == std::string::npos)
        std::cout << "failed: " << *failure << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::uint32_t> sizes{26, 52, 104, 208};
    std::uint32_t shards = 16;
    CLI::App app("Cost of the coordination for each node, by fleet size");
    app.add_option("--members", sizes, "fleet sizes")->delimiter(',');
    app.add_option("--shards", shards, "shards per member");
    CLI11_PARSE(app, argc, argv);
    for (auto const size : sizes)
        measure(size, shards);
    return 0;
}
