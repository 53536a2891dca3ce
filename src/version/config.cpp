// Parsers of documents and settings; see the header.
#include "version/config.hpp"

#include "version/toml_text.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <set>

namespace buckthornusher
{

namespace
{

// A request of a keyed service must end well before the lease under which it started;
// see lease_options.
constexpr std::int64_t max_keyed_deadline_ms = 1'500;
constexpr std::int64_t max_deadline_ms = 60'000;
constexpr std::int64_t max_shards = 65'536;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_rank = 100;
constexpr std::int64_t max_route_attempts = 10;
constexpr std::int64_t max_cold_rate = 1'000'000;
constexpr std::int64_t max_cold_ms = 3'600'000;
constexpr double max_whole_number = 9e15; // below it each whole number is a double

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            auto const above = row[j];
            auto const replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, replaced});
            diagonal = above;
        }
    }
    return row[b.size()];
}

std::string describe(toml::node const& node)
{
    if (auto const text = node.value<std::string>(); node.is_string())
        return "\"" + *text + "\"";
    if (auto const flag = node.as_boolean())
        return flag->get() ? "true" : "false";
    if (auto const number = node.as_integer())
        return std::to_string(number->get());
    if (auto const number = node.as_floating_point())
        return std::to_string(number->get());
    return node.is_table() ? "a table" : "an array";
}

std::string range(std::int64_t low, std::int64_t high)
{
    return std::to_string(low) + " to " + std::to_string(high);
}

// Reads one TOML table, records the keys that were read, and collects errors. After an
// error a reader function returns a fallback, so that one pass finds all errors.
class table_reader
{
public:
    table_reader(toml::table const& table, std::string path,
                 std::vector<config_error>& errors)
        : m_table(table), m_path(std::move(path)), m_errors(errors)
    {
    }

    std::string text(std::string const& key, std::optional<std::string> fallback = {})
    {
        auto const* node = find(key, fallback.has_value(), "a string");
        if (node == nullptr)
            return fallback.value_or("");
        if (!node->is_string() || node->as_string()->get().empty())
            return fail(key, *node, "a string that is not empty"), std::string{};
        return node->as_string()->get();
    }

    std::int64_t integer(std::string const& key, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = {})
    {
        auto const* node = find(key, fallback.has_value(), range(low, high));
        if (node == nullptr)
            return fallback.value_or(low);
        auto const* number = node->as_integer();
        if (number == nullptr || number->get() < low || number->get() > high)
            return fail(key, *node, range(low, high)), low;
        return number->get();
    }

    // Returns a number that may have a fraction.
    double number(std::string const& key, std::int64_t low, std::int64_t high,
                  double fallback)
    {
        auto const* node = find(key, true, "");
        if (node == nullptr)
            return fallback;
        auto const value = node->is_number() ? node->value<double>() : std::nullopt;
        bool const in_range = value && *value >= static_cast<double>(low) &&
                              *value <= static_cast<double>(high);
        if (!in_range)
            return fail(key, *node, range(low, high)), fallback;
        return *value;
    }

    // Returns a number above 0.
    double positive(std::string const& key, std::int64_t high, double fallback)
    {
        auto const errors_before = m_errors.size();
        auto const value = number(key, 0, high, fallback);
        if (value > 0 || m_errors.size() > errors_before)
            return value;
        return fail(key, *find(key, true, ""), "a number above 0"), fallback;
    }

    // Returns a time in milliseconds, whose number may have a fraction.
    duration milliseconds(std::string const& key, std::int64_t low, std::int64_t high,
                          duration fallback)
    {
        using ms = std::chrono::duration<double, std::milli>;
        return std::chrono::round<duration>(
            ms(number(key, low, high, ms(fallback).count())));
    }

    duration seconds(std::string const& key, std::int64_t low, std::int64_t high,
                     duration fallback)
    {
        using s = std::chrono::duration<double>;
        return std::chrono::round<duration>(
            s(number(key, low, high, s(fallback).count())));
    }

    bool has(std::string const& key) const { return m_table.contains(key); }

    bool flag(std::string const& key, bool fallback)
    {
        auto const* node = find(key, true, "");
        if (node == nullptr)
            return fallback;
        if (!node->is_boolean())
            return fail(key, *node, "true or false"), fallback;
        return node->as_boolean()->get();
    }

