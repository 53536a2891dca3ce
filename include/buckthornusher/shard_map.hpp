// Shards, their assignments, and the shard groups stored as single objects.
//
// A keyed service divides its keys into a fixed number of shards: ranges of the keys
// themselves if they are numbers, otherwise of their hashes. An assignment names a
// shard's owner and its epoch; each change of owner raises the epoch. Assignments of
// consecutive shards form a shard group, one object of the store, so that one conditional
// update can move many shards.
#ifndef BUCKTHORNUSHER_SHARD_MAP_HPP
#define BUCKTHORNUSHER_SHARD_MAP_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/region_rule.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// Consecutive shards with one owner are encoded as one entry. Even without any such run,
// a group at 100 bytes per shard stays far below the store's limit of 1 MB per object.
inline constexpr std::uint32_t shards_per_group = 1'024;

struct shard_id
{
    std::string service;
    std::uint32_t index = 0;
    friend auto operator<=>(shard_id const&, shard_id const&) = default;
};

// Invariant: epoch is 0 only if the shard never had an owner. `successor` is set only
// during a planned move; the owner remains owner until its release is recorded.
struct assignment
{
    owner_id owner;
    std::uint64_t epoch = 0;
    owner_id successor;
    std::string handover; // from the previous upstream; may be empty
    friend bool operator==(assignment const&, assignment const&) = default;
};

struct shard_group_record
{
    std::string service;
    std::uint32_t first_shard = 0;
    std::vector<assignment> assignments;
    friend bool operator==(shard_group_record const&,
                           shard_group_record const&) = default;
};

// A service whose keys are divided among its targets.
struct keyed_service
{
    std::string name;
    std::uint32_t shards = 0;
    region_bound regions; // in which its shards may be owned
    friend bool operator==(keyed_service const&, keyed_service const&) = default;
};

// Returns the shard of a key: equal ranges of a 64-bit hash. Stable across versions.
std::uint32_t shard_of_key(std::string_view key, std::uint32_t shards);

// Keys that are numbers: 0 to 65,535.
inline constexpr std::uint32_t number_keys = 65'536;

struct key_range
{
    std::uint32_t first = 0;
    std::uint32_t last = 0; // inclusive
    friend auto operator<=>(key_range const&, key_range const&) = default;
};

// The shard of a numeric key, and the numeric keys of a shard. Requires number <
// number_keys and 0 < shards <= number_keys.
std::uint32_t shard_of_number(std::uint32_t number, std::uint32_t shards);
key_range numbers_of_shard(std::uint32_t shard, std::uint32_t shards);

// Hashes two names for rendezvous hashing, with well mixed bits. Stable across versions.
std::uint64_t rendezvous_score(std::string_view subject, std::string_view candidate);

} // namespace buckthornusher

#endif
