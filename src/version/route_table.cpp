// Implementation of the route table; see the header.
#include "version/route_table.hpp"

#include "buckthornusher/shard_map.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace buckthornusher
{

namespace
{

std::string_view first_segment(std::string_view rest)
{
    return rest.substr(0, rest.find('/'));
}

std::string lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](char c) {
                       return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
                   });
    return result;
}

std::string const& pick_service(route_config const& route, std::uint64_t draw)
{
    auto const total = std::accumulate(
        route.services.begin(), route.services.end(), std::uint64_t{0},
        [](std::uint64_t sum, weighted_service const& s) { return sum + s.weight; });
    auto rest = total == 0 ? 0 : draw % total;
    for (auto const& part : route.services)
    {
        if (rest < part.weight)
            return part.service;
        rest -= part.weight;
    }
    return route.services.front().service;
}

std::string key_of(route_config const& route, http_request const& request)
{
    switch (route.source)
    {
    case key_source::path:
        return std::string(first_segment(request.path().substr(route.prefix.size())));
    case key_source::query:
        return std::string(find_query(request.query(), route.parameter));
    case key_source::header:
        break;
    }
    return std::string(find_header(request.headers, route.parameter));
}

} // namespace

std::string host_of(http_request const& request)
{
    auto const host = find_header(request.headers, "host");
    return lower(host.substr(0, host.find(':')));
}

std::optional<std::uint32_t> shard_of(service_config const& service, std::string_view key)
{
    if (service.keys == key_form::text)
        return key.empty() ? std::nullopt
                           : std::optional(shard_of_key(key, service.shards));
    std::uint32_t number = 0;
    auto const [end, error] =
        std::from_chars(key.data(), key.data() + key.size(), number);
    if (error != std::errc{} || end != key.data() + key.size() || number >= number_keys)
        return std::nullopt;
    return shard_of_number(number, service.shards);
}

route_table::route_table(document doc) : m_document(std::move(doc))
{
    for (auto const& service : m_document.services)
        m_services[service.name] = &service;
    for (auto const& route : m_document.routes)
        m_hosts[lower(route.host)][route.prefix] = &route;
}

route_config const* route_table::find_route(std::string_view host,
                                            std::string_view path) const
{
    auto const routes = m_hosts.find(host);
    if (routes == m_hosts.end())
        return nullptr;
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
        if (auto const it = routes->second.find(path.substr(0, end + 1));
            it != routes->second.end())
            return it->second;
    return nullptr;
}

std::optional<route_match> route_table::find(http_request const& request,
                                             std::uint64_t draw) const
{
    auto const host = host_of(request);
    auto const path = request.path();
    bool const own_routes = !host.empty() && m_hosts.contains(host);
    auto const* route = find_route(own_routes ? host : std::string(), path);
    if (route == nullptr)
        return std::nullopt;
    auto const* chosen = service(pick_service(*route, draw));
    if (chosen == nullptr)
        return std::nullopt;
    return route_match{.route = route, .service = chosen, .key = key_of(*route, request)};
}

service_config const* route_table::service(std::string_view name) const
{
    auto const it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

bool route_table::uses_old_setup(std::string_view service, std::string_view key) const
{
    department_config const* found = nullptr;
    for (auto const& d : m_document.departments)
        if (d.service == service && key.starts_with(d.key_prefix) &&
            (found == nullptr || d.key_prefix.size() > found->key_prefix.size()))
            found = &d;
    return found != nullptr && !found->handed_over;
}

} // namespace buckthornusher
