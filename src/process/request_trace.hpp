// What a node decided about one request, kept until the request ends.
//
// A request that went as usual leaves lines only if it is sampled. Of any other, each
// decision that led there is written, with its inputs and the time at which it was made.
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

// The limit of a trail; further decisions are not kept.
inline constexpr std::size_t max_trace_decisions = 40;
// What a request that went as usual counts as.
inline constexpr std::string_view normal_end = "usual";

class request_trace
{
public:
    // `event` is a literal.
    void add(std::string_view event, std::initializer_list<log_field> fields)
    {
        if (m_decisions.size() >= max_trace_decisions)
            return;
        auto& d = m_decisions.emplace_back(
            log_decision{.at_us = wall_clock_us(), .event = event, .fields = {}});
        for (auto const& field : fields)
            append_field(d.fields, field);
    }

    // The request has ended here. `kind`: how; lines are limited for each kind by itself,
    // so a flood of one hides no other.
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
