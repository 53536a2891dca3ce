// One budget for the bytes that clients and peers make a process hold.
//
// What grows with what others send is counted: bodies being read, requests held until
// their answer, answers not yet written, requests from peers. Whoever wants to hold more
// asks first. Holders of much share a part of the budget, so that ordinary requests find
// room while it is spent; messages of control are not counted.
//
// Built for clients that keep to no rule: many large bodies at once, bodies that stop
// short of their end, answers that are read slowly.
//
// Safety: the verdict falls before a request is passed on, so one that is refused has not
// run.
// Cost: O(1) for each change; choose_victim() is O(holders) and runs only when the budget
// is spent.
#ifndef BUCKTHORNUSHER_MEMORY_BUDGET_HPP
#define BUCKTHORNUSHER_MEMORY_BUDGET_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace buckthornusher
{

// Messages and bodies of more are long, and whoever holds one is a large holder.
inline constexpr std::uint64_t long_message_bytes = 65'536;

struct memory_options
{
    // Of the whole process; the default is that of the smallest VM.
    std::uint64_t process_bytes = 160'000'000;
    // The program, its replica, and its buffers of bounded size.
    std::uint64_t program_bytes = 48'000'000;
    std::uint64_t min_bytes = 16'000'000; // of the budget, however small the process
    std::uint64_t large_bytes = long_message_bytes; // a holder of more is a large one
    // Kept from large holders; at most a quarter of the budget.
    std::uint64_t ordinary_reserve = 8'000'000;
    duration patience = 1s; // without progress, after which a holder may be closed
    friend bool operator==(memory_options const&, memory_options const&) = default;
};

// Returns the options for a process with that much memory; 0: not known.
memory_options make_memory_options(std::uint64_t process_bytes);

class memory_budget
{
public:
    explicit memory_budget(memory_options opts);

    std::uint64_t limit() const { return m_limit; }
    std::uint64_t held() const { return m_held; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t closed() const { return m_closed; }
    memory_options const& options() const { return m_options; }

    // Whether a holder of `before` bytes may hold `after`, for a message of `size`, which
    // may be held several times.
    bool has_room(std::uint64_t before, std::uint64_t after, std::uint64_t size) const;
    // Whether there is room for that much while nothing else is held.
    bool ever_has_room(std::uint64_t bytes, std::uint64_t size) const
    {
        return bytes <= allowed(size);
    }
    // Whether the budget is exceeded, as answers are held without asking.
    bool exceeded() const { return m_held > m_limit; }

    // Parts that are bounded by themselves: answers being read from one upstream, and
    // long messages to peers that are not sent yet.
    std::uint64_t max_incomplete_answers() const;
    std::uint64_t max_queued_messages() const;

    // Counted for operators.
    void note_refused() { ++m_refused; }
    void note_closed() { ++m_closed; }

private:
    friend class memory_hold;
    std::uint64_t allowed(std::uint64_t size) const;

    memory_options m_options;
    std::uint64_t m_limit = 0;
    std::uint64_t m_held = 0; // sum over all holds
    std::uint64_t m_refused = 0;
    std::uint64_t m_closed = 0;
};

// What one holder has of the budget; given back at its end. Without a budget it bounds
// nothing. The budget outlives its holds.
class memory_hold
{
public:
    memory_hold() = default;
    explicit memory_hold(memory_budget* budget) : m_budget(budget) {}
    ~memory_hold() { set(0); }
    memory_hold(memory_hold&& other) noexcept
        : m_budget(other.m_budget), m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    memory_hold& operator=(memory_hold&& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    memory_hold(memory_hold const&) = delete;
    memory_hold& operator=(memory_hold const&) = delete;

    std::uint64_t bytes() const { return m_bytes; }
    // Returns false, and changes nothing, if there is no room for it.
    bool try_set(std::uint64_t bytes) { return try_set(bytes, bytes); }
    // The same for a message of `size` that is held several times.
    bool try_set(std::uint64_t bytes, std::uint64_t size);
    void set(std::uint64_t bytes);

private:
    memory_budget* m_budget = nullptr;
    std::uint64_t m_bytes = 0;
};

// A connection that could be closed to make room.
struct memory_holder
{
    std::uint64_t bytes = 0;
    instant last_progress;
    friend bool operator==(memory_holder const&, memory_holder const&) = default;
};

// How far a search for a connection to close may go.
enum class victim_search
{
    stalled, // only one without progress for longer than the patience
    any,     // also one that makes progress
};

// Returns the index of the holder to close: among the stalled ones the one that holds
// most; if there is none, and the search may go that far, the one without progress for
// longest. Holders that are not large are left alone while there are others.
std::optional<std::size_t> choose_victim(std::vector<memory_holder> const& holders,
                                         victim_search search, instant now,
                                         memory_options const& opts);

} // namespace buckthornusher

#endif
