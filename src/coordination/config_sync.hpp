// Keeps a member's configuration current, and knows how current it is.
//
// An answer that denies ("there is no such route") needs more than a version: it needs to
// know that the store has no later one. That knowledge is evidence of the form "all
// versions accepted before `as_of` are held". It comes from the member's own reads of the
// store and from peers' answers to its questions. Either is dated from the question,
// never from the receipt of the answer, as the time in transit is unknown; so it may be
// more recent than it looks, but not older. A peer's statement that answers no question
// is no evidence.
//
// The member asks when its evidence has reached half of `max_age`, and at once if
// somebody waits for it. If nobody answers, the evidence becomes too old, and the
// embedder reads the store itself.
//
// Versions are fetched, not pushed: who has a new one says so, and each member fetches it
// from one peer that has it, and from another one after a timeout. So a document crosses
// a member's link once, however many peers have it.
//
// Versions are the store's versions of the object; 0: none. Not thread-safe. Cost: O(log
// n) in the number of peers ahead, with a few questions remembered.
#ifndef BUCKTHORNUSHER_COORDINATION_CONFIG_SYNC_HPP
#define BUCKTHORNUSHER_COORDINATION_CONFIG_SYNC_HPP

#include "buckthornusher/config_standing.hpp"
#include "buckthornusher/member.hpp"
#include "buckthornusher/sent_times.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace buckthornusher
{

struct config_sync_options
{
    duration max_age = 2s; // evidence that is older does not vouch for the version
    duration question_interval = 250ms;
    duration max_verification = 400ms; // then those who wait for evidence are refused
    duration fetch_timeout = 600ms;    // doubles with each failed fetch of a version
    duration max_fetch_timeout = 2'400ms;
    friend bool operator==(config_sync_options const&,
                           config_sync_options const&) = default;
};

class config_sync
{
public:
    explicit config_sync(config_sync_options opts) : m_options(opts) {}

    // The member holds this version from now on. Lower versions are ignored.
    void hold(std::uint64_t version);

    // The store had no version above `newest` at `as_of`.
    void confirm(std::uint64_t newest, instant as_of);

    // A peer has this version.
    void note_version(member_id const& peer, std::uint64_t version);

    // ---- questions ----

    bool question_due(instant now) const;
    // Returns the question's sequence number, above 0.
    std::uint64_t start_question(instant now);
    // Returns when the question was asked; nothing if that is not known any more.
    std::optional<instant> asked_at(std::uint64_t sequence) const
    {
        return m_questions.find(sequence);
    }

    // ---- fetches ----

    // Returns the peer to fetch a later version from, if one is to be fetched now, and
    // marks the fetch as in progress.
    std::optional<member_id> next_fetch(instant now);

    // ---- what is known ----

    // Time since which a later version may have been accepted. Nothing: no evidence.
    std::optional<duration> age(instant now) const;
    bool is_stale(instant now) const;
    // Also asks soon if the version is not known to be current.
    config_standing verify(instant now);

private:
    static constexpr std::size_t max_remembered_questions = 16;

    struct fetch
    {
        member_id peer;
        instant until; // then it has failed
    };
    struct evidence
    {
        std::uint64_t version = 0;
        instant as_of;
    };

    bool is_current(instant now) const;

    config_sync_options m_options;
    std::uint64_t m_held = 0;
    std::uint64_t m_newest = 0; // the highest version heard of
    // All versions accepted before it are held.
    std::optional<instant> m_as_of;
    std::optional<evidence> m_pending; // of a version that is not held yet
    sent_times m_questions{max_remembered_questions};
    instant m_next_question;
    std::map<member_id, std::uint64_t> m_ahead; // peers with versions above m_held
    std::optional<fetch> m_fetch;
    int m_failed_fetches = 0; // since a version was last received
    std::optional<instant> m_verifying_since;
};

} // namespace buckthornusher

#endif
