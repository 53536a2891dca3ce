// Implementation of the ingress: arrival and completion of requests. See the header.
#include "process/ingress_impl.hpp"

#include "buckthornusher/intake.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

constexpr duration max_caller_deadline = 60s; // limit on the caller's own timeout
constexpr double sampled_per_second = 5; // normally completed requests that are logged
// Retry hints of a stopping node. The hint is short if the node leaves for good, as the
// caller must go to another node, and longer if a new process replaces this one.
constexpr duration leaving_retry_after = 100ms;
constexpr duration restart_retry_after = 500ms;
// Time beyond the deadline in which the node that has the request may still report
// whether it ran.
constexpr duration answer_grace = 60ms;
constexpr intake_options intake{};

duration time_limit_of(caller_facts const& facts, route_match const& match)
{
    auto const& service = *match.service;
    if (match.route->timeout > 0us)
        return std::min(match.route->timeout,
                        facts.timeout.value_or(max_caller_deadline));
    if (!facts.timeout)
        return service.deadline;
    return std::min(*facts.timeout,
                    service.keyed ? service.deadline : max_caller_deadline);
}

// Requests of one route form a class, as their service times are similar.
std::string class_of(route_config const& route)
{
    return route.host + route.prefix;
}

bool repeatable(route_config const& route, http_request const& request)
{
    switch (route.repeats)
    {
    case repeat_rule::idempotent:
        return true;
    case repeat_rule::at_most_once:
        return false;
    case repeat_rule::by_method:
        break;
    }
    return request.method == "GET";
}

// Replies to an earlier process of this node must match no attempt of this one.
std::uint64_t first_id(std::uint64_t random)
{
    constexpr unsigned ids_bits = 24; // of one process
    constexpr std::uint64_t max_random = 0xffff'ffff;
    return ((random & max_random) << ids_bits) + 1;
}

} // namespace

ingress::ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
                 peer_table& table, metrics& counts, ingress_options opts)
    : m_loop(loop), m_coordinator(&coord), m_agent(local), m_peers(peers), m_table(table),
      m_metrics(counts), m_options(std::move(opts)), m_sampler(sampled_per_second),
      m_placement({}), m_offers({}), m_retries(m_options.retries),
      m_random(std::random_device{}()), m_next_id(first_id(m_random())),
      m_link_intake({.bytes_per_second = m_options.link_bytes_per_second})
{
}

ingress::~ingress() = default;

ingress::pending_request* ingress::find(pending_request_id id)
{
    auto const it = m_pending.find(id);
    return it == m_pending.end() ? nullptr : it->second.get();
}

// ---- arrival ----

void ingress::refuse_early(http_request const& request, http_reply const& reply,
                           std::string const& service, outcome_reason reason,
                           duration after, instant now)
{
    auto const facts =
        std::visit([&](auto const& form) { return form.read(request); }, m_options.form);
    request_trace trace;
    trace.add("refused",
              {{"service", service},
               {"reason", std::string(to_string(reason))},
               {"host", host_of(request)},
               {"path", std::string(request.path())},
               {"config", std::to_string(m_config_number)},
               {"config_age_ms", in_ms(m_coordinator->subscriptions(now).config_age)}});
    trace.end(facts.id, to_string(reason), m_sampler, now);
    m_metrics.count_outcome(service, outcome_kind::refused, reason, 0us);
    reply.send(refusal_response({.reason = reason, .retry_after = after}));
}

// The response to a caller whose request got no answer from an upstream.
http_response ingress::refusal_response(refusal const& r) const
{
    return std::visit([&](auto const& form) { return form.refused(r); }, m_options.form);
}

void ingress::on_request(http_request request, http_reply reply)
{
    route(std::move(request), reply, boot_now());
}

