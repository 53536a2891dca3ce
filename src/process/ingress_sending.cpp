// Implementation of the ingress: choice of nodes, sending and waiting. See the header.
#include "process/ingress_impl.hpp"

#include "buckthornusher/owner_wait.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/overloaded.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
constexpr duration resend_delay = 20ms;
constexpr double exchange_mean_weight = 0.1; // of the newest exchange in the average

std::size_t size_of(std::vector<http_header> const& headers, std::string const& body)
{
    std::size_t size = body.size();
    for (auto const& h : headers)
        size += h.name.size() + h.value.size();
    return size;
}

bool sends(step_action const& action)
{
    return std::holds_alternative<send_to_node>(action) ||
           std::holds_alternative<run_here>(action);
}

} // namespace

void ingress::dispatch(pending_request& pending, instant now)
{
    renew_regions(pending);
    if (pending.request.shard)
        dispatch_keyed(pending, now);
    else
        dispatch_unkeyed(pending, now);
}

step_request ingress::limits_of(pending_request const& pending, instant now)
{
    step_request request{.regions = pending.request.regions,
                         .deadline = pending.request.deadline,
                         .only_evacuated = only_evacuated(pending.request.service, now),
                         .stopping = {}};
    if (!accepts(pending.request.deadline, now))
        request.stopping = stopping_retry_after();
    return request;
}

void ingress::dispatch_keyed(pending_request& pending, instant now)
{
    auto const& copy = m_coordinator->copy();
    auto const* a =
        copy.find_assignment({pending.request.service, *pending.request.shard});
    auto const by_replica =
        a == nullptr ? named_owner{} : named_owner{.owner = a->owner, .epoch = a->epoch};
    auto const named = pending.search.next(by_replica, now);
    auto const* m = named ? copy.serving(named->owner) : nullptr;
    auto const* next =
        a != nullptr && a->successor ? copy.serving(a->successor) : nullptr;
    std::optional<step_owner> owner;
    if (m != nullptr)
        owner = step_owner{
            .node = m->id.node,
            .region = m->region,
            .here = m->id.node == m_options.self,
            .evacuated = !entry_may_send(m_coordinator->evacuation(m->domain), true, now),
            .successor = {}};
    if (owner && next != nullptr)
        owner->successor = next->region;
    auto const step = next_keyed_step(
        limits_of(pending, now), owner,
        owner ? region_supply{} : known_supply(pending, now), now, steps());
    if (owner && owner->evacuated)
        pending.trace.add("evacuated", {{"owner", m->id.node}, {"domain", m->domain}});
    if (!sends(step.action))
        return carry_out(pending, step.action, now);
    pending.trace.add("owner", {{"to", m->id.node},
                                {"epoch", std::to_string(named->epoch)},
                                {"told", *named == by_replica ? "by-replica" : "by-node"},
                                {"replica", std::to_string(copy.revision())}});
    pending.request.epoch = named->epoch;
    send_to(pending,
            {.node = m->id.node,
             .endpoint = m->endpoint,
             .region = m->region,
             .network_distance = distance_to(*m)},
            now);
}

void ingress::dispatch_unkeyed(pending_request& pending, instant now)
{
    refresh_upstream_nodes();
    auto const& service = pending.request.service;
    auto const& request_class = pending.request.request_class;
    if (auto const load = m_agent.load(service, request_class, now))
        m_placement.on_load(m_options.self, *load, now, request_class);
    auto upstreams = known_upstreams(pending, now);
    placement_request const cost{.exchange_bytes = exchange_bytes(pending),
                                 .rank = pending.request.rank,
                                 .request_class = request_class,
                                 .large_answer = pending.request.large_answer,
                                 .due_in = pending.request.due - now};
    auto const limits = limits_of(pending, now);
    for (;;)
    {
        auto const step =
            next_unkeyed_step(limits, pending.progress, cost, upstreams, m_placement,
                              m_offers, m_random(), now, steps());
        if (step.begins_last_round)
        {
            pending.progress.last_round = true;
            pending.progress.tried.clear();
            for (auto& c : upstreams.candidates)
                c.unreachable = false;
        }
        auto const* send = std::get_if<send_to_node>(&step.action);
        if (send == nullptr ||
            m_table.stamp(send->node, upstream_node_of(service, send->node).endpoint,
                          now))
            return carry_out(pending, step.action, now);
        // The node's clock is not known yet and was requested by stamp(); another node
        // may take the request without that delay.
        for (auto& c : upstreams.candidates)
            c.unreachable = c.unreachable || c.place.node == send->node;
    }
}

