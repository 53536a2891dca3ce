// Finds a request's route, service and key. Lives as long as a version of the document.
//
// The routes of the request's host count, or those without a host if it has none; of
// them, the longest prefix wins. A route that divides its requests among services takes a
// draw from the caller, so that the part itself has no random source.
//
// Cost: one lookup for each segment of the path.
#ifndef BUCKTHORNUSHER_VERSION_ROUTE_TABLE_HPP
#define BUCKTHORNUSHER_VERSION_ROUTE_TABLE_HPP

#include "connection/http_message.hpp"
#include "version/config.hpp"

#include <map>
#include <optional>
#include <string>

namespace buckthornusher
{

struct route_match
{
    route_config const* route = nullptr;
    service_config const* service = nullptr;
    std::string key; // empty: the request has none
    friend bool operator==(route_match const&, route_match const&) = default;
};

class route_table
{
public:
    explicit route_table(document doc);
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    // `draw` chooses among the services of a split: any number.
    std::optional<route_match> find(http_request const& request,
                                    std::uint64_t draw = 0) const;
    document const& source() const { return m_document; }
    // Null if there is none of that name.
    service_config const* service(std::string_view name) const;

    // Whether the key belongs to a department that the old setup still serves. Of several
    // prefixes the longest counts.
    bool uses_old_setup(std::string_view service, std::string_view key) const;

private:
    using prefix_map = std::map<std::string, route_config const*, std::less<>>;

    route_config const* find_route(std::string_view host, std::string_view path) const;

    document m_document;
    // Point into m_document.
    std::map<std::string, prefix_map, std::less<>> m_hosts; // in lower case
    std::map<std::string, service_config const*, std::less<>> m_services;
};

// The shard of a key of that service; nothing if it is not a key.
std::optional<std::uint32_t> shard_of(service_config const& service,
                                      std::string_view key);

// The host that a request names, in lower case and without a port.
std::string host_of(http_request const& request);

} // namespace buckthornusher

#endif
