// Implementation of timer_service; see the header.
#include "buckthornusher/timer_service.hpp"

#include <utility>

namespace buckthornusher
{

timer_service::timer_id timer_service::at(instant due, callback fn)
{
    timer_id const id{due, m_next_serial++};
    m_timers.emplace(id, std::move(fn));
    return id;
}

void timer_service::every(instant now, duration period, callback fn)
{
    at(now + period,
       [this, period, fn = std::move(fn)](instant at_run) mutable
       {
           fn(at_run);
           every(at_run, period, std::move(fn));
       });
}

void timer_service::cancel(timer_id id)
{
    m_timers.erase(id);
}

std::optional<instant> timer_service::next_due() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first.due;
}

bool timer_service::run_due(instant now)
{
    bool ran = false;
    while (!m_timers.empty() && m_timers.begin()->first.due <= now)
    {
        auto node = m_timers.extract(m_timers.begin());
        node.mapped()(now);
        ran = true;
    }
    return ran;
}

} // namespace buckthornusher
