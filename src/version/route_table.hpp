// Finds a request's service and key. Lives as long as a version of the document.
//
// The longest prefix wins. Cost: O(path segments) lookups for each request.
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
    service_config const* service = nullptr;
    std::string key; // empty: the request has none
    friend bool operator==(route_match const&, route_match const&) = default;
};

class route_table
{
public:
    explicit route_table(document doc);

    std::optional<route_match> find(http_request const& request) const;
    document const& source() const { return m_document; }

    // Whether the key belongs to a department that the old setup still serves. Of several
    // prefixes the longest counts.
    bool is_old(std::string_view service, std::string_view key) const;

    // Headers that carry keys.
    std::vector<std::string> key_headers() const;

private:
    struct entry
    {
        service_config const* service;
        route_config const* route;
    };

    document m_document;
    std::map<std::string, entry, std::less<>> m_routes; // by prefix
};

} // namespace buckthornusher

#endif
