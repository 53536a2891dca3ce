// Whole files that a command was given.
#ifndef BUCKTHORNUSHER_PROCESS_READ_FILE_HPP
#define BUCKTHORNUSHER_PROCESS_READ_FILE_HPP

#include <optional>
#include <string>

namespace buckthornusher
{

// The file's bytes; nothing if it cannot be read.
std::optional<std::string> read_file(std::string const& path);

// The same; a file that cannot be read is named on standard error.
std::optional<std::string> read_input(std::string const& path);

} // namespace buckthornusher

#endif
