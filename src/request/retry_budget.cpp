// Limit on retries; see the header.
#include "buckthornusher/retry_budget.hpp"

namespace buckthornusher
{

std::int64_t retry_budget::step_number(instant now) const
{
    return now.time_since_epoch() / (m_options.window / static_cast<std::int64_t>(steps));
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

retry_budget::sums retry_budget::count(std::string const& service, instant now) const
{
    sums found;
    auto const it = m_services.find(service);
    if (it == m_services.end())
        return found;
    auto const first = step_number(now) - static_cast<std::int64_t>(steps);
    for (auto const& s : it->second)
    {
        if (s.number < 0 || s.number < first)
            continue;
        // The oldest step is only partly inside the window. To stay on the safe side its
        // retries count and its requests do not.
        found.retries += static_cast<double>(s.retries);
        if (s.number > first)
            found.requests += static_cast<double>(s.requests);
    }
    return found;
}

double retry_budget::allowed(sums const& s) const
{
    return m_options.used_share *
           (m_options.reserve / m_options.nodes + m_options.ratio * s.requests);
}

double retry_budget::remaining(std::string const& service, instant now) const
{
    auto const s = count(service, now);
    return allowed(s) - s.retries;
}

bool retry_budget::try_acquire(std::string const& service, instant now,
                               double reserved_share)
{
    auto const s = count(service, now);
    if (allowed(s) * (1 - reserved_share) - s.retries < 1)
        return false;
    ++step_at(service, now).retries;
    return true;
}

} // namespace buckthornusher
