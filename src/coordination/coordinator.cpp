// Implementation of coordinator: events, replica and store; see the header.
#include "coordination/coordinator_impl.hpp"

#include "buckthornusher/store_era.hpp"
#include "coordination/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration pause_threshold = 600ms; // between ticks
constexpr duration pull_delay = 300ms;
// A change that is known to be missing for this long, though it was pulled from peers, is
// a sign that no subscriber reaches the store. The members of the region then read it
// themselves, one after the other: the first to do so forwards what it finds.
constexpr duration max_time_behind = 700ms;
constexpr duration stand_in_stagger = 200ms;  // between members by their rank
constexpr duration stand_in_time = 10s;       // the member subscribes for so long
constexpr duration config_stand_in_time = 3s; // the same, to the configuration
} // namespace

void coordinator::impl::send(member_id const& to, control_message message)
{
    effects.emplace_back(send_message{.to = to, .message = std::move(message)});
}

std::uint64_t coordinator::impl::call(store_operation operation)
{
    ++counts.store_calls;
    effects.emplace_back(
        call_store{.id = next_call_id, .operation = std::move(operation)});
    return next_call_id++;
}

void coordinator::impl::write(store_write w, instant now)
{
    ++counts.store_calls;
    auto c = writer.start(std::move(w), next_call_id++, now);
    effects.emplace_back(call_store{.id = c.id, .operation = std::move(c.operation)});
}

void coordinator::impl::write_record(std::string const& name, record value, instant now)
{
    write({.name = name, .expected = store_version(name), .value = std::move(value)},
          now);
}

void coordinator::impl::apply_changes(std::uint64_t from, std::uint64_t to,
                                      std::vector<object> const& objects,
                                      std::optional<member_id> const& sender, instant now)
{
    learn_era(to, now);
    std::vector<object> changed; // as this member knows them, which may be more
    for (auto const& o : objects)
        if (copy.apply(o))
            changed.push_back(*copy.find(o.name));
    auto const before = copy.revision();
    bool const contiguous = copy.apply_range(from, to, {});
    if (!contiguous)
        note_peer_revision(sender.value_or(member_id{}), to, now);
    for (auto const& o : changed)
        on_object_changed(o, now);
    if (changed.empty() && copy.revision() == before)
        return;
    refresh_subjects(now);
    if (changed.empty())
        return;
    effects.emplace_back(replica_changed{});
    // A receiver that takes the range as complete needs all its objects, including those
    // already known here. A full list is too long to forward, so only its changed objects
    // are sent, without a range.
    bool const listed = from == 0;
    deltas const forwarded{
        .from = listed ? to : from, .to = to, .objects = listed ? changed : objects};
    for (auto const& to_member : forward_targets(sender, object_kind::fleet))
        send(to_member, forwarded);
}

std::vector<member_id>
coordinator::impl::forward_targets(std::optional<member_id> const& sender,
                                   object_kind kind) const
{
    auto const* self = own_record();
    if (current_phase != phase::member || self == nullptr)
        return {};
    auto const* from = sender ? copy.member(*sender) : nullptr;
    bool const first_in_region = !sender || (from && from->region != self->region);
    auto targets = push_targets(copy, *self, first_in_region);
    if (!sender && kind == object_kind::configuration)
        for (auto const& id : other_regions_subscribers(copy, *self))
            targets.push_back(id);
    std::erase_if(targets, [&](member_id const& id) { return id == sender; });
    return targets;
}

void coordinator::impl::on_object_changed(object const& o, instant now)
{
    if (!o.value)
        return;
    if (auto const* m = std::get_if<member_record>(&*o.value))
        on_member_changed(*m, now);
    if (auto const* c = std::get_if<shard_group_record>(&*o.value))
        on_shard_group_changed(*c);
}

