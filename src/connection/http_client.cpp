// An HTTP client over kept connections: see the header.
//
// libwebsockets sends all calls to one endpoint down one connection of a vhost. So
// each connection has a vhost of its own, which carries one call at a time and reuses
// its idle connection for the next.
#include "connection/http_client.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <libwebsockets.h>

#include <array>
#include <cstring>
#include <optional>
#include <utility>
#include <vector>

namespace buckthornusher
{

namespace
{

constexpr std::size_t read_space = 65'536;

// One call. Lives until libwebsockets lets go of its connection.
struct exchange
{
    http_client::impl* client = nullptr;
    std::size_t slot = 0;
    http_client::call_id id = 0;
    lws* wsi = nullptr;
    http_request request;
    http_response response;
    http_client::callback done;
    std::optional<timer_service::timer_id> timer;
    bool sent = false;
    bool finished = false;
    bool abandoned = false; // the connection is to be closed
};

} // namespace

struct http_client::impl
{
    event_loop* loop = nullptr;
    http_client::options opts;
    std::array<lws_protocols, 2> protocols{};
    std::vector<std::string> vhost_names;
    std::vector<lws_vhost*> vhosts;
    std::vector<exchange*> active;       // by slot; null if free
    std::vector<std::size_t> free_slots; // the last used is reused first
    http_client::call_id next_id = 1;

