// One heartbeat of another writer, with a service that no configuration names, takes the
// keys from a target that runs. See claim.txt.
#include "rig2.hpp"

#include <iostream>

using namespace review;

namespace
{

constexpr std::size_t holders = 3; // machines beside targets of the sharded service
constexpr int deadline_ms = 1'500;

// The heartbeat of a program on the machine that is no target of this deployment.
void send_foreign_beat(deployment& d, machine const& m, tcp_address const& app)
{
    http_client client(d.loop, {.peer = {.ip = m.ip, .port = 8'306}});
    json const body{{"service", "log-shipper"},
                    {"address", to_string(app)},
                    {"zone", m.zone},
                    {"version", "v1"},
                    {"slots", 1},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"born", unix_ms()},
                    {"sequence", 1}};
    bool done = false;
    client.call({.method = "PUT",
                 .target = "/v1/instances/log-shipper-1",
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump()},
                1s,
                [&](http_result const& result)
                {
                    done = true;
                    d.record.line(
                        "heartbeat of log-shipper answered " +
                        std::to_string(result.has_value() ? result.value().status : 0));
                });
    d.run_until([&] { return done; }, 2s);
}

int run(std::string const& out)
{
    deployment d(out);
    d.put_configuration(
        json::array({deployment::route_entry("kiosk", "idempotent", deadline_ms)}),
        json::array({deployment::service_entry("kiosk", true)}));
    ownership_check check(d.record);
    std::vector<machine> machines;
    std::vector<std::unique_ptr<target>> targets;
    for (std::size_t i = 0; i < holders; ++i)
    {
        machines.push_back(d.make_machine(i, "kiosk"));
        d.start_node(machines[i]);
        targets.push_back(
            std::make_unique<target>(d.loop,
                                     target::options{.ip = machines[i].ip,
                                                     .service = "kiosk",
                                                     .id = "t" + std::to_string(i),
                                                     .sharded = true},
                                     d.record, &check));
    }
    d.loop.timers().every(boot_now(), 10ms, [&](instant now) { check.sample(now); });
    auto const all_held = [&]
    {
        int held = 0;
        for (auto const& t : targets)
            held += t->held_cells();
        return held == cells;
    };
    if (!d.run_until(all_held, 30s))
        return d.record.line("the keys were not placed"), exit_not_run;
    traffic load(d, machines, {.service = "kiosk", .deadline_ms = deadline_ms});
    d.run_for(6s); // calm: all that was placed has settled
    if (check.broken() || !all_held())
        return d.record.line("not calm: " + check.summary()), exit_not_run;
    auto const held_before = targets[0]->held_cells();
    if (makes_trouble())
        send_foreign_beat(d, machines[0], targets[0]->address());
    d.run_for(12s);
    auto const text = check.summary() + "; t0 held " + std::to_string(held_before) +
                      " cells before and holds " +
                      std::to_string(targets[0]->held_cells()) + " 12 s after; served " +
                      std::to_string(load.served()) + " of " +
                      std::to_string(load.sent());
    d.record.line(text);
    std::cout << text << std::endl;
    return check.broken() ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc > 1 ? argv[1] : ".");
}