// Carries out the step of an unkeyed request, or one that sends nothing.
void ingress::carry_out(pending_request& pending, step_action const& action, instant now)
{
    std::visit(
        overloaded{
            [&](send_to_node const& send)
            { make_offer(pending, send.node, *send.terms, now); },
            [&](run_here const& run)
            { make_offer(pending, m_options.self, *run.terms, now); },
            [&](wait_until const& until) { wait(pending, until.at, now); },
            [&](refuse_with const& refusal)
            {
                if (refusal.reason == outcome_reason::no_region)
                    return refuse_outside(pending, refusal.why, refusal.retry_after, now);
                refuse(pending, refusal.reason, refusal.retry_after);
            },
        },
        action);
}

ingress::upstream_node ingress::upstream_node_of(std::string const& service,
                                                 std::string const& node) const
{
    auto const it = m_upstream_nodes.find(service);
    if (it != m_upstream_nodes.end())
        for (auto const& p : it->second)
            if (p.node == node)
                return p;
    return {.node = node,
            .endpoint = {},
            .region = node == m_options.self ? m_options.region : std::string()};
}

void ingress::make_offer(pending_request& pending, std::string const& node,
                         offer_terms const& terms, instant now)
{
    auto const& choice = terms.choice;
    pending.offered_to_full_node = choice.full;
    pending.request.start_until = terms.start_until;
    pending.trace.add("placed",
                      {{"to", node},
                       {"expected_ms", in_ms(choice.expected)},
                       {"of", std::to_string(terms.candidates)},
                       {"had_no_room", std::to_string(pending.progress.tried.size())},
                       {"round", pending.progress.last_round ? "last" : "first"},
                       {"full", choice.full ? "yes" : "no"},
                       {"patience_ms", in_ms(pending.request.start_until - now)},
                       {"load", m_placement.describe(node, now)}});
    send_to(pending, upstream_node_of(pending.request.service, node), now);
}

// Returns the upstreams of the request's service that can be chosen; next_step.hpp has
// the vetoes against them.
step_upstreams ingress::known_upstreams(pending_request const& pending, instant now)
{
    auto const& service = pending.request.service;
    step_upstreams found;
    auto const contested = m_contested.find(service);
    bool const free = contested != m_contested.end() && !pending.request.regions.bound();
    auto const add = [&](upstream_node const& p, bool here)
    {
        found.candidates.push_back(
            {.place = {.node = p.node,
                       .away = p.network_distance,
                       .slots = p.slots,
                       .silence = m_table.silence(p.node, now),
                       .contested = free && contested->second.contains(p.region)},
             .region = p.region,
             .here = here});
    };
    if (auto const own = m_agent.load(service, "", now); own && own->accepting)
        add({.node = m_options.self,
             .endpoint = {},
             .region = m_options.region,
             .network_distance = distance::same_domain,
             .slots = own->slots},
            true);
    auto const it = m_upstream_nodes.find(service);
    if (it != m_upstream_nodes.end())
        for (auto const& p : it->second)
            add(p, false);
    if (pending.request.regions.bound() && !found.candidates.empty())
        found.known_since = m_known_since.try_emplace(service, now).first->second;
    return found;
}

// Whether the service has upstreams, all of them in evacuated domains.
bool ingress::only_evacuated(std::string const& service, instant now)
{
    if (m_coordinator->copy().evacuated_domains().empty())
        return false;
    refresh_upstream_nodes();
    if (!m_evacuated_services.contains(service) || m_upstream_nodes.contains(service))
        return false;
    auto const own = m_agent.load(service, "", now);
    return !own || !own->accepting;
}