void coordinator::impl::on_member_changed(member_record const& m, instant now)
{
    first_seen.try_emplace(m.id, now);
    // Evictions of earlier incarnations of the node are finished.
    std::erase_if(evictions, [&](auto const& entry)
                  { return entry.first.node == m.id.node && entry.first < m.id; });
    if (m.state == member_state::evicting)
        evictions.try_emplace(m.id, eviction_work{.first_seen = now});
    if (m.state == member_state::gone)
    {
        gone_since.try_emplace(m.owner(), now);
        evictions.erase(m.id);
        watcher.forget(m.id);
    }
    bool const ours = m.id.node == opts.self.node && m.id >= opts.self;
    bool const over = m.id != opts.self || m.state != member_state::live;
    if (current_phase != phase::member || !ours)
        return;
    if (over)
        end_membership(leaving);
    else
        begin_generation(m.owner()); // may precede the answer to this member's own write
}

void coordinator::impl::on_shard_group_changed(shard_group_record const& c)
{
    for (std::uint32_t i = 0; i < c.assignments.size(); ++i)
    {
        shard_id const shard{c.service, c.first_shard + i};
        if (shards.on_assignment(shard, c.assignments[i]))
            note_drained(shard);
        auto const release = announced_releases.find(shard);
        if (release != announced_releases.end() &&
            release->second.epoch < c.assignments[i].epoch)
            announced_releases.erase(release);
    }
}

void coordinator::impl::note_drained(shard_id const& shard)
{
    auto const* a = copy.find_assignment(shard);
    effects.emplace_back(shard_drained{.release = {.shard = shard, .epoch = a->epoch},
                                       .successor = a->successor});
}

void coordinator::impl::refresh_subjects(instant now)
{
    std::vector<member_id> subjects;
    for (auto const& [id, m] : copy.members())
        if (m.state == member_state::live &&
            std::find(m.watchers.begin(), m.watchers.end(), opts.self) !=
                m.watchers.end())
            subjects.push_back(id);
    watcher.set_subjects(subjects, now);
}

void coordinator::impl::note_peer_revision(member_id const& peer, std::uint64_t revision,
                                           instant now)
{
    learn_era(revision, now);
    bool const peer_ahead = revision > copy.revision();
    if (peer_ahead && !behind_since)
        behind_since = now;
    max_peer_revision = std::max(max_peer_revision, revision);
    if (copy.revision() >= max_peer_revision)
        behind_since.reset();
    if (peer_ahead && !peer.node.empty())
        ahead_peer = peer;
    pull_if_behind(now);
}

void coordinator::impl::pull_if_behind(instant now)
{
    bool const within_delay = !behind_since || now - *behind_since < pull_delay;
    if (!ahead_peer || within_delay || now < next_pull)
        return;
    send_pull(*ahead_peer, now);
    ahead_peer.reset();
}

void coordinator::impl::note_epoch(std::string const& peer, shard_id const& shard,
                                   std::uint64_t epoch, instant now)
{
    auto const* m = copy.node(peer);
    if (epoch == 0 || m == nullptr || now < next_pull)
        return;
    auto const* a = copy.find_assignment(shard);
    bool const is_unknown = a == nullptr || a->epoch < epoch;
    bool const beyond_gap = a != nullptr && a->epoch == epoch && has_gap_before(shard);
    if (is_unknown || beyond_gap)
        send_pull(m->id, now);
}

void coordinator::impl::send_pull(member_id const& peer, instant now)
{
    next_pull = now + pull_delay;
    ++counts.pulls;
    send(peer, pull{.from = copy.revision(), .config_version = no_config_wanted});
}

void coordinator::impl::on(member_id const& from, renew const& m, instant now)
{
    if (watcher.on_renew(from, m.watcher_changes, now))
    {
        // The member is alive: cancels an eviction that has not been recorded yet. If the
        // write takes effect nevertheless, the eviction continues from the record.
        writer.drop(member_object(from.node));
        send(from, renew_ack{.sequence = m.sequence,
                             .permitted = now < watch_permission(),
                             .revision = copy.revision(),
                             .config_version = copy.version_of(config_object),
                             .config_age = config_age(now)});
    }
    note_config_version(from, m.config_version, now);
    note_peer_revision(from, m.revision, now);
}

