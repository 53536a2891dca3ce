// Implementation of the answers to upstreams' announcements; see the header.
#include "process/upstream_announcements.hpp"

#include "process/agent.hpp"
#include "process/log.hpp"

#include <utility>

namespace buckthornusher
{

namespace
{
constexpr int gone = 410;
constexpr int unavailable = 503;

// Removes and returns the entries that match. An answer may bring the next announcement
// of its connection at once, so no list is walked while answers are sent.
template <class Entry, class Predicate>
std::vector<Entry> take_if(std::vector<Entry>& from, Predicate const& matches)
{
    std::vector<Entry> taken;
    std::vector<Entry> kept;
    for (auto& entry : from)
        (matches(entry) ? taken : kept).push_back(std::move(entry));
    from = std::move(kept);
    return taken;
}
} // namespace

upstream_announcements::upstream_announcements(agent& local, options opts,
                                               std::function<void(instant)> on_change)
    : m_local(local), m_options(opts), m_on_change(std::move(on_change))
{
}

void upstream_announcements::handle(http_request request, http_reply reply, instant now)
{
    unread_announcement a{
        .request = std::move(request), .reply = std::move(reply), .arrived = now};
    if (m_record_known)
        return read(a, now);
    if (m_unread.size() >= m_options.max_waiting)
        return a.reply.send({.status = unavailable});
    m_unread.push_back(std::move(a));
}

void upstream_announcements::on_record(member_record const* record, instant now)
{
    m_record_known = true;
    m_record = record == nullptr ? member_record{} : *record;
    m_local.restore(m_record, now);
    for (auto const& a : std::exchange(m_unread, {}))
        read(a, now);
    acknowledge_recorded();
}

void upstream_announcements::tick(instant now)
{
    auto const is_overdue = [&](auto const& waiting)
    {
        return now - waiting.arrived >= m_options.ack_wait;
    };
    auto const refuse = [&](auto const& waiting)
    {
        log_event(log_level::info, "announcement-not-acknowledged",
                  {{"waited_ms", in_ms(now - waiting.arrived)},
                   {"record_known", m_record_known ? "yes" : "no"}});
        waiting.reply.send({.status = unavailable});
    };
    for (auto const& a : take_if(m_unread, is_overdue))
        refuse(a);
    for (auto const& p : take_if(m_pending, is_overdue))
        refuse(p);
}

void upstream_announcements::read(unread_announcement const& a, instant now)
{
    std::visit([&](auto const& announcement) { take(announcement, a, now); },
               platform::read_announcement(a.request));
}

void upstream_announcements::take(upstream_report const& report,
                                  unread_announcement const& a, instant now)
{
    auto const answer = m_local.on_report(report, now);
    if (answer.verdict == report_verdict::stranger)
        return a.reply.send({.status = unavailable}); // a configuration may name it later
    if (answer.verdict == report_verdict::stale_incarnation ||
        answer.verdict == report_verdict::departed)
    {
        log_event(
            log_level::info, "report-outdated",
            {{"service", report.service},
             {"life", to_string(report.incarnation)},
             {"departed", answer.verdict == report_verdict::departed ? "yes" : "no"}});
        return a.reply.send({.status = gone});
    }
    m_on_change(now);
    auto response = platform::answer_announcement(answer.grant);
    if (report.state != upstream_state::draining)
        return a.reply.send(std::move(response));
    acknowledge_once_recorded(
        {.incarnation = report.incarnation, .what = announced::drain},
        std::move(response), a);
}

void upstream_announcements::take(platform::departure const& departure,
                                  unread_announcement const& a, instant now)
{
    auto const departed = m_local.on_departure({.id = departure.incarnation_id,
                                                .started = departure.started,
                                                .arrived = platform::start_scale_now()},
                                               now);
    m_on_change(now);
    acknowledge_once_recorded({.incarnation = departed, .what = announced::departure},
                              platform::answer_announcement(std::nullopt), a);
}

void upstream_announcements::take(platform::invalid_announcement const& bad,
                                  unread_announcement const& a, instant /*now*/)
{
    log_event(log_level::warning, "announcement-refused", {{"error", bad.error}});
    a.reply.send({.status = bad.status, .body = bad.error + "\n"});
}

void upstream_announcements::acknowledge_once_recorded(promise what,
                                                       http_response response,
                                                       unread_announcement const& a)
{
    pending_acknowledgement pending{.what = std::move(what),
                                    .response = std::move(response),
                                    .reply = a.reply,
                                    .arrived = a.arrived};
    m_pending.push_back(std::move(pending));
    acknowledge_recorded();
}

void upstream_announcements::acknowledge_recorded()
{
    auto const recorded = take_if(m_pending, [this](pending_acknowledgement const& p)
                                  { return is_recorded(p.what, m_record); });
    for (auto const& p : recorded)
        p.reply.send(p.response);
}

} // namespace buckthornusher
