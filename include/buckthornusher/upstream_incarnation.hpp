// One run of an upstream's process.
#ifndef BUCKTHORNUSHER_UPSTREAM_INCARNATION_HPP
#define BUCKTHORNUSHER_UPSTREAM_INCARNATION_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace buckthornusher
{

// Of two incarnations the one that started later is current. An incarnation may have the
// id of an earlier one.
struct upstream_incarnation
{
    std::string id;
    std::uint64_t started = 0; // by the upstream's clock; 0: unknown
    friend auto operator<=>(upstream_incarnation const&,
                            upstream_incarnation const&) = default;
};

// Returns "ID@STARTED".
std::string to_string(upstream_incarnation const& incarnation);
// Reads the text of to_string(). A text without a start time is an id.
upstream_incarnation parse_incarnation(std::string const& text);

} // namespace buckthornusher

#endif
