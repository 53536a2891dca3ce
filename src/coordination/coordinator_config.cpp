// Implementation of coordinator: the configuration, and how current it is.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Returns the configuration, or null if it is not among the objects. A watch may report
// several versions; the latest counts.
object const* find_config(std::vector<object> const& objects)
{
    object const* latest = nullptr;
    for (auto const& o : objects)
        if (kind_of(o.name) == object_kind::configuration &&
            (latest == nullptr || o.version > latest->version))
            latest = &o;
    return latest;
}

// Returns the size of the document as it is sent; nothing if the object has none.
std::optional<std::uint64_t> document_bytes(object const* config)
{
    auto const* found = config == nullptr || !config->value
                            ? nullptr
                            : std::get_if<config_record>(&*config->value);
    return found == nullptr
               ? std::nullopt
               : std::optional<std::uint64_t>(found->document.bytes().size());
}

} // namespace

void coordinator::impl::apply_config(std::vector<object> const& objects,
                                     std::optional<member_id> const& sender, instant now)
{
    auto const* received = find_config(objects);
    if (auto const size = document_bytes(received))
    {
        ++counts.config_documents_received;
        counts.config_bytes_received += *size;
    }
    if (received == nullptr || !copy.apply(*received))
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
    learn_era(found.revision, now);
    copy.note_config_revision(found.revision);
    auto const* changed = find_config(found.objects);
    auto const held = copy.version_of(config_object);
    // Before apply_config(), which tells other members how current the version is.
    config.confirm(changed == nullptr ? held : std::max(held, changed->version),
                   config_reader.as_of());
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
    if (auto const size = document_bytes(find_config(changes.objects)))
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
