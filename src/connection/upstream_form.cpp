// Implementation of the native form of upstream calls; see the header.
#include "connection/upstream_form.hpp"

namespace buckthornusher
{

namespace
{

constexpr std::string_view sending_header = "buckthornusher-sending";
constexpr int conflict = 409;
constexpr int first_server_error = 500;

std::string micros(instant at)
{
    return std::to_string(at.time_since_epoch().count());
}

} // namespace

http_request native_upstream_form::add_call_headers(http_request request,
                                                    upstream_call const& call) const
{
    auto& headers = request.headers;
    if (call.shard)
    {
        headers.push_back({"buckthornusher-epoch", std::to_string(call.epoch)});
        headers.push_back({"buckthornusher-shard", std::to_string(*call.shard)});
        headers.push_back({"buckthornusher-lease-until", micros(call.lease_until)});
    }
    if (!call.operation.empty())
        headers.push_back({"buckthornusher-operation", call.operation});
    headers.push_back({std::string(sending_header), std::to_string(call.sending)});
    return request;
}

bool native_upstream_form::is_response_to(http_request const& request,
                                          http_response const& response) const
{
    auto const* answered = header_value(response.headers, sending_header);
    return answered == nullptr ||
           *answered == find_header(request.headers, sending_header);
}

answer_meaning native_upstream_form::meaning(http_response const& response) const
{
    bool const refused = find_header(response.headers, "buckthornusher-ran") == "no";
    if (refused && header_value(response.headers, sending_header) == nullptr)
        return answer_meaning::unverified;
    if (refused)
        return response.status == conflict ? answer_meaning::not_held
                                           : answer_meaning::no_room;
    return response.status >= first_server_error ? answer_meaning::failed
                                                 : answer_meaning::answered;
}

} // namespace buckthornusher
