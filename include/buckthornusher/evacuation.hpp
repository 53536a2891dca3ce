// Until when an evacuated failure domain's upstreams get requests.
//
// Operators evacuate a domain in the store; from `bound` after the store acknowledged it
// no request may reach an upstream there. A node learns of it later than that moment, and
// does not know how much later; so its time is counted from the moment at which it first
// knew, and in any case from the last one at which the entry is known to have been
// absent.
//
// Entries send no request without a key as soon as they know, as another upstream can
// take it. Keyed requests go to the present owner a while longer, so that their shards
// move with handover and without a gap. The node beside an upstream refuses requests
// without a key a little later than entries stop sending them, as some entries learn
// later than others.
//
// Built for an evacuation under full load: all requests of a domain change their upstream
// within a second or two. Pure; cost O(1).
#ifndef BUCKTHORNUSHER_EVACUATION_HPP
#define BUCKTHORNUSHER_EVACUATION_HPP

#include "buckthornusher/time.hpp"

#include <optional>
#include <string_view>

namespace buckthornusher
{

// Invariant: known <= unkeyed_until and known <= keyed_until, unless the entry was absent
// so long ago that its time was over before it was known.
struct evacuation_window
{
    instant known;
    instant unkeyed_until; // the node beside the upstream accepts requests without a key
    instant keyed_until;   // owners in the domain get requests for their shards
    friend bool operator==(evacuation_window const&, evacuation_window const&) = default;
};

// `known`: when this node first knew of the evacuation. `absent_as_of`: the last moment
// at which the entry is known to have been absent; nothing if there is none, then the
// window is over at once. `bound` must be above 0.
evacuation_window window_of(instant known, std::optional<instant> absent_as_of,
                            duration bound);

// Whether operators may name a domain so by a node's interface: up to 200 letters,
// digits, '-', '_' and '.'.
bool is_plain_domain(std::string_view name);

// Whether an entry may send a request to an upstream of the domain. No window: the domain
// is not evacuated.
bool entry_may_send(std::optional<evacuation_window> const& window, bool keyed,
                    instant now);

// Whether the node beside an upstream of the domain may start a request there.
bool node_may_start(std::optional<evacuation_window> const& window, bool keyed,
                    instant now);

} // namespace buckthornusher

#endif
