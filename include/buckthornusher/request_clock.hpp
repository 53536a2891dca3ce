// Bounds the age of requests that may wait in a queue on their way to another member.
//
// A queued message looks fresh when it arrives: "500 ms left" says nothing if it waited
// ten seconds for a connection. So each request carries a lower bound of its sending time
// on the *receiver's* clock. The sender learns the receiver's clock by a question and
// answer, and adds the time that has passed on its own clock, shortened by the drift.
// The receiver then computes the deadline on its own clock; it is never later than the
// sender meant, and earlier by at most the round trip of the question and the drift
// since. A receiver that has restarted has another session and refuses older stamps.
#ifndef BUCKTHORNUSHER_REQUEST_CLOCK_HPP
#define BUCKTHORNUSHER_REQUEST_CLOCK_HPP

#include "buckthornusher/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornusher
{

class request_clock
{
public:
    struct options
    {
        std::int64_t drift_ppm = 1'000;
        duration refresh = 30s; // an older reading is to be renewed
    };

    // An instant on the clock of one process of a node.
    struct stamp_value
    {
        std::uint64_t session = 0; // of the process
        instant at;
        friend bool operator==(stamp_value const&, stamp_value const&) = default;
    };

    explicit request_clock(options opts) : m_options(opts) {}

    // The node answered that its clock read `theirs`; the answer arrived at `now`. An
    // answer that was long on its way is a worse bound than an earlier one, which is
    // kept.
    void on_reading(std::string const& node, stamp_value theirs, instant now)
    {
        if (auto const known = stamp(node, now);
            known && known->session == theirs.session)
            theirs.at = std::max(theirs.at, known->at);
        m_readings[node] = {.theirs = theirs, .ours = now};
    }

    // A lower bound of `now` on the node's clock; nothing if no reading is known.
    std::optional<stamp_value> stamp(std::string const& node, instant now) const
    {
        auto const it = m_readings.find(node);
        if (it == m_readings.end())
            return std::nullopt;
        auto const passed = now - it->second.ours;
        auto const& theirs = it->second.theirs;
        return stamp_value{.session = theirs.session,
                           .at = theirs.at + passed -
                                 passed * m_options.drift_ppm / 1'000'000};
    }

    bool wants_reading(std::string const& node, instant now) const
    {
        auto const it = m_readings.find(node);
        return it == m_readings.end() || now - it->second.ours > m_options.refresh;
    }

    void forget(std::string const& node) { m_readings.erase(node); }

private:
    struct reading
    {
        stamp_value theirs;
        instant ours;
    };

    options m_options;
    std::map<std::string, reading> m_readings;
};

} // namespace buckthornusher

#endif
