// HTTP/1.1 messages from and to bytes, by Boost.Beast's parser; no sockets.
//
// A reader takes bytes as they come and builds one message. Framing is strict, so that
// no byte of one message can pass for the start of another: a length given twice, a
// length beside chunks, a transfer coding other than "chunked" alone, or anything that
// Beast refuses is an error, after which the connection cannot be used. Fields that come
// after a chunked body are dropped.
//
//   request_reader reader({.header_bytes = 16'384, .body_bytes = 1'048'576});
//   used = reader.put(bytes);           // the others belong to the next message
//   if (reader.failed()) answer reader.error().status and close
//   if (reader.complete()) request = reader.take();
//
// Cost: linear in the bytes, also when they come one at a time within a line.
#ifndef BUCKTHORNUSHER_CONNECTION_HTTP_CODEC_HPP
#define BUCKTHORNUSHER_CONNECTION_HTTP_CODEC_HPP

#include "connection/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornusher
{

struct http_read_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 1'048'576;
    friend bool operator==(http_read_limits const&, http_read_limits const&) = default;
};

struct http_read_error
{
    int status = 0; // that tells a caller: 400, 413, 431, 505; 0: none
    std::string what;
    friend bool operator==(http_read_error const&, http_read_error const&) = default;
};

class request_reader
{
public:
    explicit request_reader(http_read_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    // Reads on; returns how many bytes were used: all, up to the end of the message or an
    // error, and none after that.
    std::size_t put(std::string_view bytes);

    bool header_complete() const;
    bool complete() const;
    bool failed() const { return error().status != 0; }
    http_read_error const& error() const;

    // Requires header_complete().
    bool keep_alive() const;       // the caller lets the connection stay open
    bool expects_continue() const; // the caller waits before it sends the body

    // Requires complete(). Headers that concern the connection are left out.
    http_request take();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

class response_reader
{
public:
    // `no_body`: it answers a HEAD.
    response_reader(http_read_limits limits, bool no_body);
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    std::size_t put(std::string_view bytes);
    // The peer has ended its side in good order; completes a body without a length.
    void put_eof();

    bool complete() const;
    bool failed() const { return error().status != 0; }
    http_read_error const& error() const;

    // Requires complete().
    bool keep_alive() const;
    int status() const;
    // The peer's "Keep-Alive: timeout", seconds.
    std::optional<std::uint32_t> keep_alive_seconds() const;
    http_response take();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// The message's bytes, with a Content-Length. `close`: adds "Connection: close".
std::string serialize(http_request const& request);

struct response_options
{
    bool close = false;
    bool head = false; // answers a HEAD: no body, and Content-Length as in the headers
    std::uint32_t keep_alive_seconds = 0; // tells the caller; 0: does not
};
std::string serialize(http_response const& response, response_options const& options);

// The header block of an interim answer that asks for the body.
inline constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace buckthornusher

#endif
