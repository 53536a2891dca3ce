// Keys that an upstream has been granted: see the header.
#include "buckthornusher/hold_ledger.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{

bool overlap(key_range const& a, key_range const& b)
{
    return a.first <= b.last && b.first <= a.last;
}

// The handover that covers the first of the keys; empty if there is none.
std::string handover_for(std::vector<freed_range> const& freed, key_range const& keys)
{
    for (auto const& f : freed)
        if (f.keys.first <= keys.first && keys.first <= f.keys.last)
            return f.handover;
    return {};
}

// Whether the upstream reports all the keys at that epoch.
bool reports(std::vector<held_range> const& holds, key_range const& keys,
             std::uint64_t epoch)
{
    auto next = keys.first;
    for (auto const& h : holds)
        if (h.epoch == epoch && h.keys.first <= next && next <= h.keys.last)
            next = h.keys.last + 1;
    return next > keys.last;
}

std::vector<held_range> sorted(std::vector<held_range> holds)
{
    std::sort(holds.begin(), holds.end(),
              [](held_range const& a, held_range const& b) { return a.keys < b.keys; });
    return holds;
}

} // namespace

std::string to_string(upstream_life const& life)
{
    return life.id + "@" + std::to_string(life.started);
}

answered_shards shards_by_answer(std::vector<owned_shard> const& owned,
                                 std::function<bool(std::uint32_t)> const& is_idle)
{
    answered_shards shards;
    for (auto const& s : owned)
        (s.moving ? shards.leaving : shards.wanted)
            .push_back({.index = s.index,
                        .epoch = s.epoch,
                        .handover = s.handover,
                        .idle = is_idle(s.index)});
    return shards;
}

// Takes what the range needs in an answer from what is left. False: it does not fit.
bool hold_ledger::take_room(granted_range const& range, std::size_t& room) const
{
    auto const needed = m_options.range_bytes + range.handover.size();
    if (needed > room)
        return false;
    room -= needed;
    return true;
}

void hold_ledger::note_report(upstream_report const& report, instant now)
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
        if (held && !s.left_out && s.until > now)
            s.handover.clear(); // it has arrived
        if (!held || now >= s.over)
        {
            s.until = std::min(s.until, now);
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

upstream_grant hold_ledger::make_grant(upstream_report const& report,
                                       std::vector<wanted_shard> const& wanted) const
{
    auto const holds = sorted(report.holds);
    // What it holds already comes first: leaving that out would end it.
    std::vector<granted_range> known;
    std::vector<granted_range> fresh;
    auto const append = [](std::vector<granted_range>& to, granted_range range)
    {
        if (!to.empty() && to.back().keys.last + 1 == range.keys.first &&
            to.back().epoch == range.epoch && to.back().handover == range.handover)
            to.back().keys.last = range.keys.last;
        else
            to.push_back(std::move(range));
    };
    for (auto const& w : wanted)
    {
        auto const keys = numbers_of_shard(w.index, m_shards);
        if (reports(holds, keys, w.epoch))
        {
            append(known, {.keys = keys, .epoch = w.epoch, .handover = {}});
            continue;
        }
        // Released here before it comes back here, or elsewhere.
        auto const s = m_states.find(w.index);
        bool const own = s != m_states.end() && s->second.epoch == w.epoch &&
                         !s->second.handover.empty();
        append(fresh, {.keys = keys,
                       .epoch = w.epoch,
                       .handover = own ? s->second.handover : w.handover});
    }
    auto room = m_options.answer_bytes;
    std::erase_if(known,
                  [&](granted_range const& range) { return !take_room(range, room); });
    for (auto& range : fresh)
        if (take_room(range, room))
            known.push_back(std::move(range));
    return {.ranges = std::move(known), .hold = {}};
}

// Takes a shard that is idle and held out of `wanted`, for this answer only.
void hold_ledger::pause_one(upstream_report const& report,
                            std::vector<wanted_shard>& wanted, instant now)
{
    // Each shard that is paused splits a range; there must be room for that.
    if (2 * report.holds.size() * m_options.range_bytes > m_options.answer_bytes)
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
    m_states[chosen->index].until = now;
    m_paused = chosen->index;
    wanted.erase(chosen);
}

std::optional<upstream_grant>
hold_ledger::on_report(upstream_report const& report, std::vector<wanted_shard> wanted,
                       std::vector<wanted_shard> const& leaving, bool again_soon,
                       instant lease_until, instant now)
{
    constexpr int percent = 100;
    note_report(report, now);
    auto const longest =
        m_options.longest * (percent + m_options.drift_percent) / percent;
    for (auto const& l : leaving)
    {
        auto const [it, added] = m_states.try_emplace(l.index);
        if (added)
            it->second.over = now + longest;
        // It may have been granted at an earlier epoch.
        it->second.epoch = l.epoch;
        it->second.left_out = true;
        it->second.until = {};
    }
    auto const left = lease_until <= now ? duration{0} : lease_until - now;
    auto const hold =
        std::min(m_options.longest,
                 left * percent / (percent + m_options.drift_percent) - m_options.margin);
    if (hold < m_options.shortest)
        return std::nullopt;
    m_paused.reset();
    if (again_soon)
        pause_one(report, wanted, now);
    auto grant = make_grant(report, wanted);
    grant.hold = hold;
    auto const until = now + hold * (percent - m_options.drift_percent) / percent;
    auto const over = now + hold * (percent + m_options.drift_percent) / percent;
    m_over_at = std::max(m_over_at, over);
    std::set<std::uint32_t> granted;
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
        // The answer may be lost; then an earlier and longer one goes on.
        s = {.epoch = w.epoch,
             .until = until,
             .over = std::max(s.over, over),
             .left_out = false,
             .handover = std::move(s.handover)};
    }
    for (auto& [index, s] : m_states)
        if (!granted.contains(index) && index != m_paused)
        {
            s.left_out = true;
            s.until = std::min(s.until, now);
        }
    return grant;
}

std::vector<released_shard> hold_ledger::take_released(instant now)
{
    for (auto it = m_states.begin(); it != m_states.end();)
    {
        if (!it->second.left_out || now < it->second.over)
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

instant hold_ledger::held_until(std::uint32_t shard, std::uint64_t epoch) const
{
    auto const it = m_states.find(shard);
    if (it == m_states.end() || it->second.epoch != epoch || it->second.left_out)
        return instant{};
    return it->second.until;
}

void hold_ledger::deny(std::uint32_t shard)
{
    if (auto const it = m_states.find(shard); it != m_states.end())
        it->second.until = instant{};
}

} // namespace buckthornusher
