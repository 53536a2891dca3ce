// Case 4: a request with a long header that the configuration allows ends the process.
#include "../rig.hpp"

namespace
{

constexpr int usual_header_bytes = 16'384;
constexpr int raised_header_bytes = 131'072;
constexpr int long_header = 70'000; // bytes of one field, below the raised limit
constexpr double config_apply = 2.5;
constexpr int lost_allowed = 3;
constexpr std::size_t entry = 4; // the machine whose clients are watched

} // namespace

int main()
{
    rig::open_record("review/4/record.txt");
    auto config = rig::usual_configuration();
    rig::fleet f(rig::usual_plan(), config);
    if (!f.wait_until_serving(20))
    {
        rig::record("the fleet does not serve");
        f.finish(rig::could_not_run);
    }
    rig::record("the fleet serves");
    rig::order_clients clients(f, entry, 16);
    rig::sleep_for(4);
    int header_bytes = usual_header_bytes - 2'000;
    if (rig::trouble())
    {
        config["version"] = 9;
        config["limits"]["max_header_bytes"] = raised_header_bytes;
        f.platform().put_config(config);
        rig::record("the configuration changes: max_header_bytes is %d",
                    raised_header_bytes);
        header_bytes = long_header;
    }
    rig::sleep_for(config_apply + 1);
    int ends = 0;
    for (int round = 0; round < 3; ++round)
    {
        auto const id = "long-" + std::to_string(round);
        auto const open = rig::connection::open(f.node_at(entry).options().ip,
                                                rig::node::outbound_port, 1);
        if (open == nullptr)
            f.finish(rig::could_not_run);
        auto const seen = rig::ask(
            *open,
            rig::request_text(
                "GET", "kiosk.example", "/status/" + id, id, 1500,
                {{"X-Buckthornusher-Shard-Key", "12345"},
                 {"X-Note", std::string(static_cast<std::size_t>(header_bytes), 'a')}}),
            1.8);
        rig::record("request %s with a header field of %d bytes: status %d%s", id.c_str(),
                    header_bytes, seen.status,
                    seen.closed ? ", the connection ended without an answer" : "");
        rig::sleep_for(1);
        int status = 0;
        if (!f.node_at(entry).alive(&status))
        {
            ++ends;
            rig::record("the process of the node ended by itself, status 0x%x", status);
            f.node_at(entry).start();
            if (!f.node_at(entry).wait_until_ready(5))
                f.finish(rig::could_not_run);
            rig::record("the node was started again and is ready");
        }
        rig::sleep_for(5);
    }
    clients.stop();
    int const lost = clients.record_lost();
    rig::record("the process ended by itself %d times", ends);
    bool const broken = lost > lost_allowed;
    rig::record(broken ? "LOST broken" : "LOST held");
    f.finish(broken ? rig::rule_broken : rig::rule_held);
}
