// Orders and their results in their protobuf forms.
#include "process/request_wire.hpp"

#include "connection/wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

void encode_result(order_answered const& answered, wire::Reply& out)
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

void encode_result(order_refused const& refused, wire::Reply& out)
{
    out.set_outcome(wire::Reply::REFUSED);
    out.set_reason(static_cast<std::uint32_t>(refused.reason));
    out.set_retry_after(static_cast<std::uint64_t>(refused.retry_after.count()));
    out.set_reached_upstream(refused.reached_upstream);
}

void encode_result(order_unknown const& unknown, wire::Reply& out)
{
    out.set_outcome(wire::Reply::UNKNOWN);
    out.set_reason(static_cast<std::uint32_t>(unknown.reason));
}

void encode_result(order_moved const& moved, wire::Reply& out)
{
    out.set_outcome(wire::Reply::MOVED);
    out.set_epoch(moved.epoch);
    if (moved.owner)
        encode(moved.owner, *out.mutable_owner());
}

} // namespace

void encode(order_result const& result, wire::Reply& out)
{
    std::visit([&](auto const& r) { encode_result(r, out); }, result);
}

order_result decode(wire::Reply const& in)
{
    auto const reason = in.reason() <= static_cast<std::uint32_t>(outcome_reason::behind)
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
        return order_answered{.response = std::move(response), .failed = in.failed()};
    }
    case wire::Reply::REFUSED:
        return order_refused{.reason = reason,
                             .retry_after =
                                 duration(static_cast<duration::rep>(in.retry_after())),
                             .reached_upstream = in.reached_upstream()};
    case wire::Reply::MOVED:
        return order_moved{.owner = decode(in.owner()), .epoch = in.epoch()};
    default:
        return order_unknown{.reason = reason};
    }
}

order decode(wire::Forward const& in)
{
    order o;
    o.service = in.service();
    if (in.keyed())
        o.shard = in.shard();
    o.operation = in.operation();
    o.id = in.request_id();
    o.origin = in.origin();
    o.request_class = in.request_class();
    o.rank = in.rank();
    o.epoch = in.epoch();
    o.repeatable = in.repeatable();
    o.request.method = in.method();
    o.request.target = in.target();
    o.request.body = in.body();
    for (auto const& h : in.headers())
        o.request.headers.push_back({h.name(), h.value()});
    return o;
}

void encode(order const& o, wire::Forward& out)
{
    out.set_service(o.service);
    out.set_keyed(o.shard.has_value());
    out.set_shard(o.shard.value_or(0));
    out.set_operation(o.operation);
    out.set_request_id(o.id);
    out.set_origin(o.origin);
    out.set_request_class(o.request_class);
    out.set_rank(o.rank);
    out.set_epoch(o.epoch);
    out.set_repeatable(o.repeatable);
    out.set_method(o.request.method);
    out.set_target(o.request.target);
    out.set_body(o.request.body);
    for (auto const& header : o.request.headers)
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
    upstream_load load{.slots = in.slots(),
                       .running = in.running(),
                       .waiting = in.waiting(),
                       .service = from_us(in.service()),
                       .until_slot = from_us(in.until_slot()),
                       .backlog = {},
                       .accepting = in.accepting()};
    for (auto const& b : in.backlog())
        load.backlog.push_back({.rank = b.rank(), .time = from_us(b.time())});
    return load;
}

} // namespace buckthornusher
