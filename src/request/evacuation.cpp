// Implementation of the window of an evacuation; see the header.
#include "buckthornusher/evacuation.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Parts of the bound.
constexpr double unkeyed_share = 0.2; // after the node knows
constexpr double keyed_share = 0.6;   // after the node knows
constexpr double last_share = 0.9;    // after the entry was absent; the rest is transit

duration share_of(duration bound, double share)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(bound.count()) * share));
}

} // namespace

evacuation_window window_of(instant known, std::optional<instant> absent_as_of,
                            duration bound)
{
    if (!absent_as_of)
        return {.known = known, .unkeyed_until = known, .keyed_until = known};
    auto const last = *absent_as_of + share_of(bound, last_share);
    return {.known = known,
            .unkeyed_until = std::min(last, known + share_of(bound, unkeyed_share)),
            .keyed_until = std::min(last, known + share_of(bound, keyed_share))};
}

bool is_plain_domain(std::string_view name)
{
    constexpr std::size_t max_bytes = 200;
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= max_bytes &&
           name.find_first_not_of(allowed) == std::string_view::npos;
}

bool entry_may_send(std::optional<evacuation_window> const& window, bool keyed,
                    instant now)
{
    return !window || (keyed && now < window->keyed_until);
}

bool node_may_start(std::optional<evacuation_window> const& window, bool keyed,
                    instant now)
{
    return !window || now < (keyed ? window->keyed_until : window->unkeyed_until);
}

} // namespace buckthornusher