    double share(std::string const& key, double fallback)
    {
        auto const* node = find(key, true, "");
        if (node == nullptr)
            return fallback;
        auto const value = node->value<double>().value_or(-1);
        if (bool const in_range = value > 0 && value < 1; !node->is_number() || !in_range)
            return fail(key, *node, "a number between 0 and 1"), fallback;
        return value;
    }

    std::string choice(std::string const& key, std::vector<std::string> const& allowed,
                       std::string const& fallback)
    {
        auto const value = text(key, fallback);
        if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return value;
        std::string list;
        for (auto const& word : allowed)
            list += (list.empty() ? "" : ", ") + word;
        if (auto const* node = m_table.get(key); node != nullptr && node->is_string())
            fail(key, *node, list);
        return fallback;
    }

    // Reads an address "IP:port" whose port is 1 to 65535. The IP is not validated.
    std::string address(std::string const& key, std::optional<std::string> fallback = {})
    {
        auto value = text(key, std::move(fallback));
        auto const* node = m_table.get(key);
        if (node == nullptr || !node->is_string() || value.empty())
            return value;
        auto const colon = value.rfind(':');
        int port = 0;
        auto const* end = value.data() + value.size();
        auto const [stop, error] = std::from_chars(
            value.data() + (colon == std::string::npos ? 0 : colon + 1), end, port);
        if (colon == std::string::npos || colon == 0 || error != std::errc{} ||
            stop != end || port < 1 || port > max_port)
            fail(key, *node, "IP:port");
        return value;
    }

    std::vector<std::string> texts(std::string const& key)
    {
        std::vector<std::string> values;
        auto const* node = find(key, true, "");
        if (node == nullptr)
            return values;
        auto const* array = node->as_array();
        if (array == nullptr)
            return fail(key, *node, "an array of strings"), values;
        for (auto const& element : *array)
            if (auto const value = element.value<std::string>(); element.is_string())
                values.push_back(*value);
            else
                fail(key, element, "an array of strings");
        return values;
    }

    toml::table const* table(std::string const& key, bool optional = false)
    {
        auto const* node = find(key, optional, "a table");
        if (node == nullptr)
            return nullptr;
        if (!node->is_table())
            return fail(key, *node, "a table"), nullptr;
        return node->as_table();
    }

    // Returns the tables of an array of tables such as [[service.x.route]].
    std::vector<toml::table const*> tables(std::string const& key, bool optional = false)
    {
        std::vector<toml::table const*> found;
        auto const* node = find(key, optional, "one or more tables");
        if (node == nullptr)
            return found;
        auto const* array = node->as_array();
        if (array == nullptr || array->empty())
            return fail(key, *node, "one or more tables"), found;
        for (auto const& element : *array)
            if (element.is_table())
                found.push_back(element.as_table());
            else
                fail(key, element, "a table");
        return found;
    }

    // Adds an error for each key that was not read, with the most similar known key.
    void report_unknown_keys()
    {
        for (auto const& [key, node] : m_table)
        {
            std::string const name(key.str());
            if (m_read_keys.contains(name))
                continue;
            auto const nearest = std::min_element(
                m_read_keys.begin(), m_read_keys.end(),
                [&](auto const& a, auto const& b)
                { return edit_distance(name, a) < edit_distance(name, b); });
            m_errors.push_back({.line = line_of(node),
                                .key = m_path + name,
                                .found = "an unknown key",
                                .allowed = nearest == m_read_keys.end()
                                               ? "no keys"
                                               : "perhaps \"" + *nearest + "\""});
        }
    }

    void fail(std::string const& key, toml::node const& node, std::string allowed)
    {
        m_errors.push_back({.line = line_of(node),
                            .key = m_path + key,
                            .found = describe(node),
                            .allowed = std::move(allowed)});
    }

private:
    static std::uint32_t line_of(toml::node const& node)
    {
        return node.source().begin.line;
    }

