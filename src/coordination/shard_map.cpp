// Implementation of shard maps and rendezvous scores; see the header.
#include "buckthornusher/shard_map.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace buckthornusher
{

std::uint32_t shard_of_key(std::string_view key, std::uint32_t shards)
{
    auto const hash = XXH3_64bits(key.data(), key.size());
    // The high half of hash * shards divides the hash space into equal ranges.
    return static_cast<std::uint32_t>((static_cast<unsigned __int128>(hash) * shards) >>
                                      64U);
}

std::uint32_t shard_of_number(std::uint32_t number, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(std::uint64_t{number} * shards / number_keys);
}

key_range numbers_of_shard(std::uint32_t shard, std::uint32_t shards)
{
    // The first number of shard `s`.
    auto const first = [shards](std::uint64_t s)
    {
        return static_cast<std::uint32_t>((s * number_keys + shards - 1) / shards);
    };
    return {.first = first(shard), .last = first(shard + 1) - 1};
}

std::uint64_t rendezvous_score(std::string_view subject, std::string_view candidate)
{
    auto const seed = XXH3_64bits(subject.data(), subject.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace buckthornusher
