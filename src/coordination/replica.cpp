// Implementation of replica; see the header.
#include "buckthornusher/replica.hpp"

#include "buckthornusher/store_era.hpp"
#include "buckthornusher/store_rewind.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
constexpr std::string_view member_prefix = "member.";
constexpr std::string_view shard_group_prefix = "shards.";
constexpr std::string_view evacuation_prefix = "evacuation.";

struct object_namer
{
    std::string operator()(member_record const& m) const
    {
        return member_object(m.id.node);
    }
    std::string operator()(shard_group_record const& g) const
    {
        return shard_group_object(g.service, g.first_shard);
    }
    std::string operator()(config_record const& /*c*/) const { return config_object; }
    std::string operator()(evacuation_record const& e) const
    {
        return evacuation_object(e.domain);
    }
};

} // namespace

std::string member_object(std::string const& node)
{
    return std::string(member_prefix) + node;
}

std::string shard_group_object(std::string const& service, std::uint32_t first_shard)
{
    return std::string(shard_group_prefix) + service + "." +
           std::to_string(first_shard / shards_per_group);
}

std::string evacuation_object(std::string_view domain)
{
    return std::string(evacuation_prefix) + std::string(domain);
}

std::optional<std::string_view> evacuated_domain(std::string_view object)
{
    bool const names_one =
        object.starts_with(evacuation_prefix) && object.size() > evacuation_prefix.size();
    return names_one ? std::optional(object.substr(evacuation_prefix.size()))
                     : std::nullopt;
}

std::string object_name(record const& value)
{
    return std::visit(object_namer{}, value);
}

bool is_record_name(std::string_view name)
{
    return name.starts_with(member_prefix) || name.starts_with(shard_group_prefix);
}

object_kind kind_of(std::string_view name)
{
    if (name == config_object)
        return object_kind::configuration;
    return name.starts_with(evacuation_prefix) ? object_kind::evacuations
                                               : object_kind::fleet;
}

// Returns the value that stands after `found`, and notes whether it is more than was
// found.
std::optional<record> replica::value_of_both(object const& known, object const& found)
{
    auto const& later = found.version > known.version ? found : known;
    auto const& earlier = found.version > known.version ? known : found;
    if (kind_of(found.name) != object_kind::fleet || !earlier.value || !later.value)
    {
        if (found.version > known.version)
            m_ahead.erase(found.name);
        return later.value;
    }
    // A copy that the store came back from is older than what was known before.
    bool const one_era = era_of_version(earlier.version) == era_of_version(later.version);
    auto value = one_era ? merged(*earlier.value, *later.value)
                         : merged(*later.value, *earlier.value);
    // Two values of one version: one of them is more than the store gave.
    if (value != *later.value || found.version == known.version)
        m_ahead.insert(found.name);
    else if (found.version > known.version)
        m_ahead.erase(found.name);
    return value;
}

bool replica::apply(object const& o)
{
    auto& known = m_objects[o.name];
    bool const is_fleet = kind_of(o.name) == object_kind::fleet;
    if (o.version < known.version && !is_fleet)
        return false;
    if (o.version == known.version && (!is_fleet || o.value == known.value))
        return false;
    auto value = value_of_both(known, o);
    auto const version = std::max(known.version, o.version);
    if (version == known.version && value == known.value)
        return false;
    m_by_version.erase({known.version, o.name});
    m_by_version.emplace(version, o.name);
    if (known.value && std::holds_alternative<member_record>(*known.value))
        m_members.erase(std::get<member_record>(*known.value).id);
    if (known.value && std::holds_alternative<shard_group_record>(*known.value))
    {
        auto const& group = std::get<shard_group_record>(*known.value);
        m_shard_groups[group.service][group.first_shard / shards_per_group] = nullptr;
    }
    known = {.name = o.name, .version = version, .value = std::move(value)};
    index(known);
    return true;
}

// Enters a changed object into what is derived from all objects.
void replica::index(object const& o)
{
    ++m_change_count;
    if (o.name.starts_with(member_prefix))
        ++m_member_change_count;
    if (auto const domain = evacuated_domain(o.name))
        note_evacuation(*domain, o.value.has_value());
    if (!o.value)
        return;
    if (auto const* member = std::get_if<member_record>(&*o.value))
        m_members[member->id] = *member;
    if (auto const* group = std::get_if<shard_group_record>(&*o.value))
    {
        auto& groups = m_shard_groups[group->service];
        auto const number = group->first_shard / shards_per_group;
        if (groups.size() <= number)
            groups.resize(number + 1);
        groups[number] = group;
    }
}

