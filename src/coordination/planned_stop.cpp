// Implementation of planned_stop; see the header.
#include "buckthornusher/planned_stop.hpp"

namespace buckthornusher
{

bool planned_stop::accepts(instant deadline, instant now) const
{
    return now < m_began + m_options.deadline_check_after ||
           deadline <= final_answers_at();
}

stop_phase planned_stop::phase(stop_progress const& progress, instant now) const
{
    bool const hurried = m_options.ends_on_repeated_request && progress.stop_requests > 1;
    if (hurried || now >= final_answers_at())
        return stop_phase::ending;
    bool const owns_nothing = progress.shards_released || !m_options.releases_shards;
    if (!owns_nothing || now < m_began + m_options.min_serving_time)
        return stop_phase::serving;
    return progress.idle ? stop_phase::ending : stop_phase::closing;
}

} // namespace buckthornusher