    toml::node const* find(std::string const& key, bool optional,
                           std::string const& allowed)
    {
        m_read_keys.insert(key);
        auto const* node = m_table.get(key);
        if (node == nullptr && !optional)
            m_errors.push_back({.line = line_of(m_table),
                                .key = m_path + key,
                                .found = "nothing",
                                .allowed = allowed});
        return node;
    }

    toml::table const& m_table;
    std::string m_path;
    std::vector<config_error>& m_errors;
    std::set<std::string> m_read_keys;
};

std::optional<toml::table> parse_toml(std::string_view text,
                                      std::vector<config_error>& errors)
{
    if (auto const line = line_of_stray_character(text))
    {
        errors.push_back({.line = *line,
                          .key = "",
                          .found = "a character beyond ASCII",
                          .allowed = "such characters in strings and comments only"});
        return std::nullopt;
    }
    try
    {
        return toml::parse(text);
    }
    catch (toml::parse_error const& error)
    {
        errors.push_back({.line = error.source().begin.line,
                          .key = "",
                          .found = std::string(error.description()),
                          .allowed = "a TOML document"});
        return std::nullopt;
    }
}

std::vector<weighted_service> read_split(table_reader& reader,
                                         std::vector<config_error>& errors)
{
    constexpr std::int64_t max_weight = 1'000'000;
    std::vector<weighted_service> services;
    for (auto const* part : reader.tables("split"))
    {
        table_reader r(*part, "route.split.", errors);
        services.push_back(
            {.service = r.text("service"),
             .weight = static_cast<std::uint32_t>(r.integer("weight", 0, max_weight))});
        r.report_unknown_keys();
    }
    return services;
}

// Reads one route. `service` is the service whose table contains the route; it is empty
// for a top-level route, which names its own service or split.
route_config read_route(toml::table const& table, std::string const& path,
                        std::string const& service, std::vector<config_error>& errors)
{
    table_reader reader(table, path, errors);
    route_config route;
    route.host = reader.text("host", "");
    route.prefix = reader.text("prefix");
    if (!service.empty())
        route.services.push_back({.service = service});
    else if (table.get("split") != nullptr)
        route.services = read_split(reader, errors);
    else
        route.services.push_back({.service = reader.text("service")});
    auto const repeats =
        reader.choice("repeats", {"get", "idempotent", "at-most-once"}, "get");
    route.repeats = repeats == "get"          ? repeat_rule::by_method
                    : repeats == "idempotent" ? repeat_rule::idempotent
                                              : repeat_rule::at_most_once;
    route.timeout =
        std::chrono::milliseconds(reader.integer("timeout_ms", 0, max_deadline_ms, 0));
    route.latency =
        std::chrono::milliseconds(reader.integer("latency_ms", 0, max_deadline_ms, 0));
    route.rank = static_cast<std::uint32_t>(reader.integer("rank", 0, max_rank, 1));
    route.max_attempts = static_cast<std::uint32_t>(
        reader.integer("max_attempts", 1, max_route_attempts, 3));
    route.regions = reader.texts("regions");
    route.large_answers = reader.flag("large_answers", false);
    if (!route.prefix.empty() &&
        (route.prefix.front() != '/' || route.prefix.back() != '/'))
        reader.fail("prefix", *table.get("prefix"), "a path that begins and ends with /");
    auto const source = reader.choice("key", {"path", "query", "header"}, "path");
    if (source != "path")
    {
        route.source = source == "query" ? key_source::query : key_source::header;
        route.parameter = reader.text("parameter");
    }
    reader.report_unknown_keys();
    return route;
}

