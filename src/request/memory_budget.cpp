// Implementation of the memory budget; see the header.
#include "buckthornusher/memory_budget.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

constexpr std::uint64_t max_reserve_divisor = 4;  // of the budget
constexpr std::uint64_t bounded_part_divisor = 4; // of the budget
// The longest answer of an upstream that is passed on, with its header.
constexpr std::uint64_t longest_answer = 8'454'144;
constexpr std::uint64_t max_incomplete = 16'777'216;

// Returns the index of the best holder for which `eligible` holds.
template <class Eligible, class Better>
std::optional<std::size_t> best(std::vector<memory_holder> const& holders,
                                Eligible eligible, Better better)
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < holders.size(); ++i)
        if (eligible(holders[i]) && (!found || better(holders[i], holders[*found])))
            found = i;
    return found;
}

bool holds_more(memory_holder const& a, memory_holder const& b)
{
    return a.bytes > b.bytes;
}

bool slower(memory_holder const& a, memory_holder const& b)
{
    return a.last_progress < b.last_progress;
}

} // namespace

memory_options make_memory_options(std::uint64_t process_bytes)
{
    memory_options opts;
    if (process_bytes > 0)
        opts.process_bytes = process_bytes;
    return opts;
}

memory_budget::memory_budget(memory_options opts) : m_options(opts)
{
    auto const left =
        opts.process_bytes - std::min(opts.process_bytes, opts.program_bytes);
    m_limit = std::max(left, opts.min_bytes);
}

// Returns what all holders together may have for a message of that size to be added.
std::uint64_t memory_budget::allowed(std::uint64_t size) const
{
    if (size <= m_options.large_bytes)
        return m_limit;
    return m_limit - std::min(m_options.ordinary_reserve, m_limit / max_reserve_divisor);
}

bool memory_budget::has_room(std::uint64_t before, std::uint64_t after,
                             std::uint64_t size) const
{
    if (after <= before)
        return true;
    auto const others = m_held - std::min(m_held, before);
    return others <= allowed(size) && after <= allowed(size) - others;
}

std::uint64_t memory_budget::max_incomplete_answers() const
{
    return std::clamp(m_limit / bounded_part_divisor, longest_answer, max_incomplete);
}

std::uint64_t memory_budget::max_queued_messages() const
{
    return std::max(m_limit / bounded_part_divisor, longest_answer);
}

bool memory_hold::try_set(std::uint64_t bytes, std::uint64_t size)
{
    if (m_budget != nullptr && !m_budget->has_room(m_bytes, bytes, size))
        return false;
    set(bytes);
    return true;
}

void memory_hold::set(std::uint64_t bytes)
{
    if (m_budget != nullptr)
        m_budget->m_held += bytes - m_bytes; // modulo 2^64, also when it shrinks
    m_bytes = bytes;
}

std::optional<std::size_t> choose_victim(std::vector<memory_holder> const& holders,
                                         victim_search search, instant now,
                                         memory_options const& opts)
{
    auto const large = [&](memory_holder const& h)
    {
        return h.bytes > opts.large_bytes;
    };
    auto const stalled = [&](memory_holder const& h)
    {
        return h.bytes > 0 && now - h.last_progress >= opts.patience;
    };
    if (auto const found = best(
            holders, [&](auto const& h) { return large(h) && stalled(h); }, holds_more))
        return found;
    if (search == victim_search::stalled)
        return best(holders, stalled, holds_more);
    if (auto const found = best(holders, large, slower))
        return found;
    return best(
        holders, [](auto const& h) { return h.bytes > 0; }, slower);
}

} // namespace buckthornusher
