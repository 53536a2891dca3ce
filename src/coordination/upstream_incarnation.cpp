// Implementation of the text form of an upstream's incarnation; see the header.
#include "buckthornusher/upstream_incarnation.hpp"

#include <charconv>

namespace buckthornusher
{

std::string to_string(upstream_incarnation const& incarnation)
{
    return incarnation.id + "@" + std::to_string(incarnation.started);
}

upstream_incarnation parse_incarnation(std::string const& text)
{
    auto const mark = text.rfind('@');
    if (mark == std::string::npos)
        return {.id = text};
    std::uint64_t started = 0;
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data() + mark + 1, end, started);
    if (error != std::errc{} || stop != end)
        return {.id = text};
    return {.id = text.substr(0, mark), .started = started};
}

} // namespace buckthornusher
