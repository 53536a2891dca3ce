// Takes callers' requests and brings back the answers: see the header.
#include "process/ingress_impl.hpp"

#include "buckthornusher/intake.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

constexpr duration longest_deadline = 60s; // of a request that names its own
constexpr double sampled_per_second = 5;   // requests as usual that leave log lines
// When callers of a node that stops may come back: soon if they must go elsewhere, later
// if another process follows at this place.
constexpr duration leaving_retry = 100ms;
constexpr duration restart_retry = 500ms;
// Beyond its deadline an answer is awaited so long, to say truly whether it ran.
constexpr duration last_word = 60ms;
constexpr intake_options intake{};

duration deadline_of(caller_facts const& facts, route_match const& match)
{
    auto const& service = *match.service;
    if (match.route->timeout > 0us)
        return std::min(match.route->timeout, facts.timeout.value_or(longest_deadline));
    if (!facts.timeout)
        return service.deadline;
    return std::min(*facts.timeout, service.keyed ? service.deadline : longest_deadline);
}

// Requests of one route need about the same time.
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

} // namespace

ingress::ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
                 peer_table& table, metrics& counts, ingress_options opts)
    : m_loop(loop), m_coordinator(&coord), m_agent(local), m_peers(peers), m_table(table),
      m_metrics(counts), m_options(std::move(opts)), m_sampler(sampled_per_second),
      m_placement({}), m_offers({}), m_retries(m_options.retries),
      m_random(std::random_device{}())
{
}

ingress::~ingress() = default;

ingress::flight* ingress::find(flight_id id)
{
    auto const it = m_flights.find(id);
    return it == m_flights.end() ? nullptr : it->second.get();
}

// ---- arrival ----

void ingress::refuse_early(http_request const& request, http_reply const& reply,
                           std::string const& service, reason why, duration after,
                           instant now)
{
    auto const facts =
        std::visit([&](auto const& form) { return form.read(request); }, m_options.form);
    request_trail trail;
    trail.add("refused", {{"service", service},
                          {"reason", std::string(to_string(why))},
                          {"host", host_of(request)},
                          {"path", std::string(request.path())},
                          {"config", std::to_string(m_config_number)}});
    trail.end(facts.id, to_string(why), m_sampler, now);
    m_metrics.count_outcome(service, outcome_kind::refused, why, 0us);
    reply.send(refusal_response({.why = why, .retry_after = after}));
}

// What a caller is told who gets no answer of an upstream.
http_response ingress::refusal_response(refusal const& r) const
{
    return std::visit([&](auto const& form) { return form.refused(r); }, m_options.form);
}

void ingress::on_request(http_request request, http_reply reply)
{
    auto const now = boot_now();
    auto const refuse_now = [&](std::string const& service, reason why, duration after)
    {
        refuse_early(request, reply, service, why, after, now);
    };
    if (m_routes == nullptr)
        return refuse_now("-", reason::no_configuration, owner_retry);
    auto const match = m_routes->find(request, m_random());
    if (!match)
        return refuse_now("-", reason::no_route, 0us);
    auto const& service = match->service->name;
    if (match->service->keyed && !shard_of(*match->service, match->key))
        return refuse_now(service, reason::no_key, 0us);
    auto facts =
        std::visit([&](auto const& form) { return form.read(request); }, m_options.form);
    auto const unread = m_loop.unread_for(now);
    auto const patience = deadline_of(facts, *match);
    if (!takes(now + patience, now))
        return refuse_now(service, reason::stopping, stopping_retry());
    if (auto const after = refused_for(
            {.unread = unread, .patience = patience, .rank = match->route->rank}, intake))
        return refuse_now(service, reason::behind, *after);
    auto& f = begin(std::move(request), reply, std::move(facts), *match, now);
    f.trail.add("taken", {{"service", f.o.service},
                          {"class", f.o.request_class},
                          {"shard", f.o.shard ? std::to_string(*f.o.shard) : "-"},
                          {"rank", std::to_string(f.o.rank)},
                          {"repeatable", f.o.repeatable ? "yes" : "no"},
                          {"wait_ms", in_ms(f.o.deadline - now)},
                          {"objective_ms", in_ms(f.latency_bound)},
                          {"unread_ms", in_ms(unread)},
                          {"config", std::to_string(m_config_number)}});
    m_retries.on_request(f.o.service, now);
    dispatch(f, now);
}

ingress::flight& ingress::begin(http_request request, http_reply const& reply,
                                caller_facts facts, route_match const& match, instant now)
{
    auto const id = m_next_id++;
    auto& f = *(m_flights[id] = std::unique_ptr<flight>(new flight{.reply = reply}));
    auto const& service = *match.service;
    auto const& route = *match.route;
    f.id = id;
    f.arrived = now;
    f.latency_bound = route.latency > 0us ? route.latency : service.latency;
    f.max_attempts = route.max_attempts;
    auto& o = f.o;
    o.service = service.name;
    if (service.keyed)
        o.shard = shard_of(service, match.key);
    o.id = std::move(facts.id);
    o.operation = std::move(facts.operation);
    o.origin = m_options.origin;
    o.request_class = class_of(route);
    o.rank = route.rank;
    o.repeatable = repeatable(route, request);
    o.deadline = now + deadline_of(facts, match);
    o.due = std::min(o.deadline, now + f.latency_bound);
    o.start_until = o.deadline;
    std::visit([&](auto const& form) { form.strip(request); }, m_options.form);
    o.request = std::move(request);
    f.timer = m_loop.timers().at(o.deadline, [this, id](instant) { on_deadline(id); });
    reply.on_disconnect([this, id] { on_gone(id); });
    return f;
}

