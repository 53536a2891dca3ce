// Implementation of pending_releases; see the header.
#include "buckthornusher/pending_releases.hpp"

#include <utility>

namespace buckthornusher
{

pending_releases::entry* pending_releases::find_or_add(shard_id const& shard,
                                                       std::uint64_t epoch)
{
    auto& e = m_pending[shard];
    if (epoch < e.epoch)
        return nullptr;
    if (epoch > e.epoch)
        e = {.epoch = epoch};
    return &e;
}

void pending_releases::on_drained(shard_id const& shard, std::uint64_t epoch,
                                  drained_options const& opts)
{
    auto* e = find_or_add(shard, epoch);
    if (e == nullptr)
        return;
    e->drained = true;
    e->operations_transferred = opts.operations_transferred;
    e->confirm_deadline = opts.confirm_deadline;
}

void pending_releases::on_operations_transferred(shard_id const& shard,
                                                 std::uint64_t epoch)
{
    auto const it = m_pending.find(shard);
    if (it != m_pending.end() && it->second.epoch == epoch)
        it->second.operations_transferred = true;
}

void pending_releases::on_upstream_done(shard_id const& shard, std::uint64_t epoch,
                                        std::string handover)
{
    auto* e = find_or_add(shard, epoch);
    if (e == nullptr)
        return;
    e->upstream_done = true;
    e->handover = std::move(handover);
}

std::vector<shard_id> pending_releases::expire(instant now)
{
    std::vector<shard_id> expired;
    for (auto& [shard, e] : m_pending)
        if (e.drained && !e.operations_transferred && now >= e.confirm_deadline)
        {
            e.operations_transferred = true;
            expired.push_back(shard);
        }
    return expired;
}

std::optional<shard_release> pending_releases::take_complete(shard_id const& shard,
                                                             bool needs_upstream_report)
{
    auto const it = m_pending.find(shard);
    if (it == m_pending.end())
        return std::nullopt;
    auto const& e = it->second;
    if (!e.drained || !e.operations_transferred ||
        (needs_upstream_report && !e.upstream_done))
        return std::nullopt;
    shard_release release{.shard = shard, .epoch = e.epoch, .handover = e.handover};
    m_pending.erase(it);
    return release;
}

} // namespace buckthornusher
