// The only way to the upstreams beside a node: see the header.
#include "process/agent_impl.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/log.hpp"
#include "process/overloaded.hpp"

namespace buckthornusher
{

namespace
{

constexpr std::size_t most_waiting = 10'000; // orders that wait for their shards
constexpr std::size_t largest_kept_answer = 4'096;
constexpr double sampled_per_second = 5; // orders as usual that leave log lines
// What has been sent before the limit of a drain arrives before it.
constexpr duration drain_margin = 200ms;

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
    case answer_meaning::spoilt:
        return "spoilt";
    }
    return "unknown";
}

} // namespace

agent::agent(event_loop& loop, coordinator& coord, agent_options opts)
    : m_loop(loop), m_coordinator(&coord), m_options(opts), m_started(boot_now()),
      m_operations({.since = boot_now()}), m_sampler(sampled_per_second),
      m_random(std::random_device{}()), m_lag(opts.tick_period)
{
}

agent::~agent() = default;

agent::work* agent::find(order_id id)
{
    auto const it = m_works.find(id);
    return it == m_works.end() ? nullptr : it->second.get();
}

agent::order_id agent::run(order o, callback done)
{
    auto const id = m_next_id++;
    auto& w = *(m_works[id] = std::make_unique<work>());
    w.id = id;
    w.o = std::move(o);
    w.done = std::move(done);
    w.arrived = boot_now();
    w.trail.add("order", {{"from", w.o.sender.empty() ? "here" : w.o.sender},
                          {"service", w.o.service},
                          {"shard", w.o.shard ? std::to_string(*w.o.shard) : "-"},
                          {"left_ms", in_ms(w.o.deadline - w.arrived)}});
    if (m_closing || (m_stop && !m_stop->takes(w.o.deadline, w.arrived)))
        return finish(w, order_refused{.why = reason::stopping,
                                       .retry_after = agent_wait_retry}),
               id;
    if (w.o.shard)
    {
        shard_id const shard{w.o.service, *w.o.shard};
        ++m_asked[shard];
        m_coordinator->note_epoch(w.o.sender, shard, w.o.epoch, w.arrived);
    }
    try_begin(w, boot_now());
    return id;
}

// ---- an order's way ----

void agent::try_begin(work& w, instant now)
{
    if (!w.o.shard)
        return admit(w, now);
    auto const check = m_coordinator->try_begin({w.o.service, *w.o.shard}, now);
    std::visit(
        overloaded{
            [&](may_run const& run)
            {
                w.begun = true;
                w.epoch = run.epoch;
                admit(w, now);
            },
            [&](owned_elsewhere const& other)
            { finish(w, order_moved{.owner = other.owner, .epoch = other.epoch}); },
            [&](not_yet const&) { wait(w); },
        },
        check);
}

// Until the shard can be served here.
void agent::wait(work& w)
{
    if (std::exchange(w.begun, false))
        m_coordinator->end({w.o.service, *w.o.shard});
    if (!m_waiting.contains(w.id))
        w.trail.add("order-waits",
                    {{"for", "shard"},
                     {"lease_ms", in_ms(m_coordinator->lease_until() - boot_now())},
                     {"replica", std::to_string(m_coordinator->copy().revision())}});
    if (m_waiting.size() < most_waiting)
        m_waiting.insert(w.id);
    else
        finish(w,
               order_refused{.why = reason::no_owner, .retry_after = agent_wait_retry});
}

// False: the order has been answered from the table of operations.
bool agent::check_operation(work& w, instant now)
{
    auto const& text = w.o.operation;
    if (text.empty() || w.o.repeatable || !w.o.shard)
        return true;
    if (text == "new")
    {
        operation_id const made{.epoch = w.epoch,
                                .shard = *w.o.shard,
                                .made = to_micros(now),
                                .nonce = m_random()};
        http_response response{.status = 201};
        response.headers.push_back({"buckthornusher-operation", to_string(made)});
        response.body = to_string(made) + "\n";
        finish(w, order_answered{std::move(response)});
        return false;
    }
    auto const id = parse_operation_id(text);
    if (!id)
        return finish(w, order_refused{.why = reason::operation_invalid}), false;
    auto const verdict = m_operations.begin({w.o.service, *w.o.shard}, w.epoch, *id, now);
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
                finish(w, order_answered{std::move(response)});
                return false;
            },
            [&](operation_in_progress const&)
            {
                finish(w, order_refused{.why = reason::operation_running,
                                        .retry_after = agent_wait_retry});
                return false;
            },
            [&](operation_lost const&)
            {
                finish(w, order_unknown{.why = reason::operation_unknown});
                return false;
            },
            [&](operation_refused const&)
            {
                finish(w,
                       order_refused{.why = reason::operations_full, .retry_after = 1s});
                return false;
            },
        },
        verdict);
}

