// What became of a request's earlier attempts, and so what its caller may still be told.
//
// A request that may be repeated is sent again after an attempt whose end is not known,
// or that ran and failed. From then on no later refusal can say that the request has not
// run: the caller learns the doubt instead. Cost: O(1).
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
    // An attempt reached an upstream, whatever came of it.
    void on_arrival() { ++m_arrivals; }
    // The request goes on though an attempt may have run; `reason` its end is not known.
    void on_may_have_run(outcome_reason reason)
    {
        if (!m_may_have_run)
            m_may_have_run = reason;
    }

    std::uint32_t arrivals() const { return m_arrivals; }
    // Empty: no attempt has run, and a refusal may say so.
    std::optional<outcome_reason> may_have_run() const { return m_may_have_run; }

private:
    std::uint32_t m_arrivals = 0; // at upstreams, as far as is known
    // Of the first attempt that may have run.
    std::optional<outcome_reason> m_may_have_run;
};

} // namespace buckthornusher

#endif
