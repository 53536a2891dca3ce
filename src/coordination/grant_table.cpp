// Implementation of grant_table; see the header.
#include "buckthornusher/grant_table.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{

// From the answer to a report until the upstream, on the same VM, has applied it.
constexpr duration answer_travel_time = 10ms;
constexpr duration first_rejection_pause = 20ms;
constexpr duration max_rejection_pause = 1s; // upstreams report about as often

bool overlap(key_range const& a, key_range const& b)
{
    return a.first <= b.last && b.first <= a.last;
}

// Returns the handover that covers the first of the keys; empty if there is none.
std::string handover_for(std::vector<freed_range> const& freed, key_range const& keys)
{
    for (auto const& f : freed)
        if (f.keys.first <= keys.first && keys.first <= f.keys.last)
            return f.handover;
    return {};
}

// Returns whether the upstream reports all the keys at that epoch.
bool reports(std::vector<held_range> const& holds, key_range const& keys,
             std::uint64_t epoch)
{
    auto next = keys.first;
    for (auto const& h : holds)
        if (h.epoch == epoch && h.keys.first <= next && next <= h.keys.last)
            next = h.keys.last + 1;
    return next > keys.last;
}

// Returns the number of neighbouring shards that are granted in one range. Powers of two
// keep the ranges of successive answers alike.
std::size_t shards_per_block(std::size_t shards, std::size_t max_blocks)
{
    std::size_t block = 1;
    while (block * max_blocks < shards)
        block *= 2;
    return block;
}

std::vector<held_range> sorted(std::vector<held_range> holds)
{
    std::sort(holds.begin(), holds.end(),
              [](held_range const& a, held_range const& b) { return a.keys < b.keys; });
    return holds;
}

} // namespace

shards_by_move partition_by_move(std::vector<owned_shard> const& owned,
                                 std::function<bool(std::uint32_t)> const& is_idle)
{
    shards_by_move shards;
    for (auto const& s : owned)
        (s.moving ? shards.leaving : shards.wanted)
            .push_back({.index = s.index,
                        .epoch = s.epoch,
                        .handover = s.handover,
                        .idle = is_idle(s.index)});
    return shards;
}

// Deducts the size of the range in an answer from `bytes_left`. Returns false if the
// range does not fit.
bool grant_table::reserve_bytes(granted_range const& range, std::size_t& bytes_left) const
{
    auto const needed = m_options.bytes_per_range + range.handover.size();
    if (needed > bytes_left)
        return false;
    bytes_left -= needed;
    return true;
}

void grant_table::apply_report(upstream_report const& report, instant now)
{
    for (auto it = m_states.begin(); it != m_states.end();)
    {
        auto& s = it->second;
        auto const keys = numbers_of_shard(it->first, m_shards);
        auto handover = handover_for(report.freed, keys);
        if (!handover.empty())
            s.handover = std::move(handover);
        bool const held =
            std::any_of(report.holds.begin(), report.holds.end(),
                        [&](held_range const& h) { return overlap(h.keys, keys); });
        if (held && !s.left_out && s.held_until > now)
            s.handover.clear(); // the upstream has received its handover
        if (!held || now >= s.expired_at)
        {
            s.held_until = std::min(s.held_until, now);
            if (s.left_out)
            {
                m_released.push_back(
                    {.index = it->first, .epoch = s.epoch, .handover = s.handover});
                it = m_states.erase(it);
                continue;
            }
        }
        ++it;
    }
}

upstream_grant grant_table::make_grant(upstream_report const& report,
                                       std::vector<wanted_shard> const& wanted) const
{
    auto const holds = sorted(report.holds);
    // Ranges that the upstream already holds come first, because a range that the answer
    // leaves out ends.
    std::vector<granted_range> held;
    std::vector<granted_range> fresh;
    auto const block = shards_per_block(wanted.size(), m_options.max_blocks);
    auto const block_of = [&](key_range const& keys)
    {
        return shard_of_number(keys.first, m_shards) / block;
    };
    auto const append = [&](std::vector<granted_range>& to, granted_range range)
    {
        if (!to.empty() && to.back().keys.last + 1 == range.keys.first &&
            to.back().epoch == range.epoch && to.back().handover == range.handover &&
            block_of(to.back().keys) == block_of(range.keys))
            to.back().keys.last = range.keys.last;
        else
            to.push_back(std::move(range));
    };
    for (auto const& w : wanted)
    {
        auto const keys = numbers_of_shard(w.index, m_shards);
        if (reports(holds, keys, w.epoch))
        {
            append(held, {.keys = keys, .epoch = w.epoch, .handover = {}});
            continue;
        }
        // A shard that this upstream released comes back with its own handover; otherwise
        // the handover of the previous owner's upstream is passed on.
        auto const s = m_states.find(w.index);
        bool const own = s != m_states.end() && s->second.epoch == w.epoch &&
                         !s->second.handover.empty();
        append(fresh, {.keys = keys,
                       .epoch = w.epoch,
                       .handover = own ? s->second.handover : w.handover});
    }
    auto bytes_left = m_options.max_answer_bytes;
    std::erase_if(held, [&](granted_range const& range)
                  { return !reserve_bytes(range, bytes_left); });
    for (auto& range : fresh)
        if (reserve_bytes(range, bytes_left))
            held.push_back(std::move(range));
    return {.ranges = std::move(held), .valid_for = {}};
}

