// Selects the node to send a request with a key to next.
//
// The local replica names the shard's owner, and a node that does not own the shard
// answers with the owner that it knows; either may be out of date. The higher epoch takes
// precedence. A node that denied ownership at an epoch is not asked again at that epoch
// for `denial_retry_interval`. Nodes that name each other, or an owner whose loss is not
// known here yet, therefore cost one attempt each, and the request then waits for an
// update of the replica.
//
// Built for many requests for a range that is being moved or has lost its owner.
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
    owner_id owner; // empty: unknown
    std::uint64_t epoch = 0;
    friend bool operator==(named_owner const&, named_owner const&) = default;
};

struct owner_search_options
{
    duration denial_retry_interval =
        100ms; // until an owner is asked again at the same epoch
    friend bool operator==(owner_search_options const&,
                           owner_search_options const&) = default;
};

class owner_search
{
public:
    owner_search() = default;
    explicit owner_search(owner_search_options opts) : m_options(opts) {}

    // Returns the owner to ask now, given the one that the replica names, and records it
    // as asked. Empty: wait for an update.
    std::optional<named_owner> next(named_owner const& by_replica, instant now);

    // The owner that was asked last does not own the shard. `named`: the owner that it
    // knows, if any.
    void on_moved(named_owner const& named, instant now);

    // Discards all answers of nodes, so that only the replica counts.
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
    named_owner m_named_by_node; // by a node, at the highest epoch so far
    std::vector<denial> m_denials;
};

} // namespace buckthornusher

#endif