void ingress::route(http_request request, http_reply const& reply, instant arrived)
{
    auto const now = boot_now();
    auto const refuse_now =
        [&](std::string const& service, outcome_reason reason, duration after)
    {
        refuse_early(request, reply, service, reason, after, now);
    };
    if (m_routes == nullptr)
        return refuse_now("-", outcome_reason::no_configuration, no_owner_retry_after);
    auto const match = m_routes->find(request, m_random());
    if (!match)
        return deny(std::move(request), reply, "-", outcome_reason::no_route, arrived);
    auto const& service = match->service->name;
    if (match->service->keyed && !shard_of(*match->service, match->key))
        return deny(std::move(request), reply, service, outcome_reason::no_key, arrived);
    auto facts =
        std::visit([&](auto const& form) { return form.read(request); }, m_options.form);
    auto const unread = m_loop.max_unread_time(now);
    auto const time_limit = time_limit_of(facts, *match);
    if (!accepts(arrived + time_limit, now))
        return refuse_now(service, outcome_reason::stopping, stopping_retry_after());
    if (auto const after = overload_retry_after(
            {.unread = unread, .caller_timeout = time_limit, .rank = match->route->rank},
            intake))
        return refuse_now(service, outcome_reason::behind, *after);
    auto& pending = create_pending_request(std::move(request), reply, std::move(facts),
                                           *match, arrived);
    pending.trace.add(
        "taken",
        {{"service", pending.request.service},
         {"class", pending.request.request_class},
         {"shard", pending.request.shard ? std::to_string(*pending.request.shard) : "-"},
         {"rank", std::to_string(pending.request.rank)},
         {"repeatable", pending.request.repeatable ? "yes" : "no"},
         {"wait_ms", in_ms(pending.request.deadline - now)},
         {"objective_ms", in_ms(pending.latency_bound)},
         {"unread_ms", in_ms(unread)},
         {"config", std::to_string(m_config_number)}});
    m_retries.on_request(pending.request.service, now);
    dispatch(pending, now);
}

ingress::pending_request& ingress::create_pending_request(http_request request,
                                                          http_reply const& reply,
                                                          caller_facts facts,
                                                          route_match const& match,
                                                          instant arrived)
{
    auto const id = m_next_id++;
    auto& pending = *(m_pending[id] = std::unique_ptr<pending_request>(
                          new pending_request{.reply = reply}));
    auto const& service = *match.service;
    auto const& route = *match.route;
    pending.id = id;
    pending.arrived = arrived;
    pending.latency_bound = route.latency > 0us ? route.latency : service.latency;
    pending.max_attempts = route.max_attempts;
    auto& routed = pending.request;
    routed.service = service.name;
    if (service.keyed)
        routed.shard = shard_of(service, match.key);
    routed.id = std::move(facts.id);
    routed.operation = std::move(facts.operation);
    routed.origin = m_options.origin;
    routed.request_class = class_of(route);
    routed.rank = route.rank;
    routed.repeatable = repeatable(route, request);
    routed.large_answer = route.large_answers;
    routed.deadline = arrived + time_limit_of(facts, match);
    routed.due = std::min(routed.deadline, arrived + pending.latency_bound);
    routed.start_until = routed.deadline;
    routed.held = reply.request_hold();
    std::visit([&](auto const& form) { form.strip(request); }, m_options.form);
    routed.request = std::move(request);
    pending.timer =
        m_loop.timers().at(routed.deadline, [this, id](instant) { on_deadline(id); });
    reply.on_disconnect([this, id] { on_caller_gone(id); });
    return pending;
}

void ingress::on_caller_gone(pending_request_id id)
{
    auto* pending = find(id);
    if (pending == nullptr)
        return;
    m_metrics.count_outcome(pending->request.service, outcome_kind::left,
                            outcome_reason::none, 0us);
    pending->trace.add("left",
                       {{"took_ms", in_ms(boot_now() - pending->arrived)},
                        {"at", pending->local_request ? "here" : pending->sent_to}});
    pending->trace.end(pending->request.id, "left", m_sampler, boot_now());
    m_loop.timers().cancel(pending->timer);
    cancel_attempt(*pending);
    end_attempt(*pending, false, boot_now());
    m_waiting.erase(id);
    m_pending.erase(id);
}

// Cancels the outstanding attempt, as its answer is no longer needed.
void ingress::cancel_attempt(pending_request const& pending)
{
    if (pending.local_request)
        m_agent.cancel(*pending.local_request);
    if (pending.sent_to.empty())
        return;
    wire::Envelope message;
    message.mutable_sender()->set_node(m_options.self);
    message.mutable_cancel()->set_attempt(pending.attempt_id);
    m_peers.send(pending.endpoint, message);
}
// ---- ends ----

// Reports an unknown outcome instead of a refusal if an earlier attempt may have run.
void ingress::refuse(pending_request& pending, outcome_reason reason,
                     duration retry_after)
{
    if (auto const doubt = pending.attempts.may_have_run())
        return finish_unknown(pending, *doubt);
    if (reason == outcome_reason::overloaded)
        retry_after = spread(pending, retry_after, boot_now());
    finish(pending, refusal_response({.reason = reason, .retry_after = retry_after}),
           outcome_kind::refused, reason);
}

void ingress::finish_unknown(pending_request& pending, outcome_reason reason)
{
    finish(pending, refusal_response({.reason = reason, .may_have_run = true}),
           outcome_kind::unknown, reason);
}

