// A check of TOML text before it is parsed.
//
// TOML allows characters beyond ASCII in strings and comments only. The parser takes some
// of them elsewhere, such as U+0269, into code that it assumes is never reached, so that
// its behaviour is undefined. Such text is to be refused before.
#ifndef BUCKTHORNUSHER_VERSION_TOML_TEXT_HPP
#define BUCKTHORNUSHER_VERSION_TOML_TEXT_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthornusher
{

// Returns the line, from 1, of the first character beyond ASCII that is neither in a
// string nor in a comment; nothing if there is none. Cost: O(length of the text).
std::optional<std::uint32_t> line_of_stray_character(std::string_view toml);

} // namespace buckthornusher

#endif