// Decides whether the order goes to the upstream or to the old setup. False: it must wait
// until the orders of its shard at the other one have ended.
bool agent::choose_backend(work& w)
{
    w.old_setup = false;
    if (w.o.shard && m_routes != nullptr && !m_routes->source().departments.empty())
    {
        auto const match = m_routes->find(w.o.request);
        w.old_setup = match && m_routes->uses_old_setup(w.o.service, match->key);
        auto& counts = m_backends[{w.o.service, *w.o.shard}];
        if ((w.old_setup ? counts.upstream : counts.old_setup) > 0)
            return false;
        ++(w.old_setup ? counts.old_setup : counts.upstream);
        w.counted = true;
    }
    auto const it = m_links.find(w.old_setup ? old_setup_link : w.o.service);
    w.backend = it == m_links.end() ? nullptr : it->second;
    return true;
}

void agent::admit(work& w, instant now)
{
    if (!choose_backend(w))
        return wait(w);
    auto* l = w.backend.get();
    bool const gone = l == nullptr || !takes_orders(*l, w.o.shard.has_value(), now);
    if (gone)
        return finish(w, order_refused{.why = reason::not_reached,
                                       .retry_after = agent_wait_retry});
    if (w.o.shard && l->holds && l->holds->held_until(*w.o.shard, w.epoch) <= now)
        return wait(w);
    m_waiting.erase(w.id);
    if (!check_operation(w, now))
        return;
    auto const verdict = l->queue.arrive({.id = w.id,
                                          .request_class = w.o.request_class,
                                          .rank = w.o.rank,
                                          .due = w.o.due,
                                          .deadline = w.o.deadline,
                                          .start_until = w.o.start_until},
                                         now);
    bool const starts = std::holds_alternative<starts_now>(verdict);
    auto const* queued = std::get_if<waits>(&verdict);
    w.trail.add("queue",
                {{"verdict", starts              ? "starts"
                             : queued != nullptr ? "waits"
                                                 : "no-room"},
                 {"expected_wait_ms", queued != nullptr ? in_ms(queued->expected) : "-"},
                 {"running", std::to_string(l->queue.running())},
                 {"slots", std::to_string(l->queue.limit())},
                 {"waiting", std::to_string(l->queue.queued())},
                 {"service_ms", in_ms(l->queue.expected_service(w.o.request_class))},
                 {"due_ms", in_ms(w.o.due - now)},
                 {"patience_ms", in_ms(w.o.start_until - now)}});
    if (auto const* full = std::get_if<has_no_room>(&verdict))
        return finish(w, order_refused{.why = reason::overloaded,
                                       .retry_after = full->retry_after});
    w.at = work::state::queued;
    if (starts)
        start(w, now);
    else
        start_queued(*l, now);
}

// One that is leaving takes orders for its shards while these move, up to a limit.
bool agent::takes_orders(link const& l, bool keyed_order, instant now) const
{
    if (!l.draining())
        return true;
    return keyed_order && now - l.draining_since < m_options.drain_limit - drain_margin;
}

http_request agent::upstream_request(work const& w, link const& l, duration left) const
{
    upstream_order const told{
        .life = l.described.life,
        .origin = w.o.origin,
        .time_left = left,
        .shard = w.o.shard,
        .epoch = w.epoch,
        .lease_until = w.o.shard ? m_coordinator->lease_until() : instant{},
        .operation = w.operation ? to_string(*w.operation) : std::string(),
        .sending = w.id};
    return std::visit([&](auto const& form) { return form.order(w.o.request, told); },
                      m_options.form);
}

