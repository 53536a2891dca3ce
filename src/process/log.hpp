// Log lines for changes of state, by Boost.Log. Counters say how often; logs say what
// changed.
#ifndef BUCKTHORNUSHER_PROCESS_LOG_HPP
#define BUCKTHORNUSHER_PROCESS_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthornusher
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

struct log_field
{
    std::string_view name;
    std::string value;
};

// Lines go to standard error as key=value: "ts=... level=info node=a event=joined ...".
void set_up_log(std::string const& node, std::string const& level);

void set_log_level(std::string const& level);

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace buckthornusher

#endif
