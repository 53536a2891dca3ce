// Implementation of the HTTP/1.1 readers and serializers; see the header.
#include "connection/http_codec.hpp"

#include "connection/http_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace buckthornusher
{

namespace
{

namespace http = boost::beast::http;

constexpr int bad_request = 400;
constexpr int too_large = 413;
constexpr int headers_too_large = 431;
constexpr int version_not_supported = 505;

constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length"};

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool contains_name(std::string_view name, auto const& names)
{
    for (std::string_view const candidate : names)
        if (equal_names(name, candidate))
            return true;
    return false;
}

// Returns all headers except the hop-by-hop ones and those that the Connection headers
// name.
http_headers end_to_end_headers(http_headers const& all, bool keep_length)
{
    std::vector<std::string> named;
    for (auto const& header : all)
        if (equal_names(header.name, "connection"))
            for (auto const& token : http::token_list(header.value))
                named.emplace_back(token);
    http_headers headers;
    for (auto const& header : all)
    {
        bool const length = keep_length && equal_names(header.name, "content-length");
        if (length || (!contains_name(header.name, connection_headers) &&
                       !contains_name(header.name, named)))
            headers.push_back(header);
    }
    return headers;
}

std::ptrdiff_t count(http_headers const& headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(),
                         [name](http_header const& header)
                         { return equal_names(header.name, name); });
}

// Checks the framing more strictly than Beast does. Returns what is wrong, or an empty
// text.
std::string_view framing_problem(http_headers const& headers)
{
    auto const codings = count(headers, "transfer-encoding");
    if (codings > 1)
        return "more than one Transfer-Encoding";
    auto const coding = find_header(headers, "transfer-encoding");
    if (!coding.empty() && !equal_names(coding, "chunked"))
        return "a transfer coding other than chunked";
    if (codings > 0 && coding.empty())
        return "an empty Transfer-Encoding";
    auto const lengths = count(headers, "content-length");
    if (!coding.empty() && lengths > 0)
        return "a length beside chunks";
    auto const length = find_header(headers, "content-length");
    bool const digits = std::all_of(length.begin(), length.end(),
                                    [](char c) { return c >= '0' && c <= '9'; });
    if (lengths > 1 || (lengths == 1 && (length.empty() || !digits)))
        return "a Content-Length that is not one number";
    return {};
}

int status_for(boost::system::error_code const& code)
{
    if (code == http::error::header_limit)
        return headers_too_large;
    if (code == http::error::body_limit)
        return too_large;
    if (code == http::error::bad_version)
        return version_not_supported;
    return bad_request;
}

// The state and steps shared by both readers. The header is read first and stored
// separately, so that trailer fields after a chunked body cannot mix with it; then the
// body is read.
template <bool is_request>
struct reader_state
{
    http_parser<is_request> parser;
    http_headers headers; // end to end
    http_read_error error;
    std::string pending;              // bytes of an incomplete line
    std::size_t max_header_bytes = 0; // also of a chunk's line
    std::size_t header_bytes = 0;     // used so far
    bool header_done = false;
    bool keep_length = false;

    void configure(http_read_limits const& limits)
    {
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        parser.eager(false);
        max_header_bytes = limits.header_bytes;
    }

    void fail(int status, std::string_view what)
    {
        if (error.status == 0)
            error = {.status = status, .what = std::string(what)};
    }

    std::size_t put_once(std::string_view bytes)
    {
        boost::system::error_code code;
        auto const used =
            parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), code);
        if (code && code != http::error::need_more)
            fail(status_for(code), code.message());
        return used;
    }

    // Parses as many bytes as possible and returns how many were used. `check` returns
    // what is wrong with the header, or an empty text.
    template <class Check>
    std::size_t parse(std::string_view bytes, Check check)
    {
        std::size_t used = 0;
        while (error.status == 0 && !parser.is_done() && used < bytes.size())
        {
            auto const step = put_once(bytes.substr(used));
            used += step;
            if (!header_done && (header_bytes += step) > max_header_bytes)
                fail(headers_too_large, "the header is too long");
            if (parser.is_header_done() && !header_done && error.status == 0)
            {
                header_done = true;
                headers = end_to_end_headers(parser.message.headers, keep_length);
                if (auto const problem = check(parser.message); !problem.empty())
                    fail(bad_request, problem);
                parser.eager(true);
            }
            else if (step == 0)
                break;
        }
        return used;
    }

    // Beast expects bytes that it has not used to be passed again together with further
    // ones; `pending` holds them until then.
    template <class Check>
    std::size_t put(std::string_view bytes, Check check)
    {
        if (bytes.empty() || error.status != 0 || parser.is_done())
            return 0;
        std::string joined;
        std::string_view source = bytes;
        if (!pending.empty())
        {
            joined = std::exchange(pending, {});
            source = joined.append(bytes);
        }
        auto const left = source.size() - parse(source, check);
        if (error.status != 0 || parser.is_done())
            return bytes.size() - left;
        pending = source.substr(source.size() - left);
        // The parser limits the header, but not the lines within a chunked body.
        if (pending.size() > max_header_bytes)
            fail(headers_too_large, "a chunk's line or the fields after it are too long");
        return bytes.size();
    }
};

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

void append_headers(std::string& out, http_headers const& headers)
{
    for (auto const& header : headers)
        append_header(out, header.name, header.value);
}

bool is_token(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    auto const may_stand = [&](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || marks.find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), may_stand);
}

