// Boost.Beast's HTTP/1.1 grammar with message storage of this project.
//
// Beast's own message type stores the length of a field in 16 bits and throws
// std::length_error for a longer one. This parser derives from Beast's basic_parser,
// which has no such limit, and keeps the fields as they are: a field of any length up to
// the header limit is accepted, and nothing from outside makes it throw.
//
// Beast applies the header limit only to bytes that it has not used yet, so the readers
// of http_codec limit the header as a whole. The body's limit is Beast's. Fields after a
// chunked body (trailers) are discarded.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_PARSER_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_PARSER_HPP

#include "connection/http_message.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthornusher
{

// A message as it arrived, with all its headers.
struct parsed_message
{
    std::string method; // of a request
    std::string target; // of a request
    int status = 0;     // of a response
    std::string reason; // of a response
    int version = 0;    // 10 or 11
    http_headers headers;
    std::string body;
};

template <bool is_request>
class http_parser final : public boost::beast::http::basic_parser<is_request>
{
public:
    parsed_message message;

private:
    using error_code = boost::system::error_code;
    using text = boost::beast::string_view;
    // A longer body grows as it arrives, whatever length it announces.
    static constexpr std::uint64_t max_reserved_body_bytes = 65'536;

    void on_request_impl(boost::beast::http::verb /*method*/, text method, text target,
                         int version, error_code& /*code*/) override
    {
        message.method = std::string(method);
        message.target = std::string(target);
        message.version = version;
    }

    void on_response_impl(int status, text reason, int version,
                          error_code& /*code*/) override
    {
        message.status = status;
        message.reason = std::string(reason);
        message.version = version;
    }

    void on_field_impl(boost::beast::http::field /*field*/, text name, text value,
                       error_code& /*code*/) override
    {
        if (!m_header_done)
            message.headers.push_back({std::string(name), std::string(value)});
    }

    void on_header_impl(error_code& /*code*/) override { m_header_done = true; }

    void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                           error_code& /*code*/) override
    {
        if (length)
            message.body.reserve(std::min(*length, max_reserved_body_bytes));
    }

    std::size_t on_body_impl(text bytes, error_code& /*code*/) override
    {
        message.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/,
                              error_code& /*code*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, text bytes,
                                   error_code& code) override
    {
        return on_body_impl(bytes, code);
    }

    void on_finish_impl(error_code& /*code*/) override {}

    bool m_header_done = false;
};

} // namespace buckthornusher

#endif
