// Implementation of upstream_history; see the header.
#include "buckthornusher/upstream_history.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Later incarnations make earlier ones stale, so only the last few matter.
constexpr std::size_t max_departures = 4;

bool covers(std::vector<upstream_incarnation> const& departed,
            upstream_incarnation const& incarnation)
{
    return std::any_of(departed.begin(), departed.end(),
                       [&](upstream_incarnation const& d) {
                           return d.id == incarnation.id &&
                                  incarnation.started <= d.started;
                       });
}

bool drains(std::vector<target> const& targets, upstream_incarnation const& incarnation)
{
    auto const text = to_string(incarnation);
    return std::any_of(targets.begin(), targets.end(),
                       [&](target const& t)
                       { return t.incarnation == text && t.draining; });
}

} // namespace

bool is_recorded(promise const& p, member_record const& record)
{
    return covers(record.departed, p.incarnation) ||
           (p.what == announced::drain && drains(record.targets, p.incarnation));
}

void add_departure(std::vector<upstream_incarnation>& list,
                   upstream_incarnation const& departed)
{
    if (covers(list, departed))
        return;
    list.push_back(departed);
    if (list.size() > max_departures)
        list.erase(list.begin());
}

bool supersedes(upstream_report const& later, duration later_unheard,
                upstream_report const& earlier)
{
    return later_unheard < voice_lapse && later.ip == earlier.ip &&
           later.port == earlier.port &&
           later.incarnation.started > earlier.incarnation.started;
}

void upstream_history::add_services(std::vector<std::string> const& names)
{
    m_named_services.insert(names.begin(), names.end());
}

bool upstream_history::may_speak(std::string const& service) const
{
    bool const any_may = m_named_services.empty() && m_own_service.empty();
    return any_may || service == m_own_service || m_named_services.contains(service);
}

void upstream_history::restore(member_record const& record, instant now)
{
    for (auto const& t : record.targets)
        m_orders[t.service].restore(parse_incarnation(t.incarnation), now);
    for (auto const& incarnation : record.departed)
        add_departure(m_departed, incarnation);
    m_restored = record.targets;
}

report_verdict upstream_history::classify(upstream_report const& report, instant now)
{
    if (!may_speak(report.service))
        return report_verdict::stranger;
    if (has_departed(report.incarnation))
        return report_verdict::departed;
    return m_orders[report.service].classify(report.incarnation, report.sequence, now);
}

upstream_incarnation upstream_history::note_departure(departure_notice const& notice)
{
    upstream_incarnation departed{.id = notice.id, .started = notice.arrived};
    for (auto const& entry : m_orders)
        if (auto const latest = entry.second.latest(); latest && latest->id == notice.id)
            departed = *latest;
    if (notice.started)
        departed.started = *notice.started;
    add_departure(m_departed, departed);
    return departed;
}

bool upstream_history::has_departed(upstream_incarnation const& incarnation) const
{
    return covers(m_departed, incarnation);
}

bool upstream_history::was_draining(upstream_incarnation const& incarnation) const
{
    return drains(m_restored, incarnation);
}

} // namespace buckthornusher
