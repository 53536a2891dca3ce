// An HTTP server by libwebsockets: see the header.
#include "connection/http_server.hpp"

#include "process/event_loop.hpp"

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr std::size_t header_space = 8'192;
constexpr int keepalive_seconds = 60;

struct method_token
{
    lws_token_indexes token;
    char const* name;
};

constexpr std::array<method_token, 5> method_tokens{{
    {WSI_TOKEN_GET_URI, "GET"},
    {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},
}};

std::string copy_token(lws* wsi, lws_token_indexes token)
{
    auto const length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    auto const copied = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
    return value;
}

std::string copy_query(lws* wsi)
{
    // libwebsockets splits the query at '&'; put it together again.
    std::string query;
    std::array<char, header_space> part{};
    for (int i = 0; lws_hdr_copy_fragment(wsi, part.data(), static_cast<int>(part.size()),
                                          WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
         ++i)
    {
        if (i > 0)
            query += '&';
        query += part.data();
    }
    return query;
}

std::optional<std::size_t> parse_size(std::string const& text)
{
    std::size_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

// Invariant: `response` is set at most once; `wsi` is null once the connection has gone.
struct http_exchange
{
    http_server::impl* server = nullptr;
    lws* wsi = nullptr;
    http_request request;
    bool dispatched = false;
    bool close_after = false;
    std::optional<http_response> response;
    std::function<void()> gone;
};

struct http_server::impl
{
    http_server::options opts;
    http_server::handler on_request;
    lws_vhost* vhost = nullptr;
    std::array<lws_protocols, 2> protocols{};
    std::string vhost_name;
    std::size_t exchanges = 0;

    void begin(lws* wsi, char const* path, std::shared_ptr<http_exchange>& slot);
    void dispatch(std::shared_ptr<http_exchange> const& exchange);
    void reject(std::shared_ptr<http_exchange> const& exchange, int status,
                char const* title);
    int write(std::shared_ptr<http_exchange>*& holder);
    void end(std::shared_ptr<http_exchange>& slot);
};

namespace
{

// What libwebsockets keeps for each connection.
struct session
{
    std::shared_ptr<http_exchange>* exchange;
};

int server_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    size_t len)
{
    auto* server = static_cast<http_server::impl*>(
        lws_get_vhost(wsi) == nullptr ? nullptr : lws_vhost_user(lws_get_vhost(wsi)));
    auto* s = static_cast<session*>(user);
    switch (reason)
    {
    case LWS_CALLBACK_HTTP:
        if (s->exchange == nullptr)
            s->exchange = new std::shared_ptr<http_exchange>;
        server->begin(wsi, static_cast<char const*>(in), *s->exchange);
        return 0;
    case LWS_CALLBACK_HTTP_BODY:
    {
        auto& exchange = **s->exchange;
        if (exchange.request.body.size() + len > server->opts.max_body)
            return -1;
        exchange.request.body.append(static_cast<char const*>(in), len);
        return 0;
    }
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (s->exchange != nullptr && *s->exchange != nullptr)
            server->dispatch(*s->exchange);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        if (s == nullptr || s->exchange == nullptr || *s->exchange == nullptr)
            return 0;
        return server->write(s->exchange);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (s == nullptr || s->exchange == nullptr)
            return 0;
        if (*s->exchange != nullptr)
            server->end(*s->exchange);
        delete s->exchange;
        s->exchange = nullptr;
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

} // namespace

void http_server::impl::begin(lws* wsi, char const* path,
                              std::shared_ptr<http_exchange>& slot)
{
    if (slot != nullptr)
        end(slot);
    slot = std::make_shared<http_exchange>();
    ++exchanges;
    slot->server = this;
    slot->wsi = wsi;
    auto& request = slot->request;
    request.path = path;
    for (auto const& method : method_tokens)
        if (lws_hdr_total_length(wsi, method.token) > 0)
            request.method = method.name;
    request.query = copy_query(wsi);
    if (auto type = copy_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE); !type.empty())
        request.headers.push_back({"content-type", std::move(type)});
    for (auto const& name : opts.header_names)
    {
        auto const field = name + ":";
        auto const length =
            lws_hdr_custom_length(wsi, field.c_str(), static_cast<int>(field.size()));
        if (length <= 0)
            continue;
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        lws_hdr_custom_copy(wsi, value.data(), length + 1, field.c_str(),
                            static_cast<int>(field.size()));
        value.resize(static_cast<std::size_t>(length));
        request.headers.push_back({name, std::move(value)});
    }
    lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
    if (exchanges > opts.max_exchanges)
        return reject(slot, 503, "too many requests at once");
    if (request.method.empty())
        return reject(slot, 405, "method not supported");
    auto const length_text = copy_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    bool const takes_body =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (length_text.empty())
    {
        if (takes_body)
            return reject(slot, 411, "content-length required");
        return dispatch(slot);
    }
    auto const length = parse_size(length_text);
    if (!length)
        return reject(slot, 400, "malformed content-length");
    if (*length > opts.max_body)
        return reject(slot, 413, "body too large");
    if (*length == 0)
        dispatch(slot);
}

void http_server::impl::reject(std::shared_ptr<http_exchange> const& exchange, int status,
                               char const* title)
{
    exchange->dispatched = true;
    exchange->close_after = true;
    http_response response{.status = status, .headers = {}, .body = {}};
    response.headers.push_back({"content-type", "application/problem+json"});
    response.headers.push_back({"buckthornusher-outcome", "refused"});
    response.body = std::string("{\"title\":\"") + title +
                    "\",\"outcome\":\"refused\",\"ran\":false}\n";
    http_reply(exchange).send(std::move(response));
}

void http_server::impl::dispatch(std::shared_ptr<http_exchange> const& exchange)
{
    if (exchange->dispatched)
        return;
    exchange->dispatched = true;
    on_request(std::move(exchange->request), http_reply(exchange));
}

int http_server::impl::write(std::shared_ptr<http_exchange>*& holder)
{
    auto& slot = *holder;
    if (!slot->response)
        return 0;
    auto* wsi = slot->wsi;
    auto const& response = *slot->response;
    std::array<unsigned char, LWS_PRE + header_space> space{};
    auto* start = space.data() + LWS_PRE;
    auto* p = start;
    auto* end_of_space = space.data() + space.size() - 1;
    auto const content_type = std::string(find_header(response.headers, "content-type"));
    if (lws_add_http_common_headers(wsi, static_cast<unsigned>(response.status),
                                    content_type.empty() ? "text/plain"
                                                         : content_type.c_str(),
                                    response.body.size(), &p, end_of_space) != 0)
        return -1;
    for (auto const& header : response.headers)
    {
        if (header.name == "content-type" || header.name == "content-length")
            continue;
        auto const field = header.name + ":";
        if (lws_add_http_header_by_name(
                wsi, reinterpret_cast<unsigned char const*>(field.c_str()),
                reinterpret_cast<unsigned char const*>(header.value.c_str()),
                static_cast<int>(header.value.size()), &p, end_of_space) != 0)
            return -1;
    }
    if (lws_finalize_write_http_header(wsi, start, &p, end_of_space) != 0)
        return -1;
    if (!response.body.empty())
    {
        std::vector<unsigned char> out(LWS_PRE + response.body.size());
        std::memcpy(out.data() + LWS_PRE, response.body.data(), response.body.size());
        if (lws_write(wsi, out.data() + LWS_PRE, response.body.size(),
                      LWS_WRITE_HTTP_FINAL) < 0)
            return -1;
    }
    bool const close_after = slot->close_after;
    slot->gone = nullptr;
    end(slot);
    // The library clears the connection's memory between two requests.
    delete std::exchange(holder, nullptr);
    if (lws_http_transaction_completed(wsi) != 0 || close_after)
        return -1;
    return 0;
}

void http_server::impl::end(std::shared_ptr<http_exchange>& slot)
{
    --exchanges;
    slot->wsi = nullptr;
    auto const gone = std::move(slot->gone);
    slot.reset();
    if (gone)
        gone();
}

http_reply::http_reply(std::weak_ptr<http_exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void http_reply::send(http_response response) const
{
    auto const exchange = m_exchange.lock();
    if (exchange == nullptr || exchange->wsi == nullptr || exchange->response)
        return;
    exchange->response = std::move(response);
    lws_callback_on_writable(exchange->wsi);
}

void http_reply::on_gone(std::function<void()> fn) const
{
    if (auto const exchange = m_exchange.lock())
        exchange->gone = std::move(fn);
}

http_server::http_server(event_loop& loop, options opts, handler on_request)
    : m_impl(std::make_shared<impl>())
{
    loop.keep(m_impl);
    m_impl->opts = std::move(opts);
    m_impl->on_request = std::move(on_request);
    m_impl->vhost_name = "http-" + std::to_string(m_impl->opts.port);
    m_impl->protocols[0] = {"http", server_callback, sizeof(session), 0, 0, nullptr, 0};
    lws_context_creation_info info{};
    info.port = m_impl->opts.port;
    info.iface = m_impl->opts.address.c_str();
    info.vhost_name = m_impl->vhost_name.c_str();
    info.protocols = m_impl->protocols.data();
    info.user = m_impl.get();
    info.keepalive_timeout = keepalive_seconds;
    m_impl->vhost = lws_create_vhost(loop.context(), &info);
    if (m_impl->vhost == nullptr)
        throw std::runtime_error("http server: cannot listen on " + m_impl->opts.address +
                                 ":" + std::to_string(m_impl->opts.port));
}

http_server::~http_server()
{
    if (m_impl->vhost != nullptr)
        lws_vhost_destroy(m_impl->vhost);
}

void http_server::set_header_names(std::vector<std::string> names)
{
    m_impl->opts.header_names = std::move(names);
}

} // namespace buckthornusher
