// Implementation of store_writer; see the header.
#include "coordination/store_writer.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
constexpr duration initial_backoff = 50ms;
constexpr duration max_backoff = 3'200ms;
} // namespace

duration store_writer::backoff(std::uint32_t attempts)
{
    auto const doublings = std::min<std::uint32_t>(attempts - 1, 6);
    auto const ceiling = std::min(max_backoff, initial_backoff * (1U << doublings));
    return duration(std::uniform_int_distribution<duration::rep>(
        ceiling.count() / 2, ceiling.count())(m_random));
}

store_call store_writer::start(store_write write, std::uint64_t call_id, instant /*now*/)
{
    auto& p = m_pending[write.name];
    p.write = std::move(write);
    p.call_id = call_id;
    p.attempts = 1;
    return {.id = call_id, .operation = p.write};
}

std::optional<write_decision>
store_writer::on_answer(std::uint64_t call_id, store_answer const& answer, instant now)
{
    auto const it =
        std::find_if(m_pending.begin(), m_pending.end(),
                     [&](auto const& entry) { return entry.second.call_id == call_id; });
    if (it == m_pending.end())
        return std::nullopt;
    auto& p = it->second;
    bool const undecided = std::holds_alternative<store_no_answer>(answer);
    if (std::holds_alternative<store_refused>(answer) ||
        (undecided && m_guards.settle_lost_writes))
    {
        p.repeat_at = now + backoff(p.attempts);
        return std::nullopt;
    }
    write_decision decision{.write = p.write, .accepted = false, .current = {}};
    if (auto const* written = std::get_if<store_written>(&answer))
    {
        decision.accepted = true;
        decision.current = {
            .name = p.write.name, .version = written->version, .value = p.write.value};
    }
    if (auto const* conflict = std::get_if<store_conflict>(&answer))
    {
        decision.current = conflict->current;
        decision.accepted = conflict->current.value == p.write.value;
    }
    m_pending.erase(it);
    return decision;
}

void store_writer::drop(std::string const& name)
{
    auto const it = m_pending.find(name);
    if (it != m_pending.end() && it->second.repeat_at)
        m_pending.erase(it);
}

void store_writer::drop_all_but(std::string const& name)
{
    std::erase_if(m_pending, [&](auto const& entry) { return entry.first != name; });
}

void store_writer::rebase(std::string const& name, std::uint64_t expected, instant now)
{
    auto const it = m_pending.find(name);
    if (it == m_pending.end())
        return;
    it->second.write.expected = expected;
    it->second.attempts = 0;
    it->second.repeat_at = now;
}

std::vector<store_call> store_writer::repeat(std::uint64_t& next_call_id, instant now)
{
    std::vector<store_call> calls;
    for (auto& entry : m_pending)
    {
        auto& p = entry.second;
        if (!p.repeat_at || now < *p.repeat_at)
            continue;
        p.repeat_at.reset();
        ++p.attempts;
        p.call_id = next_call_id++;
        calls.push_back({.id = p.call_id, .operation = p.write});
    }
    return calls;
}

} // namespace buckthornusher