std::vector<std::string> replica::of_earlier_eras(std::uint64_t era) const
{
    std::vector<std::string> names;
    for (auto const& [version, name] : m_by_version)
    {
        if (era_of_version(version) >= era)
            break;
        if (kind_of(name) == object_kind::fleet && find(name)->value)
            names.push_back(name);
    }
    return names;
}

bool replica::apply_range(std::uint64_t from, std::uint64_t to,
                          std::vector<object> const& objects)
{
    for (auto const& o : objects)
        apply(o);
    if (from > m_revision)
        return false;
    m_revision = std::max(m_revision, to);
    return true;
}

std::vector<object> replica::missing_from(object_kind kind, std::uint64_t to,
                                          std::vector<object> const& objects,
                                          bool with_earlier_eras) const
{
    std::set<std::string_view> listed;
    for (auto const& o : objects)
        listed.insert(o.name);
    std::vector<object> missing;
    for (auto const& [name, o] : m_objects)
        if (kind_of(name) == kind && o.value && o.version <= to &&
            (with_earlier_eras || era_of_version(o.version) == era_of_version(to)) &&
            !listed.contains(name))
            missing.push_back({.name = name, .version = to, .value = {}});
    return missing;
}

void replica::note_evacuation(std::string_view domain, bool evacuated)
{
    ++m_evacuation_change_count;
    if (evacuated)
        m_evacuated.emplace(domain);
    else if (auto const it = m_evacuated.find(domain); it != m_evacuated.end())
        m_evacuated.erase(it);
}

void replica::note_evacuation_revision(std::uint64_t to)
{
    m_evacuation_revision = std::max(m_evacuation_revision, to);
}

std::vector<object> replica::evacuations() const
{
    std::vector<object> found;
    for (auto it = m_objects.lower_bound(std::string(evacuation_prefix));
         it != m_objects.end() && it->first.starts_with(evacuation_prefix); ++it)
        found.push_back(it->second);
    return found;
}

void replica::note_config_revision(std::uint64_t to)
{
    m_config_revision = std::max(m_config_revision, to);
}

std::vector<object> replica::changed_since(std::uint64_t since) const
{
    std::vector<object> changed;
    for (auto it = m_by_version.lower_bound({since + 1, {}}); it != m_by_version.end();
         ++it)
        if (kind_of(it->second) == object_kind::fleet)
            changed.push_back(m_objects.at(it->second));
    return changed;
}

object const* replica::find(std::string const& name) const
{
    auto const it = m_objects.find(name);
    return it == m_objects.end() || it->second.version == 0 ? nullptr : &it->second;
}

std::uint64_t replica::version_of(std::string const& name) const
{
    auto const* o = find(name);
    return o == nullptr ? 0 : o->version;
}

member_record const* replica::member(member_id const& id) const
{
    auto const it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

member_record const* replica::node(std::string const& name) const
{
    auto const* o = find(member_object(name));
    return o == nullptr || !o->value ? nullptr : std::get_if<member_record>(&*o->value);
}

member_record const* replica::serving(owner_id const& owner) const
{
    auto const* m = node(owner.node);
    bool const serves = m != nullptr && m->generation == owner.generation &&
                        m->state != member_state::gone;
    return serves ? m : nullptr;
}

bool replica::is_gone(member_id const& id) const
{
    if (find(member_object(id.node)) == nullptr)
        return false;
    auto const* m = node(id.node);
    return m == nullptr || m->id.incarnation > id.incarnation ||
           (m->id == id && m->state == member_state::gone);
}

bool replica::is_over(owner_id const& owner) const
{
    if (find(member_object(owner.node)) == nullptr)
        return false;
    auto const* m = node(owner.node);
    return m == nullptr || m->generation > owner.generation ||
           (m->generation == owner.generation && m->state == member_state::gone);
}

config_record const* replica::config() const
{
    auto const* o = find(config_object);
    return o == nullptr || !o->value ? nullptr : std::get_if<config_record>(&*o->value);
}

shard_group_record const* replica::shard_group(shard_id const& shard) const
{
    auto const it = m_shard_groups.find(shard.service);
    auto const number = shard.index / shards_per_group;
    if (it == m_shard_groups.end() || number >= it->second.size())
        return nullptr;
    return it->second[number];
}

assignment const* replica::find_assignment(shard_id const& shard) const
{
    auto const* c = shard_group(shard);
    auto const offset = shard.index % shards_per_group;
    if (c == nullptr || offset >= c->assignments.size())
        return nullptr;
    return &c->assignments[offset];
}

} // namespace buckthornusher
