// Implementation of the checks; see the header.
#include "soak/promises.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace buckthornusher::soak
{
namespace
{

std::string ms(instant t)
{
    return std::to_string(t.time_since_epoch() / 1ms) + " ms";
}

} // namespace

violations check_single_owner(std::vector<execution_start> const& starts)
{
    std::map<std::pair<std::string, std::string>, std::vector<execution_start const*>>
        shards;
    for (auto const& b : starts)
        if (!b.shard.empty())
            shards[{b.service, b.shard}].push_back(&b);
    violations found;
    for (auto& [shard, history] : shards)
    {
        std::stable_sort(history.begin(), history.end(),
                         [](auto const* a, auto const* b)
                         { return a->started < b->started; });
        execution_start const* newest = nullptr;
        for (auto const* b : history)
            if (newest == nullptr || b->epoch >= newest->epoch)
                newest = b;
            else
                found.push_back({.promise = "one owner",
                                 .subject = shard.first + " shard " + shard.second,
                                 .detail = b->attempt + " started under epoch " +
                                           std::to_string(b->epoch) + " at " +
                                           ms(b->started) + ", " + newest->attempt +
                                           " under " + std::to_string(newest->epoch) +
                                           " at " + ms(newest->started)});
    }
    return found;
}

violations check_executed_once(std::vector<execution_start> const& starts)
{
    std::map<std::string, execution_start const*> firsts;
    violations found;
    for (auto const& b : starts)
    {
        if (b.read_only)
            continue;
        auto const id =
            b.operation.empty() ? "attempt " + b.attempt : "operation " + b.operation;
        auto const [it, first] = firsts.try_emplace(id, &b);
        if (!first)
            found.push_back({.promise = "not twice",
                             .subject = id,
                             .detail = "started at " + ms(it->second->started) +
                                       " (epoch " + std::to_string(it->second->epoch) +
                                       ") and " + ms(b.started) + " (epoch " +
                                       std::to_string(b.epoch) + ")"});
    }
    return found;
}

violations check_refusals(std::vector<caller_attempt> const& attempts,
                          std::vector<execution_start> const& starts)
{
    std::map<std::string, instant> began;
    for (auto const& b : starts)
        began.try_emplace(b.attempt, b.started);
    violations found;
    for (auto const& a : attempts)
        if (auto const it = began.find(a.id);
            a.outcome == attempt_outcome::refused && it != began.end())
            found.push_back({.promise = "true refusals",
                             .subject = a.id,
                             .detail = "refused at " + ms(a.ended) + " by node " +
                                       std::to_string(a.node) + ", started at " +
                                       ms(it->second)});
    return found;
}

violations check_answers(std::vector<caller_attempt> const& attempts)
{
    violations found;
    for (auto const& a : attempts)
        if (a.outcome == attempt_outcome::answered && !a.body_matches)
            found.push_back(
                {.promise = "own answers",
                 .subject = a.id,
                 .detail = "the body is not that of this request; from node " +
                           std::to_string(a.node) + " at " + ms(a.ended)});
    return found;
}

violations check_connections(std::vector<caller_attempt> const& attempts,
                             std::vector<node_outage> const& excused)
{
    violations found;
    for (auto const& a : attempts)
    {
        if (a.outcome != attempt_outcome::connection_broken)
            continue;
        bool const excused_by_outage = std::any_of(
            excused.begin(), excused.end(),
            [&](node_outage const& b)
            { return b.node == a.node && b.from <= a.ended && a.sent <= b.until; });
        if (!excused_by_outage)
            found.push_back({.promise = "not cut off",
                             .subject = a.id,
                             .detail = "sent to node " + std::to_string(a.node) + " at " +
                                       ms(a.sent) + ", connection broken at " +
                                       ms(a.ended)});
    }
    return found;
}

violations check_planned_stops(std::vector<caller_attempt> const& attempts)
{
    violations found;
    for (auto const& a : attempts)
        if (a.stopping && a.outcome == attempt_outcome::unknown)
            found.push_back({.promise = "planned stops",
                             .subject = a.id,
                             .detail = "sent to node " + std::to_string(a.node) + " at " +
                                       ms(a.sent) + ", outcome unknown at " +
                                       ms(a.ended)});
    return found;
}

violations check_versions(std::vector<version_observation> const& observations)
{
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> highest;
    violations found;
    for (auto const& s : observations)
    {
        auto& number = highest[{s.node, s.incarnation}];
        if (s.number < number)
            found.push_back({.promise = "versions only rise",
                             .subject = "node " + std::to_string(s.node),
                             .detail = std::to_string(s.number) + " after " +
                                       std::to_string(number)});
        number = std::max(number, s.number);
    }
    return found;
}

violations check_retries(std::vector<execution_start> const& starts,
                         retry_allowance const& allowance, std::size_t nodes,
                         duration length)
{
    std::set<std::string> attempts;
    for (auto const& b : starts)
        attempts.insert(b.attempt);
    auto const repeats = static_cast<double>(starts.size() - attempts.size());
    auto const windows = std::ceil(std::chrono::duration<double>(length) /
                                   std::chrono::duration<double>(allowance.window));
    auto const max_repeats = allowance.ratio * static_cast<double>(attempts.size()) +
                             allowance.reserve * static_cast<double>(nodes) * windows;
    if (repeats <= max_repeats)
        return {};
    return {{.promise = "retry budget",
             .subject = "all nodes",
             .detail = std::to_string(repeats) + " retries, allowed " +
                       std::to_string(max_repeats)}};
}

} // namespace buckthornusher::soak
