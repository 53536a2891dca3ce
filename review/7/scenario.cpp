// The store comes back from a copy some seconds old, and the processes of the nodes are
// killed and started again. See claim.txt.
#include "rig2.hpp"

#include <iostream>

using namespace review;

namespace
{

constexpr std::size_t machine_count = 4;
constexpr int deadline_ms = 1'500;
constexpr std::size_t hot_cells = 24;
constexpr duration max_age_of_copy = 6s;
constexpr int moves_wanted = 30; // cells that the first target gives to others

std::int64_t in_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
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
    for (std::size_t i = 0; i < machine_count; ++i)
    {
        machines.push_back(d.make_machine(i, "kiosk"));
        d.start_node(machines[i]);
        targets.push_back(
            std::make_unique<target>(d.loop,
                                     target::options{.ip = machines[i].ip,
                                                     .service = "kiosk",
                                                     .id = "t" + std::to_string(i),
                                                     .sharded = true,
                                                     .work = 160ms},
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

    // Some keys of the first target are far busier than the others, so keys move.
    auto const before = targets[0]->cells_held();
    auto const key_of = [&](int number)
    {
        auto const hot = static_cast<std::size_t>(number) * 7 % hot_cells;
        return number % 4 == 0 ? traffic::every_cell(number)
                               : before[hot] * keys_per_cell + number % keys_per_cell;
    };
    traffic load(
        d, machines,
        {.service = "kiosk", .deadline_ms = deadline_ms, .gap = 6ms, .key_of = key_of});
    d.platform.keep_copy();
    auto const copied = boot_now();
    auto const lost = [&]
    {
        return static_cast<int>(before.size()) - targets[0]->held_cells();
    };
    d.run_until([&] { return lost() >= moves_wanted; }, max_age_of_copy);
    if (!d.run_until([&] { return lost() > 0 && all_held(); }, 3s))
        return d.record.line("no keys have moved"), exit_not_run;
    d.run_for(500ms);
    d.record.line("t0 holds " + std::to_string(targets[0]->held_cells()) + " cells of " +
                  std::to_string(before.size()) + ", " +
                  std::to_string(in_ms(boot_now() - copied)) + " ms after the copy");
    if (check.broken())
        return d.record.line("not calm: " + check.summary()), exit_not_run;

    // The drill, and the kill.
    if (makes_trouble())
    {
        d.platform.set_away(true);
        d.run_for(1s);
        d.platform.return_to_copy();
        d.platform.set_away(false);
    }
    for (auto const& m : machines)
        d.kill_node(m);
    d.run_for(200ms);
    for (auto const& m : machines)
        d.start_node(m);
    d.run_for(15s);
    auto text = check.summary() + "; served " + std::to_string(load.served()) + " of " +
                std::to_string(load.sent()) + "; cells held at the end";
    for (auto const& t : targets)
        text += " " + std::to_string(t->held_cells());
    d.record.line(text);
    std::cout << text << std::endl;
    return check.broken() ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc > 1 ? argv[1] : ".");
}
