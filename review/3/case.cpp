// Case 3: a target that has left is used again after the node beside it was restarted.
#include "../rig.hpp"

#include <csignal>

namespace
{

constexpr double drain_bound = 2.5;   // drain_ms
constexpr double stable_window = 3.0; // stable_window_ms
constexpr double heartbeat_late = 3.0;
// The target serves on for drain_ms and a little longer.
constexpr double target_ends_after = 5.0;
constexpr int max_rounds = 3;

void client(rig::fleet& f, std::size_t machine, int number, std::atomic<bool>& stop,
            std::atomic<int>& sent, std::atomic<int>& answered, std::atomic<int>& unknown)
{
    std::unique_ptr<rig::connection> open;
    for (int n = 0; !stop; ++n)
    {
        if (open == nullptr)
            open = rig::connection::open(f.node_at(machine).options().ip,
                                         rig::node::outbound_port, 1);
        if (open != nullptr)
        {
            auto const id = std::to_string(number) + "-" + std::to_string(n);
            ++sent;
            auto const seen =
                rig::ask(*open,
                         rig::request_text("POST", "desk.example", "/order/" + id, id,
                                           1500, {}, "order"),
                         1.8);
            answered += seen.status == 200 ? 1 : 0;
            unknown += seen.status == 502 || seen.status == 504 || seen.closed ? 1 : 0;
            if (!seen.complete || seen.answer.header("Connection") == "close")
                open.reset();
        }
        rig::sleep_for(0.1);
    }
}

} // namespace

int main()
{
    rig::open_record("review/3/record.txt");
    auto const config = rig::configuration(
        7,
        {rig::route_entry("r-1", "kiosk.example", "/status/", true, "kiosk", 1500, 600),
         rig::route_entry("r-2", "desk.example", "/order/", false, "desk", 1500, 600)},
        {rig::service_entry("kiosk", true), rig::service_entry("desk", false)});
    std::vector<rig::machine_plan> plan;
    for (int i = 0; i < 4; ++i)
        plan.push_back({.service = "desk", .work = 0.21});
    for (int i = 0; i < 4; ++i)
        plan.push_back({.service = "kiosk", .sharded = true, .work = 0.16});
    rig::fleet f(plan, config);
    if (!f.wait_until_serving(20))
    {
        rig::record("the fleet does not serve");
        f.finish(rig::could_not_run);
    }
    rig::record("the fleet serves");
    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> unknown{0}; // orders that may have run
    std::vector<std::thread> clients;
    // None of the clients is on the machines whose nodes are restarted.
    for (int i = 0; i < 24; ++i)
        clients.emplace_back(client, std::ref(f), 4 + static_cast<std::size_t>(i) % 4, i,
                             std::ref(stop), std::ref(sent), std::ref(answered),
                             std::ref(unknown));
    rig::sleep_for(4);
    int late_runs = 0;
    for (std::size_t round = 0; round < max_rounds; ++round)
    {
        auto& t = f.target_at(round);
        auto& n = f.node_at(round);
        auto const& id = t.options().id;
        // This heartbeat is on its way while the target says that it leaves.
        t.beats = false;
        rig::sleep_for(1);
        auto const body = t.next_beat();
        auto const beat_sent = rig::now();
        rig::sleep_for(0.05);
        auto const status = t.send_delete();
        auto const acknowledged = rig::now();
        rig::record("%s says that it leaves, the answer is %d", id.c_str(), status);
        if (status != 200)
            f.finish(rig::could_not_run);
        rig::sleep_for(0.2);
        double in_touch = 0;
        if (rig::trouble())
        {
            rig::record("the node beside %s is killed", id.c_str());
            n.signal(SIGKILL);
            while (n.alive())
                rig::sleep_for(0.01);
            n.start();
            if (!n.wait_until_ready(3))
                f.finish(rig::could_not_run);
            rig::record("the node is ready again");
            in_touch = rig::now() + stable_window;
        }
        rig::sleep_for(beat_sent + heartbeat_late - rig::now());
        double at = 0;
        std::string answer;
        auto const late_status = t.send_beat(body, at, answer);
        rig::record("the heartbeat that was sent %.3f s before arrives, the answer is %d",
                    rig::now() - beat_sent, late_status);
        rig::sleep_for(acknowledged + target_ends_after - rig::now());
        auto const unknown_before = unknown.load();
        t.ended = true;
        rig::record("%s ends", id.c_str());
        rig::sleep_for(2);
        rig::record("%d orders have ended without a sure outcome since",
                    unknown - unknown_before);
        int ran = 0;
        for (auto const& r : t.runs())
        {
            if (r.at < acknowledged)
                continue;
            bool const counts = r.at > acknowledged + drain_bound && r.at > in_touch;
            rig::record("%s ran %s %s %.3f s after the acknowledgement%s", id.c_str(),
                        r.method.c_str(), r.request.c_str(), r.at - acknowledged,
                        counts ? ", with all machines in touch" : "");
            ran += counts ? 1 : 0;
        }
        rig::record("%d requests reached %s too late", ran, id.c_str());
        late_runs += ran;
    }
    stop = true;
    for (auto& t : clients)
        t.join();
    rig::record("sent %d, answered %d, without a sure outcome %d", sent.load(),
                answered.load(), unknown.load());
    rig::record(late_runs > 0 ? "DRAIN broken" : "DRAIN held");
    f.finish(late_runs > 0 ? rig::rule_broken : rig::rule_held);
}
