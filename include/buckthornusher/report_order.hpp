// Which of an upstream's reports count, when some arrive late.
//
// A report may be overtaken by a later one, also by one of a later life at the same
// place. What it tells is out of date, and an answer to it would grant what a later
// answer has ended: nothing is learnt from it and nothing granted.
//
//   report_order order;
//   switch (order.judge(report.life, report.sequence)) ...
//
// Requires that an upstream has taken or given up the answer to a report before it sends
// the next one: the order of the reports is then that of the answers.
//
// Cost: O(1).
#ifndef BUCKTHORNUSHER_REPORT_ORDER_HPP
#define BUCKTHORNUSHER_REPORT_ORDER_HPP

#include "buckthornusher/upstream_report.hpp"

#include <cstdint>
#include <optional>

namespace buckthornusher
{

enum class report_verdict
{
    new_incarnation,   // the first that counts, of this life
    next,              // the latest of the present life
    late,              // overtaken by a later report of the same life
    stale_incarnation, // of a life before the present one
};

class report_order
{
public:
    // Of a report that has arrived; to be called once for each.
    report_verdict classify(upstream_incarnation const& incarnation,
                            std::uint64_t sequence);

private:
    struct latest
    {
        upstream_incarnation incarnation;
        std::uint64_t sequence = 0; // 0: its reports are not numbered
    };
    std::optional<latest> m_latest;
};

} // namespace buckthornusher

#endif
