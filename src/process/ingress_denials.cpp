// Implementation of the ingress: requests that the configuration does not allow.
//
// A denial is final for a caller, so it needs a configuration that is known to be the
// newest. Without that knowledge the request is held for a short while, in which this
// node asks, and then refused with a hint to come back.
#include "process/ingress_impl.hpp"

#include "process/boot_clock.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace buckthornusher
{

namespace
{

constexpr std::size_t max_unverified = 1'000; // requests held at the same time
constexpr duration max_hold = 400ms;
constexpr int max_hold_divisor = 4; // of the caller's own time
constexpr duration unverified_retry_after = 500ms;

} // namespace

void ingress::deny(http_request request, http_reply const& reply,
                   std::string const& service, outcome_reason reason, instant arrived)
{
    auto const now = boot_now();
    switch (m_coordinator->verify_config(now))
    {
    case config_standing::current:
        return refuse_early(request, reply, service, reason, 0us, now);
    case config_standing::verifying:
        return hold(std::move(request), reply, arrived, now);
    case config_standing::unverified:
        return refuse_unverified(request, reply, now);
    }
}

void ingress::hold(http_request request, http_reply const& reply, instant arrived,
                   instant now)
{
    auto const timeout =
        std::visit([&](auto const& form) { return form.read(request); }, m_options.form)
            .timeout;
    auto const until =
        arrived + std::min(max_hold, timeout.value_or(max_hold * max_hold_divisor) /
                                         max_hold_divisor);
    if (m_finished || now >= until || m_unverified.size() >= max_unverified)
        return refuse_unverified(request, reply, now);
    auto const id = m_next_id++;
    m_unverified.emplace(id, unverified_request{.request = std::move(request),
                                                .reply = reply,
                                                .arrived = arrived,
                                                .until = until});
    reply.on_disconnect([this, id] { m_unverified.erase(id); });
}

void ingress::refuse_unverified(http_request const& request, http_reply const& reply,
                                instant now)
{
    refuse_early(request, reply, "-", outcome_reason::config_unverified,
                 unverified_retry_after, now);
}

// Routes the held requests again. Each is answered, begins, or is held further.
void ingress::review_unverified(instant now)
{
    if (m_unverified.empty())
        return;
    bool const has_news = m_reviewed_config_number != m_config_number ||
                          m_coordinator->verify_config(now) != config_standing::verifying;
    m_reviewed_config_number = m_config_number;
    std::vector<unverified_request> due;
    for (auto it = m_unverified.begin(); it != m_unverified.end();)
    {
        bool const is_due = has_news || now >= it->second.until;
        if (is_due)
            due.push_back(std::move(it->second));
        it = is_due ? m_unverified.erase(it) : std::next(it);
    }
    for (auto& held : due)
        route(std::move(held.request), held.reply, held.arrived);
}

} // namespace buckthornusher
