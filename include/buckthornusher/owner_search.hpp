// Whom to ask next for a request with a key.
//
// The replica names the shard's owner, and a node that is asked and does not own the
// shard names another; either may be behind. The higher epoch counts. A node that has
// said no at an epoch is not asked again at that epoch for a while, so that nodes that
// point at each other, or an owner whose loss is not known here, cost one question each
// and the request waits for news.
//
//   load it answers: many requests for a range that is just moving or has lost its owner.
//
// Cost: O(nodes asked) for each step, at most one entry each.
#ifndef BUCKTHORNUSHER_OWNER_SEARCH_HPP
#define BUCKTHORNUSHER_OWNER_SEARCH_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornusher
{

struct named_owner
{
    owner_id owner; // none: unknown
    std::uint64_t epoch = 0;
    friend bool operator==(named_owner const&, named_owner const&) = default;
};

struct owner_search_options
{
    duration denial_retry_interval =
        100ms; // an owner that said no is not asked again before
    friend bool operator==(owner_search_options const&,
                           owner_search_options const&) = default;
};

class owner_search
{
public:
    owner_search() = default;
    explicit owner_search(owner_search_options opts) : m_options(opts) {}

    // Whom to ask now, given what the replica says; nothing: wait for news. It counts as
    // asked.
    std::optional<named_owner> next(named_owner const& by_replica, instant now);

    // The one that was asked does not own the shard and names another, or none.
    void on_moved(named_owner const& named, instant now);

    // What nodes have said no longer counts, only the replica.
    void forget();

private:
    struct denial
    {
        named_owner candidate;
        instant until;
    };

    bool denied(named_owner const& candidate, instant now) const;

    owner_search_options m_options;
    named_owner m_asked;
    named_owner m_named_by_node; // by a node
    std::vector<denial> m_denials;
};

} // namespace buckthornusher

#endif