void ingress::refresh_upstream_nodes()
{
    auto const& copy = m_coordinator->copy();
    if (m_upstream_nodes_change_count == copy.member_change_count() &&
        m_evacuation_change_count == copy.evacuation_change_count())
        return;
    m_upstream_nodes_change_count = copy.member_change_count();
    m_evacuation_change_count = copy.evacuation_change_count();
    m_upstream_nodes.clear();
    m_evacuated_services.clear();
    std::vector<std::string> nodes{m_options.self};
    std::uint32_t live = 0;
    for (auto const& [id, m] : copy.members())
    {
        if (m.state == member_state::gone)
            continue;
        ++live;
        nodes.push_back(id.node);
        if (copy.is_evacuated(m.domain))
        {
            for (auto const& t : m.targets)
                m_evacuated_services.insert(t.service);
            continue;
        }
        if (id.node == m_options.self || m.draining)
            continue;
        for (auto const& t : m.targets)
            if (!t.draining)
                m_upstream_nodes[t.service].push_back({.node = id.node,
                                                       .endpoint = m.endpoint,
                                                       .region = m.region,
                                                       .network_distance = distance_to(m),
                                                       .slots = t.slots});
    }
    note_known_services(boot_now());
    m_placement.keep_only(nodes);
    m_retries.set_nodes(live);
}

distance ingress::distance_to(member_record const& m) const
{
    if (m.region != m_options.region)
        return distance::other_region;
    return m.domain != m_options.domain ? distance::same_region : distance::same_domain;
}

void ingress::send_to(pending_request& pending, upstream_node const& target, instant now)
{
    if (!pending.request.regions.allows(target.region))
        return refuse_outside(pending, target.node + " is in " + target.region,
                              m_options.regions.retry_after, now);
    if (target.node == m_options.self)
        return run_locally(pending);
    if (refuse_without_link(pending, now))
        return;
    auto const stamp = m_table.stamp(target.node, target.endpoint, now);
    if (!stamp)
        return carry_out(pending, wait_or_refuse(limits_of(pending, now), now, steps()),
                         now);
    m_waiting.erase(pending.id);
    pending.attempt_id = m_next_id++;
    wire::Envelope message;
    message.mutable_sender()->set_node(m_options.self);
    auto& out = *message.mutable_forward();
    encode(pending.request, out);
    auto const left = [&](instant until)
    {
        return static_cast<std::uint64_t>(std::max(until - now, duration{0}).count());
    };
    out.set_attempt(pending.attempt_id);
    out.mutable_token()->set_session(stamp->session);
    out.mutable_token()->set_sent_at(to_micros(stamp->at));
    out.set_budget(left(pending.request.deadline));
    out.set_due(left(pending.request.due));
    out.set_start_within(left(pending.request.start_until));
    if (!m_peers.send(target.endpoint, message))
    {
        pending.progress.tried.insert(target.node);
        return dispatch_later(pending, now);
    }
    pending.sent_to = target.node;
    pending.endpoint = target.endpoint;
    pending.network_distance = target.network_distance;
    pending.sent_at = now;
    pending.trace.add("sent", {{"to", pending.sent_to},
                               {"sending", std::to_string(pending.attempt_id)},
                               {"left_ms", in_ms(pending.request.deadline - now)}});
    m_attempts[pending.attempt_id] = pending.id;
    if (pending.request.large_answer)
        m_link_intake.begin(pending.attempt_id, exchange_bytes(pending));
    m_table.await(pending.sent_to, pending.endpoint, now);
    m_placement.on_sent(pending.sent_to);
}

// A download that this node's own link can't take in its time is not asked for.
bool ingress::refuse_without_link(pending_request& pending, instant now)
{
    if (!pending.request.large_answer)
        return false;
    auto const until_room = m_link_intake.until_room(
        exchange_bytes(pending), pending.request.due, pending.request.deadline, now);
    if (!until_room)
        return false;
    ++m_link_intake_refusals;
    pending.trace.add("link", {{"verdict", "full-here"},
                               {"expected_ms", in_ms(m_link_intake.expected())},
                               {"until_room_ms", in_ms(*until_room)}});
    refuse(pending, outcome_reason::overloaded, *until_room);
    return true;
}

