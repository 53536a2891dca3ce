// Implementation of config_sync; see the header.
#include "coordination/config_sync.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

constexpr int max_doublings = 8; // of the fetch timeout

} // namespace

void config_sync::hold(std::uint64_t version)
{
    if (version <= m_held)
        return;
    m_held = version;
    m_newest = std::max(m_newest, version);
    m_fetch.reset();
    m_failed_fetches = 0;
    std::erase_if(m_ahead, [&](auto const& entry) { return entry.second <= version; });
    if (m_pending && m_pending->version <= version)
    {
        auto const reached = *m_pending;
        m_pending.reset();
        confirm(reached.version, reached.as_of);
    }
}

void config_sync::confirm(std::uint64_t newest, instant as_of)
{
    m_newest = std::max(m_newest, newest);
    if (newest > m_held)
        m_pending = evidence{.version = newest, .as_of = as_of};
    else if (!m_as_of || as_of > *m_as_of)
        m_as_of = as_of;
}

void config_sync::note_version(member_id const& peer, std::uint64_t version)
{
    if (version <= m_held)
        return;
    m_newest = std::max(m_newest, version);
    m_ahead[peer] = version;
}

bool config_sync::question_due(instant now) const
{
    if (now < m_next_question)
        return false;
    auto const known = age(now);
    bool const awaited = m_verifying_since && !is_current(now);
    return awaited || !known || *known > m_options.max_age / 2;
}

std::uint64_t config_sync::start_question(instant now)
{
    m_next_question = now + m_options.question_interval;
    return m_questions.add(now);
}

std::optional<member_id> config_sync::next_fetch(instant now)
{
    if (m_fetch && now >= m_fetch->until)
    {
        m_ahead.erase(m_fetch->peer); // until it says again that it has the version
        m_fetch.reset();
        ++m_failed_fetches;
    }
    if (m_fetch || m_ahead.empty())
        return std::nullopt;
    auto const best = std::max_element(m_ahead.begin(), m_ahead.end(),
                                       [](auto const& a, auto const& b)
                                       { return a.second < b.second; });
    auto const timeout = std::min<duration>(
        m_options.max_fetch_timeout,
        m_options.fetch_timeout * (1 << std::min(m_failed_fetches, max_doublings)));
    m_fetch = fetch{.peer = best->first, .until = now + timeout};
    return best->first;
}

std::optional<duration> config_sync::age(instant now) const
{
    return m_as_of ? std::optional<duration>(now - *m_as_of) : std::nullopt;
}

bool config_sync::is_stale(instant now) const
{
    auto const known = age(now);
    return !known || *known > m_options.max_age;
}

bool config_sync::is_current(instant now) const
{
    return !is_stale(now) && m_newest <= m_held;
}

config_standing config_sync::verify(instant now)
{
    if (is_current(now))
    {
        m_verifying_since.reset();
        return config_standing::current;
    }
    bool const was_verified =
        m_verifying_since && m_as_of && *m_as_of > *m_verifying_since;
    if (!m_verifying_since || was_verified)
    {
        m_verifying_since = now;
        m_next_question = std::min(m_next_question, now);
    }
    return now - *m_verifying_since < m_options.max_verification
               ? config_standing::verifying
               : config_standing::unverified;
}

} // namespace buckthornusher
