// Implementation of the ingress: choice of nodes, sending and waiting. See the header.
#include "process/ingress_impl.hpp"

#include "buckthornusher/owner_wait.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
constexpr duration resend_delay = 20ms;
// Interval at which a waiting request is dispatched again if the replica does not change.
constexpr duration waiting_retry_interval = 100ms;
constexpr offer_options offers{};
constexpr double exchange_mean_weight = 0.1; // of the newest exchange in the average

std::size_t size_of(std::vector<http_header> const& headers, std::string const& body)
{
    std::size_t size = body.size();
    for (auto const& h : headers)
        size += h.name.size() + h.value.size();
    return size;
}

} // namespace

void ingress::dispatch(pending_request& pending, instant now)
{
    if (pending.request.shard)
        dispatch_keyed(pending, now);
    else
        dispatch_unkeyed(pending, now);
}

void ingress::dispatch_keyed(pending_request& pending, instant now)
{
    auto const& copy = m_coordinator->copy();
    auto const* a =
        copy.find_assignment({pending.request.service, *pending.request.shard});
    auto const by_replica =
        a == nullptr ? named_owner{} : named_owner{.owner = a->owner, .epoch = a->epoch};
    auto const target_owner = pending.search.next(by_replica, now);
    auto const* m = target_owner ? copy.serving(target_owner->owner) : nullptr;
    if (m == nullptr)
        return wait(pending, now);
    if (!entry_may_send(m_coordinator->evacuation(m->domain), true, now))
    {
        // The shard moves, unless there is nowhere to go.
        pending.trace.add("evacuated", {{"owner", m->id.node}, {"domain", m->domain}});
        if (only_evacuated(pending.request.service, now))
            return refuse(pending, outcome_reason::no_owner, no_owner_retry_after);
        return wait(pending, now);
    }
    pending.trace.add("owner",
                      {{"to", m->id.node},
                       {"epoch", std::to_string(target_owner->epoch)},
                       {"told", *target_owner == by_replica ? "by-replica" : "by-node"},
                       {"replica", std::to_string(copy.revision())}});
    pending.request.epoch = target_owner->epoch;
    send_to(pending,
            {.node = m->id.node,
             .endpoint = m->endpoint,
             .network_distance = distance_to(*m)},
            now);
}

void ingress::dispatch_unkeyed(pending_request& pending, instant now)
{
    refresh_upstream_nodes();
    auto const& request_class = pending.request.request_class;
    if (auto const load = m_agent.load(pending.request.service, request_class, now))
        m_placement.on_load(m_options.self, *load, now, request_class);
    auto candidate_nodes = candidates(pending);
    if (candidate_nodes.empty() && !pending.tried.empty() && !pending.last_round)
        candidate_nodes = begin_last_round(pending);
    for (;;)
    {
        auto const offer = choose_node(pending, candidate_nodes, now);
        if (!offer.choice && !pending.tried.empty())
            return refuse(pending, outcome_reason::overloaded, pending.retry_after);
        if (!offer.choice && only_evacuated(pending.request.service, now))
            return refuse(pending, outcome_reason::no_owner, no_owner_retry_after);
        if (!offer.choice)
            return wait(pending, now);
        if (offer.step == offer_step::refuse)
            return refuse(pending, outcome_reason::overloaded,
                          std::max(pending.retry_after, offer.choice->wait));
        auto const& node = offer.choice->node;
        auto const target = upstream_node_of(pending.request.service, node);
        if (node == m_options.self || m_table.stamp(node, target.endpoint, now))
            return make_offer(pending, *offer.choice, target, candidate_nodes.size(),
                              now);
        // The node's clock is not known yet and was requested by stamp(); another node
        // may take the request without that delay.
        std::erase_if(candidate_nodes, [&](auto const& c) { return c.node == node; });
        if (candidate_nodes.empty())
            return wait(pending, now);
    }
}

