// Where the ingress sends a request, and for how long it waits for somebody to send it
// to: see the header.
#include "process/ingress_impl.hpp"

#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
constexpr duration retry_pause = 20ms;
// A request that waits is tried again so often without news.
constexpr duration waiting_retry = 100ms;
constexpr offer_options offers{};
// The part of its time that a request waits for an owner before its caller is told to
// come back.
constexpr int waiting_percent = 40;
constexpr double class_weight = 0.1; // of the newest exchange in a class's mean

std::size_t size_of(std::vector<http_header> const& headers, std::string const& body)
{
    std::size_t size = body.size();
    for (auto const& h : headers)
        size += h.name.size() + h.value.size();
    return size;
}

} // namespace

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
    for (;;)
    {
        auto const offer = next_place(f, from, now);
        if (!offer.choice && !f.tried.empty())
            return refuse(f, reason::overloaded, f.retry_after);
        if (!offer.choice)
            return wait(f, now);
        if (offer.step == offer_step::refuse)
            return refuse(f, reason::overloaded,
                          std::max(f.retry_after, offer.choice->wait));
        auto const& node = offer.choice->node;
        auto const where = place_of(f.o.service, node);
        if (node == m_options.self || m_table.stamp(node, where.endpoint, now))
            return make_offer(f, *offer.choice, where, from.size(), now);
        // Its clock is being asked for: another one can take the request meanwhile.
        std::erase_if(from, [&](auto const& c) { return c.node == node; });
        if (from.empty())
            return wait(f, now);
    }
}

// The node to offer the request to, of those given. Begins the last round, with all nodes
// again, if that is the next step.
ingress::placed_offer
ingress::next_place(flight& f, std::vector<placement_candidate>& from, instant now)
{
    placement_request const request{.exchange_bytes = exchange_bytes(f),
                                    .rank = f.o.rank};
    for (;;)
    {
        auto choice = m_placement.choose(from, request, m_random(), now);
        if (!choice)
            return {};
        auto const step =
            next_offer(*choice,
                       {.last_round = f.last_round,
                        .refused_by = f.tried.size(),
                        .refused = f.refused,
                        .full_pays = m_offers.pays(f.o.request_class, m_random())},
                       f.o.deadline - now, offers);
        if (step != offer_step::last_round)
            return {.choice = std::move(choice), .step = step};
        from = begin_last_round(f);
    }
}

ingress::place ingress::place_of(std::string const& service,
                                 std::string const& node) const
{
    auto const it = m_places.find(service);
    if (it != m_places.end())
        for (auto const& p : it->second)
            if (p.node == node)
                return p;
    return {.node = node, .endpoint = {}};
}

void ingress::make_offer(flight& f, placement_choice const& choice, place const& where,
                         std::size_t of, instant now)
{
    f.offered_full = choice.full;
    bool const others = of > 1;
    f.o.start_until = others && !f.last_round ? now + offers.patience : f.o.deadline;
    f.trail.add("placed", {{"to", choice.node},
                           {"expected_ms", in_ms(choice.expected)},
                           {"of", std::to_string(of)},
                           {"had_no_room", std::to_string(f.tried.size())},
                           {"round", f.last_round ? "last" : "first"},
                           {"full", choice.full ? "yes" : "no"},
                           {"patience_ms", in_ms(f.o.start_until - now)},
                           {"load", m_placement.describe(choice.node, now)}});
    send_to(f, where, now);
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
    if (m_places_change_count == copy.member_change_count())
        return;
    m_places_change_count = copy.member_change_count();
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
    f.retry_at = now + waiting_retry;
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

void ingress::end_sending(flight& f, bool failed, instant now)
{
    if (f.sent_to.empty())
        return;
    m_sendings.erase(f.sending);
    m_table.end_await(f.sent_to);
    m_placement.on_done(f.sent_to, failed, now);
    f.sent_to.clear();
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

} // namespace buckthornusher
