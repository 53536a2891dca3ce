// Finds the route, the service and the key of a request, for one version of the document.
//
// The routes of the request's host apply; if the host has none, the routes without a host
// apply. Among them the longest prefix of the path wins. A route that splits its requests
// among services takes a random number from the caller, so that this class needs no
// random source.
//
// Thread safety: const functions may be called concurrently.
// Cost of find(): one map lookup per path segment.
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
    std::string key; // empty: the request has no key
    friend bool operator==(route_match const&, route_match const&) = default;
};

// Owns its document. Pointers that it returns are valid for its lifetime.
class route_table
{
public:
    explicit route_table(document doc);
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    // Returns the match, or nothing if no route applies. `draw` selects among the
    // services of a split: any number, uniformly distributed over many calls.
    std::optional<route_match> find(http_request const& request,
                                    std::uint64_t draw = 0) const;
    document const& source() const { return m_document; }
    // Returns null if the document has no service of that name.
    service_config const* service(std::string_view name) const;

    // Returns whether the key belongs to a department that the old setup still serves. If
    // several departments match, the one with the longest key prefix decides.
    bool uses_old_setup(std::string_view service, std::string_view key) const;

private:
    using prefix_map = std::map<std::string, route_config const*, std::less<>>;

    route_config const* find_route(std::string_view host, std::string_view path) const;

    document m_document;
    // The values point into m_document.
    std::map<std::string, prefix_map, std::less<>> m_hosts; // by lower-case host
    std::map<std::string, service_config const*, std::less<>> m_services;
};

// Returns the shard of a key, or nothing if the text is not a valid key of the service.
std::optional<std::uint32_t> shard_of(service_config const& service,
                                      std::string_view key);

// Returns the host of the request's Host header, in lower case and without the port.
std::string host_of(http_request const& request);

} // namespace buckthornusher

#endif
