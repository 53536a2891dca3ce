// What a member knows of evacuations, since when, and how current that is.
//
// Evidence has the form "all evacuations accepted before `as_of` are held". It comes from
// the member's own reads of the store and from digests of members that have just read it.
// A digest is dated from its receipt: it is sent in the moment of the read, and the time
// in transit is covered by the slack between `max_age` and the bound.
//
// When the evidence is too old, the member reads the store itself for a while. Members do
// so one after the other by their rank, so that the first one's digest saves the others
// the call.
//
// Cost: O(log n) in the number of evacuated domains; without any, O(1).
#ifndef BUCKTHORNUSHER_COORDINATION_EVACUATION_SYNC_HPP
#define BUCKTHORNUSHER_COORDINATION_EVACUATION_SYNC_HPP

#include "buckthornusher/evacuation.hpp"
#include "buckthornusher/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornusher
{

// The bound's parts. They add up so that a member whose subscribers fail and whose first
// own call gets no answer still knows in time.
struct evacuation_times
{
    duration watch_wait{0};    // the store holds a watch for so long without changes
    duration max_age{0};       // of evidence; then the member reads the store itself
    duration stagger{0};       // between members, by their rank
    duration max_stagger{0};   // for all of them together
    duration stand_in_time{0}; // a member that reads itself goes on for so long
    duration relay_gap{0};     // between relayed digests that bring nothing new
    friend bool operator==(evacuation_times const&, evacuation_times const&) = default;
};
evacuation_times evacuation_times_for(duration bound);

class evacuation_sync
{
public:
    // `bound` 0: evacuations are not read.
    explicit evacuation_sync(duration bound)
        : m_bound(bound), m_times(evacuation_times_for(bound))
    {
    }

    bool enabled() const { return m_bound > duration{0}; }
    evacuation_times const& times() const { return m_times; }

    // The domain is evacuated from now on, or no more. Call it before confirm() for the
    // same answer or digest.
    void note(std::string_view domain, bool evacuated, instant now);
    // The domain has been evacuated since an unknown time.
    void note_old(std::string_view domain);
    // All evacuations accepted before `as_of` are held.
    void confirm(instant as_of);

    // The store was read, and is in this era (store_era.hpp). After a rise it may have
    // forgotten evacuations that operators are about to write again; until then they
    // hold.
    void note_era(std::uint64_t era, instant now);
    // Whether what the store lacks has been taken back, whatever its era.
    bool is_settled(instant now) const { return now >= m_settles_at; }
    // Returns true once after a rise, when the store is to be listed for that.
    bool settles(instant now);

    // Whether the member should read the store itself although it was not chosen to.
    bool stands_in(instant now) const { return now < m_stand_in_until; }
    // Whether evidence is too old for a member of this rank. Begins to stand in if so.
    bool review(std::size_t rank, instant now);
    // Whether a digest without news may be relayed now. Marks it as relayed.
    bool relay_due(instant now);

    std::optional<duration> age(instant now) const
    {
        return m_as_of ? std::optional<duration>(now - *m_as_of) : std::nullopt;
    }
    // Returns nothing if the domain is not evacuated.
    std::optional<evacuation_window> window(std::string_view domain) const;

private:
    duration m_bound;
    evacuation_times m_times;
    std::optional<instant> m_as_of;
    instant m_stand_in_until;
    instant m_next_relay;
    std::optional<std::uint64_t> m_era;
    instant m_settles_at;
    bool m_settling = false;
    std::map<std::string, evacuation_window, std::less<>> m_windows; // by domain
};

} // namespace buckthornusher

#endif
