// When an answer that was handed to a connection counts as delivered.
//
// Bytes that wait in this process end with it, and bytes that wait in the kernel end with
// a reset. So an answer is delivered only once its reader has acknowledged all of it. A
// process that stops waits for the readers that go on taking bytes. One that has taken
// none for `reader_patience` is gone or reads nothing, and is waited for no more: the end
// of the grace would not help it.
//
// While callers go on sending, some short answer is on its way at any moment. Bytes in
// the kernel therefore count only if they were not acknowledged within
// `acknowledgement_time`.
//
//   delivery_watch reader;
//   reader.note({.handed_over = all, ...}, now); // again and again
//   if (reader.awaited(now)) ...
//
// Holds values only. Cost: O(1).
#ifndef BUCKTHORNUSHER_ANSWER_DELIVERY_HPP
#define BUCKTHORNUSHER_ANSWER_DELIVERY_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>

namespace buckthornusher
{

// Longer than a reader is held up by lost packets or by a full link.
inline constexpr duration reader_patience = std::chrono::seconds(2);
// Longer than a reader takes to acknowledge what fits into its buffers.
inline constexpr duration acknowledgement_time = std::chrono::milliseconds(150);

// Bytes of all answers on a connection since it began. Invariant: each is not above the
// one before.
struct delivered_bytes
{
    std::uint64_t handed_over = 0; // to the connection
    std::uint64_t written = 0;     // to the kernel
    std::uint64_t acknowledged =
        0; // by the reader; `written` if the system does not tell
    friend bool operator==(delivered_bytes const&, delivered_bytes const&) = default;
};

class delivery_watch
{
public:
    // Notes the state of the connection. The first note counts as progress.
    void note(delivered_bytes const& bytes, instant now);

    // Returns whether a part of an answer waits for a reader that takes it.
    bool awaited(instant now) const;

private:
    delivered_bytes m_bytes;
    bool m_noted = false;
    instant m_progress;     // when the reader was last seen to have taken bytes
    instant m_behind_since; // since when it was never seen to have all
};

} // namespace buckthornusher

#endif
