// The checks of a run's records.
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

violations check_one_owner(std::vector<work_begin> const& begins)
{
    std::map<std::pair<std::string, std::string>, std::vector<work_begin const*>> shards;
    for (auto const& b : begins)
        if (!b.shard.empty())
            shards[{b.service, b.shard}].push_back(&b);
    violations found;
    for (auto& [shard, history] : shards)
    {
        std::stable_sort(history.begin(), history.end(),
                         [](auto const* a, auto const* b) { return a->at < b->at; });
        work_begin const* newest = nullptr;
        for (auto const* b : history)
            if (newest == nullptr || b->epoch >= newest->epoch)
                newest = b;
            else
                found.push_back({.promise = "one owner",
                                 .subject = shard.first + " shard " + shard.second,
                                 .detail = b->attempt + " began under epoch " +
                                           std::to_string(b->epoch) + " at " + ms(b->at) +
                                           ", " + newest->attempt + " under " +
                                           std::to_string(newest->epoch) + " at " +
                                           ms(newest->at)});
    }
    return found;
}

violations check_not_twice(std::vector<work_begin> const& begins)
{
    std::map<std::string, work_begin const*> firsts;
    violations found;
    for (auto const& b : begins)
    {
        if (b.read_only)
            continue;
        auto const id =
            b.operation.empty() ? "attempt " + b.attempt : "operation " + b.operation;
        auto const [it, first] = firsts.try_emplace(id, &b);
        if (!first)
            found.push_back({.promise = "not twice",
                             .subject = id,
                             .detail = "began at " + ms(it->second->at) + " (epoch " +
                                       std::to_string(it->second->epoch) + ") and " +
                                       ms(b.at) + " (epoch " + std::to_string(b.epoch) +
                                       ")"});
    }
    return found;
}

violations check_refusals(std::vector<caller_attempt> const& attempts,
                          std::vector<work_begin> const& begins)
{
    std::map<std::string, instant> began;
    for (auto const& b : begins)
        began.try_emplace(b.attempt, b.at);
    violations found;
    for (auto const& a : attempts)
        if (auto const it = began.find(a.id);
            a.end == attempt_end::refused && it != began.end())
            found.push_back({.promise = "true refusals",
                             .subject = a.id,
                             .detail = "refused at " + ms(a.ended) + " by node " +
                                       std::to_string(a.node) + ", began at " +
                                       ms(it->second)});
    return found;
}

violations check_answers(std::vector<caller_attempt> const& attempts)
{
    violations found;
    for (auto const& a : attempts)
        if (a.end == attempt_end::answered && !a.whole)
            found.push_back({.promise = "own answers",
                             .subject = a.id,
                             .detail = "another body, from node " +
                                       std::to_string(a.node) + " at " + ms(a.ended)});
    return found;
}

violations check_not_cut_off(std::vector<caller_attempt> const& attempts,
                             std::vector<broken_time> const& excused)
{
    violations found;
    for (auto const& a : attempts)
    {
        if (a.end != attempt_end::cut_off)
            continue;
        bool const may = std::any_of(excused.begin(), excused.end(),
                                     [&](broken_time const& b) {
                                         return b.node == a.node && b.from <= a.ended &&
                                                a.sent <= b.until;
                                     });
        if (!may)
            found.push_back({.promise = "not cut off",
                             .subject = a.id,
                             .detail = "sent to node " + std::to_string(a.node) + " at " +
                                       ms(a.sent) + ", broken at " + ms(a.ended)});
    }
    return found;
}

violations check_stops(std::vector<caller_attempt> const& attempts)
{
    violations found;
    for (auto const& a : attempts)
        if (a.stopping && a.end == attempt_end::unknown)
            found.push_back({.promise = "planned stops",
                             .subject = a.id,
                             .detail = "sent to node " + std::to_string(a.node) + " at " +
                                       ms(a.sent) + ", given up at " + ms(a.ended)});
    return found;
}

violations check_versions(std::vector<version_seen> const& seen)
{
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> highest;
    violations found;
    for (auto const& s : seen)
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

violations check_retries(std::vector<work_begin> const& begins,
                         retry_allowance const& allowance, std::size_t nodes,
                         duration length)
{
    std::set<std::string> attempts;
    for (auto const& b : begins)
        attempts.insert(b.attempt);
    auto const repeats = static_cast<double>(begins.size() - attempts.size());
    auto const windows = std::ceil(std::chrono::duration<double>(length) /
                                   std::chrono::duration<double>(allowance.window));
    auto const most = allowance.ratio * static_cast<double>(attempts.size()) +
                      allowance.reserve * static_cast<double>(nodes) * windows;
    if (repeats <= most)
        return {};
    return {{.promise = "retry budget",
             .subject = "all nodes",
             .detail =
                 std::to_string(repeats) + " repeats, allowed " + std::to_string(most)}};
}

} // namespace buckthornusher::soak
