// Shards whose keys are granted to the upstream beside a node, and when each grant ends.
//
// An upstream that serves only granted keys reports to its node about once a second. Each
// answer renews or ends its grants. The table computes the answers:
//   - It grants the shards that the node owns and has not begun to release. A grant ends
//     before the node's lease, even if the upstream's clock runs slow.
//   - A shard that an answer leaves out is released once a later report no longer names
//     its keys, or once all earlier grants of it have expired.
//   - State that the upstream hands over at a release goes into the next holder's grant.
//   - An upstream holds a range until no request of any of its keys is running. Grants
//     are therefore split into short ranges: a long one would not be released before its
//     slowest request ended.
//   - While the node expects further shards, each answer leaves out one idle shard, which
//     the next answer grants again. An upstream that has something to release reports
//     again immediately, so new shards need not wait for its next periodic report.
//
// Safety: every grant ends before the lease under which it was given, so the shards are
// free for their next owner when the lease ends. A shard is not returned as released
// while an earlier grant of it may be in force, also if answers are lost.
//
// An answer takes time to arrive, or is lost. Requests for a new grant may be sent from
// shortly after the answer. If the upstream rejects one, mark_not_held() stops them for a
// pause that doubles with each rejection; the next report ends the doubling.
//
//   grant_table table(shards, {...});
//   auto parts = partition_by_move(owned, is_idle);
//   auto answer = table.on_report(report, parts.wanted, parts.leaving, expects_shards,
//                                 lease_until, now);
//   for (auto& r : table.take_released(now)) ...
//   if (table.may_send(shard, epoch, now)) ...
//
// Only durations on one process's clock are compared; an upstream's clock may be slower
// by `drift_percent`. Not thread-safe. Cost: O(n log n) in the shards and the reported
// ranges for each report, O(log n) for each query.
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
    duration max_grant_duration = 10s;    // upper bound on the duration of a grant
    duration min_grant_duration = 300ms;  // no answer is sent if a grant would be shorter
    int drift_percent = 2;                // by which the upstream's clock may run slow
    duration margin = 50ms;               // from the end of a grant to that of the lease
    std::size_t max_blocks = 32;          // that an upstream's shards are granted in
    std::size_t max_answer_bytes = 3'900; // for all ranges of an answer
    std::size_t bytes_per_range = 30;     // size of a range without its handover
    friend bool operator==(grant_options const&, grant_options const&) = default;
};

// A shard to grant to the upstream or, in `leaving`, to withdraw from it.
struct wanted_shard
{
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::string handover;
    bool idle = false; // has no requests at present
    friend bool operator==(wanted_shard const&, wanted_shard const&) = default;
};

// A node's shards, split by whether they are about to move to another owner.
struct shards_by_move
{
    std::vector<wanted_shard> wanted;
    std::vector<wanted_shard> leaving; // have a successor
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
    // `shards` is the number of shards of the service, whose keys must be numbers.
    grant_table(std::uint32_t shards, grant_options opts)
        : m_shards(shards), m_options(opts)
    {
    }

    // Applies a report and returns the answer to it. Returns nothing if the lease is too
    // short for a grant; the upstream then keeps its current grants until they expire.
    // `wanted` must be in ascending order of index. Shards in `leaving` are to be
    // released, even if this table never granted them: an earlier process may have.
    // `expects_shards`: the node is about to own further shards. Requires that late
    // reports were dropped (report_order.hpp).
    std::optional<upstream_grant> on_report(upstream_report const& report,
                                            std::vector<wanted_shard> wanted,
                                            std::vector<wanted_shard> const& leaving,
                                            bool expects_shards, instant lease_until,
                                            instant now);

    // Returns the shards released since the last call: answers left them out, and the
    // upstream certainly no longer holds them.
    std::vector<released_shard> take_released(instant now);

    // Returns the time until which the upstream holds the shard at that epoch, according
    // to the latest reports and answers; a time in the past if it does not hold it.
    instant held_until(std::uint32_t shard, std::uint64_t epoch) const;
    // Whether requests may be sent now: the upstream holds the shard at that epoch and,
    // by the time since the answer, knows so.
    bool may_send(std::uint32_t shard, std::uint64_t epoch, instant now) const;
    // The upstream rejected a request because it does not hold the shard.
    void mark_not_held(std::uint32_t shard, instant now);

    // Returns when all grants have certainly expired.
    instant all_expired_at() const { return m_all_expired_at; }

private:
    struct state
    {
        std::uint64_t epoch = 0;
        instant held_until; // the upstream holds it at least until then
        instant expired_at; // not held after, even if the upstream's clock is slow
        instant send_from;  // the upstream may not know of the grant before
        duration rejection_pause{0}; // after the last rejection since the last report
        bool left_out = false;
        std::string handover; // from the upstream at its release
    };

    void withhold_one_idle(upstream_report const& report,
                           std::vector<wanted_shard>& wanted, instant now);
    bool reserve_bytes(granted_range const& range, std::size_t& bytes_left) const;
    void apply_report(upstream_report const& report, instant now);
    upstream_grant make_grant(upstream_report const& report,
                              std::vector<wanted_shard> const& wanted) const;

    std::uint32_t m_shards;
    grant_options m_options;
    std::map<std::uint32_t, state> m_states; // shards granted and not yet released
    std::vector<released_shard> m_released;
    // The idle shard that was left out of the last answer, if any.
    std::optional<std::uint32_t> m_withheld;
    instant m_all_expired_at;
};

} // namespace buckthornusher

#endif
