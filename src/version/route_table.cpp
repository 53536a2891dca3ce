// Finds a request's service and key: see the header.
#include "version/route_table.hpp"

namespace buckthornusher
{

namespace
{

std::string_view first_segment(std::string_view rest)
{
    return rest.substr(0, rest.find('/'));
}

} // namespace

route_table::route_table(document doc) : m_document(std::move(doc))
{
    for (auto const& service : m_document.services)
        for (auto const& route : service.routes)
            m_routes[route.prefix] = {.service = &service, .route = &route};
}

std::optional<route_match> route_table::find(http_request const& request) const
{
    std::string_view path = request.path;
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        auto const it = m_routes.find(path.substr(0, end + 1));
        if (it == m_routes.end())
            continue;
        auto const& route = *it->second.route;
        route_match match{.service = it->second.service, .key = {}};
        if (route.source == key_source::path)
            match.key = first_segment(path.substr(route.prefix.size()));
        else if (route.source == key_source::query)
            match.key = find_query(request.query, route.parameter);
        else
            match.key = find_header(request.headers, route.parameter);
        return match;
    }
    return std::nullopt;
}

bool route_table::is_old(std::string_view service, std::string_view key) const
{
    department_config const* found = nullptr;
    for (auto const& d : m_document.departments)
        if (d.service == service && key.starts_with(d.key_prefix) &&
            (found == nullptr || d.key_prefix.size() > found->key_prefix.size()))
            found = &d;
    return found != nullptr && !found->handed_over;
}

std::vector<std::string> route_table::key_headers() const
{
    std::vector<std::string> names;
    for (auto const& entry : m_routes)
        if (entry.second.route->source == key_source::header)
            names.push_back(entry.second.route->parameter);
    return names;
}

} // namespace buckthornusher
