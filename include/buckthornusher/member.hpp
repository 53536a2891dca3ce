// Members: the nodes of the fleet, as their records in the store describe them.
#ifndef BUCKTHORNUSHER_MEMBER_HPP
#define BUCKTHORNUSHER_MEMBER_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornusher
{

// One run of a node's process. A restarted node has a new incarnation and shares
// nothing with the old one: no lease, no promise, no assignment.
struct member_id
{
    std::string node;
    std::uint64_t incarnation = 0; // 0: no member

    friend auto operator<=>(member_id const&, member_id const&) = default;
    explicit operator bool() const { return incarnation != 0; }
};

enum class member_state
{
    live,
    evicting, // another member is ending this member's lease
    gone,     // the lease is over; the shards may be given to others
};

// An upstream beside the node, and how many requests it runs at once.
struct target
{
    std::string service;
    std::uint32_t slots = 0;
    friend bool operator==(target const&, target const&) = default;
};

// Invariant: `watchers` and `state` change only by conditional updates of this record,
// so the watchers that an eviction reads are those that the member had last.
struct member_record
{
    member_id id;
    std::string endpoint; // where its peers reach it, "tcp://IP:port"
    std::string region;
    std::string domain; // failure domain
    member_state state = member_state::live;
    std::vector<member_id> watchers;
    std::vector<target> targets;
    bool draining = false; // gets no further shards

    friend bool operator==(member_record const&, member_record const&) = default;
};

// The number of `count` members that makes a majority. Zero members have none.
constexpr std::size_t majority_of(std::size_t count)
{
    return count / 2 + 1;
}

} // namespace buckthornusher

#endif
