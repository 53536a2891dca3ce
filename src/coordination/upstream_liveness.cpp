// Implementation of the decisions on an upstream's liveness; see the header.
#include "buckthornusher/upstream_liveness.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
constexpr int max_missed_reports = 3; // then an upstream counts as silent
// An upstream that has answered within this time is alive even if its reports are lost.
constexpr duration answer_liveness_window = 2s;

bool reports_in_time(upstream_evidence const& evidence, duration report_interval)
{
    return !evidence.departed &&
           evidence.since_report < max_missed_reports * report_interval;
}
} // namespace

upstream_standing standing_of(upstream_evidence const& evidence, duration report_interval)
{
    bool const in_time = reports_in_time(evidence, report_interval);
    if (evidence.grants_left > 0us)
        return in_time ? upstream_standing::serving : upstream_standing::ending;
    bool const overdue = evidence.since_report > report_interval * 3 / 2;
    if (!in_time || (evidence.connect_failed && overdue))
        return upstream_standing::gone;
    return upstream_standing::serving;
}

bool is_silent(upstream_evidence const& evidence, duration report_interval)
{
    return evidence.since_report > max_missed_reports * report_interval &&
           evidence.since_answer > answer_liveness_window;
}

duration first_report_wait(duration report_interval, duration max_lease)
{
    return std::max(2 * max_missed_reports * report_interval, max_lease);
}

} // namespace buckthornusher