// Removes one shard that is idle and held from `wanted`, for this answer only.
void grant_table::withhold_one_idle(upstream_report const& report,
                                    std::vector<wanted_shard>& wanted, instant now)
{
    // Each withheld shard splits a range, and the answer must have room for both halves.
    if (2 * report.holds.size() * m_options.bytes_per_range > m_options.max_answer_bytes)
        return;
    auto const holds = sorted(report.holds);
    auto const chosen = std::find_if(
        wanted.begin(), wanted.end(),
        [&](wanted_shard const& w)
        {
            auto const s = m_states.find(w.index);
            return w.idle && s != m_states.end() && !s->second.left_out &&
                   s->second.epoch == w.epoch &&
                   reports(holds, numbers_of_shard(w.index, m_shards), w.epoch);
        });
    if (chosen == wanted.end())
        return;
    m_states[chosen->index].held_until = now;
    m_withheld = chosen->index;
    wanted.erase(chosen);
}

std::optional<upstream_grant>
grant_table::on_report(upstream_report const& report, std::vector<wanted_shard> wanted,
                       std::vector<wanted_shard> const& leaving, bool expects_shards,
                       instant lease_until, instant now)
{
    constexpr int percent = 100;
    apply_report(report, now);
    auto const max_grant_with_drift =
        m_options.max_grant_duration * (percent + m_options.drift_percent) / percent;
    for (auto const& l : leaving)
    {
        auto const [it, added] = m_states.try_emplace(l.index);
        if (added)
            it->second.expired_at = now + max_grant_with_drift;
        // The shard may have been granted at an earlier epoch.
        it->second.epoch = l.epoch;
        it->second.left_out = true;
        it->second.held_until = {};
    }
    auto const lease_left = lease_until <= now ? duration{0} : lease_until - now;
    auto const valid_for = std::min(
        m_options.max_grant_duration,
        lease_left * percent / (percent + m_options.drift_percent) - m_options.margin);
    if (valid_for < m_options.min_grant_duration)
        return std::nullopt;
    m_withheld.reset();
    if (expects_shards)
        withhold_one_idle(report, wanted, now);
    auto grant = make_grant(report, wanted);
    grant.valid_for = valid_for;
    auto const until = now + valid_for * (percent - m_options.drift_percent) / percent;
    auto const expired_at =
        now + valid_for * (percent + m_options.drift_percent) / percent;
    m_all_expired_at = std::max(m_all_expired_at, expired_at);
    std::set<std::uint32_t> granted;
    auto const holds = sorted(report.holds);
    for (auto const& w : wanted)
    {
        auto const keys = numbers_of_shard(w.index, m_shards);
        bool const included = std::any_of(grant.ranges.begin(), grant.ranges.end(),
                                          [&](granted_range const& r) {
                                              return r.epoch == w.epoch &&
                                                     r.keys.first <= keys.first &&
                                                     keys.last <= r.keys.last;
                                          });
        if (!included)
            continue;
        granted.insert(w.index);
        auto& s = m_states[w.index];
        bool const known = reports(holds, keys, w.epoch);
        // If the answer is lost, an earlier grant that ends later remains in force.
        s = {.epoch = w.epoch,
             .held_until = until,
             .expired_at = std::max(s.expired_at, expired_at),
             .send_from = known ? now : now + answer_travel_time,
             .left_out = false,
             .handover = std::move(s.handover)};
    }
    for (auto& [index, s] : m_states)
        if (!granted.contains(index) && index != m_withheld)
        {
            s.left_out = true;
            s.held_until = std::min(s.held_until, now);
        }
    return grant;
}

std::vector<released_shard> grant_table::take_released(instant now)
{
    for (auto it = m_states.begin(); it != m_states.end();)
    {
        if (!it->second.left_out || now < it->second.expired_at)
        {
            ++it;
            continue;
        }
        m_released.push_back({.index = it->first,
                              .epoch = it->second.epoch,
                              .handover = it->second.handover});
        it = m_states.erase(it);
    }
    return std::exchange(m_released, {});
}

instant grant_table::held_until(std::uint32_t shard, std::uint64_t epoch) const
{
    auto const it = m_states.find(shard);
    if (it == m_states.end() || it->second.epoch != epoch || it->second.left_out)
        return instant{};
    return it->second.held_until;
}

bool grant_table::may_send(std::uint32_t shard, std::uint64_t epoch, instant now) const
{
    if (held_until(shard, epoch) <= now)
        return false;
    return m_states.find(shard)->second.send_from <= now;
}

void grant_table::mark_not_held(std::uint32_t shard, instant now)
{
    auto const it = m_states.find(shard);
    if (it == m_states.end())
        return;
    auto& s = it->second;
    if (now < s.send_from) // rejected with others that were sent before the pause
        return;
    s.rejection_pause =
        std::clamp(2 * s.rejection_pause, first_rejection_pause, max_rejection_pause);
    s.send_from = now + s.rejection_pause;
}

} // namespace buckthornusher
