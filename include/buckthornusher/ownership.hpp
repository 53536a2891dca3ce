// Which shards this member serves, and the requests that run in them.
//
// The part follows the assignments that name this member. A shard is served while the
// assignment names this member as owner, no release has been given, and the lease runs;
// the lease is passed to each admission and each check.
//
// A planned move drains the shard: no further requests are admitted, and when the last
// running one has ended the shard is released. From the release on this member never
// serves the shard again at this epoch, whatever it is told; the release is repeated
// until an assignment with a higher epoch, or one whose move was cancelled before the
// release, is seen. The drain begins with the assignment that names a successor, or, with
// `drain_on_demand`, when the embedder says so: an upstream that has to be told first
// serves until then.
//
// Cost: O(log n) in the member's shards for each request.
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
    owner_id owner; // none: nobody owns the shard yet
    std::uint64_t epoch = 0;
    friend bool operator==(owned_elsewhere const&, owned_elsewhere const&) = default;
};

struct not_yet // this member is about to own the shard, or its lease is being renewed
{
    friend bool operator==(not_yet const&, not_yet const&) = default;
};

using admission_check = std::variant<may_run, owned_elsewhere, not_yet>;

struct shard_release
{
    shard_id shard;
    std::uint64_t epoch = 0; // at which this member owned it
    std::string handover;    // from the upstream, for the successor's; may be empty
    friend bool operator==(shard_release const&, shard_release const&) = default;
};

// A shard that this member owns and has not released.
struct owned_shard
{
    std::uint32_t index = 0;
    std::uint64_t epoch = 0;
    std::string handover; // from the upstream before
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

    // Begins a tenure. Shards of an earlier one are no longer served; assignments that
    // name the new one are to be given again.
    void set_self(owner_id self) { m_self = std::move(self); }

    // A newer assignment of the shard. Calls must be in the order of the chunk's
    // versions. Returns whether the shard has been released by it.
    bool on_assignment(shard_id const& shard, assignment const& a);

    // Begins a request. `lease_until` is the member's lease.
    admission_check try_begin(shard_id const& shard, instant now, instant lease_until);

    // Whether a request that began at `epoch` may still be sent to the upstream.
    bool may_send(shard_id const& shard, std::uint64_t epoch, instant now,
                  instant lease_until) const;

    // Ends a request. Returns whether the shard has been released by it.
    bool end(shard_id const& shard);

    // Begins to drain a shard that has a successor. Returns whether it is released by it.
    bool begin_drain(shard_id const& shard);

    // In the order of their indices.
    std::vector<owned_shard> owned_shards(std::string const& service) const;

    // Shards of the service that another owner is to release to this one.
    std::size_t incoming(std::string const& service) const;

    // Shards that have drained and whose release has not been seen in the map.
    std::vector<shard_release> releases() const;

    std::size_t owned() const;   // shards
    std::size_t running() const; // requests

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

    owner_id m_self; // none before the first tenure
    guards m_guards;
    bool m_drain_on_demand;
    // Shards that name this member, and others while requests of theirs run.
    std::map<shard_id, state> m_shards;
};

} // namespace buckthornusher

#endif