// Callers of refused downloads come back one after the other, and those of several nodes
// not at the same moments.
duration ingress::spread(pending_request const& pending, duration retry_after,
                         instant now)
{
    if (!pending.request.large_answer || !m_link_intake.active())
        return retry_after;
    constexpr double max_factor = 1.5;
    std::uniform_real_distribution<double> factor(1.0, max_factor);
    auto const at = m_link_intake.book_return(retry_after, exchange_bytes(pending), now);
    return duration(
        static_cast<duration::rep>(static_cast<double>(at.count()) * factor(m_random)));
}

void ingress::run_locally(pending_request& pending)
{
    m_waiting.erase(pending.id);
    auto const id = pending.id;
    m_placement.on_sent(m_options.self);
    pending.sent_to.clear();
    pending.attempt_id = m_next_id++;
    auto const attempt_id = pending.attempt_id;
    auto const request_id =
        m_agent.run(pending.request,
                    [this, id, attempt_id](request_result result)
                    {
                        auto* waiting = find(id);
                        if (waiting == nullptr || waiting->attempt_id != attempt_id)
                            return;
                        waiting->local_request.reset();
                        auto const now = boot_now();
                        bool const failed =
                            std::holds_alternative<request_unknown>(result);
                        m_placement.on_done(m_options.self, failed, now);
                        if (failed || std::holds_alternative<request_refused>(result))
                            waiting->progress.tried.insert(m_options.self);
                        trace_result(*waiting, result, m_options.self);
                        on_result(*waiting, std::move(result), now);
                    });
    if (auto* still = find(id); still != nullptr && still->attempt_id == attempt_id)
        still->local_request = request_id;
}

// Queues the request until an owner, an upstream or a peer's clock is known.
void ingress::wait(pending_request& pending, instant until, instant now)
{
    m_waiting.insert(pending.id);
    pending.retry_at = until;
    if (pending.waiting_since)
        return;
    pending.waiting_since = now;
    pending.trace.add("waits",
                      {{"for", pending.request.shard ? "owner" : "upstream"},
                       {"replica", std::to_string(m_coordinator->copy().revision())}});
}

// No node may be available for a while, and the caller can retry later.
void ingress::refuse_after_long_wait(pending_request& pending, instant now)
{
    if (has_waited_long_for_owner(*pending.waiting_since, pending.arrived,
                                  pending.request.deadline, now))
        refuse(pending, outcome_reason::no_owner, no_owner_retry_after);
}

void ingress::dispatch_later(pending_request& pending, instant now)
{
    pending.attempt_id = 0;
    m_loop.timers().at(now + resend_delay,
                       [this, id = pending.id](instant t)
                       {
                           auto* later = find(id);
                           if (later != nullptr && later->attempt_id == 0)
                               dispatch(*later, t);
                       });
}

void ingress::end_attempt(pending_request& pending, bool failed, instant now)
{
    if (pending.sent_to.empty())
        return;
    m_attempts.erase(pending.attempt_id);
    m_link_intake.end(pending.attempt_id);
    m_table.end_await(pending.sent_to);
    m_placement.on_done(pending.sent_to, failed, now);
    pending.sent_to.clear();
}

void ingress::record_exchange_size(pending_request const& pending,
                                   http_response const& response)
{
    auto& mean = m_exchange_bytes[pending.request.request_class];
    auto const bytes = static_cast<double>(
        size_of(pending.request.request.headers, pending.request.request.body) +
        size_of(response.headers, response.body));
    mean = mean <= 0 ? bytes : mean + exchange_mean_weight * (bytes - mean);
}

// The expected size of the exchange: the class's average, but at least the request's own
// size.
double ingress::exchange_bytes(pending_request const& pending) const
{
    auto const it = m_exchange_bytes.find(pending.request.request_class);
    auto const mean = it == m_exchange_bytes.end() ? 0.0 : it->second;
    return std::max(mean, static_cast<double>(size_of(pending.request.request.headers,
                                                      pending.request.request.body)));
}

} // namespace buckthornusher