// Sends the order to the upstream, if the shard is still owned and there is time.
void agent::start(work& w, instant now)
{
    auto const l = w.backend;
    w.at = work::state::running;
    auto until = w.o.deadline;
    auto why = now < until ? reason::none : reason::deadline;
    if (!takes_orders(*l, w.o.shard.has_value(), now))
        why = reason::not_reached;
    if (w.o.shard)
    {
        // An upstream that is not granted its keys knows the lease by what it is told.
        if (!l->holds)
        {
            w.lease_told = m_coordinator->lease_until();
            until = std::min(until, w.lease_told);
        }
        if (!m_coordinator->may_send({w.o.service, *w.o.shard}, w.epoch, now))
            why = reason::lease_over;
    }
    if (why != reason::none)
    {
        l->queue.leave(w.id, request_end::not_sent, 0us, now);
        finish(w, order_refused{.why = why, .retry_after = agent_wait_retry});
        return start_queued(*l, now);
    }
    w.trail.add(
        "started",
        {{"epoch", std::to_string(w.epoch)},
         {"waited_ms", in_ms(now - w.arrived)},
         {"left_ms", in_ms(until - now)},
         {"lease_ms", w.o.shard ? in_ms(m_coordinator->lease_until() - now) : "-"},
         {"hold_ms", w.o.shard && l->holds
                         ? in_ms(l->holds->held_until(*w.o.shard, w.epoch) - now)
                         : "-"}});
    auto const id = w.id;
    auto const on = l->answered.contains(w.o.id, now) ? call_connection::unused
                                                      : call_connection::any;
    auto const call = l->http.call(
        upstream_request(w, *l, until - now), until - now,
        [this, id, now](http_result r) { on_upstream(id, now, std::move(r)); }, on);
    if (auto* still = find(id))
        still->call = call;
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

void agent::on_upstream(order_id id, instant started, http_result result)
{
    auto* w = find(id);
    if (w == nullptr)
        return;
    auto const l = w->backend; // lives on while its queue is served
    auto const now = boot_now();
    settle(*w, result, started, now);
    start_queued(*l, now);
}

void agent::settle(work& w, http_result& result, instant started, instant now)
{
    auto& l = *w.backend;
    auto const took = now - started;
    if (!result.has_value())
    {
        auto const& failure = result.error();
        bool const cancelled = failure.at == http_failure::step::cancelled;
        l.refused = failure.at == http_failure::step::connect;
        w.trail.add("upstream", {{"outcome", "no-answer"},
                                 {"step", to_string(failure.at)},
                                 {"peer", failure.peer},
                                 {"sent", failure.sent ? "yes" : "no"},
                                 {"reused", failure.reused ? "yes" : "no"},
                                 {"part", failure.started ? "yes" : "no"},
                                 {"took_ms", in_ms(took)}});
        l.queue.leave(w.id, failure.sent ? request_end::failed : request_end::not_sent,
                      took, now);
        if (!failure.sent)
            return finish(w, order_refused{.why = reason::upstream_refused,
                                           .retry_after = agent_wait_retry});
        return finish(
            w, order_unknown{.why = cancelled ? reason::deadline : reason::answer_lost});
    }
    l.refused = false;
    l.last_answer = now;
    auto const meaning = std::visit(
        [&](auto const& form) { return form.meaning(result.value()); }, m_options.form);
    w.trail.add("upstream", {{"outcome", meaning_name(meaning)},
                             {"status", std::to_string(result.value().status)},
                             {"took_ms", in_ms(took)}});
    if (meaning != answer_meaning::answered)
        l.answered.note(w.o.id, w.o.deadline, now);
    switch (meaning)
    {
    case answer_meaning::answered:
    case answer_meaning::failed:
        l.queue.leave(w.id, request_end::completed, took, now);
        return finish(w, order_answered{.response = std::move(result).value(),
                                        .failed = meaning == answer_meaning::failed});
    case answer_meaning::no_room:
        l.queue.leave(w.id, request_end::shed, took, now);
        return finish(w, order_refused{.why = reason::upstream_refused,
                                       .retry_after = agent_wait_retry,
                                       .reached_upstream = true});
    case answer_meaning::not_held:
        l.queue.leave(w.id, request_end::not_sent, took, now);
        if (l.holds && w.o.shard)
            l.holds->deny(*w.o.shard);
        return finish(w, order_refused{.why = reason::lease_over,
                                       .retry_after = agent_wait_retry,
                                       .reached_upstream = true});
    case answer_meaning::spoilt:
        l.queue.leave(w.id, request_end::failed, took, now);
        return finish(w, order_unknown{.why = reason::answer_lost});
    }
}

void agent::settle_operation(work& w, order_result const& result)
{
    if (!w.operation)
        return;
    auto const& service = w.o.service;
    if (auto const* answered = std::get_if<order_answered>(&result))
    {
        auto const& response = answered->response;
        if (response.body.size() > largest_kept_answer)
            return m_operations.lose(service, *w.operation);
        m_operations.finish(
            service, *w.operation,
            {.status = response.status,
             .content_type = std::string(find_header(response.headers, "content-type")),
             .body = response.body});
    }
    else if (std::holds_alternative<order_unknown>(result))
        m_operations.lose(service, *w.operation);
    else
        m_operations.abandon(service, *w.operation);
}

void agent::end_trail(work& w, order_result const& result)
{
    auto const now = boot_now();
    auto const took = in_ms(now - w.arrived);
    std::string_view how = usual_end;
    std::visit(overloaded{[&](order_answered const& a)
                          {
                              if (a.failed || now > w.o.due)
                                  how = a.failed ? "order-failed" : "order-late";
                              w.trail.add("order-ended",
                                          {{"outcome", a.failed ? "failed" : "answered"},
                                           {"took_ms", took}});
                          },
                          [&](order_refused const& r)
                          {
                              how = to_string(r.why);
                              w.trail.add("order-ended", {{"outcome", "refused"},
                                                          {"reason", std::string(how)},
                                                          {"took_ms", took}});
                          },
                          [&](order_unknown const& u)
                          {
                              how = to_string(u.why);
                              w.trail.add("order-ended", {{"outcome", "unknown"},
                                                          {"reason", std::string(how)},
                                                          {"took_ms", took}});
                          },
                          [&](order_moved const& m)
                          {
                              how = "order-moved";
                              w.trail.add("order-ended",
                                          {{"outcome", "moved"},
                                           {"owner", m.owner ? m.owner.node : "-"},
                                           {"epoch", std::to_string(m.epoch)},
                                           {"took_ms", took}});
                          }},
               result);
    w.trail.end(w.o.id, how, m_sampler, now);
}

void agent::finish(work& w, order_result result)
{
    settle_operation(w, result);
    end_trail(w, result);
    bool const unknown = std::holds_alternative<order_unknown>(result);
    auto const owned = m_works.extract(w.id); // keeps `w` until the end
    m_waiting.erase(w.id);
    auto const done = std::move(w.done);
    if (w.counted)
    {
        auto& counts = m_backends[{w.o.service, *w.o.shard}];
        --(w.old_setup ? counts.old_setup : counts.upstream);
    }
    if (w.begun && unknown && boot_now() < w.lease_told)
        end_with_lease(w);
    else if (w.begun)
        m_coordinator->end({w.o.service, *w.o.shard});
    if (done)
        done(std::move(result));
}

// The order may still be on its way to the upstream, which begins it as long as the lease
// runs that it was told. Until then the shard has no other owner.
void agent::end_with_lease(work const& w)
{
    m_loop.timers().at(w.lease_told, [this, shard = shard_id{w.o.service, *w.o.shard}](
                                         instant) { m_coordinator->end(shard); });
}

void agent::refuse_all(std::vector<order_id> const& ids, reason why, duration retry_after)
{
    for (auto const id : ids)
        if (auto* w = find(id))
            finish(*w, order_refused{.why = why, .retry_after = retry_after});
}

void agent::cancel(order_id id)
{
    auto* w = find(id);
    if (w == nullptr)
        return;
    w->done = nullptr;
    if (w->at == work::state::running)
    {
        if (w->call && w->o.repeatable)
            w->backend->http.cancel(*w->call);
        else if (w->call)
            w->backend->http.withdraw(*w->call);
        return;
    }
    if (w->at == work::state::queued)
        w->backend->queue.cancel(id);
    finish(*w, order_refused{.why = reason::deadline});
}

bool agent::withdraw(order_id id)
{
    auto* w = find(id);
    if (w == nullptr)
        return false;
    auto done = std::exchange(w->done, nullptr);
    if (w->at == work::state::running)
    {
        if (w->call && w->backend->http.withdraw(*w->call))
            return true;
        w->done = std::move(done);
        return false;
    }
    if (w->at == work::state::queued)
        w->backend->queue.cancel(id);
    finish(*w, order_refused{.why = reason::stopping});
    return true;
}

void agent::begin_ending()
{
    m_closing = true;
    m_ending = true;
}

void agent::finish_all()
{
    std::vector<order_id> all;
    for (auto const& entry : m_works)
        all.push_back(entry.first);
    for (auto const id : all)
    {
        auto* w = find(id);
        if (w == nullptr)
            continue;
        if (w->at == work::state::running)
            finish(*w, order_unknown{.why = reason::stopping});
        else
            finish(*w, order_refused{.why = reason::stopping,
                                     .retry_after = agent_wait_retry});
    }
}

// ---- versions and time ----

void agent::set_routes(std::shared_ptr<route_table const> routes)
{
    m_routes = std::move(routes);
    auto const& old = m_routes->source().old_setup;
    if (old.port == 0 || m_links.contains(old_setup_link))
        return;
    upstream_report described;
    described.service = old_setup_link;
    described.ip = old.address;
    described.port = old.port;
    described.slots = old.connections;
    described.connections = old.connections;
    m_links[old_setup_link] = make_link(described);
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
    m_lag.on_turn(now);
    on_replica_changed(now); // the lease may have been renewed
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto* w = find(id); w != nullptr && w->o.deadline <= now)
            finish(*w, order_refused{.why = reason::no_owner,
                                     .retry_after = agent_wait_retry});
    auto const links = m_links; // callbacks may change it
    for (auto const& entry : links)
    {
        auto& queue = entry.second->queue;
        refuse_all(queue.expire(now), reason::overloaded, queue.mean_service());
        start_queued(*entry.second, now);
        auto& l = *entry.second;
        if (entry.first != old_setup_link && !l.departed)
            l.state.set(!l.refused && !is_silent(l, now),
                        l.refused ? "connection refused" : "no report and no answer",
                        now);
    }
}

} // namespace buckthornusher
