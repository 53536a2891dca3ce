// Keeps the volume of log lines bounded. Decisions only: no clock, no output.
//
// Lines are limited by kind with a token bucket each, so that a flood of one kind does
// not hide the others; what is left out is counted by kind. Requests that went as usual
// are sampled by a hash of their id: a node that sees many writes about one in 2^n of
// them, and what one node writes of a request the others that write at least as much
// write too, so that a sampled request is seen on its whole way.
//
// Cost: O(log kinds) for a line.
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
    double per_second = 50; // lines of a kind
    double burst = 200;
    friend bool operator==(line_limit_options const&,
                           line_limit_options const&) = default;
};

class line_limiter
{
public:
    explicit line_limiter(line_limit_options opts) : m_options(opts) {}

    // Whether a line of that kind may be written; if not it is counted.
    bool allow(std::string_view kind, instant now);

    // Counts of lines left out since the last call, by kind.
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

    // Whether a request that went as usual is written about. Called once for each.
    bool sampled(std::string_view id, instant now);

private:
    double m_per_second;
    std::int64_t m_second = 0; // that is being counted
    std::uint32_t m_count = 0;
    std::uint32_t m_shift = 0; // one in 2^m_shift is sampled
};

} // namespace buckthornusher

#endif
