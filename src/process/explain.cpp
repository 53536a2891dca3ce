// Implementation of request tracing from logs; see the header.
#include "process/explain.hpp"

#include "buckthornusher/outcome.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace buckthornusher
{

namespace
{

// The length of "2026-12-04T08:10:36.123456".
constexpr std::size_t timestamp_length = 26;

// Returns microseconds since midnight; all logs read together must be from one day.
std::optional<std::int64_t> time_of(log_record const& record)
{
    auto const text = record.get("ts");
    if (text.size() != timestamp_length)
        return std::nullopt;
    auto const part = [&](std::size_t from, std::size_t length)
    {
        std::int64_t value = 0;
        std::from_chars(text.data() + from, text.data() + from + length, value);
        return value;
    };
    constexpr std::int64_t us_per_s = 1'000'000;
    auto const seconds = (part(11, 2) * 60 + part(14, 2)) * 60 + part(17, 2);
    return seconds * us_per_s + part(20, 6);
}

// Parses a quoted or unquoted value and removes it from the front of `rest`.
std::string take_value(std::string_view& rest)
{
    std::string value;
    if (!rest.starts_with('"'))
    {
        auto const end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"')
    {
        if (rest.front() == '\\' && rest.size() > 1)
            rest.remove_prefix(1);
        value += rest.front();
        rest.remove_prefix(1);
    }
    if (!rest.empty())
        rest.remove_prefix(1);
    return value;
}

log_record const* last_of(std::vector<log_record> const& records, std::string_view event)
{
    auto const it = std::find_if(records.rbegin(), records.rend(),
                                 [&](auto const& r) { return r.get("event") == event; });
    return it == records.rend() ? nullptr : &*it;
}

std::string text(log_record const& record, std::string_view name)
{
    return std::string(record.get(name));
}

// Describes the longest time between two consecutive records.
std::string describe_longest_step(std::vector<log_record> const& records)
{
    std::int64_t max_us = -1;
    std::string what;
    for (std::size_t i = 1; i < records.size(); ++i)
    {
        auto const from = time_of(records[i - 1]);
        auto const to = time_of(records[i]);
        if (!from || !to || *to - *from <= max_us)
            continue;
        max_us = *to - *from;
        what = std::to_string(max_us / 1'000) + " ms passed between '" +
               text(records[i - 1], "event") + "' on " + text(records[i - 1], "node") +
               " and '" + text(records[i], "event") + "' on " + text(records[i], "node");
    }
    return what;
}

std::string describe_overload(std::vector<log_record> const& records)
{
    auto const* queue = last_of(records, "queue");
    if (queue == nullptr)
        return "no node had a free slot for it";
    return "overloaded: the upstream at " + text(*queue, "node") + " had " +
           text(*queue, "running") + " of " + text(*queue, "slots") +
           " slots in use and " + text(*queue, "waiting") +
           " requests waiting; the service time is " + text(*queue, "service_ms") +
           " ms, and the request was due in " + text(*queue, "due_ms") + " ms";
}

std::string describe_no_owner(std::vector<log_record> const& records)
{
    auto const* waits = last_of(records, "waits");
    auto const* shard_waits = last_of(records, "order-waits");
    if (shard_waits != nullptr)
        return "the shard was not served: " + text(*shard_waits, "node") +
               " waited for it with " + text(*shard_waits, "lease_ms") +
               " ms of its lease left, at revision " + text(*shard_waits, "replica");
    if (waits != nullptr)
        return "no " + text(*waits, "for") + " was known to " + text(*waits, "node") +
               " at revision " + text(*waits, "replica");
    auto const* taken = last_of(records, "taken");
    if (taken != nullptr && taken->get("shard") == "-")
        return "no upstream of the service was reached before the deadline";
    return "no node served the shard before the deadline";
}

std::string describe_lost_answer(std::vector<log_record> const& records)
{
    auto const* upstream = last_of(records, "upstream");
    if (upstream != nullptr && upstream->get("outcome") == "no-answer")
        return "the upstream at " + text(*upstream, "node") +
               " returned no complete response: step '" + text(*upstream, "step") +
               "', after " + text(*upstream, "took_ms") + " ms";
    if (upstream != nullptr && upstream->get("outcome") == "spoilt")
        return "the upstream at " + text(*upstream, "node") + " answered with status " +
               text(*upstream, "status") +
               ", but the answer was not verified and not passed on";
    if (upstream != nullptr)
        return "the upstream at " + text(*upstream, "node") + " answered " +
               text(*upstream, "outcome") +
               ", but the answer did not reach the caller's node";
    auto const* sent = last_of(records, "sent");
    if (sent != nullptr)
        return "sent to " + text(*sent, "to") + ", which did not answer";
    return "the response was lost";
}

std::string describe_denied_retry(std::vector<log_record> const& records)
{
    auto const* repeat = last_of(records, "repeat");
    if (repeat == nullptr || repeat->get("allowed") == "yes")
        return {};
    return "; retry denied by: " + text(*repeat, "denied_by");
}

std::string describe_no_region(std::vector<log_record> const& records)
{
    auto const* outside = last_of(records, "outside");
    if (outside == nullptr)
        return "its regions have no usable upstream";
    return "it is bound to the regions " + text(*outside, "regions") + "; " +
           text(*outside, "why");
}

std::string cause_of_reason(std::vector<log_record> const& records, std::string_view why)
{
    if (why == to_string(outcome_reason::overloaded) ||
        why == to_string(outcome_reason::upstream_refused))
        return describe_overload(records);
    if (why == to_string(outcome_reason::no_owner) ||
        why == to_string(outcome_reason::lease_over) ||
        why == to_string(outcome_reason::not_reached))
        return describe_no_owner(records);
    if (why == to_string(outcome_reason::answer_lost) ||
        why == to_string(outcome_reason::owner_lost) ||
        why == to_string(outcome_reason::deadline))
        return describe_lost_answer(records) + describe_denied_retry(records);
    if (why == to_string(outcome_reason::behind))
        return "the node's CPU was overloaded: the request waited unread for too long";
    if (why == to_string(outcome_reason::stopping))
        return "the node was stopping";
    if (why == to_string(outcome_reason::no_configuration))
        return "the node had not received a configuration yet";
    if (why == to_string(outcome_reason::config_unverified))
        return "the node could not learn in time whether its configuration is the newest";
    if (why == to_string(outcome_reason::no_region))
        return describe_no_region(records);
    if (why == to_string(outcome_reason::no_route) ||
        why == to_string(outcome_reason::no_key))
        return "the node's configuration has no route or shard key for it";
    return "reason " + std::string(why);
}

} // namespace

std::string_view log_record::get(std::string_view name) const
{
    for (auto const& f : fields)
        if (f.name == name)
            return f.value;
    return {};
}

std::optional<log_record> parse_log_line(std::string_view line)
{
    auto const start = line.find("ts=");
    if (start == std::string_view::npos || (start > 0 && line[start - 1] != ' '))
        return std::nullopt;
    auto rest = line.substr(start);
    log_record record;
    while (!rest.empty())
    {
        auto const equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        log_record::field f{.name = std::string(rest.substr(0, equals)), .value = {}};
        rest.remove_prefix(equals + 1);
        f.value = take_value(rest);
        record.fields.push_back(std::move(f));
        while (rest.starts_with(' '))
            rest.remove_prefix(1);
    }
    bool const whole = !record.get("node").empty() && !record.get("event").empty();
    return whole && time_of(record) ? std::optional(std::move(record)) : std::nullopt;
}

void read_records(std::istream& log, std::string_view request,
                  std::vector<log_record>& records)
{
    auto const wanted = "request=" + std::string(request);
    std::string line;
    while (std::getline(log, line))
    {
        if (line.find(wanted) == std::string::npos)
            continue;
        auto record = parse_log_line(line);
        if (record && record->get("request") == request)
            records.push_back(*std::move(record));
    }
}

void sort_records(std::vector<log_record>& records)
{
    std::stable_sort(records.begin(), records.end(),
                     [](auto const& a, auto const& b)
                     { return a.get("ts") < b.get("ts"); });
}

std::string format_records(std::vector<log_record> const& records)
{
    constexpr double us_per_ms = 1'000;
    std::string out;
    for (auto const& record : records)
    {
        auto const since = *time_of(record) - *time_of(records.front());
        std::array<char, 32> at{};
        std::snprintf(at.data(), at.size(), "%9.3f ms  ",
                      static_cast<double>(since) / us_per_ms);
        out += at.data() + text(record, "node") + "  " + text(record, "event");
        for (auto const& f : record.fields)
            if (f.name != "ts" && f.name != "level" && f.name != "node" &&
                f.name != "event" && f.name != "request")
                out += " " + f.name + "=" + f.value;
        out += "\n";
    }
    return out;
}

std::string cause_of(std::vector<log_record> const& records)
{
    if (records.empty())
        return "no line of this request: it completed normally and was not sampled, its "
               "lines were suppressed (see 'lines-left-out'), or another fleet took it";
    if (auto const* refused = last_of(records, "refused"))
        return "refused on arrival: " + cause_of_reason(records, refused->get("reason"));
    if (auto const* left = last_of(records, "left"))
        return "the caller disconnected after " + text(*left, "took_ms") + " ms; " +
               describe_longest_step(records);
    auto const* ended = last_of(records, "ended");
    if (ended == nullptr)
        return "the node that accepted it logged no end: the node failed, or its lines "
               "were suppressed";
    auto const outcome = ended->get("outcome");
    auto const why = cause_of_reason(records, ended->get("reason"));
    if (outcome == "refused")
        return "refused, it did not run: " + why;
    if (outcome == "unknown")
        return "unknown, it may have run: " + why;
    constexpr std::string_view first_failure = "500";
    if (ended->get("status") >= first_failure)
        return "the upstream answered with status " + text(*ended, "status") +
               describe_denied_retry(records);
    if (ended->get("late") == "yes")
        return "answered late: " + describe_longest_step(records);
    return "answered within the latency objective";
}

} // namespace buckthornusher
