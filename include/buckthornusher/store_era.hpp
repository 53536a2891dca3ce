// The era of the store, as its answers state it.
//
// The store may come back from an older copy of itself. It has then forgotten what it
// acknowledged in between, and gives revisions out again; its era has risen by one. So an
// answer says something only about its own era.
//
// A store that never stated an era has none, and nothing is checked. Once one was stated,
// an answer that states none, one that no number is, or a lower one is an error of that
// answer: it must not be used, and never counts as a fresh store. An answer from before a
// rise that arrives after it states a lower era, and falls under the same rule.
//
// A number beyond reason is not taken over: it would make all later answers errors.
//
// Built for drills under load, where answers of two eras arrive in any order on several
// connections. Cost O(1).
#ifndef BUCKTHORNUSHER_STORE_ERA_HPP
#define BUCKTHORNUSHER_STORE_ERA_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthornusher
{

enum class era_reading
{
    same,       // also: no era was ever stated
    first,      // the first one stated
    risen,      // the store came back from an older copy
    missing,    // an error of the answer, as are the following
    unreadable, // no number, or beyond reason
    fallen,
};

constexpr bool is_error(era_reading reading)
{
    return reading >= era_reading::missing;
}

// Returns the name in logs, such as "era-missing".
std::string_view to_string(era_reading reading);

// A version of an object in the store: the era, and the revision in that era. Versions
// compare by era first, so that what is written again counts as later. Without an era a
// version is the revision.
std::uint64_t qualified_version(std::optional<std::uint64_t> era, std::uint64_t revision);
std::uint64_t revision_of_version(std::uint64_t version);
// Returns 0 for a version without an era.
std::uint64_t era_of_version(std::uint64_t version);

class store_era
{
public:
    // Reads an answer's statement; empty: it has none.
    era_reading read(std::string_view statement);

    // Nothing: none was stated yet.
    std::optional<std::uint64_t> value() const { return m_value; }

private:
    std::optional<std::uint64_t> m_value; // never falls
};

} // namespace buckthornusher

#endif
