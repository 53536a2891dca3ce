// Implementation of the ingress: results of attempts, retries and lost peers. See the
// header.
#include "process/ingress_impl.hpp"

#include "buckthornusher/owner_wait.hpp"
#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
// A retry with less time left is not worth its cost.
constexpr duration min_retry_time = 15ms;
// The share of the retry budget that is not spent on failed answers: an upstream often
// answers with a failure because one that it depends on is overloaded, and a retry adds
// to that load.
constexpr double failed_answer_reserved_share = 0.5;
constexpr duration silent_peer_avoid_time = 1s; // placement avoids a silent peer
} // namespace

void ingress::on_reply(wire::Envelope const& message)
{
    auto const& in = message.reply();
    auto const now = boot_now();
    auto const& node = message.sender().node();
    auto const it = m_attempts.find(in.attempt());
    auto* pending = it == m_attempts.end() ? nullptr : find(it->second);
    if (in.has_load())
        note_load(node, decode(in.load()), pending, now);
    if (pending == nullptr || pending->sent_to != node)
        return; // late, duplicate or unknown attempt
    record_round_trip(*pending, in, now);
    auto result = decode(in);
    if (auto const* refused = std::get_if<request_refused>(&result))
    {
        if (refused->reason == outcome_reason::stale)
            m_table.on_refused_as_stale(node, pending->request.deadline, now);
        else
            pending->progress.tried.insert(node);
    }
    auto const* answered = std::get_if<request_answered>(&result);
    bool const failed = std::holds_alternative<request_unknown>(result) ||
                        (answered != nullptr && answered->failed);
    if (failed)
        pending->progress.tried.insert(node); // a retry prefers another node
    end_attempt(*pending, failed, now);
    trace_result(*pending, result, node);
    on_result(*pending, std::move(result), now);
}

// The service time in a load is that of the class of the request that it answers. It is
// of no use if that request is no longer known.
void ingress::note_load(std::string const& node, upstream_load load,
                        pending_request const* answered, instant now)
{
    if (answered == nullptr)
        load.service = duration{0};
    m_placement.on_load(node, load, now,
                        answered == nullptr ? std::string()
                                            : answered->request.request_class);
}

void ingress::trace_result(pending_request& pending, request_result const& result,
                           std::string const& from) const
{
    auto const text = [](outcome_reason reason)
    {
        return std::string(to_string(reason));
    };
    if (auto const* a = std::get_if<request_answered>(&result))
        pending.trace.add("reply", {{"from", from},
                                    {"outcome", a->failed ? "failed" : "answered"},
                                    {"status", std::to_string(a->response.status)}});
    else if (auto const* r = std::get_if<request_refused>(&result))
        pending.trace.add("reply", {{"from", from},
                                    {"outcome", "refused"},
                                    {"reason", text(r->reason)},
                                    {"by", r->reached_upstream ? "upstream" : "node"},
                                    {"retry_after_ms", in_ms(r->retry_after)}});
    else if (auto const* u = std::get_if<request_unknown>(&result))
        pending.trace.add(
            "reply",
            {{"from", from}, {"outcome", "unknown"}, {"reason", text(u->reason)}});
    else if (auto const* m = std::get_if<request_moved>(&result))
        pending.trace.add("reply", {{"from", from},
                                    {"outcome", "moved"},
                                    {"owner", m->owner ? m->owner.node : "-"},
                                    {"epoch", std::to_string(m->epoch)}});
}

// Records the network round-trip time, including the time that the messages waited
// unread at either node.
void ingress::record_round_trip(pending_request const& pending, wire::Reply const& reply,
                                instant now)
{
    if (!reply.has_held())
        return; // the peer runs an earlier version
    auto const held = duration(static_cast<duration::rep>(reply.held()));
    m_placement.on_round_trip(pending.sent_to, pending.network_distance,
                              now - pending.sent_at - held, now);
}

void ingress::record_offer_result(pending_request& pending, request_result const& result)
{
    auto const* refused = std::get_if<request_refused>(&result);
    bool const no_room =
        refused != nullptr && refused->reason == outcome_reason::overloaded;
    pending.progress.refused = pending.progress.refused || no_room;
    if (std::exchange(pending.offered_to_full_node, false))
        m_offers.note(pending.request.request_class, !no_room);
}

void ingress::on_result(pending_request& pending, request_result result, instant now)
{
    record_offer_result(pending, result);
    if (auto* answered = std::get_if<request_answered>(&result))
        on_answered(pending, *answered, now);
    else if (auto const* refused = std::get_if<request_refused>(&result))
        on_refused(pending, *refused, now);
    else if (auto const* unknown = std::get_if<request_unknown>(&result))
        on_unknown(pending, *unknown, now);
    else
        on_moved(pending, std::get<request_moved>(result), now);
}

void ingress::on_answered(pending_request& pending, request_answered& result, instant now)
{
    pending.attempts.on_arrival();
    if (result.failed && acquire_retry(pending, failed_answer_reserved_share, now))
    {
        // The request ran, and its answer is not used.
        pending.attempts.on_may_have_run(outcome_reason::answer_lost);
        return dispatch_later(pending, now);
    }
    auto response = std::visit([&](auto const& form)
                               { return form.answered(std::move(result.response)); },
                               m_options.form);
    finish(pending, std::move(response), outcome_kind::answered, outcome_reason::none);
}

