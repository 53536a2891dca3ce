// Implementation of store_era; see the header.
#include "buckthornusher/store_era.hpp"

#include <charconv>

namespace buckthornusher
{

namespace
{

constexpr unsigned revision_bits = 48; // of a version
constexpr std::uint64_t revision_mask = (std::uint64_t{1} << revision_bits) - 1;
constexpr std::uint64_t max_era = 60'000;
constexpr std::uint64_t max_rise = 1'000; // missed while this process was cut off

// Returns nothing if the text is no number within reason.
std::optional<std::uint64_t> parse(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value > max_era)
        return std::nullopt;
    return value;
}

} // namespace

std::string_view to_string(era_reading reading)
{
    switch (reading)
    {
    case era_reading::same:
        return "era-same";
    case era_reading::first:
        return "era-first";
    case era_reading::risen:
        return "era-risen";
    case era_reading::missing:
        return "era-missing";
    case era_reading::unreadable:
        return "era-unreadable";
    case era_reading::fallen:
        return "era-fallen";
    }
    return "era-unknown";
}

// The era's field is one above the era, as 0 means that there is none.
std::uint64_t qualified_version(std::optional<std::uint64_t> era, std::uint64_t revision)
{
    if (!era)
        return revision;
    return ((*era + 1) << revision_bits) | (revision & revision_mask);
}

std::uint64_t revision_of_version(std::uint64_t version)
{
    return version & revision_mask;
}

std::uint64_t era_of_version(std::uint64_t version)
{
    return version >> revision_bits;
}

era_reading store_era::read(std::string_view statement)
{
    auto const stated = parse(statement);
    if (!m_value)
    {
        m_value = stated;
        return stated ? era_reading::first : era_reading::same;
    }
    if (statement.empty())
        return era_reading::missing;
    if (!stated || (*stated > *m_value && *stated - *m_value > max_rise))
        return era_reading::unreadable;
    if (*stated < *m_value)
        return era_reading::fallen;
    if (*stated == *m_value)
        return era_reading::same;
    m_value = *stated;
    return era_reading::risen;
}

} // namespace buckthornusher
