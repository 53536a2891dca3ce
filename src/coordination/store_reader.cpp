// Implementation of store_reader; see the header.
#include "coordination/store_reader.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration initial_backoff = 100ms;
constexpr duration max_backoff = 2s; // bounds how late the end of an outage is noticed
} // namespace

std::optional<store_operation> store_reader::next(std::uint64_t call_id,
                                                  std::uint64_t revision, instant now)
{
    if (now < m_next_call || m_list)
        return std::nullopt;
    if (m_list_wanted)
    {
        m_list = call{.id = call_id, .sent = now};
        return store_list{.kind = m_options.kind};
    }
    if (!m_subscribed || m_watch)
        return std::nullopt;
    m_watch = call{.id = call_id, .sent = now};
    return store_watch{
        .kind = m_options.kind, .since = revision, .wait = m_options.watch_wait};
}

instant store_reader::unchanged_until(call const& watch, instant now) const
{
    // The store answers without objects at the end of the wait.
    bool const waited = now - watch.sent >= m_options.watch_wait;
    return waited ? watch.sent + m_options.watch_wait : watch.sent;
}

store_reader::outcome store_reader::on_answer(std::uint64_t call_id,
                                              store_answer const& answer, instant now)
{
    bool const listed = is(m_list, call_id);
    auto const answered = *std::exchange(listed ? m_list : m_watch, std::nullopt);
    if (auto const* found = std::get_if<store_objects>(&answer))
    {
        bool const unchanged = !listed && found->objects.empty();
        m_as_of = unchanged ? unchanged_until(answered, now) : answered.sent;
        m_backoff = duration{0};
        m_next_call = now + m_options.watch_gap;
        if (!listed)
            return outcome::watched;
        m_list_wanted = false;
        return outcome::listed;
    }
    if (std::holds_alternative<store_history_lost>(answer))
        m_list_wanted = true;
    m_backoff =
        std::clamp(2 * m_backoff, duration(initial_backoff), duration(max_backoff));
    m_next_call = now + duration(std::uniform_int_distribution<duration::rep>(
                            m_backoff.count() / 2, m_backoff.count())(m_random));
    return outcome::failed;
}

} // namespace buckthornusher
