// Reads one kind of store objects: a list, followed by consecutive watches.
//
// The reader decides which call is due and takes its answer; the embedder interprets the
// objects. Only subscribed members watch the store; the others receive changes from
// peers. When the store has dropped the history that a watch needs, the objects are
// listed again. Failed calls back off with jitter, so that a store that recovers from an
// outage is not hit by all calls at once.
//
// At most one list and one watch are in progress. Cost: O(1).
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
    // Delay between two watches, so that changes in quick succession arrive in one
    // answer.
    duration watch_gap{0};
    // How long the store holds a watch open without changes. A silently lost connection
    // is detected only after this time.
    duration watch_wait = 8s;
    std::uint64_t seed = 0; // of the jitter
};

class store_reader
{
public:
    explicit store_reader(store_reader_options opts)
        : m_options(opts), m_random(opts.seed)
    {
    }

    // Requests a (new) list.
    void want_list() { m_list_wanted = true; }
    bool list_wanted() const { return m_list_wanted; }
    void set_subscribed(bool subscribes) { m_subscribed = subscribes; }
    bool subscribed() const { return m_subscribed; }

    // Returns the call that is due, if any, and marks it as in progress. `revision` is
    // that of the replica.
    std::optional<store_operation> next(std::uint64_t call_id, std::uint64_t revision,
                                        instant now);

    bool waits_for(std::uint64_t call_id) const
    {
        return is(m_list, call_id) || is(m_watch, call_id);
    }

    enum class outcome
    {
        listed,  // the answer holds all objects
        watched, // the answer holds the changed objects
        failed,  // the call will be retried
    };
    // Requires waits_for(call_id).
    outcome on_answer(std::uint64_t call_id, store_answer const& answer, instant now);

    // The latest usable answer holds all changes that the store had accepted by then. It
    // is dated from the call, as the time that the answer was in transit is unknown.
    instant as_of() const { return m_as_of; }

private:
    struct call
    {
        std::uint64_t id = 0;
        instant sent;
    };

    static bool is(std::optional<call> const& c, std::uint64_t id)
    {
        return c && c->id == id;
    }
    // Returns until when an empty answer to a watch shows that nothing has changed.
    instant unchanged_until(call const& watch, instant now) const;

    store_reader_options m_options;
    std::mt19937_64 m_random;
    std::optional<call> m_list;  // in progress
    std::optional<call> m_watch; // in progress
    bool m_list_wanted = true;
    bool m_subscribed = false;
    instant m_next_call;
    instant m_as_of;
    duration m_backoff{0}; // after the last failure; zero after a success
};

} // namespace buckthornusher

#endif
