// Shared by the stand-ins: parsing of numbers in queries and headers, and serving until
// SIGTERM.
#ifndef BUCKTHORNUSHER_STANDINS_SERVE_HPP
#define BUCKTHORNUSHER_STANDINS_SERVE_HPP

#include "process/event_loop.hpp"

#include <charconv>
#include <csignal>
#include <cstdint>
#include <string_view>

namespace buckthornusher
{

// Returns zero if the text does not start with a number.
inline std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// Runs the loop until SIGTERM. Returns the exit code of the program.
inline int serve_until_stopped(event_loop& loop)
{
    static event_loop* running = nullptr;
    running = &loop;
    std::signal(SIGTERM, [](int) { running->stop(); });
    loop.run();
    return 0;
}

} // namespace buckthornusher

#endif
