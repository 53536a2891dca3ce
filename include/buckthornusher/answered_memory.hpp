// Remembers the requests that an upstream has answered and that may be sent to it again.
//
// A faulty upstream may write the same answer twice on one connection. A duplicate that
// arrives during another request is recognised by its request id. A duplicate that
// arrives during a later attempt of the same request is not: a refusal of the first
// attempt would be taken for the second, which may run. Requests found here are therefore
// sent on a connection that has carried no request before.
//
// An entry is kept until its request has ended. When the table is full, the entries that
// end first are evicted, and their requests are then treated as new.
//
// Cost: O(log entries); memory is bounded by `max_entries`.
#ifndef BUCKTHORNUSHER_ANSWERED_MEMORY_HPP
#define BUCKTHORNUSHER_ANSWERED_MEMORY_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace buckthornusher
{

class answered_memory
{
public:
    struct options
    {
        std::size_t max_entries = 65'536;
        // Bounds by how much two nodes may differ on the end of a request.
        duration margin = 1s;
    };

    explicit answered_memory(options opts) : m_options(opts) {}

    // Records that the request was answered; it may be sent again until `ends_at`.
    // Requests without an id are ignored.
    void note(std::string const& id, instant ends_at, instant now);

    bool contains(std::string const& id, instant now) const;

    std::size_t size() const { return m_end_times.size(); }

private:
    void evict_first();

    options m_options;
    // Invariant: both containers hold the same entries.
    std::map<std::string, instant> m_end_times; // end of the request, by request id
    std::set<std::pair<instant, std::string>> m_by_end_time;
};

} // namespace buckthornusher

#endif
