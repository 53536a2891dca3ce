// A node's copy of the store's objects.
//
//   replica copy;
//   copy.apply(object);                  // keeps the higher version
//   copy.apply_range(from, to, objects); // all changes of fleet objects in (from, to]
//   copy.missing_from(kind, to, listed); // deletions implied by a full list as of `to`
//
// Objects come from the store and from peers, in any order and more than once; for each
// name the highest version wins, so the copy never goes back. After the store came back
// from an older copy of itself, what it forgot holds under the version that it gave
// (store_rewind.hpp), until it is written again. The copy includes all
// changes of fleet objects up to `revision`, all changes of the configuration up to
// `config_revision`, and all changes of evacuations up to `evacuation_revision`.
// Deletions are kept as objects without a value so that they reach peers.
//
// The copy may lag behind the store. Safety does not depend on its freshness: an owner
// loses a shard only by its own release or when its lease has been ended.
//
// Cost: apply is O(log n) in the number of objects; memory is that of the records.
#ifndef BUCKTHORNUSHER_REPLICA_HPP
#define BUCKTHORNUSHER_REPLICA_HPP

#include "buckthornusher/record.hpp"

#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornusher
{

class replica
{
public:
    replica() = default;
    replica(replica&&) = default;
    replica& operator=(replica&&) = default;

    // Returns whether the copy has changed.
    bool apply(object const& o);

    // The fleet objects of which the copy knows more than was found in the store.
    std::set<std::string> const& ahead_of_store() const { return m_ahead; }
    // Returns the fleet objects that the copy has only by versions of earlier eras. The
    // store lacks them if it was listed in this one.
    std::vector<std::string> of_earlier_eras(std::uint64_t era) const;

    // Applies all changes of fleet objects in (from, to]. Returns false if there is a gap
    // between the copy's revision and `from`; the objects are applied nevertheless.
    bool apply_range(std::uint64_t from, std::uint64_t to,
                     std::vector<object> const& objects);

    // Returns the deletions implied by a full list of the kind as of `to`: known objects
    // that the list lacks. Without earlier eras of the store: only those written in the
    // list's era, as the store may have forgotten the others.
    std::vector<object> missing_from(object_kind kind, std::uint64_t to,
                                     std::vector<object> const& objects,
                                     bool with_earlier_eras = true) const;

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t config_revision() const { return m_config_revision; }
    // Notes that the configuration is complete up to `to`.
    void note_config_revision(std::uint64_t to);

    std::uint64_t evacuation_revision() const { return m_evacuation_revision; }
    // Notes that the evacuations are complete up to `to`.
    void note_evacuation_revision(std::uint64_t to);
    // Returns all evacuations, also those that have ended.
    std::vector<object> evacuations() const;
    bool is_evacuated(std::string_view domain) const
    {
        return m_evacuated.contains(domain);
    }
    std::set<std::string, std::less<>> const& evacuated_domains() const
    {
        return m_evacuated;
    }

    // Returns the fleet objects with versions above `since`.
    std::vector<object> changed_since(std::uint64_t since) const;

    // Returns the object, or null if the copy has never seen it.
    object const* find(std::string const& name) const;
    std::uint64_t version_of(std::string const& name) const; // 0: unknown

    // Returns null if unknown or deleted, or if the node has another incarnation.
    member_record const* member(member_id const& id) const;
    // Returns the node's current record; null if unknown or deleted.
    member_record const* node(std::string const& name) const;
    // Returns the member that serves for the owner; null if the generation is over.
    member_record const* serving(owner_id const& owner) const;
    // Whether this incarnation is over: gone, deleted, or followed by a later one. False
    // for an unknown node.
    bool is_gone(member_id const& id) const;
    // Whether the generation is over. False for an unknown node.
    bool is_over(owner_id const& owner) const;
    config_record const* config() const;
    shard_group_record const* shard_group(shard_id const& shard) const;
    assignment const* find_assignment(shard_id const& shard) const;

    // All member records, ordered by id; one per node.
    std::map<member_id, member_record> const& members() const { return m_members; }

    // Changes with each applied object; lets readers cache derived tables.
    std::uint64_t change_count() const { return m_change_count; }

    // The same, for member records only.
    std::uint64_t member_change_count() const { return m_member_change_count; }

    // The same, for evacuations only.
    std::uint64_t evacuation_change_count() const { return m_evacuation_change_count; }

private:
    void note_evacuation(std::string_view domain, bool evacuated);
    std::optional<record> value_of_both(object const& known, object const& found);
    void index(object const& o);

    std::uint64_t m_revision = 0;
    std::uint64_t m_config_revision = 0;
    std::uint64_t m_evacuation_revision = 0;
    std::uint64_t m_change_count = 0;
    std::uint64_t m_member_change_count = 0;
    std::uint64_t m_evacuation_change_count = 0;
    std::map<std::string, object> m_objects;
    std::set<std::string> m_ahead; // see ahead_of_store()
    // Exactly the versions in m_objects.
    std::set<std::pair<std::uint64_t, std::string>> m_by_version;
    // The domains of the evacuations among m_objects that have a value.
    std::set<std::string, std::less<>> m_evacuated;
    std::map<member_id, member_record> m_members; // the present values among m_objects
    // By service and shard group number; null where the group is unknown. Points into
    // m_objects.
    std::map<std::string, std::vector<shard_group_record const*>, std::less<>>
        m_shard_groups;
};

} // namespace buckthornusher

#endif
