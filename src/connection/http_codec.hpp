// Parses and serializes HTTP/1.1 messages with Boost.Beast's parser, without sockets.
//
// A reader takes bytes as they arrive and builds one message. Framing is strict, so that
// no byte of one message can be taken for the start of another (request smuggling): a
// repeated Content-Length, a Content-Length together with Transfer-Encoding, a transfer
// coding other than "chunked" alone, or anything that Beast rejects is an error, after
// which the connection cannot be used. Trailer fields after a chunked body are discarded.
//
//   request_reader reader({.header_bytes = 16'384, .body_bytes = 1'048'576});
//   used = reader.put(bytes);           // the rest belongs to the next message
//   if (reader.failed()) answer reader.error().status and close
//   if (reader.complete()) request = reader.take();
//
// Cost: linear in the number of bytes, also when they arrive one at a time within a line.
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
    int status = 0; // response status for the caller: 400, 413, 431, 505; 0: no error
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

    // Parses further bytes and returns how many were used: all up to the end of the
    // message or an error, and none after that.
    std::size_t put(std::string_view bytes);

    bool header_complete() const;
    bool complete() const;
    bool failed() const { return error().status != 0; }
    http_read_error const& error() const;

    // The bytes of the message that it holds so far.
    std::size_t held_bytes() const;

    // Requires header_complete().
    bool keep_alive() const;       // the caller allows the connection to stay open
    bool expects_continue() const; // the caller waits for 100 before it sends the body

    // Requires complete(). Hop-by-hop headers are omitted.
    http_request take();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

class response_reader
{
public:
    // `no_body`: the response answers a HEAD request.
    response_reader(http_read_limits limits, bool no_body);
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    std::size_t put(std::string_view bytes);
    // Signals that the peer closed its side cleanly, which completes a body without a
    // length.
    void put_eof();
    // Whether it reads such a body.
    bool needs_eof() const;

    bool complete() const;
    bool failed() const { return error().status != 0; }
    http_read_error const& error() const;

    // Requires complete().
    bool keep_alive() const;
    int status() const;
    // The "timeout" parameter of the peer's Keep-Alive header, in seconds.
    std::optional<std::uint32_t> keep_alive_seconds() const;
    http_response take();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

// Returns the message's bytes. Adds Content-Length if the request has a body or its
// method usually takes one.
std::string serialize(http_request const& request);
// The same without the body.
std::string serialize_header(http_request const& request);

// Whether it is a final response that may pass as one: with a status from 200 to 599,
// names of fields that are tokens, and no control bytes but tabs in the values and the
// reason phrase (RFC 9110, sections 5 and 15). Responses that http_client delivers are.
bool is_sound(http_response const& response);

struct response_options
{
    bool close = false; // adds "Connection: close"
    bool head = false;  // answers a HEAD: no body, and Content-Length as in the headers
    std::uint32_t keep_alive_seconds = 0; // for the Keep-Alive header; 0: no header
};
// Returns the message's bytes, with a Content-Length unless `head` is set or the status
// allows no body.
std::string serialize(http_response const& response, response_options const& options);
// The same without the body.
std::string serialize_header(http_response const& response,
                             response_options const& options);
// Whether the message has a body at all.
bool carries_body(http_response const& response, response_options const& options);

// The interim response that asks the caller for the body.
inline constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace buckthornusher

#endif