void ingress::on_refused(pending_request& pending, request_refused const& result,
                         instant now)
{
    if (result.reached_upstream)
        pending.attempts.on_arrival();
    pending.progress.refused_outside =
        pending.progress.refused_outside || result.reason == outcome_reason::no_region;
    if (pending.progress.retry_after == 0us ||
        result.retry_after < pending.progress.retry_after)
        pending.progress.retry_after = result.retry_after;
    bool const final =
        result.reason == outcome_reason::operation_invalid ||
        result.reason == outcome_reason::operation_running ||
        result.reason == outcome_reason::operations_full ||
        (pending.request.shard && result.reason == outcome_reason::no_region) ||
        (pending.request.shard && result.reason == outcome_reason::overloaded);
    if (final || now + min_retry_time >= pending.request.deadline)
        return refuse(pending, result.reason, result.retry_after);
    bool const owner_unready =
        pending.request.shard && result.reason == outcome_reason::no_owner;
    if (owner_unready && has_waited_long_at_owner(pending.arrived, pending.arrived,
                                                  pending.request.deadline, now))
        return refuse(pending, result.reason, no_owner_retry_after);
    if (result.reached_upstream && !(pending.attempts.arrivals() < pending.max_attempts &&
                                     m_retries.try_acquire(pending.request.service, now)))
        return refuse(pending, result.reason, result.retry_after);
    pending.search.forget();
    bool const elsewhere =
        !pending.request.shard && result.reason != outcome_reason::stale;
    if (elsewhere)
        return dispatch(pending, now);
    dispatch_later(pending, now);
}

void ingress::on_unknown(pending_request& pending, request_unknown const& result,
                         instant now)
{
    pending.attempts.on_arrival();
    pending.attempts.on_may_have_run(result.reason);
    if (!acquire_retry(pending, 0, now))
        return finish_unknown(pending, result.reason);
    pending.search.forget();
    dispatch(pending, now);
}

// The request did not run at the node. Redirects it to the owner that the node named, or
// waits for the replica to change.
void ingress::on_moved(pending_request& pending, request_moved const& moved, instant now)
{
    pending.search.on_moved({.owner = moved.owner, .epoch = moved.epoch}, now);
    dispatch(pending, now);
}

// Returns whether a request that may have run may be sent again; if so, takes the retry
// from the budget. Leaves at least `reserved_share` of the budget to other requests.
bool ingress::acquire_retry(pending_request& pending, double reserved_share, instant now)
{
    char const* denied = nullptr;
    if (!pending.request.repeatable)
        denied = "not-repeatable";
    else if (pending.attempts.arrivals() >= pending.max_attempts)
        denied = "attempts";
    else if (now + min_retry_time >= pending.request.deadline)
        denied = "time";
    else if (!m_retries.try_acquire(pending.request.service, now, reserved_share))
        denied = "budget";
    pending.trace.add(
        "repeat", {{"allowed", denied == nullptr ? "yes" : "no"},
                   {"denied_by", denied == nullptr ? "-" : denied},
                   {"arrivals", std::to_string(pending.attempts.arrivals())},
                   {"most", std::to_string(pending.max_attempts)},
                   {"budget_left", std::to_string(static_cast<int>(m_retries.remaining(
                                       pending.request.service, now)))}});
    if (denied != nullptr)
        return false;
    m_metrics.count_retry(pending.request.service);
    return true;
}

// Abandons the attempt at an unresponsive node if the request may be retried. Returns
// whether it did.
bool ingress::abandon_attempt(pending_request& pending, attempt_loss loss, instant now)
{
    if (!may_give_up(loss, m_stop.has_value()))
        return false;
    pending.attempts.on_arrival();
    if (!acquire_retry(pending, 0, now))
        return false;
    pending.attempts.on_may_have_run(outcome_reason::owner_lost);
    end_attempt(pending, true, now);
    return true;
}

void ingress::on_peer_silent(std::string const& node, instant now)
{
    m_placement.avoid(node, now + silent_peer_avoid_time);
    on_peer_lost(node, false, now);
}

void ingress::on_clock(std::string const& node, bool restarted, instant now)
{
    if (restarted)
        on_peer_lost(node, true, now);
    on_replica_changed(now);
}

// Handles a peer that stopped answering. `confirmed`: its process was replaced, so
// outstanding attempts will never be answered. Retries requests that allow it; the others
// end with an unknown outcome once the loss is confirmed, and wait for the answer until
// then.
void ingress::on_peer_lost(std::string const& node, bool confirmed, instant now)
{
    log_event(log_level::warning, "dependency-lost",
              {{"kind", "peer"},
               {"peer", node},
               {"why", confirmed ? "its process was replaced" : "silent"}});
    std::vector<pending_request_id> lost;
    for (auto const& [id, pending] : m_pending)
        if (pending->sent_to == node)
            lost.push_back(id);
    for (auto const id : lost)
    {
        auto* pending = find(id);
        if (pending == nullptr)
            continue;
        pending->trace.add("lost", {{"at", node}, {"certain", confirmed ? "yes" : "no"}});
        auto const loss =
            confirmed ? attempt_loss::process_replaced : attempt_loss::peer_silent;
        if (abandon_attempt(*pending, loss, now))
        {
            pending->progress.tried.insert(node);
            dispatch(*pending, now);
        }
        else if (confirmed)
            finish_unknown(*pending, outcome_reason::owner_lost);
    }
}

} // namespace buckthornusher
