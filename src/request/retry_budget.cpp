// Bounds repeats to a share of real traffic: see the header.
#include "buckthornusher/retry_budget.hpp"

namespace buckthornusher
{

std::int64_t retry_budget::step_number(instant now) const
{
    return now.time_since_epoch() / (m_options.window / steps);
}

retry_budget::step& retry_budget::step_at(std::string const& service, instant now)
{
    auto const number = step_number(now);
    auto& s = m_services[service][static_cast<std::size_t>(number) % (steps + 1)];
    if (s.number != number)
        s = {.number = number};
    return s;
}

void retry_budget::on_request(std::string const& service, instant now)
{
    ++step_at(service, now).requests;
}

double retry_budget::left(std::string const& service, instant now) const
{
    auto const share = m_options.reserve / m_options.nodes;
    auto const it = m_services.find(service);
    if (it == m_services.end())
        return m_options.safety * share;
    auto const newest = step_number(now);
    double requests = 0;
    double repeats = 0;
    for (auto const& s : it->second)
    {
        if (s.number < 0 || s.number < newest - static_cast<std::int64_t>(steps))
            continue;
        // The oldest step may lie outside of the window: its repeats count, its requests
        // do not.
        repeats += static_cast<double>(s.repeats);
        if (s.number > newest - static_cast<std::int64_t>(steps))
            requests += static_cast<double>(s.requests);
    }
    return m_options.safety * (share + m_options.ratio * requests) - repeats;
}

bool retry_budget::try_repeat(std::string const& service, instant now)
{
    if (left(service, now) < 1)
        return false;
    ++step_at(service, now).repeats;
    return true;
}

} // namespace buckthornusher
