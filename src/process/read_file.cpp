// Implementation of reading whole files; see the header.
#include "process/read_file.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace buckthornusher
{

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<std::string> read_input(std::string const& path)
{
    auto text = read_file(path);
    if (!text)
        std::cerr << path << ": cannot be opened\n";
    return text;
}

} // namespace buckthornusher
