// The options of a node's parts: see the header.
#include "process/part_options.hpp"

#include "platform/configuration.hpp"

#include <algorithm>
#include <charconv>

namespace buckthornusher
{

namespace
{

// The platform's callers learn within this that they are to go elsewhere.
constexpr duration callers_leave = 3s;
// What is sent to a stopping node before `callers_leave` may be cut off at its end; what
// is sent later may not. The difference is for a signal that is noticed late.
constexpr duration takes_all_for = 2500ms;
// A lease outlasts two reports of an upstream, so that one that is lost or late does not
// end what the upstream holds.
constexpr int reports_within_lease = 2;
constexpr duration report_trip = 300ms; // of a report and its answer

} // namespace

tcp_address to_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    tcp_address address{.ip = text.substr(0, colon), .port = 0};
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), address.port);
    return address;
}

caller_form make_caller_form(wire_form form)
{
    if (form == wire_form::platform)
        return platform::caller_form{};
    return native_caller_form{};
}

upstream_form make_upstream_form(wire_form form)
{
    if (form == wire_form::platform)
        return platform::upstream_form{};
    return native_upstream_form{};
}

checked<document> parse_in(wire_form form, std::string_view text)
{
    return form == wire_form::platform ? platform::parse_configuration(text)
                                       : parse_document(text);
}

lease_options make_lease(node_settings const& settings)
{
    lease_options lease;
    if (settings.form == wire_form::platform)
        lease.length = reports_within_lease * settings.report_interval +
                       lease.renew_interval + report_trip;
    return lease;
}

http_server_limits to_server_limits(caller_limits const& limits)
{
    http_server_limits out;
    if (limits.header_bytes > 0)
        out.read.header_bytes = limits.header_bytes;
    if (limits.body_bytes > 0)
        out.read.body_bytes = limits.body_bytes;
    if (limits.header_timeout > 0us)
        out.header_timeout = limits.header_timeout;
    if (limits.idle_timeout > 0us)
        out.idle_timeout = limits.idle_timeout;
    return out;
}

retry_budget_options make_retries(node_settings const& settings)
{
    return {.ratio = settings.retry_ratio,
            .reserve = settings.retry_reserve,
            .window = settings.retry_window};
}

planned_stop_options make_stop(node_settings const& settings, bool leaves)
{
    if (settings.form == wire_form::native)
        return {.grace = settings.grace};
    return {.grace = settings.grace,
            .bounded_after = std::min<duration>(takes_all_for, settings.grace / 2),
            .callers_leave = callers_leave,
            .leaves = leaves,
            .hurries = false};
}

} // namespace buckthornusher
