// Implementation of coordinator: the configuration, and how current it is.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Sent and logged if nothing is known of the store.
constexpr duration unknown_age = 1h;

// Returns the size of the configuration's document; nothing if it is not among them.
std::optional<std::uint64_t> config_bytes(std::vector<object> const& objects)
{
    for (auto const& o : objects)
        if (o.value)
            if (auto const* config = std::get_if<config_record>(&*o.value))
                return config->document.bytes().size();
    return std::nullopt;
}

// Returns the version of the configuration once the objects have been applied.
std::uint64_t newest_version(std::vector<object> const& objects, replica const& copy)
{
    auto newest = copy.version_of(config_object);
    for (auto const& o : objects)
        if (o.name == config_object)
            newest = std::max(newest, o.version);
    return newest;
}

} // namespace

void coordinator::impl::apply_config(std::vector<object> const& objects,
                                     std::optional<member_id> const& sender, instant now)
{
    std::vector<object> changed;
    for (auto const& o : objects)
        if (kind_of(o.name) == object_kind::configuration && copy.apply(o))
            changed.push_back(o);
    if (auto const size = config_bytes(objects))
    {
        ++counts.config_documents_received;
        counts.config_bytes_received += *size;
    }
    if (changed.empty())
        return;
    config_sender = sender ? sender->node : std::string();
    auto const version = copy.version_of(config_object);
    copy.note_config_revision(version); // the configuration is a single object
    config.hold(version);
    effects.emplace_back(replica_changed{});
    for (auto const& to_member : forward_targets(sender, object_kind::configuration))
        send(to_member, status_for(0, now));
}

void coordinator::impl::on_config_read(std::uint64_t call_id, store_answer const& answer,
                                       instant now)
{
    if (config_reader.on_answer(call_id, answer, now) == store_reader::outcome::failed)
    {
        ++counts.store_no_answers;
        return;
    }
    auto const& found = std::get<store_objects>(answer);
    copy.note_config_revision(found.revision);
    // First, so that members that are told of a new version learn how current it is.
    config.confirm(newest_version(found.objects, copy), config_reader.as_of());
    apply_config(found.objects, std::nullopt, now);
    register_if_listed(now);
}

void coordinator::impl::note_config_version(member_id const& peer, std::uint64_t version,
                                            instant now)
{
    config.note_version(peer, version);
    fetch_config(now);
}

void coordinator::impl::fetch_config(instant now)
{
    auto const peer = config.next_fetch(now);
    if (!peer)
        return;
    ++counts.pulls;
    send(*peer,
         pull{.from = copy.revision(), .config_version = copy.version_of(config_object)});
}

void coordinator::impl::ask_config(instant now)
{
    auto const* self = own_record();
    if (self == nullptr || !config.question_due(now))
        return;
    auto const sources = config_sources(copy, *self);
    if (sources.empty())
        return;
    // Takes turns, as any of them may be cut off from the store.
    auto const& source = sources[counts.config_questions++ % sources.size()];
    send(source, config_question{.sequence = config.start_question(now)});
}

config_status coordinator::impl::status_for(std::uint64_t sequence, instant now) const
{
    return {.sequence = sequence,
            .version = copy.version_of(config_object),
            .revision = copy.config_revision(),
            .age = config.age(now)};
}

duration coordinator::impl::config_age(instant now) const
{
    return std::min<duration>(config.age(now).value_or(unknown_age), unknown_age);
}

deltas coordinator::impl::answer(pull const& request)
{
    auto changes = changes_for(copy, request);
    if (auto const size = config_bytes(changes.objects))
    {
        ++counts.config_documents_sent;
        counts.config_bytes_sent += *size;
    }
    return changes;
}

void coordinator::impl::on(member_id const& from, config_question const& m, instant now)
{
    send(from, status_for(m.sequence, now));
}

void coordinator::impl::on(member_id const& from, config_status const& m, instant now)
{
    auto const asked = config.asked_at(m.sequence);
    if (asked && m.age)
        config.confirm(m.version, *asked - *m.age);
    // Saves the list of a whole document when this member's own history is too old.
    if (m.version <= copy.version_of(config_object))
        copy.note_config_revision(m.revision);
    note_config_version(from, m.version, now);
}

} // namespace buckthornusher