void coordinator::impl::on(member_id const& from, renew_ack const& m, instant now)
{
    lease.on_ack(from, m.sequence, m.permitted, now);
    if (auto const asked = lease.sent_at(m.sequence))
        config.confirm(m.config_version, *asked - m.config_age);
    note_config_version(from, m.config_version, now);
    note_peer_revision(from, m.revision, now);
}

void coordinator::impl::on(member_id const& from, refuse const& m, instant now)
{
    send(from, refused{.subject = m.subject,
                       .elapsed = watcher.refuse(m.subject, m.watcher_changes, now)});
}

void coordinator::impl::on(member_id const& from, refused const& m, instant now)
{
    auto const it = evictions.find(m.subject);
    if (it != evictions.end() && it->second.procedure)
        it->second.procedure->on_refused(from, m.elapsed, now);
}

void coordinator::impl::on(member_id const& from, deltas const& m, instant now)
{
    std::vector<object> fleet;
    for (auto const& o : m.objects)
        if (kind_of(o.name) == object_kind::fleet)
            fleet.push_back(o);
    apply_changes(m.from, m.to, fleet, from, now);
    apply_config(m.objects, from, now);
    apply_digest(m.objects, from, now);
}

void coordinator::impl::on(member_id const& from, pull const& m, instant /*now*/)
{
    send(from, answer(m)); // an empty answer also counts as contact
    if (!copy.evacuations().empty())
        send(from, evacuation_digest(false));
}

void coordinator::impl::on(member_id const& /*from*/, released const& m, instant now)
{
    for (auto const& r : m.shards)
    {
        auto const* a = copy.find_assignment(r.shard);
        if (a != nullptr && a->epoch <= r.epoch)
            note_release(announced_releases, r);
    }
    next_plan = now;
    write_assignments(now);
}

void coordinator::impl::read_store(instant now)
{
    refresh_roles();
    bool const is_member = current_phase == phase::member;
    if (is_member && copy.revision() < takeover_version)
        fleet_reader.want_list();
    if (is_member && config.is_stale(now))
        config_stand_in_until = now + config_stand_in_time;
    if (is_member && is_behind_for_long(now))
    {
        behind_since = now; // the next list, if this one does not help
        stand_in_until = now + stand_in_time;
        fleet_reader.want_list();
    }
    fleet_reader.set_subscribed(is_member && (fleet_subscriber || now < stand_in_until ||
                                              renewals_unacknowledged(now)));
    config_reader.set_subscribed(is_member &&
                                 (config_subscriber || now < config_stand_in_until));
    if (auto operation = fleet_reader.next(next_call_id, copy.revision(), now))
        call(std::move(*operation));
    if (auto operation = config_reader.next(next_call_id, copy.config_revision(), now))
        call(std::move(*operation));
    read_evacuations(now);
}

bool coordinator::impl::is_behind_for_long(instant now) const
{
    return behind_since && copy.revision() < max_peer_revision &&
           now - *behind_since >=
               max_time_behind +
                   static_cast<duration::rep>(region_rank) * stand_in_stagger;
}

bool coordinator::impl::renewals_unacknowledged(instant now) const
{
    auto const until = lease.valid_until();
    auto const acked = until == instant::min() ? until : until - opts.lease.length;
    return now - std::max(acked, watchers_since) > 2 * opts.lease.renew_interval;
}

