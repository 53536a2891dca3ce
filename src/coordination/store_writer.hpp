// Conditional writes that are repeated until their outcome is known.
//
// A write whose answer is lost may have taken effect, or may still take effect later.
// Reading back does not settle it: a delayed write can land after the read. The writer
// repeats the same conditional write until the store either accepts it or reports a
// conflict; after that no earlier attempt can land. A conflict whose current value equals
// the value to be written counts as accepted.
//
// At most one write per object is in progress. Repeats back off with jitter, so that a
// store that recovers from an outage is not hit by all calls at once.
#ifndef BUCKTHORNUSHER_COORDINATION_STORE_WRITER_HPP
#define BUCKTHORNUSHER_COORDINATION_STORE_WRITER_HPP

#include "buckthornusher/lease.hpp"
#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace buckthornusher
{

struct store_call
{
    std::uint64_t id = 0;
    store_operation operation;
    friend bool operator==(store_call const&, store_call const&) = default;
};

// The outcome of a write. `current` is the object afterwards, as far as the store
// reported it.
struct write_decision
{
    store_write write;
    bool accepted = false;
    object current;
};

class store_writer
{
public:
    store_writer(std::uint64_t seed, guards g) : m_guards(g), m_random(seed) {}

    bool busy(std::string const& name) const { return m_pending.contains(name); }

    // Requires !busy(write.name) and a `call_id` that has not been used.
    store_call start(store_write write, std::uint64_t call_id, instant now);

    // Empty if the answer belongs to no pending write, or does not decide it.
    std::optional<write_decision> on_answer(std::uint64_t call_id,
                                            store_answer const& answer, instant now);

    // Returns the writes that are due to be repeated and advances `next_call_id`.
    std::vector<store_call> repeat(std::uint64_t& next_call_id, instant now);

    // Stops repeating a write whose last attempt got no answer. The write may still take
    // effect.
    void drop(std::string const& name);

    // Drops all writes but the one of that name, whose outcome must become known. Any of
    // them may still take effect.
    void drop_all_but(std::string const& name);
    // Repeats the pending write of the object, if there is one, on another version.
    void rebase(std::string const& name, std::uint64_t expected, instant now);

    // Returns the pending write of the object, or null.
    store_write const* pending(std::string const& name) const
    {
        auto const it = m_pending.find(name);
        return it == m_pending.end() ? nullptr : &it->second.write;
    }
    std::size_t pending() const { return m_pending.size(); }

private:
    struct pending_write
    {
        store_write write;
        std::uint64_t call_id = 0;
        std::uint32_t attempts = 0;
        std::optional<instant>
            repeat_at; // set after an attempt that got no answer or was refused
    };

    duration backoff(std::uint32_t attempts);

    guards m_guards;
    std::mt19937_64 m_random;
    std::map<std::string, pending_write> m_pending;
};

} // namespace buckthornusher

#endif
