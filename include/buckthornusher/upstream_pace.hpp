// Finds how many requests at once an upstream bears that has just started or recovered.
//
// The limit begins at a share of the slots. It grows by a factor after each round of good
// answers, and at least along a straight line that reaches all slots in `full_within`. It
// is halved when a round is bad: when it has several refused or failed answers, or when
// its times are far above those of the upstream's first rounds, so that more requests at
// once made it slower. After that only the line leads up, and more slowly each time, so
// that the limit does not swing.
//
//   pace.begin(now);
//   queue.set_pace_limit(pace.limit(slots, now));           // regularly
//   pace.on_answer({.request_class = ..., ...}, slots, now);
//
// Bound: all slots after `full_within` if no round is bad, and after `slowest` times that
// since the last bad round.
//
// Built for upstreams that come back slow, come back failing, or are well at once, under
// more requests than they have slots.
//
// Cost: O(log classes) for an answer; memory is one entry for each class, while it lasts.
#ifndef BUCKTHORNUSHER_UPSTREAM_PACE_HPP
#define BUCKTHORNUSHER_UPSTREAM_PACE_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace buckthornusher
{

struct upstream_pace_options
{
    double first_share = 0.25;     // of the slots, at the beginning
    double growth = 1.5;           // factor on the limit after a good round
    duration full_within = 3s;     // until all slots are used
    double slowest = 4;            // largest factor on it, after bad rounds
    std::uint32_t round = 8;       // least number of answers in a round
    std::uint32_t bad_answers = 2; // in a round, that make it bad
    double bad_share = 0.2;        // of the round, that they must be
    double slow_ratio = 2;         // of its times to the first ones, that makes it bad
    friend bool operator==(upstream_pace_options const&,
                           upstream_pace_options const&) = default;
};

// The end of a request at the upstream.
struct paced_answer
{
    std::string request_class;
    bool good = true; // complete and not a failure
    duration took{0}; // at the usual speed of the upstream's VM
    instant started;
    friend bool operator==(paced_answer const&, paced_answer const&) = default;
};

class upstream_pace
{
public:
    upstream_pace() = default;
    explicit upstream_pace(upstream_pace_options const& opts) : m_options(opts) {}

    // The upstream has started or recovered.
    void begin(instant now);
    void on_answer(paced_answer const& a, std::uint32_t slots, instant now);

    // Returns the number of requests that may run at once: `slots` unless it is paced.
    std::uint32_t limit(std::uint32_t slots, instant now) const;
    // Whether the upstream has started or recovered and has not reached all its slots.
    bool is_paced() const { return m_paced; }
    std::uint64_t steps_down() const { return m_steps_down; }

private:
    double first(std::uint32_t slots) const;
    double level(std::uint32_t slots, instant now) const;
    void step_down(std::uint32_t slots, instant now);
    void begin_round(std::uint32_t slots, instant now);
    void end_round(std::uint32_t slots, instant now);

    upstream_pace_options m_options;
    bool m_paced = false;
    // The line: from `m_base` at `m_since` to all slots within `full_within` x
    // `m_slower`. Negative: the share at the beginning.
    double m_base = -1;
    instant m_since;
    double m_slower = 1;
    double m_grown = 0;          // limit by the good rounds
    bool m_stepped_down = false; // since the beginning
    std::uint64_t m_steps_down = 0;
    double m_good_share = 1; // of the recent answers
    // The current round, of requests that began since it did.
    instant m_round_since;
    double m_round_level = 0; // limit when it began
    std::uint32_t m_answers = 0;
    std::uint32_t m_bad = 0;
    double m_ratios = 0; // sum of the times relative to the first ones
    std::uint32_t m_ratio_count = 0;
    std::map<std::string, double> m_first_us; // mean time of the first rounds, by class
    std::map<std::string, std::uint32_t> m_first_count;
};

} // namespace buckthornusher

#endif
