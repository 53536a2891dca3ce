// The only way to the upstreams beside a node: see the header.
#include "process/agent.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/log.hpp"
#include "process/state_log.hpp"

namespace buckthornusher
{

namespace
{

constexpr int reports_missed = 3;            // after so many an upstream counts as silent
constexpr std::size_t most_waiting = 10'000; // orders that wait for their shards
constexpr std::size_t largest_kept_answer = 4'096;
constexpr double sampled_per_second = 5; // orders as usual that leave log lines
constexpr duration wait_retry = 100ms;
// What has been sent before the limit of a drain arrives before it.
constexpr duration drain_margin = 200ms;
// An upstream that answers lives, also if its reports do not arrive.
constexpr duration answer_proves_life = 2s;
constexpr double rate_weight = 0.5;        // of the newest second
constexpr double least_rate = 0.02;        // requests a second that are still told
constexpr duration longest_expecting = 3s; // a move mostly takes a second or two
constexpr char const* old_setup_link = "old setup"; // no service can have this name

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

template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace

struct agent::link
{
    upstream_report described;
    instant last_report;
    instant last_answer;   // of an order
    bool departed = false; // it has said that it ends and reports no more
    bool refused = false;  // the last connection to it was refused
    instant draining_since;
    http_client http;
    upstream_queue queue;
    std::optional<hold_ledger> holds; // of an upstream that serves granted keys only
    std::size_t granted_shards = 0;   // in the last answer to a report
    std::optional<instant> expecting; // shards on their way here, since
    dependency state;

    bool draining() const
    {
        return departed || described.state == upstream_state::draining;
    }
};

struct agent::work
{
    enum class state
    {
        waiting, // for the shard
        queued,  // for a slot
        running,
    };

    order_id id = 0;
    order o;
    callback done;
    state at = state::waiting;
    std::uint64_t epoch = 0;
    link_ptr backend; // that it goes to
    bool old_setup = false;
    bool counted = false; // in m_backends
    bool begun = false;   // counted by the coordinator
    std::optional<operation_id> operation;
    std::optional<http_client::call_id> call;
    instant arrived;
    request_trail trail;
};

agent::agent(event_loop& loop, coordinator& coord, agent_options opts)
    : m_loop(loop), m_coordinator(&coord), m_options(opts), m_started(boot_now()),
      m_operations({}), m_sampler(sampled_per_second), m_random(std::random_device{}())
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
    if (m_closing)
        return finish(w,
                      order_refused{.why = reason::stopping, .retry_after = wait_retry}),
               id;
    if (w.o.shard)
        ++m_asked[{w.o.service, *w.o.shard}];
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
        finish(w, order_refused{.why = reason::no_owner, .retry_after = wait_retry});
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
                                        .retry_after = wait_retry});
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
        w.old_setup = match && m_routes->is_old(w.o.service, match->key);
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
        return finish(
            w, order_refused{.why = reason::not_reached, .retry_after = wait_retry});
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
        .operation = w.operation ? to_string(*w.operation) : std::string()};
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
            until = std::min(until, m_coordinator->lease_until());
        if (!m_coordinator->may_send({w.o.service, *w.o.shard}, w.epoch, now))
            why = reason::lease_over;
    }
    if (why != reason::none)
    {
        l->queue.leave(w.id, request_end::not_sent, 0us, now);
        finish(w, order_refused{.why = why, .retry_after = wait_retry});
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
    auto const call = l->http.call(upstream_request(w, *l, until - now), until - now,
                                   [this, id, now](http_result r)
                                   { on_upstream(id, now, std::move(r)); });
    if (auto* still = find(id))
        still->call = call;
}

void agent::start_queued(link& l, instant now)
{
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
                                           .retry_after = wait_retry});
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
                                       .retry_after = wait_retry,
                                       .reached_upstream = true});
    case answer_meaning::not_held:
        l.queue.leave(w.id, request_end::not_sent, took, now);
        if (l.holds && w.o.shard)
            l.holds->deny(*w.o.shard);
        return finish(w, order_refused{.why = reason::lease_over,
                                       .retry_after = wait_retry,
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
    auto const owned = m_works.extract(w.id); // keeps `w` until the end
    m_waiting.erase(w.id);
    auto const done = std::move(w.done);
    if (w.counted)
    {
        auto& counts = m_backends[{w.o.service, *w.o.shard}];
        --(w.old_setup ? counts.old_setup : counts.upstream);
    }
    if (w.begun)
        m_coordinator->end({w.o.service, *w.o.shard});
    if (done)
        done(std::move(result));
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
        return;
    }
    if (w->at == work::state::queued)
        w->backend->queue.cancel(id);
    finish(*w, order_refused{.why = reason::deadline});
}

// ---- the upstreams' lives ----

