// Detects upstream reports that arrive out of order.
//
// A report may be overtaken by a later one, possibly from a later incarnation of the
// upstream. Its content is then outdated, and an answer to it would grant shards that a
// later answer has withdrawn. Such a report must be ignored and get no grant.
//
// Of two incarnations that report, the one that started later speaks for the upstream:
// the other has ended, or it would not have been followed. An incarnation that goes on
// reporting although a later one has spoken was not followed: it speaks again once the
// later one has been unheard for `voice_lapse`.
//
//   report_order order;
//   switch (order.classify(report.incarnation, report.sequence, now)) ...
//
// Requires that an upstream has received the answer to a report, or stopped waiting for
// it, before it sends the next one. The order of the reports is then that of the answers.
//
// Not thread-safe. Cost: O(1).
#ifndef BUCKTHORNUSHER_REPORT_ORDER_HPP
#define BUCKTHORNUSHER_REPORT_ORDER_HPP

#include "buckthornusher/upstream_report.hpp"

#include <cstdint>
#include <optional>

namespace buckthornusher
{

// Longer than a report is late and than the grants of the incarnation that is unheard.
inline constexpr duration voice_lapse = std::chrono::seconds(10);

enum class report_verdict
{
    stranger,          // no upstream of this node: its service may not speak here
    new_incarnation,   // the first report to this process of the latest incarnation
    next,              // the latest report of the current incarnation
    late,              // overtaken by a later report of the same incarnation
    stale_incarnation, // from an incarnation before the current one
    departed,          // from an incarnation that has announced its exit
};

class report_order
{
public:
    // Notes an incarnation that an earlier process has known, as if it had been heard
    // now. Has no effect if a later one is known.
    void restore(upstream_incarnation const& known, instant now);

    // Classifies a report. Must be called once for each report, in order of arrival. Does
    // not return `stranger` or `departed`.
    report_verdict classify(upstream_incarnation const& incarnation,
                            std::uint64_t sequence, instant now);

    // Returns the latest known incarnation, if there is one.
    std::optional<upstream_incarnation> latest() const;

private:
    struct latest_report
    {
        upstream_incarnation incarnation;
        std::uint64_t sequence = 0; // 0: the reports are not numbered
        bool reported = false;      // to this process
        instant heard;              // its latest report
    };
    std::optional<latest_report> m_latest;
};

} // namespace buckthornusher

#endif
