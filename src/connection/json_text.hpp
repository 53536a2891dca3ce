// Takes apart JSON text that other programs wrote, before any of it is parsed.
//
// A parser rejects a whole text because of one value that it cannot represent, such as
// the number 1e400 or half of a surrogate pair. The functions here find the parts of a
// text by its quotes and brackets alone, so that each part can be parsed on its own and
// an invalid one costs nothing but itself.
//
// They neither recurse nor allocate per level, whatever the depth of the text. They check
// the structure only as far as they have to; a part may still be invalid JSON.
//
// Example, the names in {"items":[{"name":"a"},{"name":1e400}]}:
//
//   auto const body = json_members(text);
//   auto const items = body ? json_member(*body, "items") : std::nullopt;
//   for (auto const item : json_elements(items.value_or("")).value_or(json_parts{}))
//       ...
//
// Cost: O(length of the text).
#ifndef BUCKTHORNUSHER_CONNECTION_JSON_TEXT_HPP
#define BUCKTHORNUSHER_CONNECTION_JSON_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// Depth of nesting that any text from outside may have. A text of this depth can be
// parsed, copied and written by recursive functions on a small stack.
inline constexpr std::size_t max_json_depth = 64;

// A member of an object. Both parts are slices of the text; the key is without quotes and
// with its escapes as written.
struct json_text_member
{
    std::string_view key;
    std::string_view value;
    friend bool operator==(json_text_member const&, json_text_member const&) = default;
};

using json_text_members = std::vector<json_text_member>;
using json_parts = std::vector<std::string_view>;

// Returns the members of an object in their order, or nothing if the text is not one
// object.
std::optional<json_text_members> json_members(std::string_view object);

// Returns the elements of an array, or nothing if the text is not one array.
std::optional<json_parts> json_elements(std::string_view array);

// Returns the value of the last member with the key, as parsers do.
std::optional<std::string_view> json_member(json_text_members const& members,
                                            std::string_view key);

// Returns whether the text is nested at most `max_json_depth` levels deep.
bool has_allowed_depth(std::string_view text);

} // namespace buckthornusher

#endif
