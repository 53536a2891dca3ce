// HTTP messages as values, independent of the library that carries them.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_MESSAGE_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

struct http_header
{
    std::string name; // lower case, without the colon
    std::string value;
    friend bool operator==(http_header const&, http_header const&) = default;
};

struct http_request
{
    std::string method;
    std::string path;
    std::string query; // without the question mark
    std::vector<http_header> headers;
    std::string body;
    friend bool operator==(http_request const&, http_request const&) = default;
};

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
    friend bool operator==(http_response const&, http_response const&) = default;
};

// The first header of that name, or an empty view.
inline std::string_view find_header(std::vector<http_header> const& headers,
                                    std::string_view name)
{
    for (auto const& header : headers)
        if (header.name == name)
            return header.value;
    return {};
}

// The value of `name` in a query string such as "a=1&b=2", or an empty view.
inline std::string_view find_query(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        auto const pair = query.substr(0, query.find('&'));
        if (pair.size() > name.size() && pair.starts_with(name) &&
            pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
    }
    return {};
}

} // namespace buckthornusher

#endif
