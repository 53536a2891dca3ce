// One member's part in the fleet: see the header.
#include "coordination/coordinator_impl.hpp"

#include "coordination/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration pause_threshold = 600ms; // between ticks
constexpr duration pull_patience = 300ms;
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
    write({.name = name, .expected = copy.version_of(name), .value = std::move(value)},
          now);
}

void coordinator::impl::learn(std::uint64_t from, std::uint64_t to,
                              std::vector<object> const& objects,
                              std::optional<member_id> const& sender, instant now)
{
    std::vector<object> news;
    for (auto const& o : objects)
        if (copy.apply(o))
            news.push_back(o);
    auto const before = copy.revision();
    bool const contiguous = copy.apply_range(from, to, {});
    if (!contiguous && sender)
        note_revision(*sender, to, 0, now);
    for (auto const& o : news)
        follow(o, now);
    if (news.empty() && copy.revision() == before)
        return;
    refresh_subjects(now);
    if (news.empty())
        return;
    effects.emplace_back(replica_changed{});
    // Whoever takes the range for complete must get all of it, also what was known here.
    // A list is too long for that: with its news goes no range.
    bool const listed = from == 0;
    deltas const told{
        .from = listed ? to : from, .to = to, .objects = listed ? news : objects};
    for (auto const& to_member : told_by(sender, object_kind::fleet))
        send(to_member, told);
}

void coordinator::impl::learn_config(std::vector<object> const& objects,
                                     std::optional<member_id> const& sender, instant now)
{
    std::vector<object> news;
    for (auto const& o : objects)
        if (kind_of(o.name) == object_kind::configuration && copy.apply(o))
            news.push_back(o);
    if (news.empty())
        return;
    note_revision({}, 0, 0, now);
    effects.emplace_back(replica_changed{});
    for (auto const& to_member : told_by(sender, object_kind::configuration))
        send(to_member, deltas{.from = 0, .to = 0, .objects = news});
}

std::vector<member_id> coordinator::impl::told_by(std::optional<member_id> const& sender,
                                                  object_kind kind) const
{
    auto const* self = own_record();
    if (at != phase::member || self == nullptr)
        return {};
    auto const* from = sender ? copy.member(*sender) : nullptr;
    bool const first_in_region = !sender || (from && from->region != self->region);
    auto targets = push_targets(copy, *self, first_in_region);
    if (!sender && kind == object_kind::configuration)
        for (auto const& id : other_regions_listeners(copy, *self))
            targets.push_back(id);
    std::erase_if(targets, [&](member_id const& id) { return id == sender; });
    return targets;
}

void coordinator::impl::follow(object const& o, instant now)
{
    if (!o.value)
        return;
    if (auto const* m = std::get_if<member_record>(&*o.value))
        follow_member(*m, now);
    if (auto const* c = std::get_if<chunk_record>(&*o.value))
        follow_chunk(*c);
}

void coordinator::impl::follow_member(member_record const& m, instant now)
{
    if (first_seen.try_emplace(m.id, now).second || m.state != member_state::live)
        last_membership_change = now;
    // Of an earlier process of the node nothing is left to end.
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
    if (at != phase::member || !ours)
        return;
    if (over)
        end_membership(leaving);
    else
        begin_tenure(m.owner()); // perhaps before the answer to our own write
}

