// Takes callers' requests and brings back the answers: see the header.
#include "process/ingress.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{

constexpr duration longest_deadline = 60s; // of a request that names its own
constexpr duration retry_pause = 20ms;
constexpr offer_options offers{};
// Less time than this does not make another sending worth it.
constexpr duration least_time = 15ms;
// The part of its time that a request waits for an owner before its caller is told to
// come back.
constexpr int waiting_percent = 40;
constexpr duration owner_retry = 300ms;
constexpr double sampled_per_second = 5; // requests as usual that leave log lines
constexpr double class_weight = 0.1;     // of the newest exchange in a class's mean
// When callers of a node that stops may come back: soon if they must go elsewhere, later
// if another process follows at this place.
constexpr duration leaving_retry = 100ms;
constexpr duration restart_retry = 500ms;
// Of the budget of repeats: an upstream that answers with a failure often does so because
// another one is short of room, and a repeat adds to that.
constexpr double kept_from_failures = 0.5;
constexpr duration silent_for = 1s; // a silent peer is avoided
// Beyond its deadline an answer is awaited so long, to say truly whether it ran.
constexpr duration last_word = 60ms;

duration deadline_of(caller_facts const& facts, route_match const& match)
{
    auto const& service = *match.service;
    if (match.route->timeout > 0us)
        return std::min(match.route->timeout, facts.patience.value_or(longest_deadline));
    if (!facts.patience)
        return service.deadline;
    return std::min(*facts.patience, service.keyed ? service.deadline : longest_deadline);
}

// Requests of one route need about the same time.
std::string class_of(route_config const& route)
{
    return route.host + route.prefix;
}

