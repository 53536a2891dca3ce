// Keys that the upstream beside a node has been granted, and until when it may hold them.
//
// An upstream that serves only granted keys reports to its node about once a second, and
// each answer renews or ends what it holds. The ledger makes the answers:
//   - it grants the shards that the node owns and has not begun to release, for no longer
//     than the node's lease allows, on a clock that the upstream may run slow;
//   - a shard that is left out of an answer is released once a later report no longer
//     names its keys, or once everything that was granted before has run out;
//   - what the upstream gives at a release (a handover) goes to the next holder's grant;
//   - while shards are about to come, one that nobody asks for is left out of each answer
//     and granted again in the next one. An upstream that has something to release
//     reports again at once, so that the new shards need not wait for its next turn.
//
// Why it is safe: every hold ends before the lease under which it was given, so whoever
// may take the shards after the lease finds them free. An answer that was lost leaves the
// upstream with less than the ledger thinks, never with more.
//
//   hold_ledger ledger({...});
//   auto shards = shards_by_answer(owned, is_idle);
//   auto answer = ledger.on_report(report, shards.wanted, shards.leaving, again_soon,
//                                  lease_until, now);
//   for (auto& r : ledger.take_released(now)) ...
//   if (ledger.held_until(shard, epoch) > now) the upstream may be asked
//
// Only durations on one process's clock are compared; an upstream's clock may be slower
// by `drift_percent`. Cost: O(n log n) in the shards and the reported ranges for each
// report, O(log n) for each question.
#ifndef BUCKTHORNUSHER_GRANT_TABLE_HPP
#define BUCKTHORNUSHER_GRANT_TABLE_HPP

#include "buckthornusher/ownership.hpp"
#include "buckthornusher/time.hpp"
#include "buckthornusher/upstream_report.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornusher
{

struct grant_options
{
    duration max_valid_for = 10s;         // of one hold
    duration min_valid_for = 300ms;       // a shorter one is not worth an answer
    int drift_percent = 2;                // by which the upstream's clock may be slow
    duration margin = 50ms;               // between a hold's end and that of the lease
    std::size_t max_answer_bytes = 3'900; // an answer's ranges at most
    std::size_t bytes_per_range = 30;     // of a range besides its handover
    friend bool operator==(grant_options const&, grant_options const&) = default;
};

// A shard that the upstream is to hold.
struct wanted_shard
{
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::string handover;
    bool idle = false; // nobody asks for it at present
    friend bool operator==(wanted_shard const&, wanted_shard const&) = default;
};

// A node's shards, by what the next answer does with them.
struct shards_by_move
{
    std::vector<wanted_shard> wanted;
    std::vector<wanted_shard> leaving; // a successor is named
    friend bool operator==(shards_by_move const&, shards_by_move const&) = default;
};
shards_by_move partition_by_move(std::vector<owned_shard> const& owned,
                                 std::function<bool(std::uint32_t)> const& is_idle);

struct released_shard
{
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::string handover;
    friend bool operator==(released_shard const&, released_shard const&) = default;
};

class grant_table
{
public:
    // `shards`: of the service, whose keys are numbers.
    grant_table(std::uint32_t shards, grant_options opts)
        : m_shards(shards), m_options(opts)
    {
    }

    // A report has come. Returns what to answer: nothing if neither a grant nor a release
    // may be told now, so that the upstream goes on with what it has until that runs out.
    // `wanted` are in rising order. `leaving` are to be released from now on; an earlier
    // process may have granted them. `again_soon`: further shards are about to come.
    // Requires that late reports have been sorted out (report_order.hpp).
    std::optional<upstream_grant> on_report(upstream_report const& report,
                                            std::vector<wanted_shard> wanted,
                                            std::vector<wanted_shard> const& leaving,
                                            bool expects_shards, instant lease_until,
                                            instant now);

    // Shards that were left out and that the upstream certainly holds no longer, since
    // the last call.
    std::vector<released_shard> take_released(instant now);

    // The upstream holds the shard at that epoch at least until then, as far as its last
    // reports and answers say; in the past if it does not.
    instant held_until(std::uint32_t shard, std::uint64_t epoch) const;
    // The upstream said that it does not hold the shard: nothing is sent for it before
    // the next report.
    void mark_not_held(std::uint32_t shard);

    // When everything that was granted has certainly run out.
    instant all_expired_at() const { return m_all_expired_at; }

private:
    struct state
    {
        std::uint64_t epoch = 0;
        instant held_until; // held at least until then
        instant expired_at; // not held after, by the upstream's slow clock
        bool left_out = false;
        std::string handover; // given at its release
    };

    void withhold_one_idle(upstream_report const& report,
                           std::vector<wanted_shard>& wanted, instant now);
    bool reserve_bytes(granted_range const& range, std::size_t& bytes_left) const;
    void apply_report(upstream_report const& report, instant now);
    upstream_grant make_grant(upstream_report const& report,
                              std::vector<wanted_shard> const& wanted) const;

    std::uint32_t m_shards;
    grant_options m_options;
    std::map<std::uint32_t, state> m_states; // of shards granted and not yet released
    std::vector<released_shard> m_released;
    std::optional<std::uint32_t> m_withheld; // by the last answer, though it stays wanted
    instant m_all_expired_at;
};

} // namespace buckthornusher

#endif
