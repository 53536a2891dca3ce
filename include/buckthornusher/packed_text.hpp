// A long text, kept compressed.
//
// The text is compressed once, where it enters the node. It is stored and sent as these
// bytes, and decompressed only where it is read. Texts of more than `max_packed_text`
// bytes are not supported.
//
// Cost: the constructor and text() are linear in the text; all else is linear in the
// compressed bytes.
#ifndef BUCKTHORNUSHER_PACKED_TEXT_HPP
#define BUCKTHORNUSHER_PACKED_TEXT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornusher
{

inline constexpr std::size_t max_packed_text = 16'777'216; // bytes

// Immutable. Two values are equal if their compressed bytes are.
class packed_text
{
public:
    packed_text() = default; // the empty text
    explicit packed_text(std::string_view text);

    // Returns nothing if the bytes are not a compressed text, or are one that is too
    // long.
    static std::optional<packed_text> from_bytes(std::string bytes);

    std::string text() const;
    std::string const& bytes() const { return m_bytes; } // empty for the empty text

    friend bool operator==(packed_text const&, packed_text const&) = default;

private:
    std::string m_bytes; // a zlib stream that decompresses without error, or empty
};

} // namespace buckthornusher

#endif