std::size_t size_of(std::vector<http_header> const& headers, std::string const& body)
{
    std::size_t size = body.size();
    for (auto const& h : headers)
        size += h.name.size() + h.value.size();
    return size;
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

struct ingress::place
{
    std::string node;
    std::string endpoint;
    distance away = distance::same_domain;
    std::uint32_t slots = 1;
};

// Invariant: at most one of `local` and `sent_to` is set; each is cleared before the
// request is dispatched again.
struct ingress::flight
{
    flight_id id = 0;
    order o;
    http_reply reply;
    instant arrived;
    duration latency_bound{0}; // of the objective
    std::uint32_t max_attempts = 1;
    attempt_history attempts;
    owner_search search; // of the shard's owner
    std::string sent_to; // an answer is awaited from this node
    std::string endpoint;
    distance away = distance::same_domain; // of the node that it was sent to
    instant sent_at;
    std::uint64_t sending = 0; // of the answer that is awaited
    std::optional<agent::order_id> local;
    std::set<std::string> tried; // nodes without room or that failed it, in this round
    bool last_round = false;     // offers with all the patience there is
    bool refused = false;        // by a node without room
    bool offered_full = false;   // the present offer is to a node that said it is full
    duration retry_after{0};     // the shortest that a node named
    std::optional<instant> waiting_since;
    timer_service::timer_id timer;
    request_trail trail;
};

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
    if (!takes(now + deadline_of(facts, *match), now))
        return refuse_now(service, reason::stopping, stopping_retry());
    auto& f = begin(std::move(request), reply, std::move(facts), *match, now);
    f.trail.add("taken", {{"service", f.o.service},
                          {"class", f.o.request_class},
                          {"shard", f.o.shard ? std::to_string(*f.o.shard) : "-"},
                          {"rank", std::to_string(f.o.rank)},
                          {"repeatable", f.o.repeatable ? "yes" : "no"},
                          {"wait_ms", in_ms(f.o.deadline - now)},
                          {"objective_ms", in_ms(f.latency_bound)},
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
    reply.on_gone([this, id] { on_gone(id); });
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

// ---- sending ----

void ingress::dispatch(flight& f, instant now)
{
    if (f.o.shard)
        dispatch_keyed(f, now);
    else
        dispatch_unkeyed(f, now);
}

void ingress::dispatch_keyed(flight& f, instant now)
{
    auto const& copy = m_coordinator->copy();
    auto const* a = copy.find_assignment({f.o.service, *f.o.shard});
    auto const by_replica =
        a == nullptr ? named_owner{} : named_owner{.owner = a->owner, .epoch = a->epoch};
    auto const asked = f.search.next(by_replica, now);
    auto const* m = asked ? copy.serving(asked->owner) : nullptr;
    if (m == nullptr)
        return wait(f, now);
    f.trail.add("owner", {{"to", m->id.node},
                          {"epoch", std::to_string(asked->epoch)},
                          {"told", *asked == by_replica ? "by-replica" : "by-node"},
                          {"replica", std::to_string(copy.revision())}});
    f.o.epoch = asked->epoch;
    send_to(f, {.node = m->id.node, .endpoint = m->endpoint, .away = distance_to(*m)},
            now);
}

void ingress::dispatch_unkeyed(flight& f, instant now)
{
    refresh_places();
    if (auto const load = m_agent.load(f.o.service, now))
        m_placement.on_load(m_options.self, *load, now);
    auto from = candidates(f);
    if (from.empty() && !f.tried.empty() && !f.last_round)
        from = begin_last_round(f);
    placement_request const request{.exchange_bytes = exchange_bytes(f),
                                    .rank = f.o.rank};
    auto const step_for = [&](placement_choice const& c)
    {
        return next_offer(c,
                          {.last_round = f.last_round,
                           .refused_by = f.tried.size(),
                           .refused = f.refused,
                           .full_pays = m_offers.pays(f.o.request_class, m_random())},
                          f.o.deadline - now, offers);
    };
    auto choice = m_placement.choose(from, request, m_random(), now);
    auto step = choice ? step_for(*choice) : offer_step::ask;
    if (step == offer_step::last_round)
    {
        from = begin_last_round(f);
        choice = m_placement.choose(from, request, m_random(), now);
        step = choice ? step_for(*choice) : offer_step::ask;
    }
    if (choice && step == offer_step::refuse)
        return refuse(f, reason::overloaded, std::max(f.retry_after, choice->wait));
    if (!choice && !f.tried.empty())
        return refuse(f, reason::overloaded, f.retry_after);
    if (!choice)
        return wait(f, now);
    f.offered_full = choice->full;
    bool const others = from.size() > 1;
    f.o.start_until = others && !f.last_round ? now + offers.patience : f.o.deadline;
    f.trail.add("placed", {{"to", choice->node},
                           {"expected_ms", in_ms(choice->expected)},
                           {"of", std::to_string(from.size())},
                           {"had_no_room", std::to_string(f.tried.size())},
                           {"round", f.last_round ? "last" : "first"},
                           {"full", choice->full ? "yes" : "no"},
                           {"patience_ms", in_ms(f.o.start_until - now)},
                           {"load", m_placement.describe(choice->node, now)}});
    if (choice->node == m_options.self)
        return send_to(f, {.node = m_options.self, .endpoint = {}}, now);
    for (auto const& p : m_places[f.o.service])
        if (p.node == choice->node)
            return send_to(f, p, now);
}

std::vector<placement_candidate> ingress::begin_last_round(flight& f)
{
    f.last_round = true;
    f.tried.clear();
    return candidates(f);
}

std::vector<placement_candidate> ingress::candidates(flight const& f) const
{
    std::vector<placement_candidate> found;
    auto const add = [&](std::string const& node, distance away, std::uint32_t slots)
    {
        if (!f.tried.contains(node))
            found.push_back({.node = node, .away = away, .slots = slots});
    };
    if (auto const own = m_agent.load(f.o.service, boot_now()); own && own->accepting)
        add(m_options.self, distance::same_domain, own->slots);
    auto const it = m_places.find(f.o.service);
    if (it != m_places.end())
        for (auto const& p : it->second)
            add(p.node, p.away, p.slots);
    return found;
}

void ingress::refresh_places()
{
    auto const& copy = m_coordinator->copy();
    if (m_places_generation == copy.member_generation())
        return;
    m_places_generation = copy.member_generation();
    m_places.clear();
    std::vector<std::string> nodes{m_options.self};
    std::uint32_t live = 0;
    for (auto const& [id, m] : copy.members())
    {
        if (m.state == member_state::gone)
            continue;
        ++live;
        nodes.push_back(id.node);
        if (id.node == m_options.self || m.draining)
            continue;
        for (auto const& t : m.targets)
            if (!t.draining)
                m_places[t.service].push_back({.node = id.node,
                                               .endpoint = m.endpoint,
                                               .away = distance_to(m),
                                               .slots = t.slots});
    }
    m_placement.keep_only(nodes);
    m_retries.set_nodes(live);
}

distance ingress::distance_to(member_record const& m) const
{
    if (m.region != m_options.region)
        return distance::other_region;
    return m.domain != m_options.domain ? distance::same_region : distance::same_domain;
}

void ingress::send_to(flight& f, place const& where, instant now)
{
    if (where.node == m_options.self)
        return run_here(f);
    auto const stamp = m_table.stamp(where.node, where.endpoint, now);
    if (!stamp)
        return wait(f, now);
    m_waiting.erase(f.id);
    f.sending = m_next_id++;
    wire::Envelope message;
    message.mutable_sender()->set_node(m_options.self);
    auto& out = *message.mutable_forward();
    encode(f.o, out);
    auto const left = [&](instant until)
    {
        return static_cast<std::uint64_t>(std::max(until - now, duration{0}).count());
    };
    out.set_attempt(f.sending);
    out.mutable_token()->set_session(stamp->session);
    out.mutable_token()->set_sent_at(to_micros(stamp->at));
    out.set_budget(left(f.o.deadline));
    out.set_due(left(f.o.due));
    out.set_start_within(left(f.o.start_until));
    if (!m_peers.send(where.endpoint, message))
    {
        f.tried.insert(where.node);
        return dispatch_later(f, now);
    }
    f.sent_to = where.node;
    f.endpoint = where.endpoint;
    f.away = where.away;
    f.sent_at = now;
    f.trail.add("sent", {{"to", f.sent_to},
                         {"sending", std::to_string(f.sending)},
                         {"left_ms", in_ms(f.o.deadline - now)}});
    m_sendings[f.sending] = f.id;
    m_table.await(f.sent_to, f.endpoint, now);
    m_placement.on_sent(f.sent_to);
}

void ingress::run_here(flight& f)
{
    m_waiting.erase(f.id);
    auto const id = f.id;
    m_placement.on_sent(m_options.self);
    f.sent_to.clear();
    f.sending = m_next_id++;
    auto const sending = f.sending;
    auto const order_id =
        m_agent.run(f.o,
                    [this, id, sending](order_result result)
                    {
                        auto* flight = find(id);
                        if (flight == nullptr || flight->sending != sending)
                            return;
                        flight->local.reset();
                        auto const now = boot_now();
                        bool const failed = std::holds_alternative<order_unknown>(result);
                        m_placement.on_done(m_options.self, failed, now);
                        if (failed || std::holds_alternative<order_refused>(result))
                            flight->tried.insert(m_options.self);
                        note_result(*flight, result, m_options.self);
                        on_result(*flight, std::move(result), now);
                    });
    if (auto* still = find(id); still != nullptr && still->sending == sending)
        still->local = order_id;
}

// Until there is somebody to send it to.
void ingress::wait(flight& f, instant now)
{
    if (!takes(f.o.deadline, now))
        return refuse(f, reason::stopping, stopping_retry());
    m_waiting.insert(f.id);
    if (f.waiting_since)
        return;
    f.waiting_since = now;
    f.trail.add("waits", {{"for", f.o.shard ? "owner" : "upstream"},
                          {"replica", std::to_string(m_coordinator->copy().revision())}});
}

// Its caller does better to come back than to wait on: there may be nobody for a while.
void ingress::wait_too_long(flight& f, instant now)
{
    auto const whole = f.o.deadline - f.arrived;
    if (now - *f.waiting_since >= whole * waiting_percent / 100)
        refuse(f, reason::no_owner, owner_retry);
}

void ingress::dispatch_later(flight& f, instant now)
{
    f.sending = 0;
    m_loop.timers().at(now + retry_pause,
                       [this, id = f.id](instant t)
                       {
                           auto* later = find(id);
                           if (later != nullptr && later->sending == 0)
                               dispatch(*later, t);
                       });
}

// ---- results ----

void ingress::end_sending(flight& f, bool failed, instant now)
{
    if (f.sent_to.empty())
        return;
    m_sendings.erase(f.sending);
    m_table.end_await(f.sent_to);
    m_placement.on_done(f.sent_to, failed, now);
    f.sent_to.clear();
}

void ingress::on_reply(wire::Envelope const& message)
{
    auto const& in = message.reply();
    auto const now = boot_now();
    auto const& node = message.sender().node();
    if (in.has_load())
        m_placement.on_load(node, decode(in.load()), now);
    auto const it = m_sendings.find(in.attempt());
    auto* f = it == m_sendings.end() ? nullptr : find(it->second);
    if (f == nullptr || f->sent_to != node)
        return; // late, doubled, or not ours
    note_trip(*f, in, now);
    auto result = decode(in);
    if (auto const* refused = std::get_if<order_refused>(&result))
    {
        if (refused->why == reason::stale)
            m_table.forget_clock(node);
        else
            f->tried.insert(node);
    }
    auto const* answered = std::get_if<order_answered>(&result);
    bool const failed = std::holds_alternative<order_unknown>(result) ||
                        (answered != nullptr && answered->failed);
    if (failed)
        f->tried.insert(node); // a repeat goes elsewhere if it can
    end_sending(*f, failed, now);
    note_result(*f, result, node);
    on_result(*f, std::move(result), now);
}

void ingress::note_result(flight& f, order_result const& result,
                          std::string const& from) const
{
    auto const text = [](reason why)
    {
        return std::string(to_string(why));
    };
    if (auto const* a = std::get_if<order_answered>(&result))
        f.trail.add("reply", {{"from", from},
                              {"outcome", a->failed ? "failed" : "answered"},
                              {"status", std::to_string(a->response.status)}});
    else if (auto const* r = std::get_if<order_refused>(&result))
        f.trail.add("reply", {{"from", from},
                              {"outcome", "refused"},
                              {"reason", text(r->why)},
                              {"by", r->reached_upstream ? "upstream" : "node"},
                              {"retry_after_ms", in_ms(r->retry_after)}});
    else if (auto const* u = std::get_if<order_unknown>(&result))
        f.trail.add("reply",
                    {{"from", from}, {"outcome", "unknown"}, {"reason", text(u->why)}});
    else if (auto const* m = std::get_if<order_moved>(&result))
        f.trail.add("reply", {{"from", from},
                              {"outcome", "moved"},
                              {"owner", m->owner ? m->owner.node : "-"},
                              {"epoch", std::to_string(m->epoch)}});
}

// The time on the way, and that the messages have waited at either node.
void ingress::note_trip(flight const& f, wire::Reply const& reply, instant now)
{
    if (!reply.has_held())
        return; // from an earlier version of the program
    auto const held = duration(static_cast<duration::rep>(reply.held()));
    m_placement.on_trip(f.sent_to, f.away, now - f.sent_at - held, now);
}

void ingress::note_offer(flight& f, order_result const& result)
{
    auto const* refused = std::get_if<order_refused>(&result);
    bool const no_room = refused != nullptr && refused->why == reason::overloaded;
    f.refused = f.refused || no_room;
    if (std::exchange(f.offered_full, false))
        m_offers.note(f.o.request_class, !no_room);
}

void ingress::on_result(flight& f, order_result result, instant now)
{
    note_offer(f, result);
    if (auto* answered = std::get_if<order_answered>(&result))
        on_answered(f, *answered, now);
    else if (auto const* refused = std::get_if<order_refused>(&result))
        on_refused(f, *refused, now);
    else if (auto const* unknown = std::get_if<order_unknown>(&result))
        on_unknown(f, *unknown, now);
    else
        on_moved(f, std::get<order_moved>(result), now);
}

void ingress::on_answered(flight& f, order_answered& result, instant now)
{
    f.attempts.on_arrival();
    if (result.failed && take_repeat(f, kept_from_failures, now))
    {
        f.attempts.on_doubt(reason::answer_lost); // it ran, and its answer is not used
        return dispatch_later(f, now);
    }
    auto response = std::visit([&](auto const& form)
                               { return form.answered(std::move(result.response)); },
                               m_options.form);
    finish(f, std::move(response), outcome_kind::answered, reason::none);
}

void ingress::on_refused(flight& f, order_refused const& result, instant now)
{
    if (result.reached_upstream)
        f.attempts.on_arrival();
    if (f.retry_after == 0us || result.retry_after < f.retry_after)
        f.retry_after = result.retry_after;
    bool const final = result.why == reason::operation_invalid ||
                       result.why == reason::operation_running ||
                       result.why == reason::operations_full ||
                       (f.o.shard && result.why == reason::overloaded);
    if (final || now + least_time >= f.o.deadline)
        return refuse(f, result.why, result.retry_after);
    if (result.reached_upstream && !(f.attempts.arrivals() < f.max_attempts &&
                                     m_retries.try_repeat(f.o.service, now)))
        return refuse(f, result.why, result.retry_after);
    f.search.forget();
    bool const elsewhere = !f.o.shard && result.why != reason::stale;
    if (elsewhere)
        return dispatch(f, now);
    dispatch_later(f, now);
}

void ingress::on_unknown(flight& f, order_unknown const& result, instant now)
{
    f.attempts.on_arrival();
    f.attempts.on_doubt(result.why);
    if (!take_repeat(f, 0, now))
        return give_up(f, result.why);
    f.search.forget();
    dispatch(f, now);
}

// The request did not run where it was sent; goes on to the owner that was named, or
// waits for news.
void ingress::on_moved(flight& f, order_moved const& moved, instant now)
{
    f.search.on_moved({.owner = moved.owner, .epoch = moved.epoch}, now);
    dispatch(f, now);
}

// Whether the request may be sent once more though it may have run. Takes it from the
// budget.
bool ingress::take_repeat(flight& f, double kept_share, instant now)
{
    char const* denied = nullptr;
    if (!f.o.repeatable)
        denied = "not-repeatable";
    else if (f.attempts.arrivals() >= f.max_attempts)
        denied = "attempts";
    else if (now + least_time >= f.o.deadline)
        denied = "time";
    else if (!m_retries.try_repeat(f.o.service, now, kept_share))
        denied = "budget";
    f.trail.add("repeat",
                {{"allowed", denied == nullptr ? "yes" : "no"},
                 {"denied_by", denied == nullptr ? "-" : denied},
                 {"arrivals", std::to_string(f.attempts.arrivals())},
                 {"most", std::to_string(f.max_attempts)},
                 {"budget_left",
                  std::to_string(static_cast<int>(m_retries.left(f.o.service, now)))}});
    if (denied != nullptr)
        return false;
    m_metrics.count_retry(f.o.service);
    return true;
}

// Gives up the attempt at a node that does not answer, if the request may be repeated.
bool ingress::take_back(flight& f, instant now)
{
    f.attempts.on_arrival();
    if (!take_repeat(f, 0, now))
        return false;
    f.attempts.on_doubt(reason::owner_lost);
    end_sending(f, true, now);
    return true;
}

void ingress::on_silent(std::string const& node, instant now)
{
    m_placement.avoid(node, now + silent_for);
    on_lost(node, false, now);
}

void ingress::on_clock(std::string const& node, bool restarted, instant now)
{
    if (restarted)
        on_lost(node, true, now);
    on_replica_changed(now);
}

// The node does not answer what was sent to it, or certainly never will. Requests that
// may be repeated go elsewhere; the others are given up once that is certain.
void ingress::on_lost(std::string const& node, bool certainly, instant now)
{
    log_event(log_level::warning, "dependency-lost",
              {{"kind", "peer"},
               {"peer", node},
               {"why", certainly ? "its process was replaced" : "silent"}});
    std::vector<flight_id> lost;
    for (auto const& [id, f] : m_flights)
        if (f->sent_to == node)
            lost.push_back(id);
    for (auto const id : lost)
    {
        auto* f = find(id);
        if (f == nullptr)
            continue;
        f->trail.add("lost", {{"at", node}, {"certain", certainly ? "yes" : "no"}});
        if (take_back(*f, now))
        {
            f->tried.insert(node);
            dispatch(*f, now);
        }
        else if (certainly)
            give_up(*f, reason::owner_lost);
    }
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

void ingress::note_answer(flight const& f, http_response const& response)
{
    auto& mean = m_exchange_bytes[f.o.request_class];
    auto const bytes =
        static_cast<double>(size_of(f.o.request.headers, f.o.request.body) +
                            size_of(response.headers, response.body));
    mean = mean <= 0 ? bytes : mean + class_weight * (bytes - mean);
}

// What is known at the least is the size of the request itself.
double ingress::exchange_bytes(flight const& f) const
{
    auto const it = m_exchange_bytes.find(f.o.request_class);
    auto const mean = it == m_exchange_bytes.end() ? 0.0 : it->second;
    return std::max(mean,
                    static_cast<double>(size_of(f.o.request.headers, f.o.request.body)));
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
        if (auto* f = find(id))
            dispatch(*f, now);
    auto const still = m_waiting;
    for (auto const id : still)
        if (auto* f = find(id))
            wait_too_long(*f, now);
    for (auto const& node : m_table.tick(now))
        on_silent(node, now);
}

} // namespace buckthornusher
