// One member's part in the fleet: see the header.
#include "process/coordinator_impl.hpp"

#include "version/roles.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{
constexpr duration pause_threshold = 600ms; // between ticks
constexpr duration pull_patience = 300ms;
constexpr duration longest_store_backoff = 3s;
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
        note_revision(*sender, to, now);
    for (auto const& o : news)
        follow(o, now);
    if (news.empty() && copy.revision() == before)
        return;
    refresh_subjects(now);
    if (!news.empty())
        effects.emplace_back(replica_changed{});
    if (at != phase::member)
        return;
    if (auto const* self = own_record(); self != nullptr)
        for (auto const& to_member : push_targets(copy, *self, !sender))
            if (to_member != sender && !news.empty())
                send(to_member, deltas{.from = from, .to = to, .objects = news});
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
    if (m.state == member_state::evicting)
        evictions.try_emplace(m.id, eviction_work{.first_seen = now});
    if (m.state == member_state::gone)
    {
        gone_since.try_emplace(m.id, now);
        evictions.erase(m.id);
        watcher.forget(m.id);
    }
    if (m.id == opts.self && m.state != member_state::live && at == phase::member)
        end_membership(leaving);
}

void coordinator::impl::follow_chunk(chunk_record const& c)
{
    for (std::uint32_t i = 0; i < c.assignments.size(); ++i)
    {
        shard_id const shard{c.service, c.first_shard + i};
        if (shards.on_assignment(shard, c.assignments[i]))
            note_drained(shard);
        auto const release = announced.find(shard);
        if (release != announced.end() && release->second < c.assignments[i].epoch)
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
                                      instant now)
{
    if (revision > copy.revision() && !behind_since)
        behind_since = now;
    highest_revision = std::max(highest_revision, revision);
    if (copy.revision() >= highest_revision)
        behind_since.reset();
    if (revision <= copy.revision() || now - *behind_since < pull_patience ||
        now < next_pull)
        return;
    next_pull = now + pull_patience;
    ++counts.pulls;
    send(peer, pull{.from = copy.revision()});
}

void coordinator::impl::on(member_id const& from, renew const& m, instant now)
{
    if (watcher.on_renew(from, now))
    {
        // It is alive: an eviction that has not been marked yet is dropped. Should
        // the mark land all the same, the eviction goes on from the record.
        writer.drop(member_object(from));
        send(from, renew_ack{.sequence = m.sequence,
                             .permitted = now < watch_permission(),
                             .revision = copy.revision()});
    }
    note_revision(from, m.revision, now);
}

void coordinator::impl::on(member_id const& from, renew_ack const& m, instant now)
{
    lease.on_ack(from, m.sequence, m.permitted, now);
    note_revision(from, m.revision, now);
}

void coordinator::impl::on(member_id const& from, refuse const& m, instant now)
{
    send(from, refused{.subject = m.subject, .elapsed = watcher.refuse(m.subject, now)});
}

void coordinator::impl::on(member_id const& from, refused const& m, instant now)
{
    auto const it = evictions.find(m.subject);
    if (it != evictions.end() && it->second.steps)
        it->second.steps->on_refused(from, m.elapsed, now);
}

void coordinator::impl::on(member_id const& from, deltas const& m, instant now)
{
    learn(m.from, m.to, m.objects, from, now);
}

void coordinator::impl::on(member_id const& from, pull const& m, instant /*now*/)
{
    if (m.from < copy.revision())
        send(from, deltas{.from = m.from,
                          .to = copy.revision(),
                          .objects = copy.changed_since(m.from)});
}

void coordinator::impl::on(member_id const& /*from*/, released const& m, instant now)
{
    for (auto const& r : m.shards)
    {
        auto const* a = copy.find_assignment(r.shard);
        if (a != nullptr && a->epoch <= r.epoch)
            announced[r.shard] = r.epoch;
    }
    next_plan = now;
    keep_chunks(now);
}

void coordinator::impl::read_store(instant now)
{
    if (list_call || watch_call || now < next_store_read)
        return;
    if (at == phase::listing)
        list_call = call(store_list{});
    refresh_roles();
    if (at == phase::member && listens)
        watch_call = call(store_watch{.since = copy.revision()});
}

void coordinator::impl::back_off_reads(instant now)
{
    ++counts.store_no_answers;
    auto const jitter = std::uniform_int_distribution<duration::rep>(
        store_backoff.count() / 2, store_backoff.count())(random);
    next_store_read = now + duration(jitter);
    store_backoff = std::min(2 * store_backoff, longest_store_backoff);
}

void coordinator::impl::on_read(bool listed, store_answer const& answer, instant now)
{
    auto const* found = std::get_if<store_objects>(&answer);
    if (found == nullptr)
        return back_off_reads(now);
    store_backoff = 100ms;
    // A list holds all objects, a watch those after the revision that it named.
    learn(listed ? 0 : copy.revision(), found->revision, found->objects, std::nullopt,
          now);
    if (listed && at == phase::listing)
        register_self(now);
}

void coordinator::impl::on_decision(write_decision const& decision, instant now)
{
    auto const& name = decision.write.name;
    if (name == member_object(opts.self))
        on_own_decision(decision, now);
    auto const version = decision.current.version;
    if (version > 0 && decision.accepted)
        learn(version - 1, version, {decision.current}, std::nullopt, now);
    else if (version > 0 && copy.apply(decision.current))
        after_conflict(decision.current, now);
}

void coordinator::impl::on_own_decision(write_decision const& decision, instant now)
{
    if (decision.accepted)
        watchers_since = now;
    lease.end_change(decision.accepted);
    if (at != phase::registering)
        return;
    if (!decision.accepted)
        return end_membership(false); // evicted before it knew that it had joined
    at = phase::member;
    lease.set_watchers(std::get<member_record>(*decision.write.value).watchers);
}

void coordinator::impl::after_conflict(object const& current, instant now)
{
    follow(current, now);
    refresh_subjects(now);
    effects.emplace_back(replica_changed{});
}

coordinator::coordinator(coordinator_options opts)
    : m_impl(std::make_unique<impl>(std::move(opts)))
{
}

coordinator::~coordinator() = default;

void coordinator::start(instant now)
{
    m_impl->last_tick = now;
    m_impl->last_membership_change = now;
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
    std::visit([&](auto const& m) { m_impl->on(from, m, now); }, message);
    if (m_impl->at == impl::phase::member)
        m_impl->send_releases(now);
}

void coordinator::on_store_answer(std::uint64_t call_id, store_answer const& answer,
                                  instant now)
{
    auto& s = *m_impl;
    if (s.at == impl::phase::ended)
        return;
    if (s.list_call == call_id || s.watch_call == call_id)
    {
        bool const listed = s.list_call == call_id;
        (listed ? s.list_call : s.watch_call).reset();
        s.on_read(listed, answer, now);
        s.read_store(now);
        return;
    }
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
        s.watcher.forgive(now);
    }
    s.last_tick = now;
    s.read_store(now);
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
                               duration unfenced_wait)
{
    m_impl->opts.unfenced_wait = unfenced_wait;
    m_impl->opts.services = std::move(services);
    m_impl->roles_stale = true;
}

void coordinator::set_targets(std::vector<target> targets)
{
    m_impl->opts.targets = std::move(targets);
}

admission_check coordinator::try_begin(shard_id const& shard, instant now)
{
    // The owner before may have acted on any object that was older than this assignment,
    // such as a configuration: none of them may be missing here.
    auto const first = shard.index / shards_per_chunk * shards_per_chunk;
    if (copy().revision() < copy().version_of(chunk_object(shard.service, first)))
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

void coordinator::confirm_release(shard_release const& release, instant now)
{
    m_impl->confirmed[release.shard] = release.epoch;
    m_impl->next_release_send = now;
    m_impl->send_releases(now);
}

instant coordinator::lease_until() const
{
    if (m_impl->at != impl::phase::member)
        return instant::min();
    return m_impl->lease.valid_until();
}

replica const& coordinator::copy() const
{
    return m_impl->copy;
}

replica coordinator::take_copy()
{
    return std::move(m_impl->copy);
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
