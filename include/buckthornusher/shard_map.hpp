// Shards, their assignments, and the chunks of them that the store holds.
//
// A keyed service divides the hash space of its keys into a fixed number of shards.
// An assignment names a shard's owner and its epoch; each change of owner raises the
// epoch. Assignments of neighbouring shards share a chunk, one object of the store, so
// that one conditional update can move many shards.
#ifndef BUCKTHORNUSHER_SHARD_MAP_HPP
#define BUCKTHORNUSHER_SHARD_MAP_HPP

#include "buckthornusher/member.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// Shards of one chunk. At 60 bytes each a chunk stays far below a megabyte.
inline constexpr std::uint32_t shards_per_chunk = 256;

struct shard_id
{
    std::string service;
    std::uint32_t index = 0;
    friend auto operator<=>(shard_id const&, shard_id const&) = default;
};

// Invariant: epoch is 0 only if the shard never had an owner. `successor` is set
// only while a planned move runs; until its release is recorded the owner stays owner.
struct assignment
{
    member_id owner;
    std::uint64_t epoch = 0;
    member_id successor;
    friend bool operator==(assignment const&, assignment const&) = default;
};

struct chunk_record
{
    std::string service;
    std::uint32_t first_shard = 0;
    std::vector<assignment> assignments;
    friend bool operator==(chunk_record const&, chunk_record const&) = default;
};

// A service whose keys are divided among its targets.
struct keyed_service
{
    std::string name;
    std::uint32_t shards = 0;
    friend bool operator==(keyed_service const&, keyed_service const&) = default;
};

// The shard of a key: equal ranges of a 64-bit hash. Stable across versions.
std::uint32_t shard_of_key(std::string_view key, std::uint32_t shards);

// A well mixed hash of two names, for rendezvous choices. Stable across versions.
std::uint64_t rendezvous_score(std::string_view subject, std::string_view candidate);

} // namespace buckthornusher

#endif
