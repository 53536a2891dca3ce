// Logs changes of this process's state: its lease, the shards it owns, its watches on the
// store, the fleet's members, evacuated domains, and the availability of its
// dependencies.
//
// Only changes are logged, with the data behind them: the replica's revision, ages, and
// for a dependency the step that failed. Cost: O(1) for a call without a change,
// O(members) when a member's record has changed.
//
// In the log an owner generation is `tenure`, and the name of a dependency is `peer`.
#ifndef BUCKTHORNUSHER_PROCESS_STATE_LOG_HPP
#define BUCKTHORNUSHER_PROCESS_STATE_LOG_HPP

#include "buckthornusher/coordinator.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace buckthornusher
{

// An external dependency of this process and whether it is available.
class dependency
{
public:
    // `kind`: "store", "peer" or "upstream"; `name` identifies it among its kind.
    dependency(std::string_view kind, std::string name)
        : m_kind(kind), m_name(std::move(name))
    {
    }

    // Logs a change of availability. `cause`: the failure, logged when it is lost.
    void set(bool available, std::string_view cause, instant now);
    bool available() const { return m_available; }

private:
    std::string_view m_kind; // must be a string literal
    std::string m_name;
    bool m_available = true;
    instant m_lost_at;
};

class state_log
{
public:
    // Logs what has changed since the last call. To be called on each turn of the loop.
    void log_changes(coordinator const& coord, instant now);

private:
    void log_member_changes(coordinator const& coord);
    void log_lease_changes(coordinator const& coord, instant now);
    void log_watch_changes(coordinator const& coord, instant now);
    void log_config_changes(coordinator const& coord, instant now);
    void log_evacuation_changes(coordinator const& coord);

    struct logged_member
    {
        member_id id;
        std::uint64_t generation = 0;
        member_state state = member_state::live;
        bool draining = false;
        friend bool operator==(logged_member const&, logged_member const&) = default;
    };

    std::uint64_t m_member_change_count = 0;
    std::map<std::string, logged_member> m_members; // by node
    bool m_leased = false;
    instant m_lease_changed_at;
    std::size_t m_owned = 0; // shards
    bool m_watches_fleet = false;
    bool m_watches_config = false;
    std::uint64_t m_config_version = 0;
    bool m_watches_evacuations = false;
    std::uint64_t m_evacuation_change_count = 0;
    std::set<std::string, std::less<>> m_evacuated; // domains
};

} // namespace buckthornusher

#endif
