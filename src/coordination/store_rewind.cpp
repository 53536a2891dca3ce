// Implementation of what holds after the store came back; see the header.
#include "buckthornusher/store_rewind.hpp"

#include <algorithm>
#include <tuple>

namespace buckthornusher
{

namespace
{

// The era is above them. Epochs stay below 2^49, exact in any program's JSON numbers.
constexpr unsigned epoch_bits = 32;

std::uint64_t first_epoch(std::uint64_t era)
{
    return era << epoch_bits;
}

// What only ever rises in a node's record, the most significant first.
auto progress(member_record const& m)
{
    return std::tuple(m.id.incarnation, m.generation, m.state, m.store_era);
}

member_record merged(member_record const& earlier, member_record const& later)
{
    if (earlier.id.incarnation < later.id.incarnation)
        return later;
    auto next = progress(earlier) > progress(later) ? earlier : later;
    if (earlier.id != later.id)
        return next;
    auto const& last_changed =
        earlier.watcher_changes > later.watcher_changes ? earlier : later;
    next.watchers = last_changed.watchers;
    next.watcher_changes = last_changed.watcher_changes;
    next.store_era = std::max(earlier.store_era, later.store_era);
    return next;
}

// A successor is set once in an epoch, so an assignment without one is the earlier.
bool is_ahead(assignment const& a, assignment const& of)
{
    return a.epoch > of.epoch || (a.epoch == of.epoch && a.successor && !of.successor);
}

shard_group_record merged(shard_group_record const& earlier, shard_group_record later)
{
    auto const both = std::min(earlier.assignments.size(), later.assignments.size());
    for (std::size_t i = 0; i < both; ++i)
        if (is_ahead(earlier.assignments[i], later.assignments[i]))
            later.assignments[i] = earlier.assignments[i];
    return later;
}

} // namespace

std::uint64_t next_epoch(std::uint64_t epoch, std::uint64_t era)
{
    return std::max(epoch, first_epoch(era)) + 1;
}

bool is_epoch_of(std::uint64_t epoch, std::uint64_t era)
{
    return epoch == 0 || epoch >= first_epoch(era);
}

record merged(record const& earlier, record const& later)
{
    auto const* member_before = std::get_if<member_record>(&earlier);
    auto const* member = std::get_if<member_record>(&later);
    if (member_before != nullptr && member != nullptr)
        return merged(*member_before, *member);
    auto const* group_before = std::get_if<shard_group_record>(&earlier);
    auto const* group = std::get_if<shard_group_record>(&later);
    if (group_before != nullptr && group != nullptr)
        return merged(*group_before, *group);
    return later;
}

bool rewind_guard::note(std::uint64_t era, instant now)
{
    if (era <= m_era)
        return false;
    bool const risen = m_era != 0;
    if (!risen)
        m_first = era;
    m_era = era;
    m_since = now;
    return risen;
}

} // namespace buckthornusher
