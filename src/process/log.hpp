// Structured log lines on standard output, written with Boost.Log.
//
// One line is one event, as key=value pairs:
//
//   ts=2026-12-04T08:10:36.123456 level=info node=10.1.0.8 event=ended request=9c41 ...
//
// Values that are empty or contain white space, quotes or '=' are quoted.
// docs/OPERATIONS.md lists the events and their fields. Logging never blocks: lines go
// into a bounded buffer and from there to the descriptor when it is writable. Lines that
// do not fit into the buffer are dropped and counted. The line rate is limited per kind
// (log_limit.hpp).
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
    std::size_t buffer_bytes = 262'144; // for lines that are not written yet
};

void set_up_log(log_options opts);
void set_log_level(std::string const& level);

// Logs an event of the process: a change of its state, a start or a stop, a dependency
// lost or regained. The rate is limited per event name.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

// Microseconds since 1970-01-01 UTC, for log_decision::at_us.
std::int64_t wall_clock_us();

// A decision about a request; it may be logged later than it was made.
struct log_decision
{
    std::int64_t at_us = 0;
    std::string_view event;
    std::string fields; // " name=value name=value"
};
void append_field(std::string& fields, log_field const& field);
// Logs all of the decisions, or none if the rate limit of `kind` is exceeded.
void log_decisions(std::string const& request, std::string_view kind,
                   std::vector<log_decision> const& decisions);

// Writes buffered lines as far as the descriptor accepts them without blocking. Logs the
// counts of rate-limited lines every 5 s. Must be called regularly.
void flush_log();

struct log_counts
{
    std::uint64_t lines = 0;
    std::uint64_t bytes = 0;
    std::uint64_t limited = 0; // suppressed by the rate limits
    std::uint64_t dropped = 0; // did not fit into the buffer
};
log_counts current_log_counts();

} // namespace buckthornusher

#endif
