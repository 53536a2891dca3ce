// Implementation of coordinator: what the store forgot when it came back from an older
// copy.
//
// The replica keeps what it knows (replica.hpp, store_rewind.hpp). Here this member
// notices a new era, writes again what the store lacks, and holds back decisions on
// records that nobody has vouched for since.
#include "coordination/coordinator_impl.hpp"

#include "buckthornusher/store_era.hpp"
#include "coordination/roles.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{
// Between members by their rank, so that mostly the first one writes.
constexpr duration restore_stagger = 50ms;
constexpr duration max_restore_delay = 1s;
} // namespace

void coordinator::impl::learn_era(std::uint64_t version, instant now)
{
    if (!era.note(era_of_version(version), now))
        return;
    ++counts.store_era_rises;
    restores_from = now;
    // The conditions of pending writes may hold again by accident: they are decided anew.
    // A registration was decided by what the store may have forgotten.
    bool const registers = current_phase == phase::registering;
    writer.drop_all_but(registers ? std::string() : member_object(opts.self.node));
    if (registers)
        current_phase = phase::listing;
    fleet_reader.want_list();
}

std::uint64_t coordinator::impl::store_version(std::string const& name) const
{
    auto const version = copy.version_of(name);
    return era_of_version(version) < era.value() ? 0 : version;
}

void coordinator::impl::rebase_own_record(instant now)
{
    auto const name = member_object(opts.self.node);
    auto const* pending = writer.pending(name);
    bool const is_outdated = pending != nullptr && pending->expected > 0 &&
                             era_of_version(pending->expected) < era.value();
    if (is_outdated && current_phase == phase::member)
        writer.rebase(name, store_version(name), now);
}

bool coordinator::impl::may_inherit(member_record const& before) const
{
    return before.store_era == era.value();
}

void coordinator::impl::restore_forgotten(instant now)
{
    if (fleet_reader.list_wanted())
        return;
    auto names = copy.of_earlier_eras(era.value());
    names.insert(names.end(), copy.ahead_of_store().begin(), copy.ahead_of_store().end());
    for (auto const& name : names)
    {
        auto const* known = copy.find(name);
        auto const rank = work_rank(copy, opts.self, "restore/" + name);
        if (name == member_object(opts.self.node) || writer.busy(name) || !rank ||
            known == nullptr || !known->value)
            continue;
        auto const delay = std::min<duration>(
            static_cast<duration::rep>(*rank) * restore_stagger, max_restore_delay);
        if (now < restores_from + delay)
            continue;
        ++counts.records_restored;
        write({.name = name, .expected = store_version(name), .value = known->value},
              now);
    }
}

era_rule coordinator::impl::assignment_rule(instant now) const
{
    bool const has_copy = std::any_of(copy.members().begin(), copy.members().end(),
                                      [&](auto const& entry)
                                      { return entry.second.store_era != era.value(); });
    return {.era = era.value(), .settled = era.settled(now), .has_copy = has_copy};
}

} // namespace buckthornusher
