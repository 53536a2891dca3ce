// Implementation of the agent: the path of a request. See the header.
#include "process/agent_impl.hpp"

#include "buckthornusher/owner_wait.hpp"
#include "buckthornusher/run_end.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/log.hpp"
#include "process/overloaded.hpp"

namespace buckthornusher
{

namespace
{

constexpr std::size_t max_waiting_requests = 10'000; // for their shards
constexpr std::size_t max_stored_answer_bytes = 4'096;
constexpr double max_sampled_traces_per_second = 5; // of normally completed requests
// Requests must reach the upstream before the drain limit; this covers their transit.
constexpr duration drain_margin = 200ms;

// The name in the log, where an unverified answer is `spoilt`.
char const* meaning_name(answer_meaning meaning)
{
    switch (meaning)
    {
    case answer_meaning::answered:
        return "answered";
    case answer_meaning::failed:
        return "failed";
    case answer_meaning::no_room:
        return "no-room";
    case answer_meaning::not_held:
        return "not-held";
    case answer_meaning::unverified:
        return "spoilt";
    }
    return "unknown";
}

} // namespace

agent::agent(event_loop& loop, coordinator& coord, agent_options opts)
    : m_loop(loop), m_coordinator(&coord), m_options(opts), m_started(boot_now()),
      m_history(opts.service),
      m_link_answers({.bytes_per_second = opts.link_bytes_per_second}),
      m_link_downloads(m_link_answers), m_operations({.since = boot_now()}),
      m_sampler(max_sampled_traces_per_second), m_random(std::random_device{}()),
      m_lag(opts.tick_period)
{
}

agent::~agent() = default;

agent::active_request* agent::find(request_id id)
{
    auto const it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second.get();
}

agent::request_id agent::run(upstream_request request, callback done)
{
    auto const id = m_next_id++;
    auto& w = *(m_requests[id] = std::make_unique<active_request>());
    w.id = id;
    w.request = std::move(request);
    w.done = std::move(done);
    w.arrived = boot_now();
    w.trace.add("order",
                {{"from", w.request.sender.empty() ? "here" : w.request.sender},
                 {"service", w.request.service},
                 {"shard", w.request.shard ? std::to_string(*w.request.shard) : "-"},
                 {"left_ms", in_ms(w.request.deadline - w.arrived)}});
    if (m_closing || (m_stop && !m_stop->accepts(w.request.deadline, w.arrived)))
        return finish(w, request_refused{.reason = outcome_reason::stopping,
                                         .retry_after = refusal_retry_after}),
               id;
    if (w.request.shard)
    {
        shard_id const shard{w.request.service, *w.request.shard};
        ++m_request_counts[shard];
        m_coordinator->note_epoch(w.request.sender, shard, w.request.epoch, w.arrived);
    }
    try_begin(w, boot_now());
    return id;
}

// ---- the path of a request ----

void agent::try_begin(active_request& w, instant now)
{
    if (!w.request.shard)
        return admit(w, now);
    auto const check =
        m_coordinator->try_begin({w.request.service, *w.request.shard}, now);
    std::visit(
        overloaded{
            [&](may_run const& run)
            {
                w.counted_in_coordinator = true;
                w.epoch = run.epoch;
                admit(w, now);
            },
            [&](owned_elsewhere const& other)
            { finish(w, request_moved{.owner = other.owner, .epoch = other.epoch}); },
            [&](not_yet const&) { wait_for_shard(w); },
        },
        check);
}

// Holds the request until its shard can be served here.
void agent::wait_for_shard(active_request& w)
{
    if (std::exchange(w.counted_in_coordinator, false))
        m_coordinator->end({w.request.service, *w.request.shard});
    if (!w.waiting_since)
        w.waiting_since = boot_now();
    if (!m_waiting.contains(w.id))
        w.trace.add("order-waits",
                    {{"for", "shard"},
                     {"lease_ms", in_ms(m_coordinator->lease_until() - boot_now())},
                     {"replica", std::to_string(m_coordinator->copy().revision())}});
    if (m_waiting.size() < max_waiting_requests)
        m_waiting.insert(w.id);
    else
        finish(w, request_refused{.reason = outcome_reason::no_owner,
                                  .retry_after = refusal_retry_after});
}

// Returns false if the request has been finished without the upstream: it asked for a new
// operation id, its id is invalid, or the operation table decides its result.
bool agent::check_operation(active_request& w, instant now)
{
    auto const& text = w.request.operation;
    if (text.empty() || w.request.repeatable || !w.request.shard)
        return true;
    if (text == "new")
    {
        operation_id const made{.epoch = w.epoch,
                                .shard = *w.request.shard,
                                .made = to_micros(now),
                                .nonce = m_random()};
        http_response response{.status = 201};
        response.headers.push_back({"buckthornusher-operation", to_string(made)});
        response.body = to_string(made) + "\n";
        finish(w, request_answered{std::move(response)});
        return false;
    }
    auto const id = parse_operation_id(text);
    if (!id)
        return finish(w, request_refused{.reason = outcome_reason::operation_invalid}),
               false;
    auto const verdict =
        m_operations.begin({w.request.service, *w.request.shard}, w.epoch, *id, now);
    return std::visit(
        overloaded{
            [&](operation_starts const&)
            {
                w.operation = id;
                return true;
            },
            [&](operation_done const& done)
            {
                http_response response{.status = done.answer.status,
                                       .body = done.answer.body};
                response.headers.push_back({"content-type", done.answer.content_type});
                finish(w, request_answered{std::move(response)});
                return false;
            },
            [&](operation_in_progress const&)
            {
                finish(w, request_refused{.reason = outcome_reason::operation_running,
                                          .retry_after = refusal_retry_after});
                return false;
            },
            [&](operation_lost const&)
            {
                finish(w, request_unknown{.reason = outcome_reason::operation_unknown});
                return false;
            },
            [&](operation_refused const&)
            {
                finish(w, request_refused{.reason = outcome_reason::operations_full,
                                          .retry_after = 1s});
                return false;
            },
        },
        verdict);
}

// Chooses between the upstream and the old setup. Returns false if the request must wait
// until the other one has finished its requests for the shard.
bool agent::choose_backend(active_request& w)
{
    w.old_setup = false;
    if (w.request.shard && m_routes != nullptr && !m_routes->source().departments.empty())
    {
        auto const match = m_routes->find(w.request.request);
        w.old_setup = match && m_routes->uses_old_setup(w.request.service, match->key);
        auto& counts = m_backends[{w.request.service, *w.request.shard}];
        if ((w.old_setup ? counts.upstream : counts.old_setup) > 0)
            return false;
        ++(w.old_setup ? counts.old_setup : counts.upstream);
        w.counted_in_backends = true;
    }
    auto const it = m_links.find(w.old_setup ? old_setup_link : w.request.service);
    w.backend = it == m_links.end() ? nullptr : it->second;
    return true;
}

void agent::admit(active_request& w, instant now)
{
    if (outside_regions(w))
        return finish(w, request_refused{.reason = outcome_reason::no_region,
                                         .retry_after = region_options{}.retry_after});
    if (!choose_backend(w))
        return wait_for_shard(w);
    auto* l = w.backend.get();
    bool const gone =
        l == nullptr || !accepts_requests(*l, w.request.shard.has_value(), now);
    if (gone)
        return finish(w, request_refused{.reason = outcome_reason::not_reached,
                                         .retry_after = refusal_retry_after});
    if (w.request.shard && l->grants &&
        !l->grants->may_send(*w.request.shard, w.epoch, now))
        return wait_for_shard(w);
    m_waiting.erase(w.id);
    if (!admit_to_link(w, now) || !check_operation(w, now))
        return;
    auto const verdict = l->queue.arrive({.id = w.id,
                                          .request_class = w.request.request_class,
                                          .rank = w.request.rank,
                                          .due = w.request.due,
                                          .deadline = w.request.deadline,
                                          .start_until = w.request.start_until},
                                         now);
    bool const starts = std::holds_alternative<starts_now>(verdict);
    auto const* queued = std::get_if<waits>(&verdict);
    w.trace.add(
        "queue",
        {{"verdict", starts              ? "starts"
                     : queued != nullptr ? "waits"
                                         : "no-room"},
         {"expected_wait_ms", queued != nullptr ? in_ms(queued->expected) : "-"},
         {"running", std::to_string(l->queue.running())},
         {"slots", std::to_string(l->queue.limit())},
         {"waiting", std::to_string(l->queue.queued())},
         {"service_ms", in_ms(l->queue.expected_service(w.request.request_class))},
         {"due_ms", in_ms(w.request.due - now)},
         {"patience_ms", in_ms(w.request.start_until - now)}});
    if (auto const* full = std::get_if<has_no_room>(&verdict))
        return finish(w, request_refused{.reason = outcome_reason::overloaded,
                                         .retry_after = full->retry_after});
    w.current_stage = active_request::stage::queued;
    if (starts)
        start(w, now);
    else
        start_queued(*l, now);
}

// A draining upstream accepts requests for its shards until they have moved or the drain
// limit is reached.
bool agent::accepts_requests(link const& l, bool keyed_request, instant now) const
{
    if (!node_may_start(m_coordinator->evacuation(m_options.domain), keyed_request, now))
        return false;
    if (!l.draining())
        return true;
    return keyed_request && now - l.draining_since < m_options.drain_limit - drain_margin;
}

http_request agent::make_http_request(active_request const& w, link const& l,
                                      duration left) const
{
    upstream_call const call{
        .incarnation = l.report.incarnation,
        .origin = w.request.origin,
        .time_left = left,
        .shard = w.request.shard,
        .epoch = w.epoch,
        .lease_until = w.request.shard ? m_coordinator->lease_until() : instant{},
        .operation = w.operation ? to_string(*w.operation) : std::string(),
        .sending = w.id};
    return std::visit([&](auto const& form)
                      { return form.add_call_headers(w.request.request, call); },
                      m_options.form);
}

// Sends the request to the upstream if this member still owns the shard, the upstream
// still accepts requests and the deadline has not passed. Otherwise refuses it.
void agent::start(active_request& w, instant now)
{
    auto const l = w.backend;
    w.current_stage = active_request::stage::running;
    auto until = w.request.deadline;
    auto reason = now < until ? outcome_reason::none : outcome_reason::deadline;
    if (!accepts_requests(*l, w.request.shard.has_value(), now))
        reason = outcome_reason::not_reached;
    if (outside_regions(w))
        reason = outcome_reason::no_region;
    if (w.request.shard)
    {
        // An upstream without grants learns the lease end from the request itself.
        if (!l->grants)
        {
            w.sent_lease_until = m_coordinator->lease_until();
            until = std::min(until, w.sent_lease_until);
        }
        if (!m_coordinator->may_send({w.request.service, *w.request.shard}, w.epoch, now))
            reason = outcome_reason::lease_over;
    }
    if (reason != outcome_reason::none)
    {
        l->queue.leave(w.id, request_end::not_sent, 0us, now);
        finish(w, request_refused{.reason = reason, .retry_after = refusal_retry_after});
        return start_queued(*l, now);
    }
    w.trace.add(
        "started",
        {{"epoch", std::to_string(w.epoch)},
         {"waited_ms", in_ms(now - w.arrived)},
         {"left_ms", in_ms(until - now)},
         {"lease_ms", w.request.shard ? in_ms(m_coordinator->lease_until() - now) : "-"},
         {"hold_ms", w.request.shard && l->grants
                         ? in_ms(l->grants->held_until(*w.request.shard, w.epoch) - now)
                         : "-"}});
    l->condition.on_running(l->queue.running(), now);
    auto const id = w.id;
    auto const connection = l->answered.contains(w.request.id, now)
                                ? call_connection::unused
                                : call_connection::any;
    auto const call = l->http.call(
        make_http_request(w, *l, until - now), until - now + last_word_margin,
        [this, id, now](http_result r) { on_upstream_result(id, now, std::move(r)); },
        connection);
    if (auto* still = find(id))
        still->call = call;
    note_written(*l, boot_now());
}

void agent::start_queued(link& l, instant now)
{
    if (m_ending)
        return;
    while (auto const id = l.queue.start_next(now))
        if (auto* w = find(*id))
            start(*w, now);
        else
            l.queue.leave(*id, request_end::not_sent, 0us, now);
}

void agent::on_upstream_result(request_id id, instant started, http_result result)
{
    auto* w = find(id);
    if (w == nullptr)
        return;
    auto const l = w->backend; // keeps the link alive while its queue is served
    auto const now = boot_now();
    handle_result(*w, result, started, now);
    start_queued(*l, now);
}

void agent::handle_result(active_request& w, http_result& result, instant started,
                          instant now)
{
    auto& l = *w.backend;
    auto const took = now - started;
    if (!result.has_value())
    {
        auto const& failure = result.error();
        bool const cancelled = failure.failed_step == http_failure::step::cancelled;
        l.connect_failed = failure.failed_step == http_failure::step::connect;
        note_failure(l, failure, took, now);
        w.trace.add("upstream", {{"outcome", "no-answer"},
                                 {"step", to_string(failure.failed_step)},
                                 {"peer", failure.peer},
                                 {"sent", failure.sent ? "yes" : "no"},
                                 {"reused", failure.reused ? "yes" : "no"},
                                 {"part", failure.response_started ? "yes" : "no"},
                                 {"took_ms", in_ms(took)}});
        l.queue.leave(w.id, failure.sent ? request_end::failed : request_end::not_sent,
                      took, now);
        if (!failure.sent)
            return finish(w, request_refused{.reason = outcome_reason::upstream_refused,
                                             .retry_after = refusal_retry_after});
        return finish(w,
                      request_unknown{.reason = cancelled ? outcome_reason::deadline
                                                          : outcome_reason::answer_lost});
    }
    l.connect_failed = false;
    l.answered_at = now;
    note_load(l, result.value(), now);
    auto const meaning = std::visit(
        [&](auto const& form) { return form.meaning(result.value()); }, m_options.form);
    w.trace.add("upstream", {{"outcome", meaning_name(meaning)},
                             {"status", std::to_string(result.value().status)},
                             {"took_ms", in_ms(took)}});
    note_pace(l, w.request.request_class, meaning, started, now);
    if (meaning != answer_meaning::answered)
        l.answered.note(w.request.id, w.request.deadline, now);
    switch (meaning)
    {
    case answer_meaning::answered:
    case answer_meaning::failed:
        l.queue.leave(w.id,
                      meaning == answer_meaning::failed ? request_end::answered_failure
                                                        : request_end::completed,
                      took, now);
        return finish(w, request_answered{.response = std::move(result).value(),
                                          .failed = meaning == answer_meaning::failed});
    case answer_meaning::no_room:
        l.queue.leave(w.id, request_end::shed, took, now);
        return finish(w, request_refused{.reason = outcome_reason::upstream_refused,
                                         .retry_after = refusal_retry_after,
                                         .reached_upstream = true});
    case answer_meaning::not_held:
        l.queue.leave(w.id, request_end::not_sent, took, now);
        if (l.grants && w.request.shard)
            l.grants->mark_not_held(*w.request.shard, now);
        return finish(w, request_refused{.reason = outcome_reason::lease_over,
                                         .retry_after = refusal_retry_after,
                                         .reached_upstream = true});
    case answer_meaning::unverified:
        l.queue.leave(w.id, request_end::failed, took, now);
        return finish(w, request_unknown{.reason = outcome_reason::answer_lost});
    }
}

void agent::record_operation_result(active_request& w, request_result const& result)
{
    if (!w.operation)
        return;
    auto const& service = w.request.service;
    if (auto const* answered = std::get_if<request_answered>(&result))
    {
        auto const& response = answered->response;
        if (response.body.size() > max_stored_answer_bytes)
            return m_operations.mark_lost(service, *w.operation);
        m_operations.finish(
            service, *w.operation,
            {.status = response.status,
             .content_type = std::string(find_header(response.headers, "content-type")),
             .body = response.body});
    }
    else if (std::holds_alternative<request_unknown>(result))
        m_operations.mark_lost(service, *w.operation);
    else
        m_operations.abandon(service, *w.operation);
}

void agent::end_trace(active_request& w, request_result const& result)
{
    auto const now = boot_now();
    auto const took = in_ms(now - w.arrived);
    std::string_view outcome = normal_end;
    std::visit(
        overloaded{
            [&](request_answered const& a)
            {
                if (a.failed || now > w.request.due)
                    outcome = a.failed ? "order-failed" : "order-late";
                w.trace.add("order-ended", {{"outcome", a.failed ? "failed" : "answered"},
                                            {"took_ms", took}});
            },
            [&](request_refused const& r)
            {
                outcome = to_string(r.reason);
                w.trace.add("order-ended", {{"outcome", "refused"},
                                            {"reason", std::string(outcome)},
                                            {"took_ms", took}});
            },
            [&](request_unknown const& u)
            {
                outcome = to_string(u.reason);
                w.trace.add("order-ended", {{"outcome", "unknown"},
                                            {"reason", std::string(outcome)},
                                            {"took_ms", took}});
            },
            [&](request_moved const& m)
            {
                outcome = "order-moved";
                w.trace.add("order-ended", {{"outcome", "moved"},
                                            {"owner", m.owner ? m.owner.node : "-"},
                                            {"epoch", std::to_string(m.epoch)},
                                            {"took_ms", took}});
            }},
        result);
    w.trace.end(w.request.id, outcome, m_sampler, now);
}

void agent::finish(active_request& w, request_result result)
{
    record_operation_result(w, result);
    end_trace(w, result);
    bool const unknown = std::holds_alternative<request_unknown>(result);
    note_link_end(w, result);
    auto const owned = m_requests.extract(w.id); // keeps `w` alive until the return
    m_waiting.erase(w.id);
    w.request.held.reset();
    auto const done = std::move(w.done);
    if (w.counted_in_backends)
    {
        auto& counts = m_backends[{w.request.service, *w.request.shard}];
        --(w.old_setup ? counts.old_setup : counts.upstream);
    }
    if (w.counted_in_coordinator && unknown && boot_now() < w.sent_lease_until)
        end_at_lease_expiry(w);
    else if (w.counted_in_coordinator)
        m_coordinator->end({w.request.service, *w.request.shard});
    if (done)
        done(std::move(result));
}

// The request may still be in transit, and the upstream may begin it until the lease end
// that was sent with it. Keeps the request counted until then, so that no other member
// owns the shard earlier.
void agent::end_at_lease_expiry(active_request const& w)
{
    m_loop.timers().at(w.sent_lease_until,
                       [this, shard = shard_id{w.request.service, *w.request.shard}](
                           instant) { m_coordinator->end(shard); });
}

void agent::refuse_all(std::vector<request_id> const& ids, outcome_reason reason,
                       duration retry_after)
{
    for (auto const id : ids)
        if (auto* w = find(id))
            finish(*w, request_refused{.reason = reason, .retry_after = retry_after});
}

void agent::cancel(request_id id)
{
    auto* w = find(id);
    if (w == nullptr)
        return;
    w->done = nullptr;
    if (w->current_stage == active_request::stage::running)
    {
        if (w->call && w->request.repeatable)
            w->backend->http.cancel(*w->call);
        else if (w->call)
            w->backend->http.cancel_if_unsent(*w->call);
        return;
    }
    if (w->current_stage == active_request::stage::queued)
        w->backend->queue.cancel(id);
    finish(*w, request_refused{.reason = outcome_reason::deadline});
}

bool agent::withdraw(request_id id)
{
    auto* w = find(id);
    if (w == nullptr)
        return false;
    auto done = std::exchange(w->done, nullptr);
    if (w->current_stage == active_request::stage::running)
    {
        if (w->call && w->backend->http.cancel_if_unsent(*w->call))
            return true;
        w->done = std::move(done);
        return false;
    }
    if (w->current_stage == active_request::stage::queued)
        w->backend->queue.cancel(id);
    finish(*w, request_refused{.reason = outcome_reason::stopping});
    return true;
}

void agent::begin_ending()
{
    m_closing = true;
    m_ending = true;
}

void agent::finish_all()
{
    std::vector<request_id> all;
    for (auto const& entry : m_requests)
        all.push_back(entry.first);
    for (auto const id : all)
    {
        auto* w = find(id);
        if (w == nullptr)
            continue;
        if (w->current_stage == active_request::stage::running)
            finish(*w, request_unknown{.reason = outcome_reason::stopping});
        else
            finish(*w, request_refused{.reason = outcome_reason::stopping,
                                       .retry_after = refusal_retry_after});
    }
}

// ---- routes and timers ----

void agent::set_routes(std::shared_ptr<route_table const> routes)
{
    m_routes = std::move(routes);
    set_region_routes();
    std::vector<std::string> services;
    for (auto const& service : m_routes->source().services)
        services.push_back(service.name);
    m_history.add_services(services);
    for (auto const& [name, l] : m_links)
        if (name != old_setup_link)
            set_start_options(*l, name);
    auto const& old = m_routes->source().old_setup;
    if (old.port == 0 || m_links.contains(old_setup_link))
        return;
    upstream_report report;
    report.service = old_setup_link;
    report.ip = old.address;
    report.port = old.port;
    report.slots = old.connections;
    report.connections = old.connections;
    m_links[old_setup_link] = make_link(report);
}

void agent::on_replica_changed(instant now)
{
    auto const waiting = m_waiting; // try_begin changes the set
    for (auto const id : waiting)
        if (auto* w = find(id))
            try_begin(*w, now);
}

void agent::tick(instant now)
{
    m_lag.on_tick(now);
    on_replica_changed(now); // the lease may have been renewed
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto* w = find(id); w != nullptr && w->waiting_since &&
                                has_waited_long_at_owner(*w->waiting_since, w->arrived,
                                                         w->request.deadline, now))
            finish(*w, request_refused{.reason = outcome_reason::no_owner,
                                       .retry_after = refusal_retry_after});
    auto const links = m_links; // callbacks may change m_links
    for (auto const& entry : links)
    {
        auto& queue = entry.second->queue;
        note_written(*entry.second, now);
        apply_condition(*entry.second, now);
        refuse_all(queue.expire(now), outcome_reason::overloaded, queue.mean_service());
        start_queued(*entry.second, now);
        auto& l = *entry.second;
        if (entry.first != old_setup_link && !l.departed)
            l.state.set(!l.connect_failed && !is_silent(l, now),
                        l.connect_failed ? "connect failed" : "no report and no answer",
                        now);
    }
}

} // namespace buckthornusher
