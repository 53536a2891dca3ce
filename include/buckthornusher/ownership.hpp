// The shards that this member serves, and the number of requests running in each.
//
// shard_ownership tracks the assignments that name this member. A shard is served while
// its assignment names this member as the owner, the shard has not been released, and the
// lease is valid. The caller passes the end of the lease to each admission and check.
//
// A planned move drains the shard: no further requests are admitted, and the shard is
// released when its last running request ends. After the release this member never
// serves the shard again at this epoch, whatever assignments it receives. The release is
// repeated until an assignment is seen that has a higher epoch, or whose move was
// cancelled before the release. The drain begins with the assignment that names a
// successor. With `drain_on_demand` it begins when the embedder calls begin_drain(): an
// upstream that must be notified of a move serves the shard until it is notified.
//
// Not thread-safe. Cost: O(log n) in the member's shards for each request.
#ifndef BUCKTHORNUSHER_OWNERSHIP_HPP
#define BUCKTHORNUSHER_OWNERSHIP_HPP

#include "buckthornusher/lease.hpp"
#include "buckthornusher/shard_map.hpp"
#include "buckthornusher/time.hpp"

#include <map>
#include <variant>
#include <vector>

namespace buckthornusher
{

// ---- answers to try_begin() ----

struct may_run // counted as running until end()
{
    std::uint64_t epoch = 0;
    instant lease_until; // nothing may be sent to the upstream at or after this
    friend bool operator==(may_run const&, may_run const&) = default;
};

struct owned_elsewhere
{
    owner_id owner; // none: not known here, or the shard has no owner
    std::uint64_t epoch = 0;
    friend bool operator==(owned_elsewhere const&, owned_elsewhere const&) = default;
};

struct not_yet // this member is about to own the shard, or has no lease at present
{
    friend bool operator==(not_yet const&, not_yet const&) = default;
};

using admission_check = std::variant<may_run, owned_elsewhere, not_yet>;

struct shard_release
{
    shard_id shard;
    std::uint64_t epoch = 0; // at which this member owned it
    std::string handover;    // from the upstream for its successor; may be empty
    friend bool operator==(shard_release const&, shard_release const&) = default;
};

// A shard that this member owns and has not released.
struct owned_shard
{
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::string handover; // from the previous owner's upstream
    bool moving = false;  // a successor is named
    friend bool operator==(owned_shard const&, owned_shard const&) = default;
};

class shard_ownership
{
public:
    shard_ownership(guards g, bool drain_on_demand)
        : m_guards(g), m_drain_on_demand(drain_on_demand)
    {
    }

    // Begins an owner generation. Shards of an earlier generation are no longer served.
    // The caller must pass assignments that name the new generation again.
    void set_self(owner_id self) { m_self = std::move(self); }

    // Applies a newer assignment of the shard. Requires calls in the order of the shard
    // group's versions. Returns whether this call released the shard.
    bool on_assignment(shard_id const& shard, assignment const& a);

    // Begins a request. `lease_until` is the end of the member's lease.
    admission_check try_begin(shard_id const& shard, instant now, instant lease_until);

    // Returns whether a request admitted at `epoch` may still be sent to the upstream.
    bool may_send(shard_id const& shard, std::uint64_t epoch, instant now,
                  instant lease_until) const;

    // Ends a request. Returns whether this call released the shard.
    bool end(shard_id const& shard);

    // Begins to drain a shard that has a successor. Returns whether this call released
    // the shard.
    bool begin_drain(shard_id const& shard);

    // Shards that are owned and not draining, in the order of their indices.
    std::vector<owned_shard> owned_shards(std::string const& service) const;

    // Number of the service's shards that another owner is to release to this member.
    std::size_t incoming(std::string const& service) const;

    // Released shards whose release is not yet visible in the shard map. Their handovers
    // are not set.
    std::vector<shard_release> releases() const;

    std::size_t owned() const;   // number of shards
    std::size_t running() const; // number of requests

private:
    struct state
    {
        assignment current;
        std::uint32_t running = 0;
        bool draining = false; // requests are no longer admitted at current.epoch
        bool released = false; // at current.epoch
    };

    bool owns(state const& s) const
    {
        return m_self && s.current.owner == m_self && !s.released;
    }
    bool admits(state const& s) const;
    bool release_if_drained(state& s) const;

    owner_id m_self; // none before the first generation
    guards m_guards;
    bool m_drain_on_demand;
    // Shards whose assignment names this member, and others with running requests.
    std::map<shard_id, state> m_shards;
};

} // namespace buckthornusher

#endif
