// Structured log lines on standard output, by Boost.Log.
//
// One line is one event, as key=value:
//
//   ts=2026-12-04T08:10:36.123456 level=info node=10.1.0.8 event=ended request=9c41 ...
//
// Values with spaces or quotes stand in quotes. docs/OPERATIONS.md lists the events and
// their fields. Writing never blocks: lines go into a bounded buffer, and from there to
// the descriptor while it takes them; what does not fit is left out and counted. Lines
// are limited by kind (log_limit.hpp).
#ifndef BUCKTHORNUSHER_PROCESS_LOG_HPP
#define BUCKTHORNUSHER_PROCESS_LOG_HPP

#include "buckthornusher/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

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

struct log_options
{
    std::string node;
    std::string level = "info";
    int descriptor = 1;                 // standard output
    std::size_t buffer_bytes = 262'144; // of lines that wait for the reader
};

void set_up_log(log_options opts);
void set_log_level(std::string const& level);

// A change of what the process believes, a start, a stop, a dependency lost or regained.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

// Microseconds since 1970, for log_line().
std::int64_t wall_clock_us();

// A decision about a request, perhaps of a while ago.
struct log_decision
{
    std::int64_t at_us = 0;
    std::string_view event;
    std::string fields; // " name=value name=value"
};
void append_field(std::string& fields, log_field const& field);
// All of them or, beyond the rate of their `kind`, none.
void log_decisions(std::string const& request, std::string_view kind,
                   std::vector<log_decision> const& decisions);

// Writes what the descriptor takes now, and the counts of lines left out from time to
// time. To be called regularly.
void flush_log();

struct log_counts
{
    std::uint64_t lines = 0;
    std::uint64_t bytes = 0;
    std::uint64_t limited = 0; // left out for their rate
    std::uint64_t dropped = 0; // left out as the reader did not keep up
};
log_counts current_log_counts();

} // namespace buckthornusher

#endif
