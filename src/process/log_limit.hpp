// Rate limits and sampling of log lines. Decides only: reads no clock, writes no output.
//
// Each kind of line has a token bucket of its own, so that a flood of one kind does not
// hide the others; suppressed lines are counted per kind. Normally completed requests are
// sampled by a hash of their id: a node with a high request rate logs one in 2^n of them.
// All nodes use the same hash, so a request that is sampled at one node is also sampled
// at every node with the same or a smaller n, and its lines cover its path through them.
//
// Cost: O(log kinds) per line.
#ifndef BUCKTHORNUSHER_PROCESS_LOG_LIMIT_HPP
#define BUCKTHORNUSHER_PROCESS_LOG_LIMIT_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace buckthornusher
{

struct line_limit_options
{
    double per_second = 50; // per kind of line
    double burst = 200;
    friend bool operator==(line_limit_options const&,
                           line_limit_options const&) = default;
};

class line_limiter
{
public:
    explicit line_limiter(line_limit_options opts) : m_options(opts) {}

    // Returns whether a line of that kind may be written. Counts it as suppressed if not.
    bool allow(std::string_view kind, instant now);

    // Returns and resets the counts of suppressed lines by kind.
    std::map<std::string, std::uint64_t> take_suppressed();
    std::uint64_t suppressed() const { return m_suppressed; } // since the start

private:
    struct bucket
    {
        double tokens = 0;
        instant refilled_at;
        std::uint64_t suppressed = 0;
    };

    line_limit_options m_options;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::uint64_t m_suppressed = 0;
};

class request_sampler
{
public:
    explicit request_sampler(double per_second) : m_per_second(per_second) {}

    // Returns whether a normally completed request is logged. Must be called once for
    // each such request, as the calls are counted to set the sampling rate.
    bool sampled(std::string_view id, instant now);

private:
    double m_per_second;
    std::int64_t m_second = 0; // the second that m_count refers to
    std::uint32_t m_count = 0;
    std::uint32_t m_shift = 0; // one in 2^m_shift is sampled
};

} // namespace buckthornusher

#endif
