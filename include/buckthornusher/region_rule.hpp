// The regions to which a request is bound.
//
// A route may name the regions in which its requests are served. Such a request reaches
// no upstream elsewhere, and its body is sent to no node elsewhere, except to nodes in
// the region of its caller. A request that waits while a new document changes the regions
// keeps to the old and the new ones.
//
// Built for services in several regions with callers in all of them, for the loss of all
// upstreams in the allowed regions, and for changes of the document under load.
//
// Values in, values out. Cost: O(regions) for each question, and none for requests that
// are not bound.
#ifndef BUCKTHORNUSHER_REGION_RULE_HPP
#define BUCKTHORNUSHER_REGION_RULE_HPP

#include "buckthornusher/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// A set of regions: all, some or none.
//
// Invariant: m_names is sorted and has no duplicates and no empty name; it is empty if
// not m_bound.
class region_bound
{
public:
    region_bound() = default; // all regions
    // An empty list stands for all regions, as in a document. Names without text stand
    // for no region.
    explicit region_bound(std::vector<std::string> names);

    bool bound() const { return m_bound; }
    bool allows(std::string_view region) const;

    // Returns the list of which the constructor makes this set.
    std::vector<std::string> names() const;

    friend bool operator==(region_bound const&, region_bound const&) = default;

private:
    friend region_bound both(region_bound const& a, region_bound const& b);

    bool m_bound = false;
    std::vector<std::string> m_names;
};

// Returns the regions that both allow.
region_bound both(region_bound const& a, region_bound const& b);

// Returns the regions that at least one of them allows.
region_bound either(region_bound const& a, region_bound const& b);

// Returns the regions in which the shards of a service may be owned, whose routes have
// the given bounds: those that all allow or, if there are none, those that any allows.
// All regions if a route is not bound.
region_bound owner_regions(std::vector<region_bound> const& routes);

// Returns whether a node of the caller's region may send the body to a node of `region`.
bool may_carry(region_bound const& bound, std::string_view region,
               std::string_view caller_region);

// Returns the bound for a log: the names with commas, "any" or "none".
std::string to_string(region_bound const& bound);

// ---- requests that no allowed region can take ----

// What is known of a request's upstreams that can be chosen.
struct region_supply
{
    bool inside = false;  // in the allowed regions
    bool outside = false; // in others
    // When the service's first upstream became known here.
    instant known_since;
};

struct region_options
{
    // Upstreams of a fleet that starts become known within this time.
    duration settle_time = std::chrono::seconds(3);
    // Retry hints: the shard is on its way to an allowed region; nothing is known to
    // change.
    duration moving_retry_after = std::chrono::milliseconds(300);
    duration retry_after = std::chrono::seconds(1);
};

// Returns the retry hint with which to refuse a request that has no usable upstream in
// its regions, or nothing if it may wait for one.
std::optional<duration> refusal_without_upstream(region_bound const& bound,
                                                 region_supply const& supply, instant now,
                                                 region_options const& opts = {});

// Returns the retry hint with which to refuse a request whose shard is owned in the
// region `owner`, or nothing if it may be sent there. `successor`: the region of the
// member to which the shard moves, if any.
std::optional<duration> refusal_at_owner(region_bound const& bound,
                                         std::string_view owner,
                                         std::optional<std::string> const& successor,
                                         region_options const& opts = {});

} // namespace buckthornusher

#endif
