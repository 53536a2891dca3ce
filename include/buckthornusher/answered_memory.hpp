// Which requests an upstream has answered lately that may come to it once more.
//
// An upstream in trouble may write an answer again. On another request's turn its id
// tells it apart; on a later turn of the same request nothing does, and a refusal of the
// first turn would be told for the second one, which may run. So a request that comes
// again goes on a connection that has carried nothing before; this memory tells which do.
//
// An entry is kept until the request is over. If there are more of them than fit, those
// that are over first are forgotten, and such a request is then taken for a new one.
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
        // Two nodes may reckon the end of a request so differently.
        duration margin = 1s;
    };

    explicit answered_memory(options opts) : m_options(opts) {}

    // The request was answered, and may come again until `over`. One without an id is not
    // kept.
    void note(std::string const& id, instant ends_at, instant now);

    bool contains(std::string const& id, instant now) const;

    std::size_t size() const { return m_end_times.size(); }

private:
    void evict_first();

    options m_options;
    // Invariant: both hold the same entries.
    std::map<std::string, instant> m_end_times; // when the request is over, by its id
    std::set<std::pair<instant, std::string>> m_by_end_time;
};

} // namespace buckthornusher

#endif
