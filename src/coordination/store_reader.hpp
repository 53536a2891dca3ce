// Keeps up with one kind of the store's objects: a list, then one watch after the other.
//
// The part says which call is due and takes its answer; what the objects mean is its
// embedder's business. Only members that listen watch the store, the others are told by
// peers. When the store has dropped the history that a watch needs, the objects are
// listed anew. Failed calls back off with jitter, so that a store that returns from an
// outage is not met by all calls at once.
//
// At most one list and one watch are under way. Cost: O(1).
#ifndef BUCKTHORNUSHER_COORDINATION_STORE_READER_HPP
#define BUCKTHORNUSHER_COORDINATION_STORE_READER_HPP

#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace buckthornusher
{

struct store_reader_options
{
    object_kind kind = object_kind::fleet;
    // Between two watches, so that changes in quick succession come together.
    duration watch_gap{0};
    std::uint64_t seed = 0; // of the jitter
};

class store_reader
{
public:
    explicit store_reader(store_reader_options opts)
        : m_options(opts), m_random(opts.seed)
    {
    }

    // The list is due (again).
    void want_list() { m_list_wanted = true; }
    bool list_wanted() const { return m_list_wanted; }
    void set_subscribed(bool subscribes) { m_subscribed = subscribes; }
    bool subscribed() const { return m_subscribed; }

    // The call that is due, if any; `revision` is what the copy has. It counts as under
    // way from now on.
    std::optional<store_operation> next(std::uint64_t call_id, std::uint64_t revision,
                                        instant now);

    bool waits_for(std::uint64_t call_id) const
    {
        return m_list == call_id || m_watch == call_id;
    }

    enum class outcome
    {
        listed,  // the objects are all there are
        watched, // the objects are those that have changed
        failed,  // to be tried again
    };
    // Requires waits_for(call_id).
    outcome on_answer(std::uint64_t call_id, store_answer const& answer, instant now);

private:
    store_reader_options m_options;
    std::mt19937_64 m_random;
    std::optional<std::uint64_t> m_list;  // the call under way
    std::optional<std::uint64_t> m_watch; // the same
    bool m_list_wanted = true;
    bool m_subscribed = false;
    instant m_next_call;
    duration m_backoff{0}; // of the last failure; zero after a success
};

} // namespace buckthornusher

#endif