void coordinator::impl::on_fleet_read(std::uint64_t call_id, store_answer const& answer,
                                      instant now)
{
    auto const outcome = fleet_reader.on_answer(call_id, answer, now);
    if (outcome == store_reader::outcome::failed)
    {
        ++counts.store_no_answers;
        return;
    }
    auto const& found = std::get<store_objects>(answer);
    if (outcome == store_reader::outcome::watched)
        return apply_changes(copy.revision(), found.revision, found.objects, std::nullopt,
                             now);
    learn_era(found.revision, now);
    auto objects = found.objects;
    for (auto& o : copy.missing_from(object_kind::fleet, found.revision, found.objects,
                                     /*with_earlier_eras=*/false))
        objects.push_back(std::move(o));
    apply_changes(0, found.revision, objects, std::nullopt, now);
    rebase_own_record(now);
    register_if_listed(now);
}

void coordinator::impl::on_decision(write_decision const& decision, instant now)
{
    auto const version = decision.current.version;
    learn_era(version, now);
    bool const own = decision.write.name == member_object(opts.self.node);
    if (own && decision.accepted)
        on_own_decision(decision, now); // first, so that the change is forwarded to peers
    if (version > 0 && decision.accepted)
        apply_changes(version - 1, version, {decision.current}, std::nullopt, now);
    else if (version > 0 && copy.apply(decision.current))
        after_conflict(decision.current, now);
    else if (version == 0)
        fleet_reader.want_list(); // the object to be replaced does not exist
    if (own && !decision.accepted)
        on_own_decision(decision, now);
}

void coordinator::impl::on_own_decision(write_decision const& decision, instant now)
{
    // In the listing phase the write was dropped, as the store came back meanwhile.
    if (current_phase == phase::ended || current_phase == phase::listing)
        return;
    lease.end_watcher_change(decision.accepted);
    if (decision.accepted)
        return apply_own_record(std::get<member_record>(*decision.write.value),
                                decision.current.version, now);
    if (current_phase != phase::registering)
        return;
    // Another member changed the record of the node's earlier process concurrently.
    current_phase = phase::listing;
    register_self(now);
}

void coordinator::impl::after_conflict(object const& current, instant now)
{
    on_object_changed(*copy.find(current.name), now);
    refresh_subjects(now);
    effects.emplace_back(replica_changed{});
}

bool coordinator::impl::has_takeover_state() const
{
    return copy.revision() >= takeover_version;
}

bool coordinator::impl::owns_for_upstream(std::string const& service,
                                          std::string const& incarnation) const
{
    auto const* record = own_record();
    return record != nullptr && record->owner() == current_owner &&
           std::any_of(record->targets.begin(), record->targets.end(),
                       [&](target const& t)
                       { return t.service == service && t.incarnation == incarnation; });
}

std::uint64_t coordinator::impl::group_version(shard_id const& shard) const
{
    auto const first = shard.index / shards_per_group * shards_per_group;
    return copy.version_of(shard_group_object(shard.service, first));
}

bool coordinator::impl::has_gap_before(shard_id const& shard) const
{
    return copy.revision() < group_version(shard);
}

bool coordinator::impl::has_caught_up(shard_id const& shard)
{
    auto const* a = copy.find_assignment(shard);
    if (!has_takeover_state() || has_gap_before(shard) ||
        (a != nullptr && !era.may_serve(a->epoch)))
        return false;
    if (!opts.ordered_configuration || copy.config_revision() >= group_version(shard))
        return true;
    config_reader.want_list();
    return false;
}

coordinator::coordinator(coordinator_options opts)
    : m_impl(std::make_unique<impl>(std::move(opts)))
{
}

coordinator::~coordinator() = default;

void coordinator::start(instant now)
{
    m_impl->last_tick = now;
    m_impl->started = now;
    if (m_impl->copy.revision() == 0)
        return m_impl->read_store(now);
    m_impl->learn_era(m_impl->copy.revision(), now);
    m_impl->resume(now);
}

