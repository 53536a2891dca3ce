// Bounds the age of requests that may wait in a send queue before they reach another
// member.
//
// A relative time such as "500 ms left" is wrong if the message waited ten seconds for a
// connection. Each request therefore carries a lower bound of its sending time on the
// *receiver's* clock. The sender reads the receiver's clock by a question and answer, and
// adds the time passed since on its own clock, reduced by the maximum drift. The receiver
// computes the deadline on its own clock; it is never later than the sender meant, and
// earlier by at most the round trip of the question plus the drift since. A receiver that
// has restarted has another session and refuses older stamps.
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
        duration refresh = 30s; // maximum age of a reading before it is renewed
    };

    // An instant on the clock of one process run of a node.
    struct stamp_value
    {
        std::uint64_t session = 0; // of the process
        instant at;
        friend bool operator==(stamp_value const&, stamp_value const&) = default;
    };

    explicit request_clock(options opts) : m_options(opts) {}

    // The node answered that its clock read `theirs`; the answer arrived at `now`. The
    // bound never decreases within a session: an answer that was delayed in transit gives
    // a worse bound than an earlier reading, which is then kept.
    void on_reading(std::string const& node, stamp_value theirs, instant now)
    {
        if (auto const known = stamp(node, now);
            known && known->session == theirs.session)
            theirs.at = std::max(theirs.at, known->at);
        m_readings[node] = {.theirs = theirs, .ours = now};
    }

    // Returns a lower bound of `now` on the node's clock; empty without a reading.
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
