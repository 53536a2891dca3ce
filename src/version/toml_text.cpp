// Implementation of the check of TOML text; see the header.
#include "version/toml_text.hpp"

#include <algorithm>

namespace buckthornusher
{

namespace
{

// Returns whether a string may begin at `at`: the parser takes a quote in another place
// for an error, and reads on from there as if outside of strings.
bool may_begin_string(std::string_view toml, std::size_t at)
{
    constexpr std::string_view before = " \t\r\n=,.[{";
    return at == 0 || before.find(toml[at - 1]) != std::string_view::npos;
}

// Returns where the string that begins at `at` ends: after its closing quotes, or nothing
// if it has none, on its line or in the text.
std::optional<std::size_t> end_of_string(std::string_view toml, std::size_t at)
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
            return std::nullopt;
        if (toml[i] == '\\' && quote == '"')
            ++i;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint32_t> line_of_stray_character(std::string_view toml)
{
    for (std::size_t i = 0; i < toml.size();)
    {
        auto const c = static_cast<unsigned char>(toml[i]);
        if (c == '#')
            i = std::min(toml.find('\n', i), toml.size());
        else if ((c == '"' || c == '\'') && may_begin_string(toml, i))
            i = end_of_string(toml, i).value_or(i + 1);
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