void coordinator::on_message(member_id const& from, control_message const& message,
                             instant now)
{
    if (m_impl->current_phase == impl::phase::ended)
        return;
    note_contact(from.node, now);
    std::visit([&](auto const& m) { m_impl->on(from, m, now); }, message);
    if (m_impl->current_phase == impl::phase::member)
        m_impl->repeat_releases(now);
}

void coordinator::note_contact(std::string const& peer, instant now)
{
    // A contact sooner after the last one is ignored.
    constexpr duration min_contact_interval = 50ms;
    auto& last = m_impl->last_contact;
    if ((last && now - *last < min_contact_interval) || !m_impl->is_remote(peer))
        return;
    bool const waited = m_impl->waits_for_contact(now);
    last = now;
    if (waited && m_impl->current_phase == impl::phase::listing)
        m_impl->register_self(now);
}

void coordinator::on_store_answer(std::uint64_t call_id, store_answer const& answer,
                                  instant now)
{
    auto& s = *m_impl;
    if (s.current_phase == impl::phase::ended)
        return;
    if (s.fleet_reader.waits_for(call_id))
        return s.on_fleet_read(call_id, answer, now), s.read_store(now);
    if (s.config_reader.waits_for(call_id))
        return s.on_config_read(call_id, answer, now), s.read_store(now);
    if (s.evacuation_reader.waits_for(call_id))
        return s.on_evacuations_read(call_id, answer, now), s.read_store(now);
    if (std::holds_alternative<store_no_answer>(answer))
        ++s.counts.store_no_answers;
    if (auto const decision = s.writer.on_answer(call_id, answer, now))
        s.on_decision(*decision, now);
}

void coordinator::tick(instant now)
{
    auto& s = *m_impl;
    if (s.current_phase == impl::phase::ended)
        return;
    if (now - s.last_tick > pause_threshold)
    {
        ++s.counts.pauses;
        s.watcher.reset_silence(now);
    }
    s.last_tick = now;
    s.read_store(now);
    s.pull_if_behind(now);
    s.fetch_config(now);
    s.ask_config(now);
    s.probe_members(now);
    if (s.current_phase == impl::phase::listing && now >= s.next_registration)
        s.retry_registration(now);
    for (auto& c : s.writer.repeat(s.next_call_id, now))
    {
        ++s.counts.store_calls;
        s.effects.emplace_back(
            call_store{.id = c.id, .operation = std::move(c.operation)});
    }
    if (s.current_phase != impl::phase::member)
        return;
    s.update_self(now);
    s.renew_lease(now);
    s.start_evictions(now);
    s.continue_evictions(now);
    s.repeat_releases(now);
    s.restore_forgotten(now);
    s.write_assignments(now);
    s.delete_gone(now);
}

std::vector<effect> coordinator::take_effects()
{
    m_impl->announce_releases();
    return std::exchange(m_impl->effects, {});
}

void coordinator::leave(instant now)
{
    m_impl->leaving = true;
    if (m_impl->current_phase == impl::phase::listing)
        return m_impl->end_membership(true);
    if (m_impl->current_phase == impl::phase::member)
        m_impl->update_self(now);
}

void coordinator::set_services(std::vector<keyed_service> services,
                               duration unfenced_wait, bool ordered_configuration)
{
    m_impl->opts.unfenced_wait = unfenced_wait;
    m_impl->opts.ordered_configuration = ordered_configuration;
    m_impl->opts.services = std::move(services);
    m_impl->roles_stale = true;
}

void coordinator::set_targets(std::vector<target> targets)
{
    m_impl->opts.targets = std::move(targets);
    m_impl->targets_known = true;
}

void coordinator::set_departed(std::vector<upstream_incarnation> departed)
{
    m_impl->departed = std::move(departed);
}

member_record const* coordinator::node_record() const
{
    return m_impl->copy.node(m_impl->opts.self.node);
}

void coordinator::report_load(load_report const& report, instant now)
{
    if (m_impl->current_phase == impl::phase::member)
        m_impl->send_load(report, now);
}

