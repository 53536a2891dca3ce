// Implementation of report_order; see the header.
#include "buckthornusher/report_order.hpp"

namespace buckthornusher
{

void report_order::restore(upstream_incarnation const& known, instant now)
{
    if (!m_latest || m_latest->incarnation.started < known.started)
        m_latest = {.incarnation = known, .heard = now};
}

report_verdict report_order::classify(upstream_incarnation const& incarnation,
                                      std::uint64_t sequence, instant now)
{
    if (m_latest && m_latest->incarnation == incarnation && m_latest->reported)
    {
        if (sequence != 0 && sequence <= m_latest->sequence)
            return report_verdict::late;
        m_latest->sequence = sequence;
        m_latest->heard = now;
        return report_verdict::next;
    }
    if (m_latest && incarnation.started < m_latest->incarnation.started &&
        now - m_latest->heard < voice_lapse)
        return report_verdict::stale_incarnation;
    m_latest = {
        .incarnation = incarnation, .sequence = sequence, .reported = true, .heard = now};
    return report_verdict::new_incarnation;
}

std::optional<upstream_incarnation> report_order::latest() const
{
    return m_latest ? std::optional(m_latest->incarnation) : std::nullopt;
}

} // namespace buckthornusher
