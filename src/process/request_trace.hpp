// The trace of one request at one node: the decisions made about it, kept until it ends.
//
// A normally completed request is logged only if it is sampled. For any other request all
// decisions are logged, each with its inputs and the time at which it was made.
#ifndef BUCKTHORNUSHER_PROCESS_REQUEST_TRACE_HPP
#define BUCKTHORNUSHER_PROCESS_REQUEST_TRACE_HPP

#include "process/log.hpp"
#include "process/log_limit.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// Bounds the memory of a trace; further decisions are dropped.
inline constexpr std::size_t max_trace_decisions = 40;
// The kind of a normally completed request.
inline constexpr std::string_view normal_end = "usual";

class request_trace
{
public:
    // Records a decision. `event` must be a string literal, as only a view of it is kept.
    void add(std::string_view event, std::initializer_list<log_field> fields)
    {
        if (m_decisions.size() >= max_trace_decisions)
            return;
        auto& d = m_decisions.emplace_back(
            log_decision{.at_us = wall_clock_us(), .event = event, .fields = {}});
        for (auto const& field : fields)
            append_field(d.fields, field);
    }

    // Ends the request at this node and logs its decisions. `kind` says how it ended; the
    // line rate is limited per kind, so that a flood of one kind does not hide others.
    void end(std::string const& id, std::string_view kind, request_sampler& sampler,
             instant now)
    {
        if (kind != normal_end || sampler.sampled(id, now))
            log_decisions(id, kind, m_decisions);
        m_decisions.clear();
    }

private:
    std::vector<log_decision> m_decisions;
};

inline std::string in_ms(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace buckthornusher

#endif
