// Implementation of the conversion to and from protobuf; see the header.
#include "process/request_wire.hpp"

#include "buckthornusher/reported_load.hpp"
#include "connection/http_codec.hpp"
#include "connection/wire.hpp"
#include "process/boot_clock.hpp"

#include "wire.pb.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace buckthornusher
{

namespace
{

constexpr std::uint64_t max_bound_us = 3'600'000'000; // of what a load says of the future
constexpr std::uint64_t max_link_wait_us = 60'000'000; // a higher one is not believed

// A figure that is negative or no number says nothing.
double decode_figure(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

void encode_result(request_answered const& answered, wire::Reply& out)
{
    out.set_outcome(wire::Reply::ANSWERED);
    out.set_status(static_cast<std::uint32_t>(answered.response.status));
    out.set_status_text(answered.response.reason);
    out.set_failed(answered.failed);
    out.set_body(answered.response.body);
    for (auto const& header : answered.response.headers)
    {
        auto& h = *out.add_headers();
        h.set_name(header.name);
        h.set_value(header.value);
    }
}

void encode_result(request_refused const& refused, wire::Reply& out)
{
    out.set_outcome(wire::Reply::REFUSED);
    out.set_reason(static_cast<std::uint32_t>(refused.reason));
    out.set_retry_after(static_cast<std::uint64_t>(refused.retry_after.count()));
    out.set_reached_upstream(refused.reached_upstream);
}

void encode_result(request_unknown const& unknown, wire::Reply& out)
{
    out.set_outcome(wire::Reply::UNKNOWN);
    out.set_reason(static_cast<std::uint32_t>(unknown.reason));
}

void encode_result(request_moved const& moved, wire::Reply& out)
{
    out.set_outcome(wire::Reply::MOVED);
    out.set_epoch(moved.epoch);
    if (moved.owner)
        encode(moved.owner, *out.mutable_owner());
}

std::optional<operation_answer> decode_answer(wire::HandedOperation const& in)
{
    http_response const response{.status = static_cast<int>(in.status()),
                                 .headers = {{"content-type", in.content_type()}}};
    if (!in.done() || !is_sound(response))
        return std::nullopt;
    return operation_answer{
        .status = response.status, .content_type = in.content_type(), .body = in.body()};
}

} // namespace

void encode(request_result const& result, wire::Reply& out)
{
    std::visit([&](auto const& r) { encode_result(r, out); }, result);
}

request_result decode(wire::Reply const& in)
{
    auto const reason =
        in.reason() <= static_cast<std::uint32_t>(outcome_reason::no_region)
            ? static_cast<outcome_reason>(in.reason())
            : outcome_reason::none;
    switch (in.outcome())
    {
    case wire::Reply::ANSWERED:
    {
        http_response response{.status = static_cast<int>(in.status()),
                               .reason = in.status_text(),
                               .headers = {},
                               .body = in.body()};
        for (auto const& h : in.headers())
            response.headers.push_back({h.name(), h.value()});
        if (!is_sound(response))
            return request_unknown{.reason = outcome_reason::answer_lost};
        return request_answered{.response = std::move(response), .failed = in.failed()};
    }
    case wire::Reply::REFUSED:
        return request_refused{.reason = reason,
                               .retry_after =
                                   duration(static_cast<duration::rep>(in.retry_after())),
                               .reached_upstream = in.reached_upstream()};
    case wire::Reply::MOVED:
        return request_moved{.owner = decode(in.owner()), .epoch = in.epoch()};
    default:
        return request_unknown{.reason = reason};
    }
}

upstream_request decode(wire::Forward const& in)
{
    upstream_request request;
    request.service = in.service();
    if (in.keyed())
        request.shard = in.shard();
    request.operation = in.operation();
    request.id = in.request_id();
    request.origin = in.origin();
    request.request_class = in.request_class();
    request.rank = in.rank();
    request.epoch = in.epoch();
    request.repeatable = in.repeatable();
    request.regions =
        region_bound(std::vector<std::string>(in.regions().begin(), in.regions().end()));
    request.large_answer = in.large_answer();
    request.request.method = in.method();
    request.request.target = in.target();
    request.request.body = in.body();
    for (auto const& h : in.headers())
        request.request.headers.push_back({h.name(), h.value()});
    return request;
}

void encode(upstream_request const& request, wire::Forward& out)
{
    out.set_service(request.service);
    out.set_keyed(request.shard.has_value());
    out.set_shard(request.shard.value_or(0));
    out.set_operation(request.operation);
    out.set_request_id(request.id);
    out.set_origin(request.origin);
    out.set_request_class(request.request_class);
    out.set_rank(request.rank);
    out.set_epoch(request.epoch);
    out.set_repeatable(request.repeatable);
    for (auto& name : request.regions.names())
        out.add_regions(std::move(name));
    out.set_large_answer(request.large_answer);
    out.set_method(request.request.method);
    out.set_target(request.request.target);
    out.set_body(request.request.body);
    for (auto const& header : request.request.headers)
    {
        auto& h = *out.add_headers();
        h.set_name(header.name);
        h.set_value(header.value);
    }
}

void encode(upstream_load const& load, wire::Load& out)
{
    out.set_slots(load.slots);
    out.set_running(load.running);
    out.set_waiting(load.waiting);
    out.set_service(static_cast<std::uint64_t>(load.service.count()));
    out.set_accepting(load.accepting);
    out.set_until_slot(static_cast<std::uint64_t>(load.until_slot.count()));
    out.set_start_rate(load.start_rate);
    out.set_bounded_for(static_cast<std::uint64_t>(load.bounded_for.count()));
    out.set_speed(load.slowness == 1 ? 0 : load.slowness);
    out.set_link_wait(static_cast<std::uint64_t>(load.link_wait.count()));
    out.set_link_rate(load.link_rate);
    for (auto const& b : load.backlog)
    {
        auto& rank = *out.add_backlog();
        rank.set_rank(b.rank);
        rank.set_time(static_cast<std::uint64_t>(b.time.count()));
    }
}

upstream_load decode(wire::Load const& in)
{
    auto const from_us = [](std::uint64_t us)
    {
        return duration(static_cast<duration::rep>(us));
    };
    upstream_load load{
        .slots = in.slots(),
        .running = in.running(),
        .waiting = in.waiting(),
        .service = from_us(in.service()),
        .until_slot = from_us(in.until_slot()),
        .backlog = {},
        .accepting = in.accepting(),
        .start_rate = decode_figure(in.start_rate()),
        .bounded_for = from_us(std::min<std::uint64_t>(in.bounded_for(), max_bound_us)),
        .slowness = fade_slowness(in.speed(), duration{0}),
        .link_wait = from_us(std::min(in.link_wait(), max_link_wait_us)),
        .link_rate = decode_figure(in.link_rate())};
    for (auto const& b : in.backlog())
        load.backlog.push_back({.rank = b.rank(), .time = from_us(b.time())});
    return load;
}

void encode(operation_handover const& handover, wire::Handover& out)
{
    out.set_service(handover.shard.service);
    out.set_shard(handover.shard.index);
    for (auto const& e : handover.epochs)
    {
        auto& epoch = *out.add_epochs();
        epoch.set_epoch(e.epoch);
        epoch.set_now(to_micros(e.now));
        epoch.set_since(to_micros(e.since));
    }
    for (auto const& o : handover.operations)
    {
        auto& operation = *out.add_operations();
        operation.set_id(to_string(o.id));
        operation.set_done(o.answer.has_value());
        if (!o.answer)
            continue;
        operation.set_status(static_cast<std::uint32_t>(o.answer->status));
        operation.set_content_type(o.answer->content_type);
        operation.set_body(o.answer->body);
    }
}

operation_handover decode(wire::Handover const& in)
{
    operation_handover handover{.shard = {.service = in.service(), .index = in.shard()},
                                .epochs = {},
                                .operations = {}};
    for (auto const& e : in.epochs())
        handover.epochs.push_back({.epoch = e.epoch(),
                                   .now = from_micros(e.now()),
                                   .since = from_micros(e.since())});
    for (auto const& o : in.operations())
    {
        auto const id = parse_operation_id(o.id());
        if (!id)
            continue;
        handover.operations.push_back({.id = *id, .answer = decode_answer(o)});
    }
    return handover;
}

} // namespace buckthornusher
