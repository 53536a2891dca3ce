// Implementation of the option functions; see the header.
#include "process/part_options.hpp"

#include "platform/configuration.hpp"

#include <algorithm>
#include <charconv>

namespace buckthornusher
{

namespace
{

// The platform's callers stop sending to a stopping node within this time.
constexpr duration max_caller_departure_time = 3s;
// Requests sent to a stopping node before `max_caller_departure_time` may be cut off when
// it exits; later ones may not. The difference of 500 ms covers a late signal.
constexpr duration accept_all_period = 2500ms;
// A lease outlasts two report intervals, so that one lost or late report does not end the
// upstream's grants.
constexpr int reports_per_lease = 2;
constexpr duration report_round_trip = 300ms; // a report and its answer

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

checked<document> parse_document_as(wire_form form, std::string_view text)
{
    return form == wire_form::platform ? platform::parse_configuration(text)
                                       : parse_document(text);
}

lease_options make_lease_options(node_settings const& settings)
{
    lease_options lease;
    if (settings.form == wire_form::platform)
        lease.length = reports_per_lease * settings.report_interval +
                       lease.renew_interval + report_round_trip;
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

retry_budget_options make_retry_budget_options(node_settings const& settings)
{
    return {.ratio = settings.retry_ratio,
            .reserve = settings.retry_reserve,
            .window = settings.retry_window};
}

planned_stop_options make_planned_stop_options(node_settings const& settings, bool leaves)
{
    if (settings.form == wire_form::native)
        return {.grace = settings.grace};
    return {.grace = settings.grace,
            .deadline_check_after =
                std::min<duration>(accept_all_period, settings.grace / 2),
            .min_serving_time = max_caller_departure_time,
            .releases_shards = leaves,
            .ends_on_repeated_request = false};
}

} // namespace buckthornusher
