// What came of a request where the ingress has sent it, and what follows: see the header.
#include "process/ingress_impl.hpp"

#include "process/boot_clock.hpp"
#include "process/request_wire.hpp"

#include "wire.pb.h"

namespace buckthornusher
{

namespace
{
// Less time than this does not make another sending worth it.
constexpr duration least_time = 15ms;
// Of the budget of repeats: an upstream that answers with a failure often does so because
// another one is short of room, and a repeat adds to that.
constexpr double kept_from_failures = 0.5;
constexpr duration silent_for = 1s; // a silent peer is avoided
} // namespace

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
        if (refused->reason == outcome_reason::stale)
            m_table.on_refused_as_stale(node, f->o.deadline, now);
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
    auto const text = [](outcome_reason reason)
    {
        return std::string(to_string(reason));
    };
    if (auto const* a = std::get_if<order_answered>(&result))
        f.trail.add("reply", {{"from", from},
                              {"outcome", a->failed ? "failed" : "answered"},
                              {"status", std::to_string(a->response.status)}});
    else if (auto const* r = std::get_if<order_refused>(&result))
        f.trail.add("reply", {{"from", from},
                              {"outcome", "refused"},
                              {"reason", text(r->reason)},
                              {"by", r->reached_upstream ? "upstream" : "node"},
                              {"retry_after_ms", in_ms(r->retry_after)}});
    else if (auto const* u = std::get_if<order_unknown>(&result))
        f.trail.add(
            "reply",
            {{"from", from}, {"outcome", "unknown"}, {"reason", text(u->reason)}});
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
    m_placement.on_round_trip(f.sent_to, f.away, now - f.sent_at - held, now);
}

void ingress::note_offer(flight& f, order_result const& result)
{
    auto const* refused = std::get_if<order_refused>(&result);
    bool const no_room =
        refused != nullptr && refused->reason == outcome_reason::overloaded;
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
        f.attempts.on_may_have_run(
            outcome_reason::answer_lost); // it ran, and its answer is not used
        return dispatch_later(f, now);
    }
    auto response = std::visit([&](auto const& form)
                               { return form.answered(std::move(result.response)); },
                               m_options.form);
    finish(f, std::move(response), outcome_kind::answered, outcome_reason::none);
}

void ingress::on_refused(flight& f, order_refused const& result, instant now)
{
    if (result.reached_upstream)
        f.attempts.on_arrival();
    if (f.retry_after == 0us || result.retry_after < f.retry_after)
        f.retry_after = result.retry_after;
    bool const final = result.reason == outcome_reason::operation_invalid ||
                       result.reason == outcome_reason::operation_running ||
                       result.reason == outcome_reason::operations_full ||
                       (f.o.shard && result.reason == outcome_reason::overloaded);
    if (final || now + least_time >= f.o.deadline)
        return refuse(f, result.reason, result.retry_after);
    if (result.reached_upstream && !(f.attempts.arrivals() < f.max_attempts &&
                                     m_retries.try_acquire(f.o.service, now)))
        return refuse(f, result.reason, result.retry_after);
    f.search.forget();
    bool const elsewhere = !f.o.shard && result.reason != outcome_reason::stale;
    if (elsewhere)
        return dispatch(f, now);
    dispatch_later(f, now);
}

void ingress::on_unknown(flight& f, order_unknown const& result, instant now)
{
    f.attempts.on_arrival();
    f.attempts.on_may_have_run(result.reason);
    if (!take_repeat(f, 0, now))
        return give_up(f, result.reason);
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
    else if (!m_retries.try_acquire(f.o.service, now, kept_share))
        denied = "budget";
    f.trail.add("repeat", {{"allowed", denied == nullptr ? "yes" : "no"},
                           {"denied_by", denied == nullptr ? "-" : denied},
                           {"arrivals", std::to_string(f.attempts.arrivals())},
                           {"most", std::to_string(f.max_attempts)},
                           {"budget_left", std::to_string(static_cast<int>(
                                               m_retries.remaining(f.o.service, now)))}});
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
    f.attempts.on_may_have_run(outcome_reason::owner_lost);
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
            give_up(*f, outcome_reason::owner_lost);
    }
}

} // namespace buckthornusher
