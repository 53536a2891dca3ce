// Implementation of structured logging; see the header.
#include "process/log.hpp"

#include "process/boot_clock.hpp"
#include "process/log_limit.hpp"

#include <boost/log/attributes/attribute_value_set.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace buckthornusher
{

namespace
{

namespace logging = boost::log;
using logger = logging::sources::severity_logger<log_level>;

BOOST_LOG_ATTRIBUTE_KEYWORD(severity, "Severity", log_level)

// A writable pipe accepts at least this much without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4'096;
constexpr duration suppressed_report_interval = 5s; // between reports of suppressed lines

// Buffers formatted lines and writes them as far as the descriptor accepts them without
// blocking.
class bounded_writer
    : public logging::sinks::basic_sink_backend<logging::sinks::concurrent_feeding>
{
public:
    void set_up(int descriptor, std::size_t limit)
    {
        m_descriptor = descriptor;
        m_limit = limit;
    }

    void consume(logging::record_view const& record)
    {
        auto const message = record[logging::expressions::smessage];
        if (!message)
            return;
        auto const& line = message.get(); // may hold several lines
        if (m_buffer.size() - m_written + line.size() + 1 > m_limit)
        {
            ++m_counts.dropped;
            return;
        }
        m_buffer += line;
        m_buffer += '\n';
        m_counts.lines +=
            1 + static_cast<std::uint64_t>(std::count(line.begin(), line.end(), '\n'));
        m_counts.bytes += line.size() + 1;
    }

    void flush()
    {
        while (m_written < m_buffer.size() && writable())
        {
            auto const piece = std::min(max_write_bytes, m_buffer.size() - m_written);
            auto const result = ::write(m_descriptor, m_buffer.data() + m_written, piece);
            if (result <= 0)
                break; // retried at the next flush
            m_written += static_cast<std::size_t>(result);
        }
        if (m_written == m_buffer.size() || m_written > m_limit / 2)
        {
            m_buffer.erase(0, m_written);
            m_written = 0;
        }
    }

    log_counts const& counts() const { return m_counts; }

private:
    bool writable() const
    {
        pollfd p{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
        return ::poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
    }

    int m_descriptor = 1;
    std::size_t m_limit = 0;
    std::string m_buffer;
    std::size_t m_written = 0; // bytes of m_buffer already written
    log_counts m_counts;
};

struct log_state
{
    std::string node;
    boost::shared_ptr<bounded_writer> writer = boost::make_shared<bounded_writer>();
    line_limiter limiter{{}};
    logger source;
    instant counts_reported_at;
};

log_state& state()
{
    static log_state instance;
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

// Appends "2026-12-04T08:10:36.123456". The text of the current second is cached, as most
// lines fall into the same second as the previous one.
void append_timestamp(std::string& line, std::int64_t at_us)
{
    constexpr std::int64_t us_per_s = 1'000'000;
    constexpr std::size_t us_digits = 6;
    static thread_local std::int64_t cached_second = -1;
    static thread_local std::array<char, 40> cached_text{};
    auto const second = at_us / us_per_s;
    if (second != cached_second)
    {
        auto const seconds = static_cast<std::time_t>(second);
        std::tm parts{};
        ::gmtime_r(&seconds, &parts);
        std::strftime(cached_text.data(), cached_text.size(), "%Y-%m-%dT%H:%M:%S.",
                      &parts);
        cached_second = second;
    }
    line += cached_text.data();
    auto const us = std::to_string(at_us % us_per_s);
    line.append(us_digits - us.size(), '0');
    line += us;
}

bool needs_quotes(std::string const& value)
{
    return value.empty() || std::any_of(value.begin(), value.end(),
                                        [](char c) {
                                            return c == ' ' || c == '"' || c == '=' ||
                                                   c == '\n' || c == '\r' || c == '\t';
                                        });
}

void append_line_start(std::string& text, log_level level, std::int64_t at_us,
                       std::string_view event)
{
    text += "ts=";
    append_timestamp(text, at_us);
    text += " level=";
    text += name_of(level);
    text += " node=";
    text += state().node;
    text += " event=";
    text += event;
}

void write_line(log_level level, std::int64_t at_us, std::string_view event,
                std::string const& fields)
{
    std::string line;
    append_line_start(line, level, at_us, event);
    line += fields;
    BOOST_LOG_SEV(state().source, level) << line;
}

} // namespace

void set_up_log(log_options opts)
{
    auto& s = state();
    s.node = std::move(opts.node);
    s.writer->set_up(opts.descriptor, opts.buffer_bytes);
    auto sink =
        boost::make_shared<logging::sinks::unlocked_sink<bounded_writer>>(s.writer);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(sink);
    set_log_level(opts.level);
}

void set_log_level(std::string const& level)
{
    logging::core::get()->set_filter(severity >= level_of(level));
}

std::int64_t wall_clock_us()
{
    timespec ts{};
    ::clock_gettime(CLOCK_REALTIME, &ts);
    return std::int64_t{ts.tv_sec} * 1'000'000 + ts.tv_nsec / 1'000;
}

void append_field(std::string& fields, log_field const& field)
{
    fields += ' ';
    fields += field.name;
    fields += '=';
    if (!needs_quotes(field.value))
    {
        fields += field.value;
        return;
    }
    fields += '"';
    for (char const c : field.value)
    {
        bool const escaped = c == '"' || c == '\\';
        if (escaped)
            fields += '\\';
        fields += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    fields += '"';
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (!state().limiter.allow(event, boot_now()))
        return;
    std::string text;
    for (auto const& field : fields)
        append_field(text, field);
    write_line(level, wall_clock_us(), event, text);
}

void log_decisions(std::string const& request, std::string_view kind,
                   std::vector<log_decision> const& decisions)
{
    if (!state().limiter.allow(kind, boot_now()))
        return;
    // All lines share one Boost.Log record, as a record costs more than a line.
    std::string lines;
    for (auto const& d : decisions)
    {
        if (!lines.empty())
            lines += '\n';
        append_line_start(lines, log_level::info, d.at_us, d.event);
        append_field(lines, {"request", request});
        lines += d.fields;
    }
    if (!lines.empty())
        BOOST_LOG_SEV(state().source, log_level::info) << lines;
}

void flush_log()
{
    auto& s = state();
    auto const now = boot_now();
    if (now - s.counts_reported_at >= suppressed_report_interval)
    {
        s.counts_reported_at = now;
        for (auto const& [kind, count] : s.limiter.take_suppressed())
        {
            std::string text;
            append_field(text, {"kind", kind});
            append_field(text, {"count", std::to_string(count)});
            write_line(log_level::warning, wall_clock_us(), "lines-left-out", text);
        }
    }
    s.writer->flush();
}

log_counts current_log_counts()
{
    auto counts = state().writer->counts();
    counts.limited = state().limiter.suppressed();
    return counts;
}

} // namespace buckthornusher
