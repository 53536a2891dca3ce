// Implementation of delivery_watch; see the header.
#include "buckthornusher/answer_delivery.hpp"

namespace buckthornusher
{

void delivery_watch::note(delivered_bytes const& bytes, instant now)
{
    bool const has_taken_all_noted = bytes.acknowledged >= m_bytes.handed_over;
    if (!m_noted || has_taken_all_noted)
        m_behind_since = now;
    if (!m_noted || has_taken_all_noted || bytes.acknowledged > m_bytes.acknowledged)
        m_progress = now;
    m_noted = true;
    m_bytes = bytes;
}

bool delivery_watch::awaited(instant now) const
{
    bool const waits_here = m_bytes.written < m_bytes.handed_over;
    bool const waits_in_kernel = m_bytes.acknowledged < m_bytes.written &&
                                 now - m_behind_since >= acknowledgement_time;
    return (waits_here || waits_in_kernel) && now - m_progress < reader_patience;
}

} // namespace buckthornusher