    std::string peer() const { return opts.address + ":" + std::to_string(opts.port); }
    void finish(exchange& x, http_result result);
    void free_slot(exchange& x);
    void fail(exchange& x, http_failure::step at)
    {
        finish(x, http_failure{.at = at, .sent = x.sent, .peer = peer()});
    }
    void abandon(exchange& x, http_failure::step at);
    int append_headers(exchange& x, void* in, size_t len);
    int write_body(exchange& x);
    void read_headers(exchange& x);
};

void http_client::impl::finish(exchange& x, http_result result)
{
    if (x.finished)
        return;
    x.finished = true;
    if (x.timer)
        loop->timers().cancel(*x.timer);
    if (result.has_value())
        free_slot(x); // the connection is idle and can be used again
    if (x.done)
        std::exchange(x.done, nullptr)(std::move(result));
}

void http_client::impl::free_slot(exchange& x)
{
    if (active[x.slot] != &x)
        return;
    active[x.slot] = nullptr;
    free_slots.push_back(x.slot);
}

void http_client::impl::abandon(exchange& x, http_failure::step at)
{
    x.abandoned = true;
    if (x.wsi != nullptr)
        lws_set_timeout(x.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    fail(x, at);
}

int http_client::impl::append_headers(exchange& x, void* in, size_t len)
{
    auto** p = static_cast<unsigned char**>(in);
    auto* end = *p + len;
    x.sent = true;
    for (auto const& header : x.request.headers)
    {
        auto const field = header.name + ":";
        if (lws_add_http_header_by_name(
                x.wsi, reinterpret_cast<unsigned char const*>(field.c_str()),
                reinterpret_cast<unsigned char const*>(header.value.c_str()),
                static_cast<int>(header.value.size()), p, end) != 0)
            return -1;
    }
    bool const has_body = !x.request.body.empty();
    if (has_body || x.request.method == "POST" || x.request.method == "PUT")
    {
        auto const length = std::to_string(x.request.body.size());
        if (lws_add_http_header_by_token(
                x.wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                reinterpret_cast<unsigned char const*>(length.c_str()),
                static_cast<int>(length.size()), p, end) != 0)
            return -1;
    }
    if (has_body)
    {
        lws_client_http_body_pending(x.wsi, 1);
        lws_callback_on_writable(x.wsi);
    }
    return 0;
}

int http_client::impl::write_body(exchange& x)
{
    if (x.request.body.empty())
        return 0;
    std::vector<unsigned char> out(LWS_PRE + x.request.body.size());
    std::memcpy(out.data() + LWS_PRE, x.request.body.data(), x.request.body.size());
    auto const size = x.request.body.size();
    x.request.body.clear();
    lws_client_http_body_pending(x.wsi, 0);
    return lws_write(x.wsi, out.data() + LWS_PRE, size, LWS_WRITE_HTTP_FINAL) < 0 ? -1
                                                                                  : 0;
}

void http_client::impl::read_headers(exchange& x)
{
    x.response.status = static_cast<int>(lws_http_client_http_response(x.wsi));
    std::array<char, 1'024> value{};
    if (lws_hdr_copy(x.wsi, value.data(), static_cast<int>(value.size()),
                     WSI_TOKEN_HTTP_CONTENT_TYPE) > 0)
        x.response.headers.push_back({"content-type", value.data()});
    for (auto const& name : opts.header_names)
    {
        auto const field = name + ":";
        auto const length =
            lws_hdr_custom_copy(x.wsi, value.data(), static_cast<int>(value.size()),
                                field.c_str(), static_cast<int>(field.size()));
        if (length > 0)
            x.response.headers.push_back(
                {name, std::string(value.data(), static_cast<std::size_t>(length))});
    }
}

namespace
{

int client_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    size_t len)
{
    auto* x = static_cast<exchange*>(lws_get_opaque_user_data(wsi));
    if (x == nullptr)
        return 0;
    auto* client = x->client;
    switch (reason)
    {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        client->fail(*x,
                     x->sent ? http_failure::step::answer : http_failure::step::connect);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        client->fail(*x,
                     x->sent ? http_failure::step::answer : http_failure::step::connect);
        lws_set_opaque_user_data(wsi, nullptr);
        client->free_slot(*x);
        delete x;
        return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        if (x->abandoned)
            return -1;
        x->wsi = wsi;
        return client->append_headers(*x, in, len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return client->write_body(*x);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        client->read_headers(*x);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    {
        std::array<char, LWS_PRE + read_space> buffer;
        char* data = buffer.data() + LWS_PRE;
        int size = static_cast<int>(read_space);
        return lws_http_client_read(wsi, &data, &size) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (x->response.body.size() + len > client->opts.max_body)
            return -1;
        x->response.body.append(static_cast<char const*>(in), len);
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        client->finish(*x, std::move(x->response));
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        client->fail(*x, http_failure::step::answer);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

} // namespace

http_client::http_client(event_loop& loop, options opts)
    : m_impl(std::make_shared<impl>())
{
    loop.keep(m_impl);
    m_impl->loop = &loop;
    m_impl->opts = std::move(opts);
    m_impl->protocols[0] = {"http-client", client_callback, 0, 0, 0, nullptr, 0};
    auto const count = m_impl->opts.max_connections;
    m_impl->active.resize(count, nullptr);
    for (std::size_t i = 0; i < count; ++i)
        m_impl->vhost_names.push_back(m_impl->peer() + "-" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i)
    {
        lws_context_creation_info info{};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.vhost_name = m_impl->vhost_names[i].c_str();
        info.protocols = m_impl->protocols.data();
        m_impl->vhosts.push_back(lws_create_vhost(loop.context(), &info));
        m_impl->free_slots.push_back(count - 1 - i);
    }
}

http_client::~http_client()
{
    for (auto* x : m_impl->active)
        if (x != nullptr)
            x->done = nullptr;
    for (auto* vhost : m_impl->vhosts)
        lws_vhost_destroy(vhost);
}

http_client::call_id http_client::call(http_request request, duration timeout,
                                       callback done)
{
    auto const id = m_impl->next_id++;
    if (m_impl->free_slots.empty())
    {
        done(http_failure{
            .at = http_failure::step::busy, .sent = false, .peer = m_impl->peer()});
        return id;
    }
    auto* x = new exchange;
    x->client = m_impl.get();
    x->slot = m_impl->free_slots.back();
    x->id = id;
    x->done = std::move(done);
    m_impl->free_slots.pop_back();
    m_impl->active[x->slot] = x;
    auto const method = request.method;
    auto const target =
        request.query.empty() ? request.path : request.path + "?" + request.query;
    x->request = std::move(request);
    if (timeout > 0us)
        x->timer = m_impl->loop->timers().at(boot_now() + timeout,
                                             [client = m_impl.get(), x](instant)
                                             {
                                                 x->timer.reset();
                                                 client->abandon(
                                                     *x, http_failure::step::timeout);
                                             });
    // libwebsockets compares the host with the address to find the idle connection.
    auto const& host = m_impl->opts.address;
    lws_client_connect_info info{};
    info.context = m_impl->loop->context();
    info.vhost = m_impl->vhosts[x->slot];
    info.address = m_impl->opts.address.c_str();
    info.port = m_impl->opts.port;
    info.path = target.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.method = method.c_str();
    info.ssl_connection = LCCSCF_PIPELINE;
    info.alpn = "http/1.1";
    info.local_protocol_name = "http-client";
    info.opaque_user_data = x;
    info.keep_warm_secs = static_cast<std::uint16_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_impl->opts.keep_idle).count());
    auto* wsi = lws_client_connect_via_info(&info);
    // A connection that fails at once has been destroyed, and `x` with it.
    if (wsi != nullptr)
        x->wsi = wsi;
    return id;
}

void http_client::cancel(call_id id)
{
    for (auto* x : m_impl->active)
        if (x != nullptr && x->id == id && !x->finished)
            return m_impl->abandon(*x, http_failure::step::cancelled);
}

} // namespace buckthornusher
