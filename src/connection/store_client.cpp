// The platform's object API as a client: see the header.
#include "connection/store_client.hpp"

#include "connection/wire.hpp"

namespace buckthornusher
{

namespace
{

constexpr std::size_t connections = 4; // one of them may hold a watch
constexpr std::size_t largest_answer = 64'000'000;

http_request request_for(store_list const& /*list*/,
                         store_client::options const& /*opts*/)
{
    return {.method = "GET", .path = "/v1/objects"};
}

http_request request_for(store_watch const& watch, store_client::options const& opts)
{
    auto const wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(opts.watch_wait).count();
    return {.method = "GET",
            .path = "/v1/objects",
            .query = "since=" + std::to_string(watch.since) +
                     "&wait_ms=" + std::to_string(wait)};
}

http_request request_for(store_write const& write, store_client::options const& /*opts*/)
{
    http_request request{.method = write.value ? "PUT" : "DELETE",
                         .path = "/v1/objects/" + write.name,
                         .query = "expected=" + std::to_string(write.expected)};
    if (write.value)
        request.body = encode_record(*write.value);
    return request;
}

store_answer read_answer(http_response const& response, bool write)
{
    if (write && response.status == 200)
        if (auto version = decode_written(response.body))
            return store_written{.version = version.value()};
    if (write && response.status == 409)
        if (auto current = decode_object(response.body))
            return store_conflict{.current = std::move(current).value()};
    if (!write && response.status == 200)
        if (auto objects = decode_objects(response.body))
            return std::move(objects).value();
    return store_no_answer{};
}

} // namespace

store_client::store_client(event_loop& loop, options const& opts)
    : m_options(opts), m_http(loop, {.address = opts.address,
                                     .port = opts.port,
                                     .max_connections = connections,
                                     .max_body = largest_answer})
{
}

void store_client::call(store_operation const& operation, callback done)
{
    bool const write = std::holds_alternative<store_write>(operation);
    auto timeout = m_options.call_timeout;
    if (std::holds_alternative<store_watch>(operation))
        timeout += m_options.watch_wait;
    auto request =
        std::visit([&](auto const& op) { return request_for(op, m_options); }, operation);
    m_http.call(std::move(request), timeout,
                [write, done = std::move(done)](http_result result)
                {
                    if (result.has_value())
                        done(read_answer(result.value(), write));
                    else
                        done(store_no_answer{});
                });
}

} // namespace buckthornusher
