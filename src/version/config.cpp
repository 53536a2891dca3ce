// Documents and settings: see the header.
#include "version/config.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

namespace buckthornusher
{

namespace
{

// The longest request of a keyed service must end well before the lease that it began
// under; see lease_options.
constexpr std::int64_t longest_keyed_deadline_ms = 1'500;
constexpr std::int64_t longest_deadline_ms = 60'000;
constexpr std::int64_t most_shards = 65'536;
constexpr std::int64_t highest_port = 65'535;

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

// Reads one table, notes which keys it has read, and collects the errors.
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
        if (!node->is_number() || value <= 0 || value >= 1)
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

    toml::table const* table(std::string const& key)
    {
        auto const* node = find(key, false, "a table");
        if (node == nullptr)
            return nullptr;
        if (!node->is_table())
            return fail(key, *node, "a table"), nullptr;
        return node->as_table();
    }

    // The tables of an array such as [[service.x.route]].
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

    // Reports the keys that were not read.
    void finish()
    {
        for (auto const& [key, node] : m_table)
        {
            std::string const name(key.str());
            if (m_known.contains(name))
                continue;
            auto const nearest = std::min_element(
                m_known.begin(), m_known.end(),
                [&](auto const& a, auto const& b)
                { return edit_distance(name, a) < edit_distance(name, b); });
            m_errors.push_back({.line = line_of(node),
                                .key = m_path + name,
                                .found = "an unknown key",
                                .allowed = nearest == m_known.end()
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
        m_known.insert(key);
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
    std::set<std::string> m_known;
};

std::optional<toml::table> parse_toml(std::string_view text,
                                      std::vector<config_error>& errors)
{
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

route_config read_route(toml::table const& table, std::string const& path,
                        std::vector<config_error>& errors)
{
    table_reader reader(table, path, errors);
    route_config route;
    route.prefix = reader.text("prefix");
    if (!route.prefix.empty() &&
        (route.prefix.front() != '/' || route.prefix.back() != '/'))
        reader.fail("prefix", *table.get("prefix"), "a path that begins and ends with /");
    auto const source = reader.choice("key", {"path", "query", "header"}, "path");
    if (source != "path")
    {
        route.source = source == "query" ? key_source::query : key_source::header;
        route.parameter = reader.text("parameter");
    }
    reader.finish();
    return route;
}

service_config read_service(std::string const& name, toml::table const& table,
                            std::vector<config_error>& errors)
{
    auto const path = "service." + name + ".";
    table_reader reader(table, path, errors);
    service_config service;
    service.name = name;
    service.keyed = reader.flag("keyed", true);
    service.shards =
        static_cast<std::uint32_t>(reader.integer("shards", 1, most_shards, 64));
    service.fenced = reader.flag("fenced", true);
    auto const longest = service.keyed ? longest_keyed_deadline_ms : longest_deadline_ms;
    service.deadline =
        std::chrono::milliseconds(reader.integer("deadline_ms", 1, longest, 1'000));
    service.availability = reader.share("availability", service.availability);
    service.latency =
        std::chrono::milliseconds(reader.integer("latency_ms", 1, 60'000, 19));
    for (auto const* route : reader.tables("route"))
        service.routes.push_back(read_route(*route, path + "route.", errors));
    reader.finish();
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
        r.finish();
        doc.departments.push_back(std::move(department));
    }
    if (doc.departments.empty() && table.get("old_setup") == nullptr)
        return;
    if (auto const* old_setup = reader.table("old_setup"))
    {
        table_reader r(*old_setup, "old_setup.", errors);
        doc.old_setup.address = r.text("address");
        doc.old_setup.port = static_cast<int>(r.integer("port", 1, highest_port));
        doc.old_setup.connections =
            static_cast<std::uint32_t>(r.integer("connections", 1, 1'000, 20));
        r.finish();
    }
}

void check_routes(document const& doc, std::vector<config_error>& errors)
{
    std::set<std::string> prefixes;
    for (auto const& service : doc.services)
        for (auto const& route : service.routes)
            if (!prefixes.insert(route.prefix).second)
                errors.push_back({.line = 0,
                                  .key = "service." + service.name + ".route.prefix",
                                  .found = "\"" + route.prefix + "\" twice",
                                  .allowed = "each prefix once"});
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
                    read_service(std::string(name.str()), *node.as_table(), errors));
            else
                reader.fail("service." + std::string(name.str()), node, "a table");
    }
    read_departments(reader, *table, doc, errors);
    reader.finish();
    check_routes(doc, errors);
    if (!errors.empty())
        return errors;
    return doc;
}

checked<node_settings> parse_settings(std::string_view text)
{
    std::vector<config_error> errors;
    auto const table = parse_toml(text, errors);
    if (!table)
        return errors;
    node_settings settings;
    table_reader reader(*table, "", errors);
    if (auto const* node = reader.table("node"))
    {
        table_reader r(*node, "node.", errors);
        settings.name = r.text("name");
        settings.region = r.text("region");
        settings.domain = r.text("domain");
        settings.address = r.text("address");
        settings.caller_port =
            static_cast<int>(r.integer("caller_port", 1, highest_port));
        settings.operator_port =
            static_cast<int>(r.integer("operator_port", 1, highest_port));
        settings.peer_port = static_cast<int>(r.integer("peer_port", 1, highest_port));
        settings.seeds = r.texts("seeds");
        settings.log_level =
            r.choice("log_level", {"debug", "info", "warning", "error"}, "info");
        r.finish();
    }
    if (auto const* store = reader.table("store"))
    {
        table_reader r(*store, "store.", errors);
        settings.store_address = r.text("address");
        settings.store_port = static_cast<int>(r.integer("port", 1, highest_port));
        r.finish();
    }
    reader.finish();
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace buckthornusher
