// Implementation of the small deployment; see the header.
#include "rig2.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <unistd.h>

namespace review
{

namespace
{

constexpr int store_port = 8'309;
constexpr int callers_port = 8'304;
constexpr int readiness_port = 8'302;
constexpr int control_port = 8'306;
constexpr int app_port = 8'301;
constexpr int first_inner_port = 7'620;
constexpr int last_inner_port = 7'635;
constexpr std::size_t store_machine = 200;
constexpr std::uint64_t max_body = 67'108'864; // as in the example of the users' pages

constexpr char const* id_header = "X-Buckthornusher-Request-Id";
constexpr char const* key_header = "X-Buckthornusher-Shard-Key";
constexpr char const* not_run_header = "X-Buckthornusher-Not-Executed";
constexpr char const* expect_header = "X-Buckthornusher-Expect-Instance";

std::uint64_t number_in(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string decoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        int value = 0;
        bool const escaped = text[i] == '%' && i + 2 < text.size();
        if (escaped)
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
        out += escaped ? static_cast<char>(value) : text[i];
        i += escaped ? 2 : 0;
    }
    return out;
}

void replace_all(std::string& text, std::string const& from, std::string const& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at))
    {
        text.replace(at, from.size(), to);
        at += to.size();
    }
}

} // namespace

bool makes_trouble()
{
    auto const* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

std::uint64_t unix_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// ---- record ----

std::int64_t record_file::now_ms() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(boot_now() - m_start)
        .count();
}

void record_file::line(std::string const& text)
{
    m_out << now_ms() << " " << text << std::endl;
}

// ---- store ----

store::store(event_loop& loop, tcp_address const& address, record_file& record)
    : m_loop(loop), m_record(record),
      m_server(loop, {.address = address, .limits = {.read = {.body_bytes = 2'000'000}}},
               [this](http_request const& request, http_reply const& reply)
               { handle(request, reply); })
{
}

