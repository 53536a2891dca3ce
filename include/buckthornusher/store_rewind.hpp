// What holds after the store has come back from an older copy of itself.
//
// The store has then forgotten what it acknowledged last, and its era has risen
// (store_era.hpp). Members that lived through it still know what it forgot. A process
// that has started since knows only the copy, in which owners may stand that have lost
// their shards, at epochs that others have had since.
//
//   - merged() of what is known and what was found loses no later fact of either. Whoever
//     knows more than the store writes it again.
//   - A record that was written in this era is vouched for. One of an earlier era may be
//     outdated: a member acts on it only once its own knowledge of the era is as old as
//     `settle_time`. By then everyone who knows more has written it again, or has lost
//     its lease, and the grants of its upstream have run out.
//   - The epochs of an era begin above all of earlier eras, so a new epoch is above all
//     that were ever given out, also those that nobody remembers.
//   - A process never serves at an epoch of an era before the first that it has known:
//     the shard may have had later ones since. It waits for a new epoch.
//
//   rewind_guard era(settle_time);
//   if (era.note(era_of_version(version), now)) ... // the store came back
//   if (era.may_act_on(record.store_era, now)) ...
//   a.epoch = next_epoch(a.epoch, era.value());
//
// Eras are as in versions: 0 if the store states none, and then nothing is checked.
// Holds values only. Cost: O(1); merged() is linear in the record.
#ifndef BUCKTHORNUSHER_STORE_REWIND_HPP
#define BUCKTHORNUSHER_STORE_REWIND_HPP

#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>

namespace buckthornusher
{

// Returns the epoch that follows `epoch` if it is given out in this era.
std::uint64_t next_epoch(std::uint64_t epoch, std::uint64_t era);
// Whether the epoch was given out in the era. 0, no epoch, counts as given out in any.
bool is_epoch_of(std::uint64_t epoch, std::uint64_t era);

// Returns what must stand of two values of one fleet object. Where nothing in them tells
// which is the later one, `later` counts. In one era it is the higher version, and all
// that stands. In two it is the value that was known before the store came back.
record merged(record const& earlier, record const& later);

class rewind_guard
{
public:
    explicit rewind_guard(duration settle_time) : m_settle_time(settle_time) {}

    // Notes the era of a version that was read now. Returns whether it has risen above
    // one that was known.
    bool note(std::uint64_t era, instant now);

    std::uint64_t value() const { return m_era; }
    // Whether this process may serve a shard at the epoch.
    bool may_serve(std::uint64_t epoch) const { return is_epoch_of(epoch, m_first); }
    bool settled(instant now) const { return now - m_since >= m_settle_time; }
    // Whether a record of that era may be acted on.
    bool may_act_on(std::uint64_t written_in, instant now) const
    {
        return written_in == m_era || settled(now);
    }

private:
    duration m_settle_time;
    std::uint64_t m_era = 0;
    std::uint64_t m_first = 0; // the first era that was known
    instant m_since;           // when the era became known
};

} // namespace buckthornusher

#endif
