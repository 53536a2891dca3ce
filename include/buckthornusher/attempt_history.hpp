// Tracks the attempts of one request, and whether one of them may have run.
//
// An idempotent request is retried after an attempt whose outcome is unknown, or that ran
// and failed. From then on a refusal by a later attempt no longer proves that the request
// did not run, so the caller gets the outcome "unknown". Cost: O(1).
#ifndef BUCKTHORNUSHER_ATTEMPT_HISTORY_HPP
#define BUCKTHORNUSHER_ATTEMPT_HISTORY_HPP

#include "buckthornusher/outcome.hpp"

#include <cstdint>
#include <optional>

namespace buckthornusher
{

class attempt_history
{
public:
    // An attempt reached an upstream, with any outcome.
    void on_arrival() { ++m_arrivals; }
    // The request is retried although an attempt may have run. `reason`: why the outcome
    // of that attempt is unknown.
    void on_may_have_run(outcome_reason reason)
    {
        if (!m_may_have_run)
            m_may_have_run = reason;
    }

    std::uint32_t arrivals() const { return m_arrivals; }
    // The first reason given to on_may_have_run(); empty if no attempt has run, so that
    // the request may be reported as refused.
    std::optional<outcome_reason> may_have_run() const { return m_may_have_run; }

private:
    std::uint32_t m_arrivals = 0; // attempts known to have reached an upstream
    // Reason of the first attempt that may have run.
    std::optional<outcome_reason> m_may_have_run;
};

} // namespace buckthornusher

#endif