void coordinator::note_epoch(std::string const& peer, shard_id const& shard,
                             std::uint64_t epoch, instant now)
{
    m_impl->note_epoch(peer, shard, epoch, now);
}

admission_check coordinator::try_begin(shard_id const& shard, instant now)
{
    if (!m_impl->has_caught_up(shard) || m_impl->generation_ends())
        return not_yet{};
    return m_impl->shards.try_begin(shard, now, lease_until());
}

bool coordinator::may_send(shard_id const& shard, std::uint64_t epoch, instant now) const
{
    return m_impl->shards.may_send(shard, epoch, now, lease_until());
}

void coordinator::end(shard_id const& shard)
{
    if (m_impl->shards.end(shard))
        m_impl->note_drained(shard);
}

void coordinator::begin_drain(shard_id const& shard)
{
    if (m_impl->shards.begin_drain(shard))
        m_impl->note_drained(shard);
}

std::optional<std::vector<owned_shard>>
coordinator::servable(std::string const& service, std::string const& incarnation,
                      instant now)
{
    if (now >= lease_until() || !m_impl->has_takeover_state() ||
        !m_impl->owns_for_upstream(service, incarnation))
        return std::nullopt;
    auto owned = m_impl->shards.owned_shards(service);
    if (std::any_of(owned.begin(), owned.end(),
                    [&](owned_shard const& s)
                    { return !m_impl->era.may_serve(s.epoch); }))
        return std::nullopt;
    std::optional<std::uint32_t> checked; // shard group
    for (auto const& s : owned)
    {
        if (checked == s.index / shards_per_group)
            continue;
        checked = s.index / shards_per_group;
        if (!m_impl->has_caught_up({service, s.index}))
            return std::nullopt;
    }
    return owned;
}

void coordinator::confirm_release(shard_release const& release, instant now)
{
    note_release(m_impl->confirmed_releases, release);
    m_impl->to_announce.insert(release.shard);
    m_impl->announced_at = now;
}

instant coordinator::lease_until() const
{
    if (m_impl->current_phase != impl::phase::member)
        return instant::min();
    return m_impl->lease.valid_until();
}

store_subscriptions coordinator::subscriptions(instant now) const
{
    return {.fleet = m_impl->fleet_reader.subscribed(),
            .configuration = m_impl->config_reader.subscribed(),
            .config_age = m_impl->config_age(now),
            .evacuations = m_impl->evacuation_reader.subscribed(),
            .evacuation_age = std::min<duration>(
                m_impl->evacuations.age(now).value_or(unknown_age), unknown_age)};
}

config_standing coordinator::verify_config(instant now)
{
    auto const standing = m_impl->config.verify(now);
    m_impl->ask_config(now);
    return standing;
}

deltas coordinator::answer(pull const& request)
{
    return m_impl->answer(request);
}

std::optional<deltas> coordinator::known_evacuations() const
{
    return m_impl->copy.evacuations().empty()
               ? std::nullopt
               : std::optional(m_impl->evacuation_digest(false));
}

std::optional<evacuation_window> coordinator::evacuation(std::string const& domain) const
{
    return m_impl->evacuations.window(domain);
}

std::string const& coordinator::config_sender() const
{
    return m_impl->config_sender;
}

replica const& coordinator::copy() const
{
    return m_impl->copy;
}

replica coordinator::take_copy()
{
    return std::move(m_impl->copy);
}

owner_id coordinator::owner() const
{
    auto const* record = m_impl->own_record();
    return record == nullptr || m_impl->current_phase != impl::phase::member
               ? owner_id{}
               : record->owner();
}

shard_ownership const& coordinator::shards() const
{
    return m_impl->shards;
}

coordinator_counts const& coordinator::counts() const
{
    return m_impl->counts;
}

member_id const& coordinator::self() const
{
    return m_impl->opts.self;
}

} // namespace buckthornusher
