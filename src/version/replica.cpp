// A node's copy of the store's objects: see the header.
#include "buckthornusher/replica.hpp"

#include <algorithm>

namespace buckthornusher
{

std::string member_object(member_id const& id)
{
    return "members/" + id.node + "@" + std::to_string(id.incarnation);
}

std::string chunk_object(std::string const& service, std::uint32_t first_shard)
{
    return "shards/" + service + "/" + std::to_string(first_shard / shards_per_chunk);
}

bool replica::apply(object const& o)
{
    auto& known = m_objects[o.name];
    if (o.version <= known.version)
        return false;
    m_by_version.erase(known.version);
    m_by_version[o.version] = o.name;
    if (known.value && std::holds_alternative<member_record>(*known.value))
        m_members.erase(std::get<member_record>(*known.value).id);
    known = o;
    ++m_generation;
    if (o.name.starts_with("members/"))
        ++m_member_generation;
    if (!known.value)
        return true;
    if (auto const* member = std::get_if<member_record>(&*known.value))
        m_members[member->id] = *member;
    if (auto const* chunk = std::get_if<chunk_record>(&*known.value))
    {
        auto& chunks = m_chunks[chunk->service];
        auto const number = chunk->first_shard / shards_per_chunk;
        if (chunks.size() <= number)
            chunks.resize(number + 1);
        chunks[number] = chunk;
    }
    return true;
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

std::vector<object> replica::changed_since(std::uint64_t since) const
{
    std::vector<object> changed;
    for (auto it = m_by_version.upper_bound(since); it != m_by_version.end(); ++it)
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

bool replica::is_gone(member_id const& id) const
{
    if (find(member_object(id)) == nullptr)
        return false;
    auto const* m = member(id);
    return m == nullptr || m->state == member_state::gone;
}

config_record const* replica::config() const
{
    auto const* o = find(config_object);
    return o == nullptr || !o->value ? nullptr : std::get_if<config_record>(&*o->value);
}

chunk_record const* replica::chunk(shard_id const& shard) const
{
    auto const it = m_chunks.find(shard.service);
    auto const number = shard.index / shards_per_chunk;
    if (it == m_chunks.end() || number >= it->second.size())
        return nullptr;
    return it->second[number];
}

assignment const* replica::find_assignment(shard_id const& shard) const
{
    auto const* c = chunk(shard);
    auto const offset = shard.index % shards_per_chunk;
    if (c == nullptr || offset >= c->assignments.size())
        return nullptr;
    return &c->assignments[offset];
}

} // namespace buckthornusher