agent::link_ptr agent::make_link(upstream_report const& report) const
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    auto connections = report.connections;
    if (connections == 0 && service != nullptr)
        connections = service->connections;
    if (connections == 0)
        connections = m_options.connections;
    auto const form = m_options.form;
    auto l = link_ptr(new link{
        .described = report,
        .last_report = {},
        .last_answer = {},
        .http = {m_loop,
                 {.peer = {.ip = report.ip, .port = report.port},
                  .max_connections = connections,
                  .belongs =
                      [form](http_request const& request, http_response const& response)
                  {
                      return std::visit([&](auto const& f)
                                        { return f.belongs(request, response); },
                                        form);
                  }}},
        .queue = upstream_queue({.slots = std::min(report.slots, connections)}),
        .holds = {},
        .state = dependency("upstream", report.service + " " + report.life.id)});
    if (report.granted && service != nullptr && service->keyed)
        l->holds.emplace(service->shards, hold_options{});
    return l;
}

bool agent::keyed(std::string const& service) const
{
    auto const* s = m_routes == nullptr ? nullptr : m_routes->service(service);
    return s != nullptr && s->keyed;
}

agent::report_answer agent::on_report(upstream_report const& report, instant now)
{
    auto& l = m_links[report.service];
    if (l != nullptr && report.life.id == l->described.life.id &&
        report.life.started == l->described.life.started)
    {
        bool const late =
            report.sequence != 0 && report.sequence <= l->described.sequence;
        if (late)
            return {.fate = report_fate::late, .grant = {}};
    }
    else if (l != nullptr && report.life.started < l->described.life.started)
        return {.fate = report_fate::outlived, .grant = {}};
    else
    {
        log_event(log_level::info, "upstream-life",
                  {{"service", report.service}, {"life", to_string(report.life)}});
        auto const before = std::exchange(l, make_link(report));
        if (before != nullptr)
            refuse_all(before->queue.clear(), reason::upstream_refused, wait_retry);
    }
    bool const began_to_drain =
        report.state == upstream_state::draining && !l->draining();
    l->described = report;
    l->last_report = now;
    l->refused = false;
    if (began_to_drain)
    {
        l->draining_since = now;
        log_event(log_level::info, "upstream-draining", {{"service", report.service}});
        if (!keyed(report.service))
            refuse_all(l->queue.clear(), reason::not_reached, wait_retry);
    }
    auto grant = renew_holds(*l, report, now);
    on_replica_changed(now); // some shards may be held from now on
    return {.fate = report_fate::taken, .grant = std::move(grant)};
}

// Whether another owner is about to release shards to the upstream. One that takes very
// long, as it is cut off, is not waited for in this way.
bool agent::expects_shards(link& l, std::string const& service, instant now) const
{
    if (m_coordinator->shards().incoming(service) == 0)
    {
        l.expecting.reset();
        return false;
    }
    if (!l.expecting)
        l.expecting = now;
    return now - *l.expecting < longest_expecting;
}

// The shards that requests have asked for lately, or that are in work.
std::set<std::uint32_t> agent::busy_shards(std::string const& service) const
{
    std::set<std::uint32_t> busy;
    shard_id const first{.service = service, .index = 0};
    for (auto it = m_rates.lower_bound(first);
         it != m_rates.end() && it->first.service == service; ++it)
        busy.insert(it->first.index);
    for (auto it = m_asked.lower_bound(first);
         it != m_asked.end() && it->first.service == service; ++it)
        busy.insert(it->first.index);
    for (auto const& entry : m_works)
        if (entry.second->o.service == service && entry.second->o.shard)
            busy.insert(*entry.second->o.shard);
    return busy;
}

std::optional<upstream_grant> agent::renew_holds(link& l, upstream_report const& report,
                                                 instant now)
{
    auto const* service =
        m_routes == nullptr ? nullptr : m_routes->service(report.service);
    if (!report.granted || service == nullptr || !service->keyed)
        return std::nullopt;
    if (!l.holds)
        l.holds.emplace(service->shards, hold_options{});
    auto const owned =
        m_coordinator->servable(report.service, to_string(report.life), now);
    if (!owned)
        return std::nullopt;
    bool const again_soon = expects_shards(l, report.service, now);
    auto const busy =
        again_soon ? busy_shards(report.service) : std::set<std::uint32_t>{};
    std::vector<wanted_shard> wanted;
    std::vector<wanted_shard> leaving;
    for (auto const& s : *owned)
    {
        (s.moving ? leaving : wanted)
            .push_back({.index = s.index,
                        .epoch = s.epoch,
                        .handover = s.handover,
                        .idle = !busy.contains(s.index)});
        if (s.moving)
            m_coordinator->begin_drain({report.service, s.index});
    }
    auto grant = l.holds->on_report(report, wanted, leaving, again_soon,
                                    m_coordinator->lease_until(), now);
    if (grant && std::exchange(l.granted_shards, wanted.size()) != wanted.size())
        log_event(log_level::info, "shards-granted",
                  {{"service", report.service},
                   {"life", to_string(report.life)},
                   {"count", std::to_string(wanted.size())},
                   {"leaving", std::to_string(leaving.size())},
                   {"lease_ms", in_ms(m_coordinator->lease_until() - now)}});
    return grant;
}

