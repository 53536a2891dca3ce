// Who may end a run that is under way at an upstream.
//
// A run ends by its own time, as its caller leaves, or with the process that holds the
// connection to the upstream. Nothing else is a reason to end it, above all not that the
// upstream, or the node beside it, has been silent for a while.
//
//   - Its own time. The upstream is told how much is left and ends the run itself, so its
//     word is awaited for `last_word_margin` longer. A node that closed the connection at
//     the same moment would cut a run whose answer is on its way; and another node's
//     deadline is known with an error, always to the early side (request_clock.hpp).
//   - A silent peer. A node may send a request that allows it once more, to another node
//     or on a new connection, and give the silent attempt up. A node that stops may not:
//     it could neither wait for the second attempt nor take it back, and would end the
//     first one's run by an answer of its own. It waits for the first until it knows that
//     the peer's process is another one, which can't answer any more.
//
// Pure functions. Cost: O(1).
#ifndef BUCKTHORNUSHER_RUN_END_HPP
#define BUCKTHORNUSHER_RUN_END_HPP

#include "buckthornusher/time.hpp"

namespace buckthornusher
{

// Beyond the time that an upstream was told; longer than its answer takes. It counts from
// that time, so it does not have to cover the error of another node's deadline.
inline constexpr duration last_word_margin = std::chrono::milliseconds(150);

// What is known of an attempt at another node that got no answer yet.
enum class attempt_loss
{
    peer_silent,      // it has sent nothing for a while
    member_gone,      // it was evicted; its process may run on
    process_replaced, // the process that had the attempt has ended
};

// Whether the attempt may be given up for another one.
constexpr bool may_give_up(attempt_loss loss, bool stopping)
{
    return loss == attempt_loss::process_replaced || !stopping;
}

} // namespace buckthornusher

#endif
