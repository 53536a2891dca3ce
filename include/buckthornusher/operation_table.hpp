// At-most-once execution of requests that are not idempotent.
//
// A caller first obtains an operation id from the shard's owner, then sends its request
// with that id, any number of times. The id names the shard's epoch. The owner runs an
// operation if its id is of the owner's epoch and not in the table; later attempts get
// the first attempt's answer from the table. An id of an earlier epoch is never run: its
// owner may have run it before that owner was lost, so the outcome is unknown. No log is
// needed, as an epoch has one owner, and an owner that was lost never serves its epoch
// again.
//
// An owner whose process restarts keeps its epoch but loses the table. An id issued
// before the process started (`since`) is treated as one of a lost owner.
//
// In a planned move the owner hands the shard's operations to its successor, which then
// accepts ids of the older epochs as well; outcomes become unknown only by the loss of an
// owner.
//
// The table holds at most `max_entries`. When it is full of entries younger than
// `retention`, new operations are refused (they did not run). The entry of an id older
// than `retention` may have been evicted. Ids therefore carry the time of issue on the
// owner's clock, and an id older than half of `retention` is not started any more.
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
    std::uint64_t made = 0; // time of issue, microseconds of the owner's clock
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
struct operation_done // an earlier attempt ran and gave this answer
{
    operation_answer answer;
};
struct operation_in_progress // an earlier attempt is still running
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

// An earlier epoch whose ids are still accepted, and the time on its owner's clock.
struct epoch_clock
{
    std::uint64_t epoch = 0;
    instant now;
    instant since; // ids issued before are not accepted
    friend bool operator==(epoch_clock const&, epoch_clock const&) = default;
};

struct handed_operation
{
    operation_id id;
    std::optional<operation_answer> answer; // empty: its outcome is unknown
    friend bool operator==(handed_operation const&, handed_operation const&) = default;
};

struct operation_handover
{
    shard_id shard;
    std::vector<epoch_clock> epochs; // ascending; the last is the releasing owner's own
    std::vector<handed_operation> operations;
    friend bool operator==(operation_handover const&,
                           operation_handover const&) = default;
};

struct operation_table_options
{
    std::size_t max_entries = 20'000;
    duration retention = 10min; // time for which an entry is kept
    instant since = {};         // start of this table, on this member's clock
};

class operation_table
{
public:
    explicit operation_table(operation_table_options opts) : m_options(opts) {}

    // An attempt of the operation arrived. `epoch`: the shard's current epoch, at which
    // this member owns it.
    operation_verdict begin(shard_id const& shard, std::uint64_t epoch,
                            operation_id const& id, instant now);

    // Records that the operation ran; later attempts get this answer.
    void finish(std::string const& service, operation_id const& id,
                operation_answer answer);
    // Records that the operation certainly did not run; a later attempt may start it.
    void abandon(std::string const& service, operation_id const& id);
    // Records that the operation may have run and its answer is lost. It never starts
    // again.
    void mark_lost(std::string const& service, operation_id const& id);

    // Returns the operations of a shard that was owned at `epoch` and has been released.
    operation_handover hand_over(shard_id const& shard, std::uint64_t epoch,
                                 instant now) const;
    // Stores the operations of a handover. They apply once this member owns the shard at
    // the next epoch.
    void take_over(operation_handover const& handover, instant now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct accepted_epoch
    {
        duration offset{0}; // the epoch owner's clock minus this member's clock
        instant since;      // earliest issue time accepted, on the owner's clock
    };
    // Earlier epochs of a shard whose operations were handed over.
    struct inherited_epochs
    {
        std::uint64_t next_epoch = 0; // the epoch at which these are accepted
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

    // Evicts expired entries; false if the table is still full.
    bool make_room(instant now);
    // Returns the data of `wanted` if it is the present epoch or one whose operations
    // were handed over, else nothing.
    std::optional<accepted_epoch> find_epoch(shard_id const& shard, std::uint64_t present,
                                             std::uint64_t wanted) const;
    // Returns the id's age, or nothing if its epoch is not accepted or it was issued
    // before the accepted part of that epoch.
    std::optional<duration> age(shard_id const& shard, std::uint64_t epoch,
                                operation_id const& id, instant now) const;
    void insert(key const& k, entry e);

    operation_table_options m_options;
    std::map<key, entry> m_entries;
    std::map<shard_id, inherited_epochs> m_inherited;
    // Invariant: holds the same entries as m_entries.
    std::set<std::pair<instant, key>> m_by_age;
};

} // namespace buckthornusher

#endif
