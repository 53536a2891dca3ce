// Implementation of packed_text with zlib; see the header.
#include "buckthornusher/packed_text.hpp"

#define ZLIB_CONST // input is read only
#include <zlib.h>

#include <array>
#include <stdexcept>

namespace buckthornusher
{

namespace
{

// Calls `sink` with each part of the decompressed text. Returns whether the bytes are
// exactly one stream, of at most `max_packed_text` bytes of text.
template <class Sink>
bool decompress(std::string const& bytes, Sink sink)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return false;
    stream.next_in = reinterpret_cast<Bytef const*>(bytes.data());
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::array<char, 16'384> part{};
    std::size_t length = 0;
    int status = Z_OK;
    while (status == Z_OK && length <= max_packed_text)
    {
        stream.next_out = reinterpret_cast<Bytef*>(part.data());
        stream.avail_out = static_cast<uInt>(part.size());
        status = inflate(&stream, Z_NO_FLUSH);
        auto const size = part.size() - stream.avail_out;
        length += size;
        sink(std::string_view(part.data(), size));
    }
    bool const whole = status == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    return whole && length <= max_packed_text;
}

} // namespace

packed_text::packed_text(std::string_view text)
{
    if (text.empty())
        return;
    if (text.size() > max_packed_text)
        throw std::length_error("packed_text: the text is too long");
    auto size = compressBound(static_cast<uLong>(text.size()));
    m_bytes.resize(size);
    auto const status =
        compress(reinterpret_cast<Bytef*>(m_bytes.data()), &size,
                 reinterpret_cast<Bytef const*>(text.data()), text.size());
    if (status != Z_OK)
        throw std::runtime_error("packed_text: cannot compress");
    m_bytes.resize(size);
}

std::optional<packed_text> packed_text::from_bytes(std::string bytes)
{
    if (!bytes.empty() && !decompress(bytes, [](std::string_view) {}))
        return std::nullopt;
    packed_text result;
    result.m_bytes = std::move(bytes);
    return result;
}

std::string packed_text::text() const
{
    std::string result;
    if (!m_bytes.empty())
        decompress(m_bytes, [&](std::string_view part) { result += part; });
    return result;
}

} // namespace buckthornusher