service_config read_service(std::string const& name, toml::table const& table,
                            document& doc, std::vector<config_error>& errors)
{
    auto const path = "service." + name + ".";
    table_reader reader(table, path, errors);
    service_config service;
    service.name = name;
    service.keyed = reader.flag("keyed", true);
    service.keys = reader.choice("keys", {"text", "number"}, "text") == "number"
                       ? key_form::number
                       : key_form::text;
    service.shards =
        static_cast<std::uint32_t>(reader.integer("shards", 1, max_shards, 64));
    service.fenced = reader.flag("fenced", true);
    auto const limit_ms = service.keyed ? max_keyed_deadline_ms : max_deadline_ms;
    service.deadline =
        std::chrono::milliseconds(reader.integer("deadline_ms", 1, limit_ms, 1'000));
    service.availability = reader.share("availability", service.availability);
    service.latency =
        std::chrono::milliseconds(reader.integer("latency_ms", 1, 60'000, 19));
    service.connections =
        static_cast<std::uint32_t>(reader.integer("connections", 0, 1'000'000, 0));
    service.cold_rate = reader.number("cold_rate", 0, max_cold_rate, 0);
    service.cold_time = reader.milliseconds("cold_ms", 0, max_cold_ms, duration{0});
    for (auto const* route : reader.tables("route", true))
        doc.routes.push_back(read_route(*route, path + "route.", name, errors));
    reader.report_unknown_keys();
    return service;
}

void read_departments(table_reader& reader, toml::table const& table, document& doc,
                      std::vector<config_error>& errors)
{
    for (auto const* entry : reader.tables("department", true))
    {
        table_reader r(*entry, "department.", errors);
        department_config department;
        department.name = r.text("name");
        department.service = r.text("service");
        department.key_prefix = r.text("key_prefix");
        department.handed_over = r.choice("stage", {"old", "new"}, "old") == "new";
        auto const service = std::find_if(doc.services.begin(), doc.services.end(),
                                          [&](service_config const& s)
                                          { return s.name == department.service; });
        if (service == doc.services.end() || !service->keyed)
            r.fail("service", *entry, "the name of a keyed service");
        if (department.handed_over && !doc.departments.empty() &&
            !doc.departments.back().handed_over)
            r.fail("stage", *entry,
                   "\"old\" until \"" + doc.departments.back().name +
                       "\" is handed over");
        r.report_unknown_keys();
        doc.departments.push_back(std::move(department));
    }
    if (doc.departments.empty() && table.get("old_setup") == nullptr)
        return;
    if (auto const* old_setup = reader.table("old_setup"))
    {
        table_reader r(*old_setup, "old_setup.", errors);
        doc.old_setup.address = r.text("address");
        doc.old_setup.port = static_cast<int>(r.integer("port", 1, max_port));
        doc.old_setup.connections =
            static_cast<std::uint32_t>(r.integer("connections", 1, 1'000, 20));
        r.report_unknown_keys();
    }
}

caller_limits read_limits(toml::table const& table, std::vector<config_error>& errors)
{
    constexpr std::int64_t max_bytes = 1'073'741'824;
    constexpr std::int64_t max_timeout_ms = 3'600'000;
    table_reader r(table, "limits.", errors);
    caller_limits limits;
    limits.header_bytes =
        static_cast<std::uint32_t>(r.integer("header_bytes", 0, max_bytes, 0));
    limits.body_bytes =
        static_cast<std::uint64_t>(r.integer("body_bytes", 0, max_bytes, 0));
    limits.header_timeout =
        std::chrono::milliseconds(r.integer("header_timeout_ms", 0, max_timeout_ms, 0));
    limits.idle_timeout =
        std::chrono::milliseconds(r.integer("idle_timeout_ms", 0, max_timeout_ms, 0));
    r.report_unknown_keys();
    return limits;
}

void read_routes(table_reader& reader, document& doc, std::vector<config_error>& errors)
{
    for (auto const* table : reader.tables("route", true))
        doc.routes.push_back(read_route(*table, "route.", "", errors));
    if (auto const* limits = reader.table("limits", true))
        doc.limits = read_limits(*limits, errors);
}

void check_services_have_routes(document const& doc, toml::table const& table,
                                std::vector<config_error>& errors)
{
    for (auto const& service : doc.services)
    {
        bool const has_route = std::any_of(
            doc.routes.begin(), doc.routes.end(),
            [&](route_config const& route)
            {
                return std::any_of(route.services.begin(), route.services.end(),
                                   [&](weighted_service const& part)
                                   { return part.service == service.name; });
            });
        if (!has_route)
            errors.push_back(
                {.line = table["service"][service.name].node()->source().begin.line,
                 .key = "service." + service.name + ".route",
                 .found = "nothing",
                 .allowed = "one or more tables"});
    }
}

} // namespace

std::string to_string(config_error const& error)
{
    std::string text;
    if (error.line != 0)
        text += "line " + std::to_string(error.line) + ": ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + "found " + error.found + ", allowed " + error.allowed;
}

std::vector<config_error> check_document(document const& doc)
{
    std::vector<config_error> errors;
    std::set<std::pair<std::string, std::string>> places;
    for (auto const& route : doc.routes)
    {
        if (!places.emplace(route.host, route.prefix).second)
            errors.push_back({.key = "route.prefix",
                              .found = "\"" + route.host + route.prefix + "\" twice",
                              .allowed = "each prefix of a host once"});
        std::uint64_t weights = 0;
        for (auto const& part : route.services)
        {
            weights += part.weight;
            if (std::none_of(doc.services.begin(), doc.services.end(),
                             [&](service_config const& s)
                             { return s.name == part.service; }))
                errors.push_back({.key = "route.service",
                                  .found = "\"" + part.service + "\"",
                                  .allowed = "the name of a service"});
        }
        if (weights == 0)
            errors.push_back({.key = "route.split.weight",
                              .found = "no weight above 0 for " + route.prefix,
                              .allowed = "one or more"});
    }
    return errors;
}

duration max_request_time(document const& doc, service_config const& service)
{
    auto max_time = service.deadline;
    for (auto const& route : doc.routes)
        for (auto const& to : route.services)
            if (to.service == service.name)
                max_time = std::max(max_time, route.timeout);
    return max_time;
}

checked<document> parse_document(std::string_view text)
{
    std::vector<config_error> errors;
    auto const table = parse_toml(text, errors);
    if (!table)
        return errors;
    table_reader reader(*table, "", errors);
    document doc;
    doc.environment = reader.text("environment");
    if (auto const* services = reader.table("service"))
    {
        for (auto const& [name, node] : *services)
            if (node.is_table())
                doc.services.push_back(
                    read_service(std::string(name.str()), *node.as_table(), doc, errors));
            else
                reader.fail("service." + std::string(name.str()), node, "a table");
    }
    read_routes(reader, doc, errors);
    read_departments(reader, *table, doc, errors);
    reader.report_unknown_keys();
    check_services_have_routes(doc, *table, errors);
    for (auto& error : check_document(doc))
        errors.push_back(std::move(error));
    if (!errors.empty())
        return errors;
    return doc;
}

namespace
{

void read_node(toml::table const& table, node_settings& settings,
               std::vector<config_error>& errors)
{
    constexpr std::int64_t max_interval_ms = 60'000;
    constexpr std::int64_t max_period_s = 600;
    constexpr std::int64_t max_period_ms = max_period_s * 1'000;
    table_reader r(table, "node.", errors);
    settings.name = r.text("name");
    settings.region = r.text("region");
    settings.domain = r.text("domain");
    settings.form = r.choice("form", {"native", "platform"}, "native") == "native"
                        ? wire_form::native
                        : wire_form::platform;
    settings.service = r.text("service", "");
    settings.seeds = r.texts("seeds");
    settings.report_interval =
        r.milliseconds("report_interval_ms", 10, max_interval_ms, 1s);
    settings.grace = r.has("grace_s")
                         ? r.seconds("grace_s", 1, max_period_s, 20s)
                         : r.milliseconds("grace_ms", 100, max_period_ms, 20s);
    settings.drain_limit = r.milliseconds("drain_limit_ms", 100, max_period_ms, 30s);
    settings.config_bound = r.milliseconds("config_bound_ms", 500, max_period_ms, 15s);
    settings.evacuation_bound =
        r.milliseconds("evacuation_bound_ms", 0, max_period_ms, duration{0});
    settings.log_level =
        r.choice("log_level", {"debug", "info", "warning", "error"}, "info");
    r.report_unknown_keys();
}

void read_listen(toml::table const& table, node_settings& settings,
                 std::vector<config_error>& errors)
{
    table_reader r(table, "listen.", errors);
    settings.callers = r.address("callers");
    settings.operators = r.address("operators");
    settings.peers = r.address("peers");
    settings.advertised_peers = r.address("advertised_peers", "");
    settings.upstreams = r.address("upstreams", "");
    settings.readiness = r.address("readiness", "");
    settings.metrics = r.address("metrics", "");
    r.report_unknown_keys();
}

void read_retries(toml::table const& table, node_settings& settings,
                  std::vector<config_error>& errors)
{
    constexpr std::int64_t max_reserve = 1'000'000;
    constexpr std::int64_t max_window_s = 3'600;
    table_reader r(table, "retries.", errors);
    settings.retry_ratio = r.share("ratio", settings.retry_ratio);
    settings.retry_reserve = r.number("reserve", 0, max_reserve, 50);
    settings.retry_window = r.seconds("window_s", 1, max_window_s, 10s);
    r.report_unknown_keys();
}

void read_cold(toml::table const& table, node_settings& settings,
               std::vector<config_error>& errors)
{
    constexpr std::int64_t max_ratio = 1'000;
    constexpr std::int64_t max_reserve = 1'000'000;
    table_reader r(table, "cold_upstreams.", errors);
    settings.cold_ratio = r.positive("ratio", max_ratio, settings.cold_ratio);
    settings.cold_reserve = r.number("reserve", 0, max_reserve, settings.cold_reserve);
    r.report_unknown_keys();
}

void read_vm(toml::table const& table, node_settings& settings,
             std::vector<config_error>& errors)
{
    constexpr std::int64_t max_memory_mb = 1'048'576;
    constexpr std::int64_t max_link_mbps = 1'000'000;
    constexpr std::uint64_t bytes_per_mb = 1'000'000;
    constexpr double bits_per_mbit = 1e6;
    table_reader r(table, "vm.", errors);
    settings.memory_bytes =
        static_cast<std::uint64_t>(r.integer("memory_mb", 0, max_memory_mb, 0)) *
        bytes_per_mb;
    settings.link_bits = r.number("link_mbps", 0, max_link_mbps, 0) * bits_per_mbit;
    r.report_unknown_keys();
}

// Replaces one figure of the settings; see parse_settings().
void apply_override(toml::table& settings, std::string const& override,
                    std::vector<config_error>& errors)
{
    auto const dot = override.find('.');
    auto const equals = override.find('=');
    bool const well_formed = dot != std::string::npos && equals != std::string::npos &&
                             0 < dot && dot + 1 < equals;
    double number = 0;
    auto const* end = override.data() + override.size();
    auto const* value = override.data() + (well_formed ? equals + 1 : 0);
    if (well_formed && value == end)
        return;
    auto const [stop, error] = std::from_chars(value, end, number);
    if (!well_formed || error != std::errc{} || stop != end)
        return errors.push_back({.key = "--set",
                                 .found = '"' + override + '"',
                                 .allowed = "section.key=number"});
    auto const section = override.substr(0, dot);
    auto const key = override.substr(dot + 1, equals - dot - 1);
    auto const inserted = settings.insert(section, toml::table{});
    if (auto* table = inserted.first->second.as_table(); table == nullptr)
        errors.push_back({.key = section, .found = "no table", .allowed = "a table"});
    else if (number == std::floor(number) && std::abs(number) <= max_whole_number)
        table->insert_or_assign(key, static_cast<std::int64_t>(number));
    else
        table->insert_or_assign(key, number);
}

} // namespace

checked<node_settings> parse_settings(std::string_view text,
                                      std::vector<std::string> const& overrides)
{
    std::vector<config_error> errors;
    auto table = parse_toml(text, errors);
    if (!table)
        return errors;
    for (auto const& override : overrides)
        apply_override(*table, override, errors);
    node_settings settings;
    table_reader reader(*table, "", errors);
    if (auto const* node = reader.table("node"))
        read_node(*node, settings, errors);
    if (auto const* listen = reader.table("listen"))
        read_listen(*listen, settings, errors);
    if (auto const* store = reader.table("store"))
    {
        table_reader r(*store, "store.", errors);
        settings.store = r.address("address");
        r.report_unknown_keys();
    }
    if (auto const* retries = reader.table("retries", true))
        read_retries(*retries, settings, errors);
    if (auto const* cold = reader.table("cold_upstreams", true))
        read_cold(*cold, settings, errors);
    if (auto const* vm = reader.table("vm", true))
        read_vm(*vm, settings, errors);
    reader.report_unknown_keys();
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace buckthornusher
