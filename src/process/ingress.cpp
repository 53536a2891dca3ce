// Takes callers' requests and brings back the answers: see the header.
#include "process/ingress.hpp"

#include "connection/wire.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

#include <charconv>

namespace buckthornusher
{

namespace
{

constexpr std::uint32_t most_hops = 4;
constexpr duration clock_patience = 500ms; // before a peer's clock is asked for again
constexpr duration owner_retry = 200ms;
constexpr duration longest_deadline = 60s;
constexpr duration retry_pause = 20ms;

duration deadline_of(http_request const& request, service_config const& service)
{
    auto const text = find_header(request.headers, "buckthornusher-deadline-ms");
    std::int64_t ms = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (text.empty() || error != std::errc{} || ms <= 0)
        return service.deadline;
    auto const longest = service.keyed ? service.deadline : duration(longest_deadline);
    return std::min<duration>(longest, std::chrono::milliseconds(ms));
}

std::string problem(reason why, bool ran)
{
    return std::string(R"({"type":"about:blank","title":")") +
           std::string(to_string(why)) + R"(","outcome":")" +
           (ran ? "unknown" : "refused") + R"(","ran":)" +
           (ran ? "\"unknown\"" : "false") + "}\n";
}

http_response problem_response(reason why, bool ran, duration retry_after)
{
    http_response response{.status = http_status(why, ran)};
    response.headers.push_back({"content-type", "application/problem+json"});
    response.headers.push_back({"buckthornusher-outcome", ran ? "unknown" : "refused"});
    response.headers.push_back({"buckthornusher-reason", std::string(to_string(why))});
    if (retry_after > 0us)
    {
        auto const ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
        response.headers.push_back({"retry-after", std::to_string((ms + 999) / 1'000)});
        response.headers.push_back({"buckthornusher-retry-after-ms", std::to_string(ms)});
    }
    response.body = problem(why, ran);
    return response;
}

} // namespace

// Invariant: at most one of `local` and `sent_to` is set; each is cleared before the
// request is dispatched again.
struct ingress::flight
{
    flight_id id = 0;
    order o;
    http_reply reply;
    instant arrived;
    duration latency_bound{0}; // of the service's objective
    std::uint32_t hops = 0;
    member_id hint;    // where a node said that the owner is
    member_id sent_to; // an answer is awaited from it
    std::optional<agent::order_id> local;
    timer_service::timer_id timer;
};

ingress::ingress(event_loop& loop, coordinator& coord, agent& local, peer_socket& peers,
                 metrics& counts)
    : m_loop(loop), m_coordinator(&coord), m_agent(local), m_peers(peers),
      m_metrics(counts), m_clocks({}), m_retries({}), m_random(std::random_device{}())
{
}

ingress::~ingress() = default;

void ingress::on_request(http_request request, http_reply reply)
{
    auto const now = boot_now();
    auto const refuse_early = [&](std::string const& service, reason why)
    {
        m_metrics.count_outcome(service, outcome_kind::refused, why, 0us);
        reply.send(problem_response(why, false, owner_retry));
    };
    if (m_routes == nullptr)
        return refuse_early("-", reason::no_owner);
    auto const match = m_routes->find(request);
    if (!match)
        return refuse_early("-", reason::no_route);
    auto const& service = *match->service;
    if (service.keyed && match->key.empty())
        return refuse_early(service.name, reason::no_key);

    auto const id = m_next_id++;
    auto& f = *(m_flights[id] = std::unique_ptr<flight>(new flight{.reply = reply}));
    f.id = id;
    f.arrived = now;
    f.latency_bound = service.latency;
    f.o.service = service.name;
    if (service.keyed)
        f.o.shard = shard_of_key(match->key, service.shards);
    f.o.operation = find_header(request.headers, "buckthornusher-operation");
    f.o.deadline = now + deadline_of(request, service);
    std::erase_if(request.headers, [](http_header const& h)
                  { return h.name.starts_with("buckthornusher-"); });
    f.o.request = std::move(request);
    f.timer = m_loop.timers().at(f.o.deadline, [this, id](instant) { on_deadline(id); });
    reply.on_gone(
        [this, id]
        {
            auto const it = m_flights.find(id);
            if (it == m_flights.end())
                return;
            auto const gone = std::move(it->second);
            m_flights.erase(it);
            m_waiting.erase(id);
            m_loop.timers().cancel(gone->timer);
            if (gone->local)
                m_agent.cancel(*gone->local);
            auto const* m = m_coordinator->copy().member(gone->sent_to);
            if (m == nullptr)
                return;
            wire::Envelope message;
            encode(m_coordinator->self(), *message.mutable_sender());
            message.mutable_cancel()->set_attempt(id);
            m_peers.send(m->endpoint, message);
        });
    dispatch(f, now);
}

member_id ingress::choose_target(std::string const& service) const
{
    auto const& copy = m_coordinator->copy();
    auto const* self = copy.member(m_coordinator->self());
    std::vector<member_id> near;
    std::vector<member_id> all;
    for (auto const& [id, m] : copy.members())
    {
        if (m.state != member_state::live || m.draining ||
            std::none_of(m.targets.begin(), m.targets.end(),
                         [&](target const& t) { return t.service == service; }))
            continue;
        all.push_back(id);
        if (self != nullptr && m.region == self->region)
            near.push_back(id);
    }
    auto const& candidates = near.empty() ? all : near;
    if (candidates.empty())
        return {};
    return candidates[m_random() % candidates.size()];
}

void ingress::dispatch(flight& f, instant now)
{
    f.sent_to = {};
    f.local.reset();
    member_id owner = f.hint;
    if (!owner && f.o.shard)
    {
        auto const* a = m_coordinator->copy().find_assignment({f.o.service, *f.o.shard});
        if (a != nullptr)
            owner = a->owner;
    }
    if (!owner && !f.o.shard)
        owner = choose_target(f.o.service);
    if (!owner)
        return wait_for_owner(f);
    m_waiting.erase(f.id);
    if (owner == m_coordinator->self())
        return run_here(f);
    forward(f, owner, now);
}

void ingress::wait_for_owner(flight& f)
{
    m_waiting.insert(f.id);
}

void ingress::run_here(flight& f)
{
    auto const id = f.id;
    auto const order_id = m_agent.run(f.o, [this, id](order_result result)
                                      { on_result(id, std::move(result)); });
    if (auto const it = m_flights.find(id); it != m_flights.end() && !it->second->sent_to)
        it->second->local = order_id;
}

// Makes sure that the member's clock is known. False if it was only asked for.
bool ingress::ask_clock(member_id const& member, std::string const& endpoint, instant now)
{
    if (m_clocks.wants_reading(member, now))
    {
        auto& asked = m_asked_clocks[member];
        if (now - asked > clock_patience)
        {
            asked = now;
            wire::Envelope hello;
            encode(m_coordinator->self(), *hello.mutable_sender());
            hello.mutable_hello();
            m_peers.send(endpoint, hello);
        }
    }
    return m_clocks.stamp(member, now).has_value();
}

void ingress::forward(flight& f, member_id const& owner, instant now)
{
    auto const* m = m_coordinator->copy().member(owner);
    if (m == nullptr || m->state == member_state::gone)
    {
        f.hint = {};
        return wait_for_owner(f);
    }
    if (!ask_clock(owner, m->endpoint, now))
        return wait_for_owner(f);
    wire::Envelope message;
    encode(m_coordinator->self(), *message.mutable_sender());
    auto& out = *message.mutable_forward();
    encode(f.o, out);
    out.set_attempt(f.id);
    out.set_hops(f.hops);
    out.mutable_token()->set_session(owner.incarnation);
    out.mutable_token()->set_sent_at(to_micros(*m_clocks.stamp(owner, now)));
    out.set_budget(
        static_cast<std::uint64_t>(std::max(f.o.deadline - now, duration{0}).count()));
    if (m_peers.send(m->endpoint, message))
        f.sent_to = owner;
    else if (!try_again(f, reason::not_reached))
        refuse(f, reason::not_reached, owner_retry);
}

void ingress::on_result(flight_id id, order_result result)
{
    auto const it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    auto& f = *it->second;
    f.local.reset();
    f.sent_to = {};
    if (auto* answered = std::get_if<order_answered>(&result))
    {
        answered->response.headers.push_back({"buckthornusher-outcome", "answered"});
        return finish(f, std::move(answered->response), outcome_kind::answered,
                      reason::none);
    }
    if (auto const* refused = std::get_if<order_refused>(&result))
    {
        if (!try_again(f, refused->why))
            refuse(f, refused->why, refused->retry_after);
        return;
    }
    if (auto const* unknown = std::get_if<order_unknown>(&result))
    {
        if (!idempotent(f.o.request) || !try_again(f, unknown->why))
            give_up(f, unknown->why);
        return;
    }
    follow(f, std::get<order_moved>(result));
}

// The request did not run where it was sent; goes on to the owner that was named.
void ingress::follow(flight& f, order_moved const& moved)
{
    if (++f.hops > most_hops)
        return refuse(f, reason::too_many_hops, owner_retry);
    f.hint = moved.owner;
    if (!moved.owner)
        return wait_for_owner(f);
    dispatch(f, boot_now());
}

// Repeats an attempt that did not run, or a read, when a repeat may do better and the
// budget allows it.
bool ingress::try_again(flight& f, reason why)
{
    bool const passing = why == reason::stale || why == reason::lease_over ||
                         why == reason::upstream_refused || why == reason::not_reached ||
                         why == reason::answer_lost;
    auto const now = boot_now();
    if (!passing || now + retry_pause >= f.o.deadline || !m_retries.try_retry())
        return false;
    m_metrics.count_retry(f.o.service);
    f.hint = {};
    m_loop.timers().at(now + retry_pause,
                       [this, id = f.id](instant t)
                       {
                           if (auto const it = m_flights.find(id); it != m_flights.end())
                               dispatch(*it->second, t);
                       });
    return true;
}

void ingress::refuse(flight& f, reason why, duration retry_after)
{
    finish(f, problem_response(why, false, retry_after), outcome_kind::refused, why);
}

void ingress::give_up(flight& f, reason why)
{
    finish(f, problem_response(why, true, 0us), outcome_kind::unknown, why);
}

void ingress::finish(flight& f, http_response response, outcome_kind kind, reason why)
{
    auto const now = boot_now();
    m_metrics.count_outcome(f.o.service, kind, why, now - f.arrived);
    m_burn.count(f.o.service, kind == outcome_kind::answered,
                 now - f.arrived > f.latency_bound, now);
    m_retries.on_first_attempt();
    m_loop.timers().cancel(f.timer);
    if (m_stopping)
        response.headers.push_back({"connection", "close"});
    f.reply.send(std::move(response));
    m_waiting.erase(f.id);
    m_flights.erase(f.id);
}

void ingress::on_deadline(flight_id id)
{
    auto const it = m_flights.find(id);
    if (it == m_flights.end())
        return;
    auto& f = *it->second;
    if (f.sent_to)
        return give_up(f, reason::owner_lost);
    if (f.local)
    {
        // The agent answers by the same deadline and knows whether the order ran.
        f.timer = m_loop.timers().at(boot_now() + 50ms,
                                     [this, id](instant)
                                     {
                                         auto const late = m_flights.find(id);
                                         if (late != m_flights.end())
                                             give_up(*late->second, reason::answer_lost);
                                     });
        return;
    }
    refuse(f, reason::no_owner, owner_retry);
}

void ingress::on_forward(peer_route const& route, wire::Envelope const& message)
{
    auto const& in = message.forward();
    auto const attempt = in.attempt();
    auto const reply = [this, route, attempt](order_result const& result)
    {
        m_remote_orders.erase({route.identity, attempt});
        wire::Envelope out;
        encode(m_coordinator->self(), *out.mutable_sender());
        auto& w = *out.mutable_reply();
        w.set_attempt(attempt);
        encode(result, w);
        m_peers.reply(route, out);
    };
    auto const now = boot_now();
    auto o = decode(in);
    o.deadline = from_micros(in.token().sent_at() + in.budget());
    if (in.token().session() != m_coordinator->self().incarnation || o.deadline <= now)
        return reply(order_refused{.why = reason::stale, .retry_after = 0us});
    m_remote_orders[{route.identity, attempt}] = 0;
    auto const id = m_agent.run(std::move(o), reply);
    if (auto const it = m_remote_orders.find({route.identity, attempt});
        it != m_remote_orders.end())
        it->second = id;
}

void ingress::on_reply(wire::Envelope const& message)
{
    auto const& in = message.reply();
    auto const it = m_flights.find(in.attempt());
    if (it == m_flights.end() || it->second->sent_to != decode(message.sender()))
        return; // late, doubled, or not ours
    auto const result = decode(in);
    if (auto const* refused = std::get_if<order_refused>(&result);
        refused != nullptr && refused->why == reason::stale)
        m_clocks.forget(it->second->sent_to);
    on_result(in.attempt(), result);
}

void ingress::on_hello(peer_route const& route)
{
    wire::Envelope out;
    encode(m_coordinator->self(), *out.mutable_sender());
    out.mutable_hello_ack()->set_now(to_micros(boot_now()));
    m_peers.reply(route, out);
}

void ingress::on_hello_ack(wire::Envelope const& message)
{
    auto const from = decode(message.sender());
    auto const now = boot_now();
    auto const theirs = from_micros(message.hello_ack().now());
    m_clocks.on_reading(from, theirs, now);
    m_asked_clocks.erase(from);
    on_replica_changed(now);
}

void ingress::on_cancel(peer_route const& route, wire::Envelope const& message)
{
    auto const it = m_remote_orders.find({route.identity, message.cancel().attempt()});
    if (it != m_remote_orders.end())
        m_agent.cancel(it->second);
}

// Requests that wait may have an owner now; reads that were sent to a lost owner go to
// the next one, within the budget of retries.
void ingress::on_replica_changed(instant now)
{
    std::vector<flight_id> ready(m_waiting.begin(), m_waiting.end());
    for (auto const& [id, f] : m_flights)
    {
        if (!f->sent_to || !idempotent(f->o.request))
            continue;
        auto const* m = m_coordinator->copy().member(f->sent_to);
        if (m != nullptr && m->state != member_state::gone)
            continue;
        if (!m_retries.try_retry())
            break;
        m_metrics.count_retry(f->o.service);
        f->hint = {};
        ready.push_back(id);
    }
    for (auto const id : ready)
        if (auto const it = m_flights.find(id); it != m_flights.end())
            dispatch(*it->second, now);
}

void ingress::tick(instant now)
{
    auto const waiting = m_waiting;
    for (auto const id : waiting)
        if (auto const it = m_flights.find(id); it != m_flights.end())
            dispatch(*it->second, now);
}

} // namespace buckthornusher
