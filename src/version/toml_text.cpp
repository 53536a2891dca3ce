// Implementation of the check of TOML text; see the header.
#include "version/toml_text.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Returns where the string that begins at `at` ends: after its closing quotes, at the end
// of its line if it has none, or at the end of the text.
std::size_t end_of_string(std::string_view toml, std::size_t at)
{
    char const quote = toml[at];
    auto const opening = toml.substr(at, 3);
    bool const multi_line =
        opening.size() == 3 && opening[1] == quote && opening[2] == quote;
    auto const closing = toml.substr(at, multi_line ? 3 : 1);
    for (auto i = at + closing.size(); i < toml.size(); ++i)
    {
        if (toml.substr(i).starts_with(closing))
            return i + closing.size();
        if (toml[i] == '\n' && !multi_line)
            return i;
        if (toml[i] == '\\' && quote == '"')
            ++i;
    }
    return toml.size();
}

} // namespace

std::optional<std::uint32_t> line_of_stray_character(std::string_view toml)
{
    for (std::size_t i = 0; i < toml.size();)
    {
        auto const c = static_cast<unsigned char>(toml[i]);
        if (c == '#')
            i = std::min(toml.find('\n', i), toml.size());
        else if (c == '"' || c == '\'')
            i = end_of_string(toml, i);
        else if (c >= 0x80)
            return 1 + static_cast<std::uint32_t>(std::count(
                           toml.begin(), toml.begin() + static_cast<std::ptrdiff_t>(i),
                           '\n'));
        else
            ++i;
    }
    return std::nullopt;
}

} // namespace buckthornusher
