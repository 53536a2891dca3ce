// Reads whole files.
#ifndef BUCKTHORNUSHER_PROCESS_READ_FILE_HPP
#define BUCKTHORNUSHER_PROCESS_READ_FILE_HPP

#include <optional>
#include <string>

namespace buckthornusher
{

// Returns the file's bytes, or nothing if it cannot be opened.
std::optional<std::string> read_file(std::string const& path);

// Like read_file(), but also prints an error if the file cannot be opened.
std::optional<std::string> read_input(std::string const& path);

} // namespace buckthornusher

#endif