void coordinator::impl::follow_chunk(chunk_record const& c)
{
    for (std::uint32_t i = 0; i < c.assignments.size(); ++i)
    {
        shard_id const shard{c.service, c.first_shard + i};
        if (shards.on_assignment(shard, c.assignments[i]))
            note_drained(shard);
        auto const release = announced.find(shard);
        if (release != announced.end() && release->second.epoch < c.assignments[i].epoch)
            announced.erase(release);
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

void coordinator::impl::note_revision(member_id const& peer, std::uint64_t revision,
                                      std::uint64_t config_version, instant now)
{
    auto const own_config = copy.version_of(config_object);
    bool const peer_ahead = revision > copy.revision() || config_version > own_config;
    if (peer_ahead && !behind_since)
        behind_since = now;
    highest_revision = std::max(highest_revision, revision);
    highest_config = std::max(highest_config, config_version);
    if (copy.revision() >= highest_revision && own_config >= highest_config)
        behind_since.reset();
    if (peer_ahead)
        ahead = peer;
    fetch_news(now);
}

void coordinator::impl::fetch_news(instant now)
{
    bool const patient = !behind_since || now - *behind_since < pull_patience;
    if (!ahead || patient || now < next_pull)
        return;
    ask_for_changes(*ahead, now);
    ahead.reset();
}

void coordinator::impl::note_epoch(std::string const& peer, shard_id const& shard,
                                   std::uint64_t epoch, instant now)
{
    auto const* m = copy.node(peer);
    if (epoch == 0 || m == nullptr || now < next_pull)
        return;
    auto const* a = copy.find_assignment(shard);
    bool const is_news = a == nullptr || a->epoch < epoch;
    bool const beyond_gap = a != nullptr && a->epoch == epoch && misses_before(shard);
    if (is_news || beyond_gap)
        ask_for_changes(m->id, now);
}

void coordinator::impl::ask_for_changes(member_id const& peer, instant now)
{
    next_pull = now + pull_patience;
    ++counts.pulls;
    send(peer,
         pull{.from = copy.revision(), .config_version = copy.version_of(config_object)});
}

void coordinator::impl::note_config_age(std::uint64_t version, duration age, instant now)
{
    if (version == copy.version_of(config_object))
        config_confirmed = std::max(config_confirmed, now - age);
}

void coordinator::impl::on(member_id const& from, renew const& m, instant now)
{
    if (watcher.on_renew(from, m.watcher_changes, now))
    {
        // It is alive: an eviction that has not been marked yet is dropped. Should
        // the mark land all the same, the eviction goes on from the record.
        writer.drop(member_object(from.node));
        send(from, renew_ack{.sequence = m.sequence,
                             .permitted = now < watch_permission(),
                             .revision = copy.revision(),
                             .config_version = copy.version_of(config_object),
                             .config_age = now - config_confirmed});
    }
    note_config_age(m.config_version, m.config_age, now);
    note_revision(from, m.revision, m.config_version, now);
}

void coordinator::impl::on(member_id const& from, renew_ack const& m, instant now)
{
    lease.on_ack(from, m.sequence, m.permitted, now);
    note_config_age(m.config_version, m.config_age, now);
    note_revision(from, m.revision, m.config_version, now);
}

void coordinator::impl::on(member_id const& from, refuse const& m, instant now)
{
    send(from, refused{.subject = m.subject,
                       .elapsed = watcher.refuse(m.subject, m.watcher_changes, now)});
}

void coordinator::impl::on(member_id const& from, refused const& m, instant now)
{
    auto const it = evictions.find(m.subject);
    if (it != evictions.end() && it->second.steps)
        it->second.steps->on_refused(from, m.elapsed, now);
}

void coordinator::impl::on(member_id const& from, deltas const& m, instant now)
{
    std::vector<object> fleet;
    for (auto const& o : m.objects)
        if (kind_of(o.name) == object_kind::fleet)
            fleet.push_back(o);
    learn(m.from, m.to, fleet, from, now);
    learn_config(m.objects, from, now);
}

void coordinator::impl::on(member_id const& from, pull const& m, instant /*now*/)
{
    send(from, changes_for(copy, m)); // also if there are none: it was heard
}

void coordinator::impl::on(member_id const& /*from*/, released const& m, instant now)
{
    for (auto const& r : m.shards)
    {
        auto const* a = copy.find_assignment(r.shard);
        if (a != nullptr && a->epoch <= r.epoch)
            note_release(announced, r);
    }
    next_plan = now;
    keep_chunks(now);
}

void coordinator::impl::read_store(instant now)
{
    refresh_roles();
    bool const is_member = at == phase::member;
    if (is_member && copy.revision() < takeover_version)
        fleet_reader.want_list();
    bool const nobody_watches = now - config_confirmed > opts.config_silence;
    fleet_reader.set_listening(is_member && (listens || is_alone(now)));
    config_reader.set_listening(is_member && (config_listens || nobody_watches));
    if (auto operation = fleet_reader.next(next_call_id, copy.revision(), now))
        call(std::move(*operation));
    if (auto operation = config_reader.next(next_call_id, copy.config_revision(), now))
        call(std::move(*operation));
}

bool coordinator::impl::is_alone(instant now) const
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
        return learn(copy.revision(), found.revision, found.objects, std::nullopt, now);
    auto objects = found.objects;
    for (auto& o : copy.missing_from(object_kind::fleet, found.revision, found.objects))
        objects.push_back(std::move(o));
    learn(0, found.revision, objects, std::nullopt, now);
    register_if_listed(now);
}

void coordinator::impl::on_config_read(std::uint64_t call_id, store_answer const& answer,
                                       instant now)
{
    if (config_reader.on_answer(call_id, answer, now) == store_reader::outcome::failed)
    {
        ++counts.store_no_answers;
        return;
    }
    // Only an answer shows that the watch was heard: one that hangs may have been cut
    // off.
    config_confirmed = now;
    auto const& found = std::get<store_objects>(answer);
    copy.note_config_revision(found.revision);
    learn_config(found.objects, std::nullopt, now);
    register_if_listed(now);
}

void coordinator::impl::on_decision(write_decision const& decision, instant now)
{
    auto const version = decision.current.version;
    bool const own = decision.write.name == member_object(opts.self.node);
    if (own && decision.accepted)
        on_own_decision(decision, now); // first, so that peers are told
    if (version > 0 && decision.accepted)
        learn(version - 1, version, {decision.current}, std::nullopt, now);
    else if (version > 0 && copy.apply(decision.current))
        after_conflict(decision.current, now);
    else if (version == 0)
        fleet_reader.want_list(); // the object that was to be replaced is not there
    if (own && !decision.accepted)
        on_own_decision(decision, now);
}

void coordinator::impl::on_own_decision(write_decision const& decision, instant now)
{
    if (at == phase::ended)
        return;
    lease.end_watcher_change(decision.accepted);
    if (decision.accepted)
        return adopt(std::get<member_record>(*decision.write.value),
                     decision.current.version, now);
    if (at != phase::registering)
        return;
    // Somebody has changed the record of the node's earlier process meanwhile.
    at = phase::listing;
    register_self(now);
}

void coordinator::impl::after_conflict(object const& current, instant now)
{
    follow(current, now);
    refresh_subjects(now);
    effects.emplace_back(replica_changed{});
}

bool coordinator::impl::knows_its_tenure() const
{
    return copy.revision() >= takeover_version;
}

bool coordinator::impl::owns_for(std::string const& service,
                                 std::string const& incarnation) const
{
    auto const* record = own_record();
    return record != nullptr && record->owner() == served_as &&
           std::any_of(record->targets.begin(), record->targets.end(),
                       [&](target const& t)
                       { return t.service == service && t.incarnation == incarnation; });
}

std::uint64_t coordinator::impl::chunk_version(shard_id const& shard) const
{
    auto const first = shard.index / shards_per_chunk * shards_per_chunk;
    return copy.version_of(chunk_object(shard.service, first));
}

bool coordinator::impl::misses_before(shard_id const& shard) const
{
    return copy.revision() < chunk_version(shard);
}

bool coordinator::impl::has_caught_up(shard_id const& shard)
{
    if (!knows_its_tenure() || misses_before(shard))
        return false;
    if (!opts.ordered_configuration || copy.config_revision() >= chunk_version(shard))
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
    m_impl->last_membership_change = now;
    m_impl->config_confirmed = now;
    if (m_impl->copy.revision() > 0)
        m_impl->resume(now);
    else
        m_impl->read_store(now);
}

void coordinator::on_message(member_id const& from, control_message const& message,
                             instant now)
{
    if (m_impl->at == impl::phase::ended)
        return;
    note_contact(from.node, now);
    std::visit([&](auto const& m) { m_impl->on(from, m, now); }, message);
    if (m_impl->at == impl::phase::member)
        m_impl->send_releases(now);
}

void coordinator::note_contact(std::string const& peer, instant now)
{
    constexpr duration grain = 50ms; // a later contact tells nothing new before
    auto& last = m_impl->last_contact;
    if ((last && now - *last < grain) || !m_impl->is_far(peer))
        return;
    bool const waited = m_impl->waits_for_contact(now);
    last = now;
    if (waited && m_impl->at == impl::phase::listing)
        m_impl->register_self(now);
}

void coordinator::on_store_answer(std::uint64_t call_id, store_answer const& answer,
                                  instant now)
{
    auto& s = *m_impl;
    if (s.at == impl::phase::ended)
        return;
    if (s.fleet_reader.waits_for(call_id))
        return s.on_fleet_read(call_id, answer, now), s.read_store(now);
    if (s.config_reader.waits_for(call_id))
        return s.on_config_read(call_id, answer, now), s.read_store(now);
    if (std::holds_alternative<store_no_answer>(answer))
        ++s.counts.store_no_answers;
    if (auto const decision = s.writer.on_answer(call_id, answer, now))
        s.on_decision(*decision, now);
}

void coordinator::tick(instant now)
{
    auto& s = *m_impl;
    if (s.at == impl::phase::ended)
        return;
    if (now - s.last_tick > pause_threshold)
    {
        ++s.counts.pauses;
        s.watcher.reset_silence(now);
    }
    s.last_tick = now;
    s.read_store(now);
    s.fetch_news(now);
    s.probe_members(now);
    if (s.at == impl::phase::listing && now >= s.next_registration)
        s.retry_registration(now);
    for (auto& c : s.writer.repeat(s.next_call_id, now))
    {
        ++s.counts.store_calls;
        s.effects.emplace_back(
            call_store{.id = c.id, .operation = std::move(c.operation)});
    }
    if (s.at != impl::phase::member)
        return;
    s.update_self(now);
    s.renew_lease(now);
    s.start_evictions(now);
    s.continue_evictions(now);
    s.send_releases(now);
    s.keep_chunks(now);
    s.delete_gone(now);
}

std::vector<effect> coordinator::take_effects()
{
    return std::exchange(m_impl->effects, {});
}

void coordinator::leave(instant now)
{
    m_impl->leaving = true;
    if (m_impl->at == impl::phase::listing)
        return m_impl->end_membership(true);
    if (m_impl->at == impl::phase::member)
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

void coordinator::report_load(load_report const& report, instant now)
{
    if (m_impl->at == impl::phase::member)
        m_impl->tell_load(report, now);
}

void coordinator::note_epoch(std::string const& peer, shard_id const& shard,
                             std::uint64_t epoch, instant now)
{
    m_impl->note_epoch(peer, shard, epoch, now);
}

admission_check coordinator::try_begin(shard_id const& shard, instant now)
{
    if (!m_impl->has_caught_up(shard) || m_impl->tenure_ends())
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
    if (now >= lease_until() || !m_impl->knows_its_tenure() ||
        !m_impl->owns_for(service, incarnation))
        return std::nullopt;
    auto owned = m_impl->shards.owned_shards(service);
    std::optional<std::uint32_t> checked; // chunk
    for (auto const& s : owned)
    {
        if (checked == s.index / shards_per_chunk)
            continue;
        checked = s.index / shards_per_chunk;
        if (!m_impl->has_caught_up({service, s.index}))
            return std::nullopt;
    }
    return owned;
}

void coordinator::confirm_release(shard_release const& release, instant now)
{
    note_release(m_impl->confirmed, release);
    m_impl->next_release_send = now;
    m_impl->send_releases(now);
}

instant coordinator::lease_until() const
{
    if (m_impl->at != impl::phase::member)
        return instant::min();
    return m_impl->lease.valid_until();
}

store_listening coordinator::listening(instant now) const
{
    return {.fleet = m_impl->fleet_reader.listening(),
            .configuration = m_impl->config_reader.listening(),
            .config_age = now - m_impl->config_confirmed};
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
    return record == nullptr || m_impl->at != impl::phase::member ? owner_id{}
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
