// Implementation of logging of state changes; see the header.
#include "process/state_log.hpp"

#include "buckthornusher/store_era.hpp"

#include "process/log.hpp"
#include "process/request_trace.hpp"

#include <utility>

namespace buckthornusher
{

namespace
{

std::string yes_no(bool value)
{
    return value ? "yes" : "no";
}

std::string revision_of(coordinator const& coord)
{
    return std::to_string(coord.copy().revision());
}

} // namespace

void dependency::set(bool available, std::string_view cause, instant now)
{
    if (available == m_available)
        return;
    m_available = available;
    if (!available)
    {
        m_lost_at = now;
        return log_event(log_level::warning, "dependency-lost",
                         {{"kind", std::string(m_kind)},
                          {"peer", m_name},
                          {"why", std::string(cause)}});
    }
    log_event(log_level::info, "dependency-regained",
              {{"kind", std::string(m_kind)},
               {"peer", m_name},
               {"lost_ms", in_ms(now - m_lost_at)}});
}

void state_log::log_changes(coordinator const& coord, instant now)
{
    if (m_member_change_count != coord.copy().member_change_count())
        log_member_changes(coord);
    log_lease_changes(coord, now);
    log_watch_changes(coord, now);
    log_config_changes(coord, now);
    log_evacuation_changes(coord);
}

void state_log::log_member_changes(coordinator const& coord)
{
    m_member_change_count = coord.copy().member_change_count();
    for (auto const& [id, m] : coord.copy().members())
    {
        logged_member const now{.id = id,
                                .generation = m.generation,
                                .state = m.state,
                                .draining = m.draining};
        auto& before = m_members[id.node];
        if (before == now)
            continue;
        before = now;
        log_event(log_level::info, "member",
                  {{"member", id.node},
                   {"incarnation", std::to_string(id.incarnation)},
                   {"tenure", std::to_string(m.generation)},
                   {"state", to_string(m.state)},
                   {"draining", yes_no(m.draining)},
                   {"revision", revision_of(coord)}});
    }
    std::erase_if(m_members, [&](auto const& entry)
                  { return coord.copy().node(entry.first) == nullptr; });
}

void state_log::log_lease_changes(coordinator const& coord, instant now)
{
    bool const leased = coord.lease_until() > now;
    if (leased != m_leased)
    {
        m_leased = leased;
        auto const before = std::exchange(m_lease_changed_at, now);
        if (leased)
            log_event(log_level::info, "lease-held",
                      {{"for_ms", in_ms(coord.lease_until() - now)},
                       {"shards", std::to_string(coord.shards().owned())},
                       {"revision", revision_of(coord)}});
        else
            log_event(log_level::warning, "lease-over",
                      {{"held_ms", in_ms(now - before)},
                       {"shards", std::to_string(coord.shards().owned())},
                       {"revision", revision_of(coord)}});
    }
    auto const owned = coord.shards().owned();
    if (owned == m_owned)
        return;
    log_event(log_level::info, "shards-owned",
              {{"count", std::to_string(owned)},
               {"before", std::to_string(m_owned)},
               {"tenure", std::to_string(coord.owner().generation)},
               {"revision", revision_of(coord)}});
    m_owned = owned;
}

void state_log::log_watch_changes(coordinator const& coord, instant now)
{
    auto const subscriptions = coord.subscriptions(now);
    auto const log_watch_change = [&](char const* what, bool& before, bool present)
    {
        if (std::exchange(before, present) != present)
            log_event(log_level::info, present ? "watch-begun" : "watch-ended",
                      {{"objects", what},
                       {"config_age_ms", in_ms(subscriptions.config_age)},
                       {"revision", revision_of(coord)}});
    };
    log_watch_change("fleet", m_watches_fleet, subscriptions.fleet);
    log_watch_change("configuration", m_watches_config, subscriptions.configuration);
    log_watch_change("evacuations", m_watches_evacuations, subscriptions.evacuations);
}

void state_log::log_evacuation_changes(coordinator const& coord)
{
    auto const& copy = coord.copy();
    if (m_evacuation_change_count == copy.evacuation_change_count())
        return;
    m_evacuation_change_count = copy.evacuation_change_count();
    auto const& present = copy.evacuated_domains();
    auto const log_domain = [&](char const* event, std::string const& domain)
    {
        log_event(log_level::info, event,
                  {{"domain", domain},
                   {"version", std::to_string(revision_of_version(
                                   copy.version_of(evacuation_object(domain))))}});
    };
    for (auto const& domain : present)
        if (!m_evacuated.contains(domain))
            log_domain("domain-evacuated", domain);
    for (auto const& domain : m_evacuated)
        if (!present.contains(domain))
            log_domain("domain-restored", domain);
    m_evacuated = present;
}

void state_log::log_config_changes(coordinator const& coord, instant now)
{
    auto const version = coord.copy().version_of(config_object);
    auto const* config = coord.copy().config();
    if (std::exchange(m_config_version, version) == version || config == nullptr)
        return;
    auto const& from = coord.config_sender();
    log_event(log_level::info, "config-received",
              {{"number", std::to_string(config->number)},
               {"from", from.empty() ? "store" : from},
               {"bytes", std::to_string(config->document.bytes().size())},
               {"documents", std::to_string(coord.counts().config_documents_received)},
               {"config_age_ms", in_ms(coord.subscriptions(now).config_age)}});
}

} // namespace buckthornusher