void ingress::on_gone(flight_id id)
{
    auto* f = find(id);
    if (f == nullptr)
        return;
    m_metrics.count_outcome(f->o.service, outcome_kind::left, reason::none, 0us);
    f->trail.add("left", {{"took_ms", in_ms(boot_now() - f->arrived)},
                          {"at", f->local ? "here" : f->sent_to}});
    f->trail.end(f->o.id, "left", m_sampler, boot_now());
    m_loop.timers().cancel(f->timer);
    cancel_sending(*f);
    end_sending(*f, false, boot_now());
    m_waiting.erase(id);
    m_flights.erase(id);
}

// Nobody waits for the answer any more.
void ingress::cancel_sending(flight const& f)
{
    if (f.local)
        m_agent.cancel(*f.local);
    if (f.sent_to.empty())
        return;
    wire::Envelope message;
    message.mutable_sender()->set_node(m_options.self);
    message.mutable_cancel()->set_attempt(f.sending);
    m_peers.send(f.endpoint, message);
}
// ---- ends ----

// After an attempt that may have run the caller learns of the doubt instead.
void ingress::refuse(flight& f, reason why, duration retry_after)
{
    if (auto const doubt = f.attempts.doubt())
        return give_up(f, *doubt);
    finish(f, refusal_response({.why = why, .retry_after = retry_after}),
           outcome_kind::refused, why);
}

void ingress::give_up(flight& f, reason why)
{
    finish(f, refusal_response({.why = why, .may_have_run = true}), outcome_kind::unknown,
           why);
}

void ingress::finish(flight& f, http_response response, outcome_kind kind, reason why)
{
    auto const now = boot_now();
    m_metrics.count_outcome(f.o.service, kind, why, now - f.arrived);
    if (kind == outcome_kind::answered)
        note_answer(f, response);
    bool const late = now - f.arrived > f.latency_bound;
    m_burn.count(f.o.service, kind == outcome_kind::answered, late, now);
    f.trail.add("ended", {{"outcome", to_string(kind)},
                          {"reason", std::string(to_string(why))},
                          {"status", std::to_string(response.status)},
                          {"took_ms", in_ms(now - f.arrived)},
                          {"late", late ? "yes" : "no"},
                          {"arrivals", std::to_string(f.attempts.arrivals())}});
    constexpr int first_failure = 500;
    auto const how = kind != outcome_kind::answered     ? to_string(why)
                     : response.status >= first_failure ? "failed"
                     : late                             ? "late"
                     : f.attempts.arrivals() > 1        ? "repeated"
                                                        : usual_end;
    f.trail.end(f.o.id, how, m_sampler, now);
    m_loop.timers().cancel(f.timer);
    end_sending(f, kind != outcome_kind::answered, now);
    m_waiting.erase(f.id);
    auto const owned = m_flights.extract(f.id);
    f.reply.send(std::move(response));
}

void ingress::on_deadline(flight_id id)
{
    auto* f = find(id);
    if (f == nullptr)
        return;
    if (f->sent_to.empty() && !f->local)
        return refuse(*f, reason::no_owner, owner_retry);
    // Who has it answers by the same deadline, and knows whether it ran.
    f->timer = m_loop.timers().at(
        boot_now() + last_word,
        [this, id](instant)
        {
            if (auto* late = find(id))
                give_up(*late, late->local ? reason::answer_lost : reason::owner_lost);
        });
}

bool ingress::takes(instant deadline, instant now) const
{
    return !m_finished && (!m_stop || m_stop->takes(deadline, now));
}

duration ingress::stopping_retry() const
{
    return m_stop && m_stop->leaves() ? leaving_retry : restart_retry;
}

void ingress::finish_all()
{
    m_finished = true;
    std::vector<flight_id> all;
    for (auto const& entry : m_flights)
        all.push_back(entry.first);
    for (auto const id : all)
    {
        auto* f = find(id);
        if (f == nullptr)
            continue;
        bool const unsent =
            f->sent_to.empty() && (!f->local || m_agent.withdraw(*f->local));
        if (unsent)
        {
            refuse(*f, reason::stopping, stopping_retry());
            continue;
        }
        cancel_sending(*f);
        give_up(*f, reason::stopping);
    }
}

// Requests that wait may have somebody now; reads that were sent to a lost owner go to
// the next one, within the budget of repeats.
void ingress::on_replica_changed(instant now)
{
    std::vector<flight_id> ready(m_waiting.begin(), m_waiting.end());
    for (auto const& [id, f] : m_flights)
    {
        if (f->sent_to.empty() || !f->o.shard)
            continue;
        auto const* m = m_coordinator->copy().node(f->sent_to);
        if (m != nullptr && m->state != member_state::gone)
            continue;
        if (!take_back(*f, now))
            continue;
        f->search.forget();
        ready.push_back(id);
    }
    for (auto const id : ready)
        if (auto* f = find(id))
            dispatch(*f, now);
}

void ingress::tick(instant now)
{
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto* f = find(id); f != nullptr && now >= f->retry_at)
            dispatch(*f, now);
    auto const still = m_waiting;
    for (auto const id : still)
        if (auto* f = find(id))
            wait_too_long(*f, now);
    for (auto const& node : m_table.tick(now))
        on_silent(node, now);
}

} // namespace buckthornusher
