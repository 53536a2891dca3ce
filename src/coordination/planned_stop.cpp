// How a process comes to its end: see the header.
#include "buckthornusher/planned_stop.hpp"

namespace buckthornusher
{

bool planned_stop::takes(instant deadline, instant now) const
{
    return now < m_began + m_options.bounded_after || deadline <= last_answers_at();
}

stop_phase planned_stop::phase(stop_progress const& progress, instant now) const
{
    bool const hurried = m_options.hurries && progress.times_asked > 1;
    if (hurried || now >= last_answers_at())
        return stop_phase::ending;
    bool const owns_nothing = progress.left || !m_options.leaves;
    if (!owns_nothing || now < m_began + m_options.callers_leave)
        return stop_phase::serving;
    return progress.idle ? stop_phase::ending : stop_phase::closing;
}

} // namespace buckthornusher
