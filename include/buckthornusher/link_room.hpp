// Whether a download may begin, by the room on the VM's link for its answer.
//
// A download ends when the upstream has made its answer and the link has carried what was
// promised before it. One that cannot end by its due time (or, if it is late
// already, by its deadline) is refused before it begins, with the time until it would
// fit. One that fits, but whose answer would only wait for the link, is held before the
// upstream's queue, so that it occupies no slot: work is begun a little ahead of the link
// and no further.
//
// The size of an answer is the usual one of its class, a moving mean.
//
// Built for links that are asked for more than they carry while the slots behind them are
// half busy, and for bursts of downloads beside short urgent requests.
//
// Cost: O(promised) for arrive(), which is bounded by what the link carries within the
// callers' time; O(log promised) otherwise. Memory is the same, and one number a class.
#ifndef BUCKTHORNUSHER_LINK_ROOM_HPP
#define BUCKTHORNUSHER_LINK_ROOM_HPP

#include "buckthornusher/link_schedule.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace buckthornusher
{

struct link_room_options
{
    double unknown_bytes = 65'536; // assumed of a class before its first answer
    double mean_weight = 0.1;      // of the newest answer in a class's mean
    // Work is begun at most this much before the link can take its answer.
    duration begin_ahead = 100ms;
    friend bool operator==(link_room_options const&, link_room_options const&) = default;
};

struct download
{
    std::uint64_t id = 0; // ascending in the order of arrival
    std::string request_class;
    instant due;
    instant deadline;
    instant start_until; // its sender tries another node if it has not begun by then
    bool may_be_held = true;
    friend bool operator==(download const&, download const&) = default;
};

// What a download meets at its upstream.
struct download_outlook
{
    duration slot_wait{0};
    duration service{0};
    friend bool operator==(download_outlook const&, download_outlook const&) = default;
};

// ---- answers to arrive() ----

struct link_has_room // promised; it goes on to the upstream's queue
{
    friend bool operator==(link_has_room const&, link_has_room const&) = default;
};
struct held_for_link // promised; arrive() is to be called again soon
{
    duration expected{0};
    friend bool operator==(held_for_link const&, held_for_link const&) = default;
};
struct link_is_full // not promised
{
    duration retry_after{0}; // until it would fit
    friend bool operator==(link_is_full const&, link_is_full const&) = default;
};
using link_verdict = std::variant<link_has_room, held_for_link, link_is_full>;

class link_room
{
public:
    // `schedule` must outlive it.
    explicit link_room(link_schedule const& schedule, link_room_options opts = {})
        : m_schedule(schedule), m_options(opts)
    {
    }

    // Whether downloads have been seen and the link's rate is known.
    bool active() const { return m_schedule.active() && m_used; }

    link_verdict arrive(download const& d, download_outlook const& outlook, instant now);
    // The download's answer was made, or it has ended without one.
    void end(std::uint64_t id) { m_promised.erase(id); }
    // An answer of the class had so many bytes.
    void note_answer(std::string const& request_class, std::uint64_t bytes);

    std::uint64_t usual_bytes(std::string const& request_class) const;
    // Returns the time until the link has carried all answers that were made or promised.
    duration wait(instant now) const;
    std::uint64_t refusals() const { return m_refusals; }

private:
    struct promise
    {
        duration time{0}; // on the link
        bool begun = false;
    };
    duration work_before(std::uint64_t id, instant now) const;
    link_verdict refuse(std::uint64_t id, duration until_room);

    link_schedule const& m_schedule;
    link_room_options m_options;
    std::map<std::uint64_t, promise> m_promised; // answers not made yet, by id
    std::map<std::string, double> m_bytes;       // usual, by class
    std::uint64_t m_refusals = 0;
    bool m_used = false;
};

} // namespace buckthornusher

#endif
