// Log lines by Boost.Log: see the header.
#include "process/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace buckthornusher
{

namespace
{

namespace logging = boost::log;
using logger = logging::sources::severity_logger<log_level>;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", log_level)

std::string node_name;

logger& global_logger()
{
    static logger instance;
    return instance;
}

char const* name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

log_level level_of(std::string const& name)
{
    for (auto const level : {log_level::debug, log_level::warning, log_level::error})
        if (name == name_of(level))
            return level;
    return log_level::info;
}

} // namespace

void set_up_log(std::string const& node, std::string const& level)
{
    node_name = node;
    logging::add_common_attributes();
    logging::add_console_log(
        std::cerr, logging::keywords::auto_flush = true,
        logging::keywords::format =
            (logging::expressions::stream
             << "ts="
             << logging::expressions::format_date_time<boost::posix_time::ptime>(
                    "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
             << " " << logging::expressions::smessage));
    set_log_level(level);
}

void set_log_level(std::string const& level)
{
    logging::core::get()->set_filter(severity >= level_of(level));
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    std::string line = std::string("level=") + name_of(level) + " node=" + node_name +
                       " event=" + std::string(event);
    for (auto const& field : fields)
        line += " " + std::string(field.name) + "=" + field.value;
    BOOST_LOG_SEV(global_logger(), level) << line;
}

} // namespace buckthornusher
