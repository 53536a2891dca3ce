// Bounds the age of requests that may wait in a queue on their way to another member.
//
// A queued message looks fresh when it arrives: "500 ms left" says nothing if it waited
// ten seconds for a connection. So each request carries a lower bound of its sending time
// on the *receiver's* clock. The sender learns the receiver's clock by a question and
// answer, and adds the time that has passed on its own clock, shortened by the drift.
// The receiver then computes the deadline on its own clock; it is never later than the
// sender meant, and earlier by at most the round trip of the question and the drift
// since. A receiver that has restarted is another member and refuses older stamps.
#ifndef BUCKTHORNUSHER_REQUEST_CLOCK_HPP
#define BUCKTHORNUSHER_REQUEST_CLOCK_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/time.hpp"

#include <map>
#include <optional>

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

    explicit request_clock(options opts) : m_options(opts) {}

    // The member answered that its clock read `theirs`; the answer arrived at `now`.
    void on_reading(member_id const& member, instant theirs, instant now)
    {
        m_readings[member] = {.theirs = theirs, .ours = now};
    }

    // A lower bound of `now` on the member's clock; nothing if no reading is known.
    std::optional<instant> stamp(member_id const& member, instant now) const
    {
        auto const it = m_readings.find(member);
        if (it == m_readings.end())
            return std::nullopt;
        auto const passed = now - it->second.ours;
        return it->second.theirs + passed - passed * m_options.drift_ppm / 1'000'000;
    }

    bool wants_reading(member_id const& member, instant now) const
    {
        auto const it = m_readings.find(member);
        return it == m_readings.end() || now - it->second.ours > m_options.refresh;
    }

    void forget(member_id const& member) { m_readings.erase(member); }

private:
    struct reading
    {
        instant theirs;
        instant ours;
    };

    options m_options;
    std::map<member_id, reading> m_readings;
};

} // namespace buckthornusher

#endif