void agent::on_departure(std::string const& life_id, instant now)
{
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link || l->described.life.id != life_id)
            continue;
        log_event(log_level::info, "upstream-departs", {{"service", service}});
        if (!l->draining())
            l->draining_since = now;
        l->departed = true;
        if (!keyed(service))
            refuse_all(l->queue.clear(), reason::not_reached, wait_retry);
    }
    tick(now);
}

std::optional<std::vector<target>> agent::targets(instant now)
{
    auto const silence = reports_missed * m_options.report_interval;
    if (m_links.empty() && now - m_started < 2 * silence)
        return std::nullopt;
    std::vector<target> found;
    for (auto const& [service, l] : m_links)
    {
        if (service == old_setup_link)
            continue;
        auto const quiet = now - l->last_report;
        bool const reports = quiet < silence && !l->departed;
        bool const dead = l->refused && quiet > m_options.report_interval * 3 / 2;
        bool const holds = l->holds && now < l->holds->over_at();
        // What may still hold keys stays until they have run out, unless it is dead.
        if ((!reports && !holds) || dead)
            continue;
        found.push_back({.service = service,
                         .slots = l->described.slots,
                         .life = to_string(l->described.life),
                         .draining = l->draining() || !reports});
    }
    return found;
}

std::vector<std::pair<std::string, released_shard>> agent::take_released(instant now)
{
    std::vector<std::pair<std::string, released_shard>> all;
    for (auto const& [service, l] : m_links)
        if (l->holds)
            for (auto& r : l->holds->take_released(now))
                all.emplace_back(service, std::move(r));
    return all;
}

bool agent::releases_by_report(std::string const& service) const
{
    auto const it = m_links.find(service);
    return it != m_links.end() && it->second->holds.has_value();
}

bool agent::upstreams_ended() const
{
    for (auto const& [service, l] : m_links)
        if (service != old_setup_link && !l->draining())
            return false;
    return true;
}

std::optional<upstream_load> agent::load(std::string const& service, instant now) const
{
    auto const it = m_links.find(service);
    if (it == m_links.end())
        return std::nullopt;
    auto const& l = *it->second;
    bool const silent = is_silent(l, now);
    return upstream_load{.slots = l.queue.limit(),
                         .running = l.queue.running(),
                         .waiting = static_cast<std::uint32_t>(l.queue.queued()),
                         .service = l.queue.mean_service(),
                         .accepting =
                             !l.draining() && !silent && !l.refused && !m_closing};
}

bool agent::is_silent(link const& l, instant now) const
{
    return now - l.last_report > reports_missed * m_options.report_interval &&
           now - l.last_answer > answer_proves_life;
}

void agent::begin_closing()
{
    m_closing = true;
    std::vector<order_id> waiting(m_waiting.begin(), m_waiting.end());
    for (auto const& entry : m_links)
        for (auto const id : entry.second->queue.clear())
            waiting.push_back(id);
    refuse_all(waiting, reason::stopping, wait_retry);
}

std::vector<load_report> agent::take_load_reports(instant now)
{
    auto const span = std::chrono::duration<double>(now - m_rates_told).count();
    m_rates_told = now;
    for (auto& entry : m_rates)
        entry.second *= 1 - rate_weight;
    for (auto const& [shard, count] : std::exchange(m_asked, {}))
        m_rates[shard] += rate_weight * count / span;
    std::erase_if(m_rates, [](auto const& entry) { return entry.second < least_rate; });
    std::vector<load_report> reports;
    for (auto const& [service, l] : m_links)
    {
        if (!keyed(service))
            continue;
        load_report report{.service = service, .capacity = 0, .rates = {}};
        auto const service_time =
            std::chrono::duration<double>(l->queue.mean_service()).count();
        if (l->last_answer != instant{})
            report.capacity = l->queue.slots() / service_time;
        for (auto it = m_rates.lower_bound({.service = service, .index = 0});
             it != m_rates.end() && it->first.service == service; ++it)
            report.rates.push_back({.shard = it->first.index, .rate = it->second});
        reports.push_back(std::move(report));
    }
    return reports;
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
    on_replica_changed(now); // the lease may have been renewed
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto* w = find(id); w != nullptr && w->o.deadline <= now)
            finish(*w, order_refused{.why = reason::no_owner, .retry_after = wait_retry});
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
