// Numbers messages that ask for an answer, and remembers when the latest were sent.
//
// What an answer says counts from the time of its question, as the time that it was in
// transit is unknown.
#ifndef BUCKTHORNUSHER_SENT_TIMES_HPP
#define BUCKTHORNUSHER_SENT_TIMES_HPP

#include "buckthornusher/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace buckthornusher
{

class sent_times
{
public:
    explicit sent_times(std::size_t max_remembered) : m_max_remembered(max_remembered) {}

    // Returns the number of a message that is sent now; the first is 1.
    std::uint64_t add(instant now)
    {
        m_times[++m_last] = now;
        if (m_times.size() > m_max_remembered)
            m_times.erase(m_times.begin());
        return m_last;
    }

    // Returns nothing if the number is unknown or not remembered any more.
    std::optional<instant> find(std::uint64_t number) const
    {
        auto const it = m_times.find(number);
        return it == m_times.end() ? std::nullopt : std::optional(it->second);
    }

private:
    std::size_t m_max_remembered;
    std::uint64_t m_last = 0;
    std::map<std::uint64_t, instant> m_times; // of the latest, by number
};

} // namespace buckthornusher

#endif
