// At-most-once execution: see the header.
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
        if (it->second.at == state::done)
            return operation_done{it->second.answer};
        if (it->second.at == state::running)
            return operation_in_progress{};
        return operation_lost{};
    }
    // Of another epoch, or so old that its entry may have been dropped.
    if (id.epoch != epoch || id.shard != shard.index ||
        now - made_at(id) > m_options.keep / 2)
        return operation_lost{};
    if (!make_room(now))
        return operation_refused{};
    m_entries[k] = {.at = state::running, .since = now, .answer = {}};
    m_by_age.emplace(now, k);
    return operation_starts{};
}

bool operation_table::make_room(instant now)
{
    while (!m_by_age.empty() && now - m_by_age.begin()->first > m_options.keep)
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
    it->second.at = state::done;
    it->second.answer = std::move(answer);
}

void operation_table::abandon(std::string const& service, operation_id const& id)
{
    auto const it = m_entries.find({service, id});
    if (it == m_entries.end() || it->second.at != state::running)
        return;
    m_by_age.erase({it->second.since, it->first});
    m_entries.erase(it);
}

void operation_table::lose(std::string const& service, operation_id const& id)
{
    auto const it = m_entries.find({service, id});
    if (it != m_entries.end() && it->second.at == state::running)
        it->second.at = state::lost;
}

} // namespace buckthornusher
