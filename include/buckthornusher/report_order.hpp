// Detects upstream reports that arrive out of order.
//
// A report may be overtaken by a later one, possibly from a later incarnation of the
// upstream. Its content is then outdated, and an answer to it would grant shards that a
// later answer has withdrawn. Such a report must be ignored and get no grant.
//
//   report_order order;
//   switch (order.classify(report.incarnation, report.sequence)) ...
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

enum class report_verdict
{
    new_incarnation,   // the first report to this process of the latest incarnation
    next,              // the latest report of the current incarnation
    late,              // overtaken by a later report of the same incarnation
    stale_incarnation, // from an incarnation before the current one
    departed,          // from an incarnation that has announced its exit
};

class report_order
{
public:
    // Notes an incarnation that an earlier process has known. Has no effect if a later
    // one is known.
    void restore(upstream_incarnation const& known);

    // Classifies a report. Must be called once for each report, in order of arrival. Does
    // not return `departed`.
    report_verdict classify(upstream_incarnation const& incarnation,
                            std::uint64_t sequence);

    // Returns the latest known incarnation, if there is one.
    std::optional<upstream_incarnation> latest() const;

private:
    struct latest_report
    {
        upstream_incarnation incarnation;
        std::uint64_t sequence = 0; // 0: the reports are not numbered
        bool reported = false;      // to this process
    };
    std::optional<latest_report> m_latest;
};

} // namespace buckthornusher

#endif
