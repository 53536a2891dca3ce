// Implementation of coordinator: evacuations, as read from the store and from digests.
#include "coordination/coordinator_impl.hpp"

#include "buckthornusher/store_era.hpp"
#include "coordination/roles.hpp"

namespace buckthornusher
{

namespace
{

// Returns the version up to which a digest is complete; nothing if it does not say so.
std::optional<std::uint64_t> complete_up_to(std::vector<object> const& objects)
{
    for (auto const& o : objects)
        if (o.name == evacuations_complete)
            return o.version;
    return std::nullopt;
}

} // namespace

// Reads in any phase: a node may serve requests before it is a member.
void coordinator::impl::read_evacuations(instant now)
{
    if (!evacuations.enabled())
        return;
    // Before the first list there is no evidence, and that list is due anyway.
    bool const lists = evacuation_reader.list_wanted();
    bool const stood_in = evacuations.stands_in(now);
    if (!lists && evacuations.review(region_rank, now))
    {
        counts.evacuation_stand_ins += stood_in ? 0 : 1;
        evacuation_reader.want_list(); // unlike a watch it is answered at once
    }
    if (evacuations.settles(now))
        evacuation_reader.want_list();
    bool const chosen = current_phase == phase::member && config_subscriber;
    evacuation_reader.set_subscribed(chosen || evacuations.stands_in(now));
    if (auto operation =
            evacuation_reader.next(next_call_id, copy.evacuation_revision(), now))
        call(std::move(*operation));
}

void coordinator::impl::on_evacuations_read(std::uint64_t call_id,
                                            store_answer const& answer, instant now)
{
    auto const outcome = evacuation_reader.on_answer(call_id, answer, now);
    if (outcome == store_reader::outcome::failed)
    {
        ++counts.store_no_answers;
        return;
    }
    auto const& found = std::get<store_objects>(answer);
    auto objects = found.objects;
    evacuations.note_era(era_of_version(found.revision), now);
    if (outcome == store_reader::outcome::listed)
        for (auto& o : copy.missing_from(object_kind::evacuations, found.revision,
                                         found.objects, evacuations.is_settled(now)))
            objects.push_back(std::move(o));
    apply_evacuations(objects, now);
    copy.note_evacuation_revision(found.revision);
    evacuations.confirm(evacuation_reader.as_of());
    send_digest(std::nullopt, true);
}

bool coordinator::impl::apply_evacuations(std::vector<object> const& objects, instant now)
{
    bool changed = false;
    for (auto const& o : objects)
    {
        auto const domain = evacuated_domain(o.name);
        if (!domain || !copy.apply(o))
            continue;
        evacuations.note(*domain, o.value.has_value(), now);
        changed = true;
    }
    if (changed)
        effects.emplace_back(replica_changed{});
    return changed;
}

void coordinator::impl::apply_digest(std::vector<object> const& objects,
                                     member_id const& sender, instant now)
{
    if (!evacuations.enabled())
        return;
    bool changed = apply_evacuations(objects, now);
    auto const complete = complete_up_to(objects);
    if (complete)
    {
        changed =
            apply_evacuations(copy.missing_from(object_kind::evacuations, *complete,
                                                objects, /*with_earlier_eras=*/false),
                              now) ||
            changed;
        copy.note_evacuation_revision(*complete);
        evacuations.confirm(now);
    }
    if (changed || (complete && evacuations.relay_due(now)))
        send_digest(sender, complete.has_value());
}

deltas coordinator::impl::evacuation_digest(bool current) const
{
    deltas digest{.from = 0, .to = 0, .objects = copy.evacuations()};
    if (current)
        digest.objects.push_back({.name = evacuations_complete,
                                  .version = copy.evacuation_revision(),
                                  .value = {}});
    return digest;
}

void coordinator::impl::send_digest(std::optional<member_id> const& sender, bool current)
{
    for (auto const& to : forward_targets(sender, object_kind::evacuations))
    {
        ++counts.evacuation_digests_sent;
        send(to, evacuation_digest(current));
    }
}

} // namespace buckthornusher