// Of a field's value or a reason phrase.
bool is_field_text(std::string_view text)
{
    auto const is_control = [](char c)
    {
        constexpr unsigned char last_control = 0x1f;
        constexpr unsigned char delete_byte = 0x7f;
        auto const byte = static_cast<unsigned char>(c);
        return (byte <= last_control && c != '\t') || byte == delete_byte;
    };
    return std::none_of(text.begin(), text.end(), is_control);
}

bool has_no_body(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace

// ---- requests ----

struct request_reader::impl
{
    reader_state<true> state;
};

request_reader::request_reader(http_read_limits limits) : m_impl(std::make_unique<impl>())
{
    m_impl->state.configure(limits);
}
request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

std::size_t request_reader::put(std::string_view bytes)
{
    return m_impl->state.put(
        bytes,
        [](parsed_message const& message) -> std::string_view
        {
            constexpr int version_1_1 = 11;
            if (auto const problem = framing_problem(message.headers); !problem.empty())
                return problem;
            auto const hosts = count(message.headers, "host");
            if (hosts > 1 || (message.version >= version_1_1 && hosts == 0))
                return "not exactly one Host";
            if (!message.target.starts_with('/'))
                return "a target that is not a path";
            return {};
        });
}

bool request_reader::header_complete() const
{
    return m_impl->state.header_done;
}
bool request_reader::complete() const
{
    return m_impl->state.parser.is_done() && !failed();
}
std::size_t request_reader::held_bytes() const
{
    auto const& state = m_impl->state;
    return state.header_bytes + state.parser.message.body.size() + state.pending.size();
}
http_read_error const& request_reader::error() const
{
    return m_impl->state.error;
}
bool request_reader::keep_alive() const
{
    return m_impl->state.parser.keep_alive();
}
bool request_reader::expects_continue() const
{
    return equal_names(find_header(m_impl->state.parser.message.headers, "expect"),
                       "100-continue");
}

http_request request_reader::take()
{
    auto& state = m_impl->state;
    auto& message = state.parser.message;
    return {.method = std::move(message.method),
            .target = std::move(message.target),
            .headers = std::move(state.headers),
            .body = std::move(message.body)};
}

// ---- responses ----

struct response_reader::impl
{
    reader_state<false> state;
};

response_reader::response_reader(http_read_limits limits, bool no_body)
    : m_impl(std::make_unique<impl>())
{
    m_impl->state.configure(limits);
    m_impl->state.keep_length = no_body;
    m_impl->state.parser.skip(no_body);
}
response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
response_reader& response_reader::operator=(response_reader&&) noexcept = default;

std::size_t response_reader::put(std::string_view bytes)
{
    return m_impl->state.put(bytes, [](parsed_message const& message)
                             { return framing_problem(message.headers); });
}

void response_reader::put_eof()
{
    auto& state = m_impl->state;
    if (state.parser.is_done() || state.error.status != 0)
        return;
    if (!state.header_done || !state.parser.need_eof())
        return state.fail(bad_request,
                          "connection closed before the response was complete");
    boost::system::error_code code;
    state.parser.put_eof(code);
    if (code)
        state.fail(bad_request, code.message());
}

bool response_reader::needs_eof() const
{
    return m_impl->state.header_done && !complete() && m_impl->state.parser.need_eof();
}

bool response_reader::complete() const
{
    return m_impl->state.parser.is_done() && !failed();
}
http_read_error const& response_reader::error() const
{
    return m_impl->state.error;
}
bool response_reader::keep_alive() const
{
    return m_impl->state.parser.keep_alive();
}
int response_reader::status() const
{
    return m_impl->state.parser.message.status;
}

std::optional<std::uint32_t> response_reader::keep_alive_seconds() const
{
    constexpr std::string_view parameter = "timeout=";
    auto const value = find_header(m_impl->state.parser.message.headers, "keep-alive");
    auto const at = value.find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto const digits = value.substr(at + parameter.size());
    std::uint32_t seconds = 0;
    auto const [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return error == std::errc{} ? std::optional(seconds) : std::nullopt;
}

http_response response_reader::take()
{
    auto& state = m_impl->state;
    auto& message = state.parser.message;
    return {.status = message.status,
            .reason = std::move(message.reason),
            .headers = std::move(state.headers),
            .body = std::move(message.body)};
}

bool is_sound(http_response const& response)
{
    return is_final_status(response.status) && is_field_text(response.reason) &&
           std::all_of(response.headers.begin(), response.headers.end(),
                       [](http_header const& header)
                       { return is_token(header.name) && is_field_text(header.value); });
}

// ---- writing ----

std::string serialize_header(http_request const& request)
{
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    append_headers(out, request.headers);
    bool const takes_body =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (takes_body || !request.body.empty())
        append_header(out, "Content-Length", std::to_string(request.body.size()));
    out += "\r\n";
    return out;
}

std::string serialize(http_request const& request)
{
    return serialize_header(request) + request.body;
}

bool carries_body(http_response const& response, response_options const& options)
{
    return !options.head && !has_no_body(response.status);
}

std::string serialize_header(http_response const& response,
                             response_options const& options)
{
    auto const usual = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
    out += response.reason.empty() ? to_view(usual) : std::string_view(response.reason);
    out += "\r\n";
    append_headers(out, response.headers);
    if (carries_body(response, options))
        append_header(out, "Content-Length", std::to_string(response.body.size()));
    if (options.close)
        append_header(out, "Connection", "close");
    else if (options.keep_alive_seconds > 0)
        append_header(out, "Keep-Alive",
                      "timeout=" + std::to_string(options.keep_alive_seconds));
    out += "\r\n";
    return out;
}

std::string serialize(http_response const& response, response_options const& options)
{
    auto out = serialize_header(response, options);
    if (carries_body(response, options))
        out += response.body;
    return out;
}

} // namespace buckthornusher