json store::to_json(std::string const& name, object const& o)
{
    return {{"metadata",
             {{"name", name},
              {"revision", o.revision},
              {"create_revision", o.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", o.status}};
}

void store::send(http_reply const& reply, int status, json const& body) const
{
    http_response response{.status = status, .body = body.dump()};
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Store-Era", std::to_string(m_era)});
    reply.send(std::move(response));
}

void store::write(std::string const& kind, std::string const& name, json const& spec)
{
    auto& o = m_data.kinds[kind][name];
    o.spec = spec;
    o.revision = ++m_data.revision;
    if (o.created == 0)
        o.created = o.revision;
    note(kind, name, o, false);
}

void store::set_away(bool away)
{
    m_away = away;
    m_record.line(away ? "store away" : "store back");
    if (!away)
        return;
    for (auto const& w : std::exchange(m_watches, {}))
        w.reply.drop();
}

void store::keep_copy()
{
    m_copy = m_data;
    m_record.line("store copied at revision " + std::to_string(m_data.revision));
}

void store::return_to_copy()
{
    m_record.line("store goes back from revision " + std::to_string(m_data.revision) +
                  " to " + std::to_string(m_copy.revision));
    m_data = m_copy;
    m_history.clear();
    m_history_from = m_data.revision;
    ++m_era;
}

void store::handle(http_request const& request, http_reply const& reply)
{
    constexpr std::string_view prefix = "/v1/objects/";
    if (m_away)
        return send(reply, 503, {{"error", "away"}});
    auto const path = request.path();
    if (!path.starts_with(prefix))
        return send(reply, 404, {{"error", "no such path"}});
    auto const rest = path.substr(prefix.size());
    auto const slash = rest.find('/');
    auto const kind = std::string(rest.substr(0, slash));
    auto const name =
        slash == std::string_view::npos ? std::string() : decoded(rest.substr(slash + 1));
    if (request.method == "GET")
        read(kind, name, request, reply);
    else
        change(kind, name, request, reply);
}

void store::read(std::string const& kind, std::string const& name,
                 http_request const& request, http_reply const& reply)
{
    constexpr std::size_t page = 500;
    auto const& all = m_data.kinds[kind];
    auto const since = find_query(request.query(), "watch");
    if (!since.empty())
    {
        auto const until =
            boot_now() +
            std::chrono::milliseconds(number_in(find_query(request.query(), "wait_ms")));
        m_watches.push_back(
            {.kind = kind, .since = number_in(since), .until = until, .reply = reply});
        m_loop.timers().at(until, [this](instant) { end_watches(); });
        return end_watches();
    }
    if (!name.empty())
    {
        auto const it = all.find(name);
        if (it == all.end())
            return send(reply, 404, {{"error", "no such object"}});
        return send(reply, 200, to_json(name, it->second));
    }
    json items = json::array();
    auto it = all.upper_bound(decoded(find_query(request.query(), "after")));
    for (; it != all.end() && items.size() < page; ++it)
        items.push_back(to_json(it->first, it->second));
    send(reply, 200,
         {{"items", items},
          {"has_more", it != all.end()},
          {"store_revision", m_data.revision}});
}

void store::change(std::string const& kind, std::string const& path_name,
                   http_request const& request, http_reply const& reply)
{
    auto const body = json::parse(request.body, nullptr, false);
    auto const meta = body.is_object() ? body.value("metadata", json::object()) : json();
    auto const name =
        request.method == "POST" ? meta.value("name", std::string()) : path_name;
    auto& all = m_data.kinds[kind];
    auto const it = all.find(name);
    if (request.method != "POST" && it == all.end())
        return send(reply, 404, {{"error", "no such object"}});
    auto const expected = meta.is_object() && meta.contains("revision")
                              ? meta["revision"].get<std::uint64_t>()
                              : number_in(find_query(request.query(), "revision"));
    bool const conflicts =
        it != all.end() &&
        (request.method == "POST" || (expected != 0 && expected != it->second.revision));
    if (conflicts)
        return send(reply, 409, to_json(name, it->second));
    if (request.method == "DELETE")
    {
        auto last = it->second;
        last.revision = ++m_data.revision;
        all.erase(it);
        note(kind, name, last, true);
        return send(reply, 200, to_json(name, last));
    }
    if (!body.is_object() || name.empty())
        return send(reply, 400, {{"error", "not an object"}});
    auto const spec = body.value("spec", json());
    if (it != all.end() && it->second.spec == spec)
        return send(reply, 200, to_json(name, it->second));
    bool const created = it == all.end();
    write(kind, name, spec);
    send(reply, created ? 201 : 200, to_json(name, all[name]));
}

void store::note(std::string const& kind, std::string const& name, object const& o,
                 bool deleted)
{
    m_history.push_back({.revision = m_data.revision,
                         .kind = kind,
                         .body = {{"deleted", deleted}, {"object", to_json(name, o)}}});
    end_watches();
}

void store::end_watches()
{
    auto const now = boot_now();
    std::vector<watch> waiting;
    for (auto const& w : std::exchange(m_watches, {}))
    {
        if (w.since < m_history_from || w.since > m_data.revision)
        {
            send(w.reply, 410, {{"error", "this history is gone"}});
            continue;
        }
        json events = json::array();
        for (auto const& e : m_history)
            if (e.revision > w.since && e.kind == w.kind)
                events.push_back(e.body);
        if (events.empty() && w.until > now)
            waiting.push_back(w);
        else
            send(w.reply, 200, {{"events", events}, {"store_revision", m_data.revision}});
    }
    for (auto& w : waiting)
        m_watches.push_back(std::move(w));
}

// ---- ownership ----

void ownership_check::on_take(std::string const& target, int cell, std::uint64_t token)
{
    auto& c = m_cells.at(static_cast<std::size_t>(cell));
    for (auto const& [other, highest] : c.highest_token)
        if (other != target && token <= highest)
        {
            if (m_low_tokens++ == 0)
                m_record.line("LOW TOKEN: " + target + " takes cell " +
                              std::to_string(cell) + " with " + std::to_string(token) +
                              ", " + other + " had it with " + std::to_string(highest));
            break;
        }
    auto& highest = c.highest_token[target];
    highest = std::max(highest, token);
}

void ownership_check::on_hold(std::string const& target, int cell, instant until)
{
    m_cells.at(static_cast<std::size_t>(cell)).holders[target] = until;
}

void ownership_check::on_drop(std::string const& target, int cell)
{
    m_cells.at(static_cast<std::size_t>(cell)).holders.erase(target);
}

void ownership_check::on_run(std::string const& target, int cell)
{
    auto& c = m_cells.at(static_cast<std::size_t>(cell));
    if (!c.twice_since)
        return;
    ++c.runs_while_twice[target];
    if (c.runs_while_twice.size() < 2 || std::exchange(c.both_ran, true))
        return;
    m_record.line("BOTH RUN: cell " + std::to_string(cell));
}

void ownership_check::sample(instant now)
{
    constexpr duration allowed = 500ms;
    for (std::size_t i = 0; i < m_cells.size(); ++i)
    {
        auto& c = m_cells[i];
        std::erase_if(c.holders, [&](auto const& entry) { return entry.second <= now; });
        if (c.holders.size() < 2)
        {
            c.twice_since.reset();
            c.runs_while_twice.clear();
            continue;
        }
        if (!c.twice_since)
            c.twice_since = now;
        m_longest = std::max<duration>(m_longest, now - *c.twice_since);
        if (now - *c.twice_since <= allowed || std::exchange(c.long_twice, true))
            continue;
        std::string names;
        for (auto const& entry : c.holders)
            names.append(" ").append(entry.first);
        m_record.line("HELD TWICE: cell " + std::to_string(i) + " by" + names);
    }
}

int ownership_check::both_ran() const
{
    return static_cast<int>(std::count_if(m_cells.begin(), m_cells.end(),
                                          [](auto const& c) { return c.both_ran; }));
}

int ownership_check::held_twice_long() const
{
    return static_cast<int>(std::count_if(m_cells.begin(), m_cells.end(),
                                          [](auto const& c) { return c.long_twice; }));
}

std::string ownership_check::summary() const
{
    std::ostringstream out;
    out << "OWNER: cells of " << keys_per_cell << " keys held twice for over 500 ms "
        << held_twice_long() << ", of which both targets began requests on " << both_ran()
        << ", longest "
        << std::chrono::duration_cast<std::chrono::milliseconds>(m_longest).count()
        << " ms, grants with a token not above the others' " << m_low_tokens;
    return out.str();
}

// ---- targets ----

target::target(event_loop& loop, options opts, record_file& record,
               ownership_check* check)
    : m_loop(loop), m_options(std::move(opts)), m_record(record), m_check(check),
      m_node(loop, {.peer = {.ip = m_options.ip, .port = control_port}}),
      m_server(loop, {.address = address(), .limits = {.read = {.body_bytes = max_body}}},
               [this](http_request const& request, http_reply const& reply)
               { handle(request, reply); }),
      m_born(unix_ms())
{
    m_record.line("target " + m_options.id + " of " + m_options.service + " starts");
    beat();
}

target::~target()
{
    *m_alive = false;
    m_loop.timers().cancel(m_next_beat);
    m_loop.timers().cancel(m_expiry);
}

tcp_address target::address() const
{
    return {.ip = m_options.ip, .port = app_port};
}

int target::held_cells() const
{
    return static_cast<int>(std::count_if(m_cells.begin(), m_cells.end(),
                                          [](cell const& c) { return c.held; }));
}

std::vector<int> target::cells_held() const
{
    std::vector<int> held;
    for (int i = 0; i < cells; ++i)
        if (m_cells.at(static_cast<std::size_t>(i)).held)
            held.push_back(i);
    return held;
}

json target::rows_held() const
{
    json rows = json::array();
    for (int i = 0; i < cells; ++i)
    {
        auto const& c = m_cells.at(static_cast<std::size_t>(i));
        if (!c.held)
            continue;
        bool const joins = !rows.empty() && rows.back()[2] == c.token &&
                           rows.back()[1].get<int>() + 1 == i * keys_per_cell;
        if (joins)
            rows.back()[1] = (i + 1) * keys_per_cell - 1;
        else
            rows.push_back({i * keys_per_cell, (i + 1) * keys_per_cell - 1, c.token});
    }
    return rows;
}

void target::beat()
{
    auto const now = boot_now();
    m_next_beat = m_loop.timers().at(now + std::chrono::milliseconds(heartbeat_ms),
                                     [this](instant) { beat(); });
    if (m_beating)
        return; // the answer to the last one is still awaited
    expire(now);
    json body{{"service", m_options.service},
              {"address", to_string(address())},
              {"zone", "z"},
              {"version", "v1"},
              {"slots", slots_per_target},
              {"state", "ready"},
              {"cold_remaining_ms", 0},
              {"born", m_born},
              {"sequence", ++m_sequence}};
    if (m_options.sharded)
    {
        body["holds"] = rows_held();
        body["freed"] = m_freed;
    }
    m_beating = true;
    m_node.call({.method = "PUT",
                 .target = "/v1/instances/" + m_options.id,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump()},
                1s,
                [this, alive = m_alive, now](http_result const& result)
                {
                    if (*alive)
                        on_answer(result, now);
                });
}

void target::on_answer(http_result const& result, instant sent)
{
    m_beating = false;
    if (!result.has_value() || result.value().status / 100 != 2)
        return;
    m_freed = json::array();
    auto const body = json::parse(result.value().body, nullptr, false);
    if (!m_options.sharded || !body.is_object() || !body.contains("holds"))
        return;
    m_hold_until = sent + std::chrono::milliseconds(body.value("hold_ms", 0));
    take_rows(body["holds"]);
    m_loop.timers().cancel(m_expiry);
    m_expiry = m_loop.timers().at(m_hold_until, [this](instant now) { expire(now); });
    bool const releases =
        !m_freed.empty() || std::any_of(m_cells.begin(), m_cells.end(),
                                        [](cell const& c) { return c.leaving; });
    if (!releases)
        return;
    m_loop.timers().cancel(m_next_beat);
    m_next_beat = m_loop.timers().at(boot_now() + 80ms, [this](instant) { beat(); });
}

void target::take_rows(json const& rows)
{
    std::array<std::uint64_t, cells> wanted{};
    for (auto const& row : rows)
        for (int i = row[0].get<int>() / keys_per_cell;
             i <= row[1].get<int>() / keys_per_cell; ++i)
            wanted.at(static_cast<std::size_t>(i)) = row[2].get<std::uint64_t>();
    for (int i = 0; i < cells; ++i)
    {
        auto& c = m_cells.at(static_cast<std::size_t>(i));
        auto const token = wanted.at(static_cast<std::size_t>(i));
        if (token == 0 || token < c.seen)
        {
            if (c.held)
                release(i);
            continue;
        }
        bool const is_new = !c.held || c.token != token;
        c.held = true;
        c.leaving = false;
        c.token = c.seen = token;
        if (m_check == nullptr)
            continue;
        if (is_new)
            m_check->on_take(m_options.id, i, token);
        m_check->on_hold(m_options.id, i, m_hold_until);
    }
}

void target::release(int index)
{
    auto& c = m_cells.at(static_cast<std::size_t>(index));
    c.leaving = c.running > 0;
    if (c.leaving)
        return;
    c.held = false;
    m_freed.push_back({index * keys_per_cell, (index + 1) * keys_per_cell - 1,
                       m_options.id + "-" + std::to_string(c.token)});
    if (m_check != nullptr)
        m_check->on_drop(m_options.id, index);
}

void target::expire(instant now)
{
    if (now < m_hold_until)
        return;
    for (int i = 0; i < cells; ++i)
    {
        auto& c = m_cells.at(static_cast<std::size_t>(i));
        if (c.held && m_check != nullptr)
            m_check->on_drop(m_options.id, i);
        c.held = false;
        c.leaving = false;
    }
}

void target::reject(http_request const& request, http_reply const& reply, int status)
{
    reply.send(
        {.status = status,
         .headers = {{id_header, std::string(find_header(request.headers, id_header))},
                     {not_run_header, "1"}}});
}

void target::handle(http_request const& request, http_reply const& reply)
{
    auto const expected = find_header(request.headers, expect_header);
    if (!expected.empty() && expected != m_options.id)
        return reject(request, reply, 421);
    if (!m_options.sharded)
        return run(request, reply, -1);
    expire(boot_now());
    auto const key = number_in(find_header(request.headers, key_header));
    auto const index = static_cast<int>(key) / keys_per_cell;
    auto const& c = m_cells.at(static_cast<std::size_t>(index));
    if (!c.held || c.leaving)
        return reject(request, reply, 421);
    run(request, reply, index);
}

void target::run(http_request const& request, http_reply const& reply, int index)
{
    auto const id = std::string(find_header(request.headers, id_header));
    ++m_runs;
    m_record.line("run " + id + " at " + m_options.id +
                  (index < 0 ? std::string() : " cell " + std::to_string(index)));
    if (index >= 0)
    {
        ++m_cells.at(static_cast<std::size_t>(index)).running;
        if (m_check != nullptr)
            m_check->on_run(m_options.id, index);
    }
    auto body = answer_body ? answer_body(request) : "done " + id + "\n";
    m_loop.timers().at(
        boot_now() + m_options.work,
        [this, alive = m_alive, reply, id, index, body = std::move(body)](instant)
        {
            reply.send({.status = 200,
                        .headers = {{id_header, id},
                                    {"X-Buckthornusher-Response-Signature", "sig-" + id}},
                        .body = body});
            if (!*alive || index < 0)
                return;
            auto& c = m_cells.at(static_cast<std::size_t>(index));
            --c.running;
            if (c.leaving && c.running == 0)
                release(index);
        });
}

// ---- deployment ----

deployment::deployment(std::string const& out_directory)
    : record(out_directory + "/record.txt"),
      platform(loop, {.ip = ip_of(store_machine), .port = store_port}, record),
      m_directory(std::filesystem::temp_directory_path() /
                  ("review-" + std::to_string(::getpid()))),
      m_program("target/buckthornusher")
{
    std::filesystem::create_directories(m_directory);
}

deployment::~deployment()
{
    m_nodes.clear(); // kills and reaps them
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory);
    else
        record.line("logs are in " + m_directory);
}

std::string deployment::ip_of(std::size_t number) const
{
    constexpr int first_network = 64;
    constexpr int networks = 128;
    constexpr int subnetworks = 250;
    auto const pid = ::getpid();
    return "127." + std::to_string(first_network + pid / subnetworks % networks) + "." +
           std::to_string(1 + pid % subnetworks) + "." + std::to_string(number + 1);
}

machine deployment::make_machine(std::size_t number, std::string const& service) const
{
    static constexpr std::array<char const*, 4> zones{"lj-vic", "mb-tabor", "lj-moste",
                                                      "ce-hudinja"};
    static constexpr std::array<char const*, 4> regions{"osrednja", "stajerska",
                                                        "osrednja", "stajerska"};
    return {.ip = ip_of(number),
            .zone = zones.at(number % zones.size()),
            .region = regions.at(number % regions.size()),
            .service = service};
}

void deployment::write_settings(machine const& m) const
{
    auto const at = [&](int port)
    {
        return m.ip + ":" + std::to_string(port);
    };
    std::ostringstream in;
    in << std::ifstream("deploy/settings.toml.in").rdbuf();
    auto text = in.str();
    std::map<std::string, std::string> const fields{
        {"ip", m.ip},
        {"region", m.region},
        {"zone", m.zone},
        {"service", m.service},
        {"heartbeat_ms", std::to_string(heartbeat_ms)},
        {"bounds.grace_s", "6"},
        {"bounds.config_apply_ms", "2500"},
        {"bounds.drain_ms", "2500"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "56"},
        {"bounds.budget_window_s", "10"},
        {"listen.outbound", at(callers_port)},
        {"listen.control", at(control_port)},
        {"listen.readiness_addr", at(readiness_port)},
        {"port_range.0", std::to_string(first_inner_port)},
        {"port_range.1", std::to_string(last_inner_port)},
        {"platform.address", ip_of(store_machine) + ":" + std::to_string(store_port)}};
    for (auto const& [name, value] : fields)
        replace_all(text, "{{" + name + "}}", value);
    std::ofstream(m_directory + "/" + m.ip + ".toml") << text;
}

void deployment::start_node(machine const& m)
{
    write_settings(m);
    record.line("node " + m.ip + " starts");
    m_nodes[m.ip] = std::make_unique<soak::child_process>(soak::child_process::options{
        .command = {m_program, "node", "--settings", m_directory + "/" + m.ip + ".toml",
                    "--set", "vm.memory_mb=260", "vm.link_mbps=1000.0",
                    "node.evacuation_bound_ms=", "cold_upstreams.ratio=",
                    "cold_upstreams.reserve="},
        .log = m_directory + "/" + m.ip + ".log"});
}

void deployment::kill_node(machine const& m)
{
    record.line("node " + m.ip + " is killed");
    m_nodes.erase(m.ip);
}

void deployment::stop_node(machine const& m)
{
    record.line("node " + m.ip + " gets SIGTERM");
    m_nodes.at(m.ip)->signal(SIGTERM);
}

bool deployment::node_runs(machine const& m)
{
    auto const it = m_nodes.find(m.ip);
    return it != m_nodes.end() && it->second->is_running();
}

std::uint64_t deployment::resident_kb(machine const& m)
{
    auto const it = m_nodes.find(m.ip);
    return it == m_nodes.end() ? 0 : it->second->resident_kb();
}

bool deployment::run_until(std::function<bool()> const& condition, duration limit)
{
    auto const deadline = boot_now() + limit;
    auto const timer = loop.timers().at(deadline, [](instant) {});
    while (!condition() && boot_now() < deadline)
        loop.run_once();
    loop.timers().cancel(timer);
    return condition();
}

void deployment::run_for(duration length)
{
    run_until([] { return false; }, length);
}

bool deployment::wait_ready(machine const& m, duration limit)
{
    auto const deadline = boot_now() + limit;
    while (boot_now() < deadline)
    {
        int status = 0;
        bool done = false;
        http_client client(loop, {.peer = {.ip = m.ip, .port = readiness_port}});
        client.call({.method = "GET", .target = "/v1/ready"}, 1s,
                    [&](http_result const& result)
                    {
                        done = true;
                        status = result.has_value() ? result.value().status : 0;
                    });
        run_until([&] { return done; }, 2s);
        if (status == 200)
            return true;
        run_for(50ms);
    }
    return false;
}

json deployment::service_entry(std::string const& name, bool sharded)
{
    json entry{{"name", name}, {"health_path", "/health"}, {"max_conns", 110}};
    if (sharded)
        entry.update({{"sharded", true}, {"warmup_s", 5.0}, {"grants", "heartbeat"}});
    return entry;
}

json deployment::route_entry(std::string const& service, std::string const& kind,
                             int timeout_ms)
{
    return {{"name", "r-" + service},
            {"host", service + ".example"},
            {"path_prefix", "/" + service + "/"},
            {"kind", kind},
            {"timeout_ms", timeout_ms},
            {"slo_latency_ms", 600},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
}

void deployment::put_configuration(json const& routes, json const& services)
{
    platform.write("config", "main",
                   {{"version", ++m_version},
                    {"routes", routes},
                    {"services", services},
                    {"limits",
                     {{"max_header_bytes", 16'384},
                      {"max_body_bytes", max_body},
                      {"header_timeout_ms", 3'000},
                      {"idle_timeout_ms", 15'000}}}});
}

http_request deployment::make_request(std::string const& service, std::string const& id,
                                      int deadline_ms, std::optional<int> key)
{
    http_request request{
        .method = "GET",
        .target = "/" + service + "/" + id,
        .headers = {{"Host", service + ".example"},
                    {id_header, id},
                    {"X-Buckthornusher-Deadline-Ms", std::to_string(deadline_ms)}}};
    if (key)
        request.headers.push_back({key_header, std::to_string(*key)});
    return request;
}

void deployment::send(machine const& at, http_request request, duration timeout,
                      http_client::callback done)
{
    auto const client = std::make_shared<http_client>(
        loop, http_client::options{.peer = {.ip = at.ip, .port = callers_port},
                                   .max_connections = 1});
    m_clients.push_back(client);
    client->call(std::move(request), timeout,
                 [this, raw = client.get(), done = std::move(done)](http_result result)
                 {
                     done(std::move(result));
                     loop.timers().at(boot_now(),
                                      [this, raw](instant) {
                                          std::erase_if(m_clients, [raw](auto const& c)
                                                        { return c.get() == raw; });
                                      });
                 });
}

int deployment::ask(machine const& at, http_request request, duration timeout)
{
    int status = 0;
    bool done = false;
    send(at, std::move(request), timeout,
         [&](http_result const& result)
         {
             done = true;
             status = result.has_value() ? result.value().status : 0;
         });
    run_until([&] { return done; }, timeout + 1s);
    return status;
}

// ---- clients ----

int traffic::every_cell(int number)
{
    constexpr int step = 389; // keys
    return number * step % keys;
}

traffic::traffic(deployment& d, std::vector<machine> machines, options opts)
    : m_deployment(d), m_machines(std::move(machines)), m_options(std::move(opts))
{
    send_next();
}

traffic::~traffic()
{
    *m_alive = false;
    m_deployment.loop.timers().cancel(m_timer);
}

void traffic::send_next()
{
    auto const id = "c" + std::to_string(m_sent);
    auto const& at = m_machines[static_cast<std::size_t>(m_sent) % m_machines.size()];
    auto request = deployment::make_request(m_options.service, id, m_options.deadline_ms,
                                            m_options.key_of(m_sent));
    m_deployment.record.line("sent " + id + " to " + at.ip);
    ++m_sent;
    m_deployment.send(
        at, std::move(request), std::chrono::milliseconds(m_options.deadline_ms) + 500ms,
        [this, id, alive = m_alive](http_result const& result)
        {
            if (!*alive)
                return;
            auto const status = result.has_value() ? result.value().status : 0;
            m_deployment.record.line("answered " + id + " " + std::to_string(status));
            m_served += status == 200 ? 1 : 0;
        });
    m_timer = m_deployment.loop.timers().at(boot_now() + m_options.gap,
                                            [this](instant) { send_next(); });
}

} // namespace review
