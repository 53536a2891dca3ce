// Phases of a process that was asked to stop.
//
// Callers are told to use another node but may keep sending for a while, or until the
// process exits. The process therefore first accepts all requests, then only those whose
// deadline precedes its exit, and exits as soon as no request is running and no answer is
// on its way (answer_delivery.hpp), or its grace period ends.
//
//   serving -> closing: `min_serving_time` has passed and the process owns no shards (or
//                       the next process of this node takes them over)
//   closing -> ending:  no request is running, and all answers are delivered
//   any     -> ending:  final_answers_at() is reached, or the stop is requested again and
//                       `ends_on_repeated_request` is set
//
// Safety: the deadline of a request accepted after `deadline_check_after` is not later
// than final_answers_at(). Requests still running then were accepted earlier.
//
// Holds values only; the caller passes the time. Cost: O(1).
#ifndef BUCKTHORNUSHER_PLANNED_STOP_HPP
#define BUCKTHORNUSHER_PLANNED_STOP_HPP

#include "buckthornusher/time.hpp"

namespace buckthornusher
{

struct planned_stop_options
{
    duration grace = 20s;                 // from the request to the end of the process
    duration deadline_check_after{0};     // afterwards requests are checked by deadline
    duration min_serving_time{0};         // in which callers switch to other nodes
    duration final_answer_margin = 700ms; // from the final answers to the end of `grace`
    duration exit_margin = 300ms;         // from the exit to the end of `grace`
    bool releases_shards = true; // false: the node's next process takes them over
    bool ends_on_repeated_request = true; // ends at once when asked again
    friend bool operator==(planned_stop_options const&,
                           planned_stop_options const&) = default;
};

enum class stop_phase
{
    serving,
    closing,
    ending,
};

// Progress of the stop, as observed by the caller.
struct stop_progress
{
    bool shards_released = false; // the process owns no shards
    bool idle = false;            // no request is running, all answers are delivered
    int stop_requests = 1;        // received so far
    friend bool operator==(stop_progress const&, stop_progress const&) = default;
};

class planned_stop
{
public:
    planned_stop(planned_stop_options const& opts, instant began)
        : m_options(opts), m_began(began)
    {
    }

    // When all pending requests are answered, whatever their state.
    instant final_answers_at() const
    {
        return m_began + m_options.grace - m_options.final_answer_margin;
    }

    // When the process ends even if answers are still on their way.
    instant ends_by() const { return m_began + m_options.grace - m_options.exit_margin; }

    // Returns whether to accept a request that arrives at `now` with this deadline.
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
