// Members: the nodes of the fleet, as described by their records in the store.
#ifndef BUCKTHORNUSHER_MEMBER_HPP
#define BUCKTHORNUSHER_MEMBER_HPP

#include "buckthornusher/upstream_incarnation.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher
{

// One run of a node's process. A restarted node has a new incarnation, which holds none
// of the leases or promises of the previous one.
struct member_id
{
    std::string node;
    std::uint64_t incarnation = 0; // 0: no member

    friend auto operator<=>(member_id const&, member_id const&) = default;
    explicit operator bool() const { return incarnation != 0; }
};

// The owner of a shard: a node in one generation. A generation outlasts a restart of the
// node's process, because the upstream beside it keeps running. It ends when the member
// is evicted or leaves, or when its upstream is lost; the node's next generation has a
// higher number.
struct owner_id
{
    std::string node;
    std::uint64_t generation = 0; // 0: no owner

    friend auto operator<=>(owner_id const&, owner_id const&) = default;
    explicit operator bool() const { return generation != 0; }
};

enum class member_state
{
    live,
    evicting, // another member is ending this member's lease
    gone,     // the lease is over; the shards may be reassigned
};

constexpr char const* to_string(member_state state)
{
    switch (state)
    {
    case member_state::live:
        return "live";
    case member_state::evicting:
        return "evicting";
    case member_state::gone:
        return "gone";
    }
    return "unknown";
}

// An upstream beside the node, and how many requests it runs at once.
struct target
{
    std::string service;
    std::uint32_t slots = 0;
    std::string incarnation; // incarnation of the upstream; shards do not outlast it
    bool draining = false;   // gets no further shards
    friend bool operator==(target const&, target const&) = default;
};

// The store's object for a node, shared by all its incarnations.
//
// Invariants: the record changes only by conditional updates, so an eviction reads the
// member's latest watchers, and of a concurrent restart and eviction only one succeeds.
// `inherited` is set while the generation is older than the incarnation: an earlier
// process may have been granted a lease that still runs. `targets` and `departed` are
// what the node's next process must know of the upstreams (upstream_history.hpp).
struct member_record
{
    member_id id;
    std::uint64_t generation = 0;
    bool inherited = false;
    std::string endpoint; // where peers reach it, "tcp://IP:port"
    std::string region;
    std::string domain; // failure domain
    member_state state = member_state::live;
    std::vector<member_id> watchers;
    std::uint64_t watcher_changes = 0; // replacements of the watchers, by any process
    std::vector<target> targets;
    std::vector<upstream_incarnation> departed; // announced their exit, latest last
    bool draining = false;                      // gets no further shards
    // Of the store, in which the member vouched for its record last (store_rewind.hpp).
    std::uint64_t store_era = 0;

    owner_id owner() const { return {.node = id.node, .generation = generation}; }
    friend bool operator==(member_record const&, member_record const&) = default;
};

// Returns how many of `count` members form a majority. Zero members have no majority.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace buckthornusher

#endif
