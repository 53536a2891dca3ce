// HTTP messages as values, independent of the library that parses them.
//
// Framing is not part of a message: bodies are complete, and hop-by-hop headers
// (Connection, Content-Length, Transfer-Encoding and the like) are handled by
// http_codec.hpp.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_MESSAGE_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

struct http_header
{
    std::string name; // in the case received; compared case-insensitively
    std::string value;
    friend bool operator==(http_header const&, http_header const&) = default;
};

using http_headers = std::vector<http_header>;

// Compares ASCII text case-insensitively.
constexpr bool equal_names(std::string_view a, std::string_view b)
{
    auto const lower = [](char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    if (a.size() != b.size())
        return false;
    for (std::size_t i = 0; i < a.size(); ++i)
        if (lower(a[i]) != lower(b[i]))
            return false;
    return true;
}

struct http_request
{
    std::string method;
    std::string target; // path and query as received
    http_headers headers;
    std::string body;
    friend bool operator==(http_request const&, http_request const&) = default;

    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
    std::string_view query() const // without the question mark
    {
        auto const mark = target.find('?');
        return mark == std::string::npos ? std::string_view()
                                         : std::string_view(target).substr(mark + 1);
    }
};

struct http_response
{
    int status = 200;
    std::string reason; // reason phrase; empty: the standard one for the status
    http_headers headers;
    std::string body;
    friend bool operator==(http_response const&, http_response const&) = default;
};

constexpr bool is_interim_status(int status)
{
    return status / 100 == 1;
}
// Of a response that is the last one to its request.
constexpr bool is_final_status(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return first <= status && status <= last;
}

// Returns the value of the first header of that name, or null.
inline std::string const* header_value(http_headers const& headers, std::string_view name)
{
    for (auto const& header : headers)
        if (equal_names(header.name, name))
            return &header.value;
    return nullptr;
}

// Returns the value of the first header of that name, or an empty view.
inline std::string_view find_header(http_headers const& headers, std::string_view name)
{
    auto const* value = header_value(headers, name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

inline void erase_header(http_headers& headers, std::string_view name)
{
    std::erase_if(headers,
                  [&](http_header const& h) { return equal_names(h.name, name); });
}

// Replaces all headers of that name with a single one.
inline void set_header(http_headers& headers, std::string_view name, std::string value)
{
    erase_header(headers, name);
    headers.push_back({std::string(name), std::move(value)});
}

// Returns the value of `name` in a query string such as "a=1&b=2", or an empty view.
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
