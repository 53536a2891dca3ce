// Slices of JSON text; see the header.
#include "connection/json_text.hpp"

namespace buckthornusher
{

namespace
{

constexpr std::string_view spaces = " \t\r\n";

bool opens(char c)
{
    return c == '{' || c == '[';
}

bool closes(char c)
{
    return c == '}' || c == ']';
}

// Reads a text from its start to its end.
class scanner
{
public:
    explicit scanner(std::string_view text) : m_text(text) {}

    void skip_spaces()
    {
        auto const next = m_text.find_first_not_of(spaces, m_position);
        m_position = next == std::string_view::npos ? m_text.size() : next;
    }

    // Skips spaces, and the character if it comes next.
    bool skip(char c)
    {
        skip_spaces();
        if (m_position >= m_text.size() || m_text[m_position] != c)
            return false;
        ++m_position;
        return true;
    }

    bool at_end()
    {
        skip_spaces();
        return m_position == m_text.size();
    }

    // Returns the next value and skips it; empty: there is none, or it does not end.
    std::string_view value()
    {
        skip_spaces();
        auto const first = m_position;
        std::size_t depth = 0;
        while (m_position < m_text.size())
        {
            char const c = m_text[m_position];
            bool const ends_before = c == ',' || closes(c);
            if (depth == 0 && ends_before)
                break;
            if (c == '"' && !skip_string())
                return {};
            if (c == '"')
            {
                if (depth == 0)
                    break;
                continue;
            }
            ++m_position;
            depth += opens(c) ? 1 : 0;
            depth -= closes(c) ? 1 : 0;
            if (depth == 0 && closes(c))
                break;
        }
        if (depth > 0)
            return {};
        return trimmed(m_text.substr(first, m_position - first));
    }

    // Returns the next string without its quotes and skips it; nothing: there is none.
    std::optional<std::string_view> string()
    {
        skip_spaces();
        auto const first = m_position;
        if (first >= m_text.size() || m_text[first] != '"' || !skip_string())
            return std::nullopt;
        return m_text.substr(first + 1, m_position - first - 2);
    }

private:
    static std::string_view trimmed(std::string_view text)
    {
        auto const last = text.find_last_not_of(spaces);
        return last == std::string_view::npos ? std::string_view{}
                                              : text.substr(0, last + 1);
    }

    // Skips a string from its first quote; returns false if it does not end.
    bool skip_string()
    {
        for (++m_position; m_position < m_text.size(); ++m_position)
        {
            if (m_text[m_position] == '\\')
                ++m_position;
            else if (m_text[m_position] == '"')
            {
                ++m_position;
                return true;
            }
        }
        return false;
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace

std::optional<json_text_members> json_members(std::string_view object)
{
    scanner s(object);
    json_text_members members;
    if (!s.skip('{'))
        return std::nullopt;
    if (s.skip('}'))
        return s.at_end() ? std::optional(members) : std::nullopt;
    do
    {
        auto const key = s.string();
        if (!key || !s.skip(':'))
            return std::nullopt;
        auto const value = s.value();
        if (value.empty())
            return std::nullopt;
        members.push_back({.key = *key, .value = value});
    } while (s.skip(','));
    bool const complete = s.skip('}') && s.at_end();
    return complete ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<json_parts> json_elements(std::string_view array)
{
    scanner s(array);
    json_parts parts;
    if (!s.skip('['))
        return std::nullopt;
    if (s.skip(']'))
        return s.at_end() ? std::optional(parts) : std::nullopt;
    do
    {
        auto const value = s.value();
        if (value.empty())
            return std::nullopt;
        parts.push_back(value);
    } while (s.skip(','));
    bool const complete = s.skip(']') && s.at_end();
    return complete ? std::optional(std::move(parts)) : std::nullopt;
}

std::optional<std::string_view> json_member(json_text_members const& members,
                                            std::string_view key)
{
    for (auto it = members.rbegin(); it != members.rend(); ++it)
        if (it->key == key)
            return it->value;
    return std::nullopt;
}

bool has_allowed_depth(std::string_view text)
{
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        char const c = text[i];
        if (in_string)
        {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
            continue;
        }
        in_string = c == '"';
        depth += opens(c) ? 1 : 0;
        if (depth > max_json_depth)
            return false;
        depth -= closes(c) && depth > 0 ? 1 : 0;
    }
    return true;
}

} // namespace buckthornusher
