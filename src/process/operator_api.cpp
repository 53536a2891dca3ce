// Implementation of the operators' HTTP listener; see the header.
#include "process/operator_api.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"
#include "process/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace buckthornusher
{

namespace
{

std::optional<std::uint64_t> query_number(http_request const& request,
                                          std::string_view name)
{
    auto const text = find_query(request.query(), name);
    std::uint64_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

http_response error_response(int status, std::string const& message)
{
    return {.status = status, .body = message + "\n"};
}

http_response refused_by_store()
{
    return error_response(503, "the store refused the change; try again");
}

std::string to_json(member_id const& id)
{
    return "\"" + id.node + "@" + std::to_string(id.incarnation) + "\"";
}

void write_members(std::ostream& out, replica const& copy)
{
    char const* separator = "";
    for (auto const& [id, m] : copy.members())
    {
        out << separator << "{\"id\":" << to_json(id) << ",\"region\":\"" << m.region
            << "\",\"domain\":\"" << m.domain << "\",\"state\":\"" << to_string(m.state)
            << "\",\"draining\":" << (m.draining ? "true" : "false")
            << ",\"watchers\":" << m.watchers.size() << "}";
        separator = ",";
    }
}

// Names from the store may have any characters.
void write_texts(std::ostream& out, std::set<std::string, std::less<>> const& texts)
{
    char const* separator = "";
    for (auto const& text : texts)
    {
        out << separator
            << nlohmann::json(text).dump(-1, ' ', false,
                                         nlohmann::json::error_handler_t::replace);
        separator = ",";
    }
}

void write_burn_windows(std::ostream& out, burn_recorder const& burn,
                        std::string const& service)
{
    char const* separator = "";
    for (auto const length : burn_windows)
    {
        auto const windows = burn.window(length, boot_now());
        auto const it = windows.find(service);
        auto const counts = it == windows.end() ? burn_counts{} : it->second;
        out << separator << "{\"total\":" << counts.total
            << ",\"failed\":" << counts.failed << ",\"slow\":" << counts.slow << "}";
        separator = ",";
    }
}

// The node may lack the configuration that the operator means.
http_response unverified_response()
{
    auto response = error_response(
        503, "unavailable: this node may lack the newest configuration; try again");
    response.headers.push_back({"retry-after", "1"});
    return response;
}

// The store write that replaces the configuration, or the response that rejects it.
struct config_change
{
    store_write write;
    std::optional<http_response> refusal;
};

config_change check_config(http_request const& request, replica const& copy,
                           config_standing standing)
{
    auto const expected = query_number(request, "expected");
    if (!expected)
        return {.write = {},
                .refusal =
                    error_response(400, "missing or invalid parameter: expected=NUMBER")};
    auto const parsed = parse_document(request.body);
    if (!parsed)
    {
        std::string text;
        for (auto const& error : parsed.error())
            text += to_string(error) + "\n";
        return {.write = {}, .refusal = http_response{.status = 422, .body = text}};
    }
    auto const* present = copy.config();
    auto const number = present == nullptr ? 0 : present->number;
    // Numbers only grow: a lower one may be an old one, a higher one is a conflict.
    if (number < *expected && standing != config_standing::current)
        return {.write = {}, .refusal = unverified_response()};
    if (number != *expected)
        return {.write = {},
                .refusal = error_response(
                    409, "conflict: number " + std::to_string(number) +
                             " is in force, expected " + std::to_string(*expected))};
    config_record next{.number = number + 1,
                       .environment = parsed.value().environment,
                       .document = packed_text(request.body)};
    return {.write = {.name = config_object,
                      .expected = copy.version_of(config_object),
                      .value = std::move(next)},
            .refusal = {}};
}

http_response config_response(store_answer const& answer, std::uint64_t number)
{
    if (std::holds_alternative<store_written>(answer))
        return {.body = "accepted number " + std::to_string(number) + "\n"};
    if (std::holds_alternative<store_conflict>(answer))
        return error_response(409, "conflict: another change was written first");
    if (std::holds_alternative<store_refused>(answer))
        return refused_by_store();
    return error_response(
        504,
        "unknown: the store did not answer; read the configuration number to see whether "
        "the change was written");
}

// The store write that evacuates the domain or takes it back.
store_write evacuation_write(replica const& copy, std::string const& domain,
                             bool evacuates)
{
    auto const name = evacuation_object(domain);
    if (evacuates)
        return {.name = name,
                .expected = 0,
                .value = record(evacuation_record{.domain = domain})};
    return {.name = name, .expected = copy.version_of(name), .value = {}};
}

http_response evacuation_response(store_answer const& answer, std::string const& domain,
                                  bool evacuates)
{
    auto const done = http_response{
        .body = domain + (evacuates ? " is evacuated\n" : " is taken back\n")};
    if (std::holds_alternative<store_written>(answer))
        return done;
    if (auto const* conflict = std::get_if<store_conflict>(&answer))
    {
        bool const is_so = conflict->current.value.has_value() == evacuates;
        return is_so ? done
                     : error_response(
                           409, "conflict: another change was written first; try again");
    }
    if (std::holds_alternative<store_refused>(answer))
        return refused_by_store();
    return error_response(504, "unknown: the store did not answer; list the evacuated "
                               "domains to see whether the change was written");
}

} // namespace

void operator_api::handle(http_request request, http_reply reply)
{
    if (request.path() == "/v1/announce" && request.method == "POST")
        return announce(request, reply);
    if (request.path() == "/v1/config" && request.method == "PUT")
        return put_config(request, reply);
    if (request.path() == "/v1/evacuations" && request.method == "GET")
        return list_evacuations(reply);
    if (request.path() == "/v1/evacuations")
        return change_evacuation(request, reply);
    if (request.path() == "/metrics")
        return reply.send({.body = metrics_text()});
    if (request.path() == "/v1/burn")
        return reply.send(
            {.headers = {{"content-type", "application/json"}}, .body = burn_json()});
    if (request.path() == "/v1/status")
        return reply.send(
            {.headers = {{"content-type", "application/json"}}, .body = status_json()});
    if (request.path() == "/v1/config")
    {
        auto const* config = m_dependencies.coord->copy().config();
        if (config == nullptr)
        {
            auto const standing = m_dependencies.coord->verify_config(boot_now());
            return reply.send(
                standing == config_standing::current
                    ? error_response(404, "no configuration has been written yet")
                    : unverified_response());
        }
        return reply.send({.headers = {{"buckthornusher-config-number",
                                        std::to_string(config->number)}},
                           .body = config->document.text()});
    }
    reply.send(error_response(404, "unknown path"));
}

void operator_api::announce(http_request const& request, http_reply const& reply)
{
    constexpr std::uint64_t max_slots = 10'000;
    constexpr std::uint64_t max_port = 65'535;
    auto const service = std::string(find_query(request.query(), "service"));
    auto const port = query_number(request, "port");
    auto const slots = query_number(request, "slots");
    auto const connections = query_number(request, "connections");
    if (service.empty() || !port || *port == 0 || *port > max_port || !slots ||
        *slots == 0 || *slots > max_slots || !connections || *connections == 0 ||
        *connections > max_slots)
        return reply.send(error_response(
            400, "missing or invalid parameter: service, port (1 to 65535), slots and "
                 "connections (1 to 10000) are required"));
    auto const incarnation = std::string(find_query(request.query(), "life"));
    upstream_report report;
    report.service = service;
    report.incarnation.id = incarnation.empty() ? service : incarnation;
    report.ip = own_ip();
    report.port = static_cast<int>(*port);
    report.slots = static_cast<std::uint32_t>(*slots);
    report.connections = static_cast<std::uint32_t>(*connections);
    auto const answer = m_dependencies.local.on_report(report, boot_now());
    if (answer.verdict == report_verdict::stranger)
        return reply.send(error_response(409, "no configuration names this service"));
    reply.send({.body = "ok\n"});
}

// Local upstreams are reached at the node's own address.
std::string operator_api::own_ip() const
{
    auto const& callers = m_dependencies.settings.callers;
    return callers.substr(0, callers.rfind(':'));
}

void operator_api::put_config(http_request const& request, http_reply const& reply)
{
    auto change = check_config(request, m_dependencies.coord->copy(),
                               m_dependencies.coord->verify_config(boot_now()));
    if (change.refusal)
        return reply.send(*std::move(change.refusal));
    auto const number = std::get<config_record>(*change.write.value).number;
    m_dependencies.store.call(change.write, [reply, number](store_answer answer)
                              { reply.send(config_response(answer, number)); });
}

void operator_api::list_evacuations(http_reply const& reply) const
{
    std::string text;
    for (auto const& domain : m_dependencies.coord->copy().evacuated_domains())
        text += domain + "\n";
    reply.send({.body = std::move(text)});
}

void operator_api::change_evacuation(http_request const& request, http_reply const& reply)
{
    bool const evacuates = request.method == "PUT";
    if (!evacuates && request.method != "DELETE")
        return reply.send(error_response(405, "GET, PUT or DELETE"));
    auto const domain = std::string(find_query(request.query(), "domain"));
    if (!is_plain_domain(domain))
        return reply.send(error_response(400, "missing or invalid parameter: domain=NAME "
                                              "(letters, digits, '-', '_' and '.')"));
    if (m_dependencies.settings.evacuation_bound == duration{0})
        return reply.send(error_response(
            409, "this deployment reads no evacuations: node.evacuation_bound_ms is 0"));
    auto const& copy = m_dependencies.coord->copy();
    if (!evacuates && !copy.is_evacuated(domain))
        return reply.send(error_response(404, domain + " is not evacuated"));
    m_dependencies.store.call(
        evacuation_write(copy, domain, evacuates),
        [reply, domain, evacuates](store_answer const& answer)
        { reply.send(evacuation_response(answer, domain, evacuates)); });
}

std::string operator_api::status_json() const
{
    auto const& coord = *m_dependencies.coord;
    auto const now = boot_now();
    auto const lease = coord.lease_until();
    std::ostringstream out;
    out << "{\"member\":" << to_json(coord.self())
        << ",\"revision\":" << coord.copy().revision()
        << ",\"lease_ms\":" << (lease > now ? (lease - now).count() / 1'000 : 0)
        << ",\"shards\":" << coord.shards().owned()
        << ",\"running\":" << coord.shards().running() << ",\"config\":"
        << (coord.copy().config() == nullptr ? 0 : coord.copy().config()->number)
        << ",\"evacuated\":[";
    write_texts(out, coord.copy().evacuated_domains());
    out << "],\"members\":[";
    write_members(out, coord.copy());
    out << "]}\n";
    return out.str();
}

std::string operator_api::burn_json() const
{
    std::ostringstream out;
    auto const* routes = m_dependencies.requests.routes();
    out << "{\"services\":[";
    char const* separator = "";
    if (routes != nullptr)
        for (auto const& service : routes->source().services)
        {
            out << separator << "{\"name\":\"" << service.name
                << "\",\"availability\":" << service.availability << ",\"windows\":[";
            write_burn_windows(out, m_dependencies.requests.burn(), service.name);
            out << "]}";
            separator = ",";
        }
    out << "]}\n";
    return out.str();
}

// Of the VM's link; nothing if its rate is not known.
void operator_api::set_link_metrics() const
{
    auto const& answers = m_dependencies.local.link_answers();
    if (!answers.active())
        return;
    auto const now = boot_now();
    auto const& downloads = m_dependencies.local.link_downloads();
    auto& m = m_dependencies.counts;
    m.set("link_sent_bytes_total{class=\"large\"}", answers.counts().large_bytes);
    m.set("link_sent_bytes_total{class=\"other\"}", answers.counts().other_bytes);
    m.set("link_answers_waiting", answers.waiting());
    m.set("link_answers_dropped_total", answers.counts().dropped);
    m.set("link_wait_ms", static_cast<std::uint64_t>(downloads.wait(now) / 1ms));
    m.set("link_refusals_total{at=\"upstream\"}", downloads.refusals());
    m.set("link_refusals_total{at=\"callers\"}",
          m_dependencies.requests.link_intake_refusals());
    m.set("link_expected_ms", static_cast<std::uint64_t>(
                                  m_dependencies.requests.arriving().expected() / 1ms));
}

std::string operator_api::metrics_text() const
{
    auto const& coord = *m_dependencies.coord;
    auto const& c = coord.counts();
    auto const& p = m_dependencies.peers.counts();
    auto& m = m_dependencies.counts;
    m.set("renewals_total", c.renewals);
    m.set("evictions_started_total", c.evictions_started);
    m.set("evictions_waiting", c.evictions_waiting);
    m.set("store_records_restored_total", c.records_restored);
    m.set("watcher_changes_total", c.watcher_changes);
    m.set("pauses_total", c.pauses);
    m.set("store_calls_total", c.store_calls);
    m.set("store_no_answers_total", c.store_no_answers);
    m.set("store_entries_skipped_total", m_dependencies.store.counts().skipped_entries);
    if (auto const era = m_dependencies.store.era())
    {
        m.set("store_era", *era);
        m.set("store_era_errors_total", m_dependencies.store.counts().era_errors);
        m.set("store_era_rises_total", m_dependencies.store.counts().era_rises);
    }
    m.set("chunk_writes_total", c.shard_group_writes);
    m.set("pulls_total", c.pulls);
    m.set("config_questions_total", c.config_questions);
    m.set("config_documents_sent_total", c.config_documents_sent);
    m.set("config_bytes_sent_total", c.config_bytes_sent);
    m.set("config_documents_received_total", c.config_documents_received);
    m.set("config_bytes_received_total", c.config_bytes_received);
    m.set("peer_messages_sent_total", p.sent);
    m.set("peer_bytes_sent_total", p.sent_bytes);
    m.set("peer_messages_received_total", p.received);
    m.set("peer_bytes_received_total", p.received_bytes);
    m.set("peer_messages_not_sent_total", p.not_sent);
    m.set("peer_messages_malformed_total", p.malformed);
    m.set("peer_connections", m_dependencies.peers.connections());
    m.set("shards_owned", coord.shards().owned());
    m.set("members", coord.copy().members().size());
    m.set("revision", coord.copy().revision());
    auto const now = boot_now();
    auto const* routes = m_dependencies.requests.routes();
    m.set("configuration_version", m_dependencies.requests.config_number());
    m.set("config_age_ms",
          static_cast<std::uint64_t>(coord.subscriptions(now).config_age / 1ms));
    if (m_dependencies.settings.evacuation_bound > duration{0})
    {
        m.set("evacuated_domains", coord.copy().evacuated_domains().size());
        m.set("evacuation_age_ms",
              static_cast<std::uint64_t>(coord.subscriptions(now).evacuation_age / 1ms));
        m.set("evacuation_digests_sent_total", c.evacuation_digests_sent);
        m.set("evacuation_stand_ins_total", c.evacuation_stand_ins);
    }
    auto const lease_left = std::max(coord.lease_until() - now, duration{0});
    m.set("lease_left_ms", static_cast<std::uint64_t>(lease_left / 1ms));
    m.set("upstream_loads_broken_total", m_dependencies.local.broken_loads());
    m.set("upstream_reports_of_strangers_total",
          m_dependencies.local.reports_of_strangers());
    m.set("upstream_pace_steps_down", m_dependencies.local.pace_steps_down());
    m.set("loop_lag_ms", static_cast<std::uint64_t>(m_dependencies.local.lag() / 1ms));
    if (routes != nullptr)
        for (auto const& service : routes->source().services)
            if (auto const load = m_dependencies.local.load(service.name, "", now))
            {
                m.set("upstream_slots{service=\"" + service.name + "\"}", load->slots);
                m.set("upstream_running{service=\"" + service.name + "\"}",
                      load->running);
                m.set("upstream_waiting{service=\"" + service.name + "\"}",
                      load->waiting);
                m.set("upstream_cold_ms{service=\"" + service.name + "\"}",
                      static_cast<std::uint64_t>(load->bounded_for / 1ms));
                m.set("upstream_slowness_percent{service=\"" + service.name + "\"}",
                      static_cast<std::uint64_t>(load->slowness * 100));
            }
    set_link_metrics();
    auto const log = current_log_counts();
    m.set("log_lines_total", log.lines);
    m.set("log_lines_limited_total", log.limited);
    m.set("log_lines_dropped_total", log.dropped);
    return m.exposition();
}

} // namespace buckthornusher
