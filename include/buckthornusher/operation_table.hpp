// At-most-once execution of requests that are not idempotent.
//
// A caller first obtains an operation id from the shard's owner, then sends its request
// with that id as often as it likes. The id names the shard's epoch. The owner runs an
// operation when the id is of its own epoch and not in its table; the table gives the
// first attempt's answer to all later ones. An id of an earlier epoch is never run: its
// owner may have run it before it was lost, so the outcome is unknown. No log is needed:
// an epoch has one owner, and an owner that is lost never serves its epoch again.
//
// An owner whose process is restarted keeps its epoch, but the table is gone: an id that
// was made before the process began (`since`) is treated as one of an owner that was
// lost.
//
// In a planned move the owner hands the shard's operations to its successor, which then
// takes the ids of the older epochs as well; only a loss makes outcomes unknown.
//
// The table holds at most `max_entries`. When it is full of younger entries than
// `keep`, new operations are refused (they did not run). An id that is older than
// `keep` may have been dropped, so ids carry the time of their making on the owner's
// clock, and one older than half of `keep` is not started any more.
//
// Cost: O(log n) for each call; memory max_entries * (answer + 100 bytes).
#ifndef BUCKTHORNUSHER_OPERATION_TABLE_HPP
#define BUCKTHORNUSHER_OPERATION_TABLE_HPP

#include "buckthornusher/shard_map.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace buckthornusher
{

// An operation id, in text "EPOCH-SHARD-MADE-NONCE" in hexadecimal.
struct operation_id
{
    std::uint64_t epoch = 0;
    std::uint32_t shard = 0;
    std::uint64_t made = 0; // microseconds of the owner's clock
    std::uint64_t nonce = 0;
    friend auto operator<=>(operation_id const&, operation_id const&) = default;
};

std::string to_string(operation_id const& id);
std::optional<operation_id> parse_operation_id(std::string_view text);

struct operation_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    friend bool operator==(operation_answer const&, operation_answer const&) = default;
};

// ---- answers to begin() ----

struct operation_starts // run it, then call finish() or abandon()
{
};
struct operation_done // an earlier attempt ran; its answer
{
    operation_answer answer;
};
struct operation_in_progress // an earlier attempt is running
{
};
struct operation_lost // may have run under an owner that was lost, or its answer was lost
{
};
struct operation_refused // the table is full; it did not run
{
};

using operation_verdict =
    std::variant<operation_starts, operation_done, operation_in_progress, operation_lost,
                 operation_refused>;

// ---- what an owner hands to its successor ----

// An earlier epoch whose ids are still taken, and the time on its owner's clock.
struct epoch_clock
{
    std::uint64_t epoch = 0;
    instant now;
    instant since; // ids that were made before are not taken
    friend bool operator==(epoch_clock const&, epoch_clock const&) = default;
};

struct handed_operation
{
    operation_id id;
    std::optional<operation_answer> answer; // none: its outcome is unknown
    friend bool operator==(handed_operation const&, handed_operation const&) = default;
};

struct operation_handover
{
    shard_id shard;
    std::vector<epoch_clock> epochs; // rising; the last is the releasing owner's own
    std::vector<handed_operation> operations;
    friend bool operator==(operation_handover const&,
                           operation_handover const&) = default;
};

struct operation_table_options
{
    std::size_t max_entries = 20'000;
    duration retention = 10min;
    instant since = {}; // when this table began, on this member's clock
};

class operation_table
{
public:
    explicit operation_table(operation_table_options opts) : m_options(opts) {}

    // `epoch` is the shard's present epoch, at which this member owns it.
    operation_verdict begin(shard_id const& shard, std::uint64_t epoch,
                            operation_id const& id, instant now);

    // The operation ran; later attempts get this answer.
    void finish(std::string const& service, operation_id const& id,
                operation_answer answer);
    // It certainly did not run; a later attempt may start it.
    void abandon(std::string const& service, operation_id const& id);
    // It may have run, and its answer is lost. It never starts again.
    void lose(std::string const& service, operation_id const& id);

    // The operations of a shard that was owned at `epoch` and has been released.
    operation_handover hand_over(shard_id const& shard, std::uint64_t epoch,
                                 instant now) const;
    // Takes them. They count once this member owns the shard at the next epoch.
    void take_over(operation_handover const& handover, instant now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct accepted_epoch
    {
        duration offset{0}; // to be added to this member's clock to get its owner's
        instant since;      // of its ids, on its owner's clock
    };
    // Earlier epochs of a shard whose operations were handed over.
    struct inherited_epochs
    {
        std::uint64_t next_epoch = 0; // at which they are taken
        std::map<std::uint64_t, accepted_epoch> epochs;
    };

    enum class state
    {
        running,
        done,
        lost,
    };
    struct key
    {
        std::string service;
        operation_id id;
        friend auto operator<=>(key const&, key const&) = default;
    };
    struct entry
    {
        state status = state::running;
        instant since;
        operation_answer answer;
    };

    bool make_room(instant now);
    // The present epoch, or one whose operations were handed over; else nothing.
    std::optional<accepted_epoch> find_epoch(shard_id const& shard, std::uint64_t present,
                                             std::uint64_t wanted) const;
    // The id's age, or nothing if it is not of an epoch that is taken, or made before
    // what is known of that epoch.
    std::optional<duration> age(shard_id const& shard, std::uint64_t epoch,
                                operation_id const& id, instant now) const;
    void insert(key const& k, entry e);

    operation_table_options m_options;
    std::map<key, entry> m_entries;
    std::map<shard_id, inherited_epochs> m_inherited;
    std::set<std::pair<instant, key>> m_by_age; // exactly the entries
};

} // namespace buckthornusher

#endif
