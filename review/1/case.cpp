// Case 1: the keys of a target that is up are given to another target while it holds
// them.
#include "../rig.hpp"

#include <algorithm>
#include <random>

namespace
{

constexpr std::size_t keyed_targets = 4;
constexpr double max_overlap = 0.5; // seconds
constexpr double play_seconds = 98;
constexpr double leave_after = 0.3;    // half of the latency objective
constexpr double heartbeat_late = 2.5; // seconds
constexpr double usual_work = 0.16;
constexpr double slow_factor = 10;

// Watches who holds which keys, and remembers the longest time that two held the same.
class hold_watch
{
public:
    explicit hold_watch(rig::fleet& f) : m_fleet(f), m_since(rig::target::units, -1) {}

    void look()
    {
        for (int i = 0; i < rig::target::units; ++i)
        {
            auto const t = rig::now();
            std::vector<std::size_t> holders;
            for (std::size_t n = 0; n < keyed_targets; ++n)
                if (m_fleet.target_at(n).holds(i, t))
                    holders.push_back(n);
            auto& since = m_since[static_cast<std::size_t>(i)];
            if (holders.size() < 2)
            {
                if (since >= 0)
                    end(i, t);
                since = -1;
                continue;
            }
            if (since < 0)
            {
                since = t;
                m_holders[i] = holders;
            }
        }
    }

    double longest() const { return m_longest; }
    int units_over() const { return m_units_over; }
    int both_began() const { return m_both_began; }

private:
    void end(int i, double t)
    {
        auto const since = m_since[static_cast<std::size_t>(i)];
        m_longest = std::max(m_longest, t - since);
        int began = 0;
        for (auto const n : m_holders[i])
        {
            auto const all = m_fleet.target_at(n).begins(i);
            began += std::any_of(all.begin(), all.end(),
                                 [&](double at) { return at >= since && at < t; })
                         ? 1
                         : 0;
        }
        m_both_began += began >= 2 ? 1 : 0;
        m_units_over += t - since > max_overlap ? 1 : 0;
        if (t - since > max_overlap || began >= 2)
            rig::record("keys %d-%d held by %s and %s from %.3f to %.3f (%.3f s), "
                        "requests begun by %d of them",
                        i * rig::target::unit, i * rig::target::unit + 63,
                        m_fleet.target_at(m_holders[i][0]).options().id.c_str(),
                        m_fleet.target_at(m_holders[i][1]).options().id.c_str(), since, t,
                        t - since, began);
    }

    rig::fleet& m_fleet;
    std::vector<double> m_since;
    std::map<int, std::vector<std::size_t>> m_holders;
    double m_longest = 0;
    int m_units_over = 0;
    int m_both_began = 0;
};

struct counts
{
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> left{0};
};

void client(rig::fleet& f, std::size_t machine, unsigned seed, std::atomic<bool>& stop,
            std::atomic<double>& patience, counts& c)
{
    constexpr int deadline_ms = 1500;
    constexpr double pause = 0.4;
    std::mt19937 random(seed);
    std::unique_ptr<rig::connection> open;
    for (int n = 0; !stop; ++n)
    {
        if (open == nullptr)
            open = rig::connection::open(f.node_at(machine).options().ip,
                                         rig::node::outbound_port, 1);
        if (open == nullptr)
        {
            rig::sleep_for(pause);
            continue;
        }
        auto const id = std::to_string(seed) + "-" + std::to_string(n);
        auto const key = random() % rig::target::keys;
        bool const leaves = patience > 0 && random() % 10 < 3;
        ++c.sent;
        auto const seen = rig::ask(
            *open,
            rig::request_text("GET", "kiosk.example", "/status/" + id, id, deadline_ms,
                              {{"X-Buckthornusher-Shard-Key", std::to_string(key)}}),
            leaves ? patience.load() : deadline_ms / 1000.0 + 0.3);
        c.answered += seen.status == 200 ? 1 : 0;
        c.refused += seen.status == 429 || seen.status == 503 ? 1 : 0;
        c.failed += seen.status >= 500 && seen.status != 503 ? 1 : 0;
        c.left += seen.complete ? 0 : 1;
        if (!seen.complete)
            open.reset();
        rig::sleep_for(pause);
    }
}

} // namespace

int main()
{
    rig::open_record("review/1/record.txt");
    auto const config = rig::configuration(
        7,
        {rig::route_entry("r-1", "kiosk.example", "/status/", true, "kiosk", 1500, 600),
         rig::route_entry("r-2", "desk.example", "/order/", false, "desk", 1500, 600)},
        {rig::service_entry("kiosk", true), rig::service_entry("desk", false)});
    std::vector<rig::machine_plan> plan;
    for (std::size_t i = 0; i < keyed_targets; ++i)
        plan.push_back({.service = "kiosk", .sharded = true, .work = usual_work});
    for (int i = 0; i < 4; ++i)
        plan.push_back({.service = "desk", .work = usual_work});
    rig::fleet f(plan, config);
    if (!f.wait_until_serving(20))
    {
        rig::record("the fleet does not serve");
        f.finish(rig::could_not_run);
    }
    rig::record("the fleet serves");
    std::atomic<bool> stop{false};
    std::atomic<double> patience{0};
    counts c;
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < 128; ++i)
        clients.emplace_back(client, std::ref(f), i % f.size(), i + 1, std::ref(stop),
                             std::ref(patience), std::ref(c));
    hold_watch watch(f);
    std::thread watching(
        [&]
        {
            while (!stop)
            {
                watch.look();
                rig::sleep_for(0.005);
            }
        });
    // These two go on with their work when the connection of a request has closed; most
    // targets don't.
    constexpr std::size_t slow_targets = 2;
    for (std::size_t i = 0; i < slow_targets; ++i)
        f.target_at(i).ignores_close = true;
    auto const until = rig::now() + play_seconds;
    for (std::size_t round = 0; rig::now() < until; ++round)
    {
        auto& slow = f.target_at(round % slow_targets);
        rig::sleep_for(3);
        if (rig::trouble())
        {
            rig::record("%s turns slow, and three clients in ten leave after %.1f s",
                        slow.options().id.c_str(), leave_after);
            slow.work = usual_work * slow_factor;
            patience = leave_after;
        }
        rig::sleep_for(0.5);
        rig::record("a heartbeat of %s is late", slow.options().id.c_str());
        slow.beats_held_until = rig::now() + heartbeat_late;
        rig::sleep_for(3.2);
        slow.work = usual_work;
        patience = 0;
        rig::record("%s is as usual; it has reset %llu connections",
                    slow.options().id.c_str(),
                    static_cast<unsigned long long>(slow.resets()));
    }
    stop = true;
    watching.join();
    for (auto& t : clients)
        t.join();
    rig::record("sent %d, answered %d, refused %d, failed %d, left %d", c.sent.load(),
                c.answered.load(), c.refused.load(), c.failed.load(), c.left.load());
    rig::record("the same keys at two targets for %.3f s at most; %d times longer than "
                "%.1f s, %d times both began requests",
                watch.longest(), watch.units_over(), max_overlap, watch.both_began());
    bool const broken = watch.units_over() > 0 || watch.both_began() > 0;
    rig::record(broken ? "OWNER broken" : "OWNER held");
    f.finish(broken ? rig::rule_broken : rig::rule_held);
}