// Chooses the node to offer the request to from the candidates in `candidate_nodes`.
// Begins the last round, with all nodes as candidates again, when the first round is
// exhausted.
ingress::offer_choice
ingress::choose_node(pending_request& pending,
                     std::vector<placement_candidate>& candidate_nodes, instant now)
{
    placement_request const request{.exchange_bytes = exchange_bytes(pending),
                                    .rank = pending.request.rank,
                                    .request_class = pending.request.request_class};
    for (;;)
    {
        auto choice = m_placement.choose(candidate_nodes, request, m_random(), now);
        if (!choice)
            return {};
        auto const step = next_offer(*choice,
                                     {.last_round = pending.last_round,
                                      .refused_by = pending.tried.size(),
                                      .refused = pending.refused,
                                      .offer_if_full = m_offers.worth_offering(
                                          pending.request.request_class, m_random())},
                                     pending.request.deadline - now, offers);
        if (step != offer_step::last_round)
            return {.choice = std::move(choice), .step = step};
        candidate_nodes = begin_last_round(pending);
    }
}

ingress::upstream_node ingress::upstream_node_of(std::string const& service,
                                                 std::string const& node) const
{
    auto const it = m_upstream_nodes.find(service);
    if (it != m_upstream_nodes.end())
        for (auto const& p : it->second)
            if (p.node == node)
                return p;
    return {.node = node, .endpoint = {}};
}

void ingress::make_offer(pending_request& pending, placement_choice const& choice,
                         upstream_node const& target, std::size_t candidate_count,
                         instant now)
{
    pending.offered_to_full_node = choice.full;
    bool const has_alternatives = candidate_count > 1;
    pending.request.start_until = has_alternatives && !pending.last_round
                                      ? now + offers.first_round_max_wait
                                      : pending.request.deadline;
    pending.trace.add("placed",
                      {{"to", choice.node},
                       {"expected_ms", in_ms(choice.expected)},
                       {"of", std::to_string(candidate_count)},
                       {"had_no_room", std::to_string(pending.tried.size())},
                       {"round", pending.last_round ? "last" : "first"},
                       {"full", choice.full ? "yes" : "no"},
                       {"patience_ms", in_ms(pending.request.start_until - now)},
                       {"load", m_placement.describe(choice.node, now)}});
    send_to(pending, target, now);
}

std::vector<placement_candidate> ingress::begin_last_round(pending_request& pending)
{
    pending.last_round = true;
    pending.tried.clear();
    return candidates(pending);
}

std::vector<placement_candidate> ingress::candidates(pending_request const& pending) const
{
    auto const now = boot_now();
    std::vector<placement_candidate> found;
    auto const add = [&](std::string const& node, distance away, std::uint32_t slots)
    {
        if (!pending.tried.contains(node))
            found.push_back({.node = node,
                             .away = away,
                             .slots = slots,
                             .silence = m_table.silence(node, now)});
    };
    if (auto const own = m_agent.load(pending.request.service, "", now);
        own && own->accepting)
        add(m_options.self, distance::same_domain, own->slots);
    auto const it = m_upstream_nodes.find(pending.request.service);
    if (it != m_upstream_nodes.end())
        for (auto const& p : it->second)
            add(p.node, p.network_distance, p.slots);
    return found;
}

// Whether the service has upstreams, all of them in evacuated domains.
bool ingress::only_evacuated(std::string const& service, instant now)
{
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
                                                       .network_distance = distance_to(m),
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

void ingress::send_to(pending_request& pending, upstream_node const& target, instant now)
{
    if (target.node == m_options.self)
        return run_locally(pending);
    auto const stamp = m_table.stamp(target.node, target.endpoint, now);
    if (!stamp)
        return wait(pending, now);
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
        pending.tried.insert(target.node);
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
    m_table.await(pending.sent_to, pending.endpoint, now);
    m_placement.on_sent(pending.sent_to);
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
                            waiting->tried.insert(m_options.self);
                        trace_result(*waiting, result, m_options.self);
                        on_result(*waiting, std::move(result), now);
                    });
    if (auto* still = find(id); still != nullptr && still->attempt_id == attempt_id)
        still->local_request = request_id;
}

// Queues the request until an owner, an upstream or a peer's clock is known.
void ingress::wait(pending_request& pending, instant now)
{
    if (!accepts(pending.request.deadline, now))
        return refuse(pending, outcome_reason::stopping, stopping_retry_after());
    m_waiting.insert(pending.id);
    pending.retry_at = now + waiting_retry_interval;
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
