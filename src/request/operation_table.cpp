// At-most-once execution; see the header.
#include "buckthornusher/operation_table.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace buckthornusher
{

namespace
{

instant made_at(operation_id const& id)
{
    return instant(duration(static_cast<duration::rep>(id.made)));
}

} // namespace

std::string to_string(operation_id const& id)
{
    std::array<char, 80> text{};
    std::snprintf(text.data(), text.size(), "%llx-%x-%llx-%llx",
                  static_cast<unsigned long long>(id.epoch), id.shard,
                  static_cast<unsigned long long>(id.made),
                  static_cast<unsigned long long>(id.nonce));
    return text.data();
}

std::optional<operation_id> parse_operation_id(std::string_view text)
{
    std::array<std::uint64_t, 4> parts{};
    auto const* p = text.data();
    auto const* end = text.data() + text.size();
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        auto const [next, error] = std::from_chars(p, end, parts[i], 16);
        bool const last = i + 1 == parts.size();
        if (error != std::errc{} || (last ? next != end : next == end || *next != '-'))
            return std::nullopt;
        p = last ? next : next + 1;
    }
    if (parts[1] > UINT32_MAX)
        return std::nullopt;
    return operation_id{.epoch = parts[0],
                        .shard = static_cast<std::uint32_t>(parts[1]),
                        .made = parts[2],
                        .nonce = parts[3]};
}

operation_verdict operation_table::begin(shard_id const& shard, std::uint64_t epoch,
                                         operation_id const& id, instant now)
{
    auto const k = key{shard.service, id};
    auto const it = m_entries.find(k);
    if (it != m_entries.end())
    {
        if (it->second.status == state::done)
            return operation_done{it->second.answer};
        if (it->second.status == state::running)
            return operation_in_progress{};
        return operation_lost{};
    }
    // The id is of a lost epoch, or so old that its entry may have been evicted.
    auto const id_age = age(shard, epoch, id, now);
    if (!id_age || *id_age > m_options.retention / 2)
        return operation_lost{};
    if (!make_room(now))
        return operation_refused{};
    insert(k, {.status = state::running, .since = now, .answer = {}});
    return operation_starts{};
}

std::optional<duration> operation_table::age(shard_id const& shard, std::uint64_t epoch,
                                             operation_id const& id, instant now) const
{
    if (id.shard != shard.index)
        return std::nullopt;
    auto const taken = find_epoch(shard, epoch, id.epoch);
    if (!taken || made_at(id) < taken->since)
        return std::nullopt;
    return now + taken->offset - made_at(id);
}

std::optional<operation_table::accepted_epoch>
operation_table::find_epoch(shard_id const& shard, std::uint64_t present,
                            std::uint64_t wanted) const
{
    if (wanted == present)
        return accepted_epoch{.offset = duration{0}, .since = m_options.since};
    auto const it = m_inherited.find(shard);
    if (it == m_inherited.end() || it->second.next_epoch != present)
        return std::nullopt;
    auto const earlier = it->second.epochs.find(wanted);
    if (earlier == it->second.epochs.end())
        return std::nullopt;
    return earlier->second;
}

void operation_table::insert(key const& k, entry e)
{
    m_by_age.emplace(e.since, k);
    m_entries[k] = std::move(e);
}

operation_handover operation_table::hand_over(shard_id const& shard, std::uint64_t epoch,
                                              instant now) const
{
    operation_handover handover{.shard = shard, .epochs = {}, .operations = {}};
    auto const inherited = m_inherited.find(shard);
    if (inherited != m_inherited.end() && inherited->second.next_epoch == epoch)
        for (auto const& [earlier, accepted] : inherited->second.epochs)
            handover.epochs.push_back({.epoch = earlier,
                                       .now = now + accepted.offset,
                                       .since = accepted.since});
    handover.epochs.push_back({.epoch = epoch, .now = now, .since = m_options.since});
    for (auto const& [k, e] : m_entries)
    {
        if (k.service != shard.service || k.id.shard != shard.index)
            continue;
        handed_operation operation{.id = k.id, .answer = {}};
        if (e.status == state::done)
            operation.answer = e.answer;
        handover.operations.push_back(std::move(operation));
    }
    return handover;
}

void operation_table::take_over(operation_handover const& handover, instant now)
{
    if (handover.epochs.empty())
        return;
    auto& inherited = m_inherited[handover.shard];
    inherited.next_epoch = handover.epochs.back().epoch + 1;
    inherited.epochs.clear();
    for (auto const& e : handover.epochs)
        inherited.epochs[e.epoch] = {.offset = e.now - now, .since = e.since};
    for (auto const& operation : handover.operations)
    {
        key const k{handover.shard.service, operation.id};
        if (m_entries.contains(k))
            continue;
        insert(k, {.status = operation.answer ? state::done : state::lost,
                   .since = now,
                   .answer = operation.answer.value_or(operation_answer{})});
    }
}

bool operation_table::make_room(instant now)
{
    while (!m_by_age.empty() && now - m_by_age.begin()->first > m_options.retention)
    {
        m_entries.erase(m_by_age.begin()->second);
        m_by_age.erase(m_by_age.begin());
    }
    return m_entries.size() < m_options.max_entries;
}

void operation_table::finish(std::string const& service, operation_id const& id,
                             operation_answer answer)
{
    auto const it = m_entries.find({service, id});
    if (it == m_entries.end())
        return;
    it->second.status = state::done;
    it->second.answer = std::move(answer);
}

void operation_table::abandon(std::string const& service, operation_id const& id)
{
    auto const it = m_entries.find({service, id});
    if (it == m_entries.end() || it->second.status != state::running)
        return;
    m_by_age.erase({it->second.since, it->first});
    m_entries.erase(it);
}

void operation_table::mark_lost(std::string const& service, operation_id const& id)
{
    auto const it = m_entries.find({service, id});
    if (it != m_entries.end() && it->second.status == state::running)
        it->second.status = state::lost;
}

} // namespace buckthornusher
