// Writes a line when what this process believes changes: its lease, the shards it owns,
// the work it does for others, the fleet's members, and whether what it depends on
// answers.
//
// Only changes are written, with what they rest on: the replica's revision, ages, and
// for a dependency the step that failed. Cost: O(1) for a call without a change,
// O(members) when a member's record has changed.
#ifndef BUCKTHORNUSHER_PROCESS_STATE_LOG_HPP
#define BUCKTHORNUSHER_PROCESS_STATE_LOG_HPP

#include "buckthornusher/coordinator.hpp"

#include <map>
#include <string>
#include <string_view>

namespace buckthornusher
{

// Something that this process needs and that can stop answering.
class dependency
{
public:
    // `kind`: "store", "peer" or "upstream"; `name` tells it from others of the kind.
    dependency(std::string_view kind, std::string name)
        : m_kind(kind), m_name(std::move(name))
    {
    }

    // `why`: what went wrong; written when it is lost.
    void set(bool answers, std::string_view why, instant now);
    bool answers() const { return m_answers; }

private:
    std::string_view m_kind; // a literal
    std::string m_name;
    bool m_answers = true;
    instant m_lost_at;
};

class state_log
{
public:
    void follow(coordinator const& coord, instant now);

private:
    void follow_members(coordinator const& coord);
    void follow_lease(coordinator const& coord, instant now);
    void follow_work(coordinator const& coord, instant now);

    struct seen_member
    {
        member_id id;
        std::uint64_t generation = 0;
        member_state state = member_state::live;
        bool draining = false;
        friend bool operator==(seen_member const&, seen_member const&) = default;
    };

    std::uint64_t m_member_change_count = 0;
    std::map<std::string, seen_member> m_members; // by node
    bool m_leased = false;
    instant m_leased_since;
    std::size_t m_owned = 0; // shards
    bool m_listens = false;
    bool m_config_listens = false;
};

} // namespace buckthornusher

#endif
