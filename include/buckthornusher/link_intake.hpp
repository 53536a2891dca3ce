// Room on the callers' node's own link for the downloads that it asks for.
//
// Counts the bytes that are expected from other nodes. A download whose bytes would
// arrive after its due time, behind those, is not asked for; its caller learns when there
// would be room, and each caller another time.
//
// Built for callers that all come to one node whose link is narrow.
//
// Cost: O(log expected) for begin() and end(), O(1) otherwise; memory is one entry for
// each download on its way.
#ifndef BUCKTHORNUSHER_LINK_INTAKE_HPP
#define BUCKTHORNUSHER_LINK_INTAKE_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace buckthornusher
{

struct link_intake_options
{
    double bytes_per_second = 0; // of the link; 0: not known, everything fits
    double share = 0.9;          // of the rate, for downloads
    duration max_return = 2s;
    double unknown_bytes = 65'536; // assumed if the size is not known
    friend bool operator==(link_intake_options const&,
                           link_intake_options const&) = default;
};

class link_intake
{
public:
    explicit link_intake(link_intake_options opts);

    bool active() const { return m_options.bytes_per_second > 0; }

    // Returns nothing if a download of so many bytes (0: not known) fits into its time,
    // and otherwise the time until it would.
    std::optional<duration> until_room(double bytes, instant due, instant deadline,
                                       instant now) const;
    // A caller is told to come back for a download that has no room before that time.
    // Returns when it should: callers get times one after the other, as far apart as the
    // link needs for their downloads, but none after `max_return`.
    duration book_return(duration until_room, double bytes, instant now);
    void begin(std::uint64_t attempt, double bytes);
    void end(std::uint64_t attempt);

    // Returns the time that the expected bytes take.
    duration expected() const { return time_of(m_total); }

private:
    double size(double bytes) const;
    duration time_of(double bytes) const;

    link_intake_options m_options;
    std::map<std::uint64_t, double> m_expected; // bytes, by attempt
    double m_total = 0;                         // sum over m_expected
    instant m_next_return;                      // of the next caller told to come back
};

} // namespace buckthornusher

#endif
