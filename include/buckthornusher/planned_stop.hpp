// How a process comes to its end when it is asked to.
//
// Callers are told to go elsewhere, and may go on for a while, or for as long as the
// process lives. So it first takes everything, then only what is bound to end before it
// does, by the request's own deadline, and then ends: as soon as nothing is in work, or
// when its grace runs out.
//
//   serving  -> closing: callers have had their time, and no shard is owned any more (or
//                        the next process at this place takes them over)
//   closing  -> ending:  nothing is in work
//   any      -> ending:  the time of the last answers, or a repeated request that hurries
//
// Safety: a request that is taken once `bounded_after` is over has had its whole time
// before `last_answers_at()`. What is still in work there was taken before.
//
// Values only; the caller brings the time. Cost: O(1).
#ifndef BUCKTHORNUSHER_PLANNED_STOP_HPP
#define BUCKTHORNUSHER_PLANNED_STOP_HPP

#include "buckthornusher/time.hpp"

namespace buckthornusher
{

struct planned_stop_options
{
    duration grace = 20s;                 // to the end of the process
    duration deadline_check_after{0};     // from here on only what ends in time is taken
    duration min_serving_time{0};         // it does not end before
    duration final_answer_margin = 700ms; // before the end of the grace
    bool releases_shards = true; // gives up what it owns; false: a process follows here
    bool ends_on_repeated_request = true; // a repeated request to stop ends it at once
    friend bool operator==(planned_stop_options const&,
                           planned_stop_options const&) = default;
};

enum class stop_phase
{
    serving,
    closing,
    ending,
};

// What the process has come to.
struct stop_progress
{
    bool shards_released = false; // it owns nothing any more
    bool idle = false;            // no request is in work
    int stop_requests = 1;        // to stop
    friend bool operator==(stop_progress const&, stop_progress const&) = default;
};

class planned_stop
{
public:
    planned_stop(planned_stop_options const& opts, instant began)
        : m_options(opts), m_began(began)
    {
    }

    // When whoever still waits gets an answer.
    instant final_answers_at() const
    {
        return m_began + m_options.grace - m_options.final_answer_margin;
    }

    // Whether a request that arrives at `now` and ends by `deadline` is taken.
    bool accepts(instant deadline, instant now) const;

    stop_phase phase(stop_progress const& progress, instant now) const;

    bool releases_shards() const { return m_options.releases_shards; }
    instant began() const { return m_began; }

    friend bool operator==(planned_stop const&, planned_stop const&) = default;

private:
    planned_stop_options m_options;
    instant m_began;
};

} // namespace buckthornusher

#endif