void ingress::finish(pending_request& pending, http_response response, outcome_kind kind,
                     outcome_reason reason)
{
    auto const now = boot_now();
    m_metrics.count_outcome(pending.request.service, kind, reason, now - pending.arrived);
    if (kind == outcome_kind::answered)
        record_exchange_size(pending, response);
    bool const late = now - pending.arrived > pending.latency_bound;
    m_burn.count(pending.request.service, kind == outcome_kind::answered, late, now);
    pending.trace.add("ended",
                      {{"outcome", to_string(kind)},
                       {"reason", std::string(to_string(reason))},
                       {"status", std::to_string(response.status)},
                       {"took_ms", in_ms(now - pending.arrived)},
                       {"late", late ? "yes" : "no"},
                       {"arrivals", std::to_string(pending.attempts.arrivals())}});
    constexpr int first_failure = 500;
    auto const end_kind = kind != outcome_kind::answered     ? to_string(reason)
                          : response.status >= first_failure ? "failed"
                          : late                             ? "late"
                          : pending.attempts.arrivals() > 1  ? "repeated"
                                                             : normal_end;
    pending.trace.end(pending.request.id, end_kind, m_sampler, now);
    m_loop.timers().cancel(pending.timer);
    end_attempt(pending, kind != outcome_kind::answered, now);
    m_waiting.erase(pending.id);
    auto const owned = m_pending.extract(pending.id);
    pending.request.held.reset(); // the answer takes its place
    pending.reply.send(std::move(response));
}

void ingress::on_deadline(pending_request_id id)
{
    auto* pending = find(id);
    if (pending == nullptr)
        return;
    if (pending->sent_to.empty() && !pending->local_request)
        return refuse(*pending, outcome_reason::no_owner, no_owner_retry_after);
    // The node that has the request answers by the same deadline and knows whether the
    // request ran.
    pending->timer = m_loop.timers().at(
        boot_now() + answer_grace,
        [this, id](instant)
        {
            if (auto* late = find(id))
                finish_unknown(*late, late->local_request ? outcome_reason::answer_lost
                                                          : outcome_reason::owner_lost);
        });
}

bool ingress::accepts(instant deadline, instant now) const
{
    return !m_finished && (!m_stop || m_stop->accepts(deadline, now));
}

duration ingress::stopping_retry_after() const
{
    return m_stop && m_stop->releases_shards() ? leaving_retry_after
                                               : restart_retry_after;
}

void ingress::finish_all()
{
    m_finished = true;
    for (auto const& [id, held] : std::exchange(m_unverified, {}))
        refuse_early(held.request, held.reply, "-", outcome_reason::stopping,
                     stopping_retry_after(), boot_now());
    std::vector<pending_request_id> all;
    for (auto const& entry : m_pending)
        all.push_back(entry.first);
    for (auto const id : all)
    {
        auto* pending = find(id);
        if (pending == nullptr)
            continue;
        bool const unsent =
            pending->sent_to.empty() &&
            (!pending->local_request || m_agent.withdraw(*pending->local_request));
        if (unsent)
        {
            refuse(*pending, outcome_reason::stopping, stopping_retry_after());
            continue;
        }
        cancel_attempt(*pending);
        finish_unknown(*pending, outcome_reason::stopping);
    }
}

// Dispatches waiting requests again. Also resends repeatable keyed requests whose node
// is gone to the shard's next owner, within the retry budget.
void ingress::on_replica_changed(instant now)
{
    std::vector<pending_request_id> ready(m_waiting.begin(), m_waiting.end());
    for (auto const& [id, pending] : m_pending)
    {
        if (pending->sent_to.empty() || !pending->request.shard)
            continue;
        auto const* m = m_coordinator->copy().node(pending->sent_to);
        if (m != nullptr && m->state != member_state::gone)
            continue;
        if (!abandon_attempt(*pending, attempt_loss::member_gone, now))
            continue;
        pending->search.forget();
        ready.push_back(id);
    }
    for (auto const id : ready)
        if (auto* pending = find(id))
            dispatch(*pending, now);
}

void ingress::tick(instant now)
{
    review_unverified(now);
    if (m_binds_regions)
        refresh_upstream_nodes();
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto* pending = find(id); pending != nullptr && now >= pending->retry_at)
            dispatch(*pending, now);
    auto const still = m_waiting;
    for (auto const id : still)
        if (auto* pending = find(id))
            refuse_after_long_wait(*pending, now);
    for (auto const& node : m_table.tick(now))
        on_peer_silent(node, now);
}

} // namespace buckthornusher
