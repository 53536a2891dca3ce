// Implementation of the client for the platform's store; see the header.
#include "connection/store_client.hpp"

#include <algorithm>
#include <utility>

namespace buckthornusher
{

namespace
{

constexpr std::size_t max_connections = 6; // watches may occupy two of them
constexpr std::uint64_t max_response_bytes = 64'000'000;
// Added to the time for which the store holds a watch, for the answer to arrive.
constexpr duration watch_timeout_margin = 700ms;
constexpr std::size_t max_remembered_entries = 1'000; // that were skipped
constexpr std::size_t max_reported_name = 200;        // bytes

// Qualifies the versions in the answer by the era.
void qualify(std::optional<std::uint64_t> era, store_answer& answer)
{
    if (auto* found = std::get_if<store_objects>(&answer))
    {
        found->revision = qualified_version(era, found->revision);
        for (auto& o : found->objects)
            o.version = qualified_version(era, o.version);
    }
    if (auto* written = std::get_if<store_written>(&answer))
        written->version = qualified_version(era, written->version);
    if (auto* conflict = std::get_if<store_conflict>(&answer);
        conflict != nullptr && conflict->current.version > 0)
        conflict->current.version = qualified_version(era, conflict->current.version);
}

} // namespace

store_client::store_client(event_loop& loop, options const& opts)
    : m_options(opts),
      m_http(loop, {.peer = opts.address,
                    .max_connections = max_connections,
                    .limits = {.header_bytes = 65'536, .body_bytes = max_response_bytes}})
{
}

bool store_client::is_of_earlier_era(std::uint64_t version) const
{
    return version > 0 &&
           era_of_version(version) != era_of_version(qualified_version(m_era.value(), 0));
}

void store_client::call(store_operation const& operation, callback done)
{
    if (auto const* l = std::get_if<store_list>(&operation))
        return list(*l, {}, {}, std::move(done));
    if (auto const* w = std::get_if<store_watch>(&operation))
        return watch(*w, std::move(done));
    write(std::get<store_write>(operation), std::move(done));
}

void store_client::send(http_request request, duration timeout,
                        http_client::callback done)
{
    request.headers.push_back({"User-Agent", m_options.user_agent});
    m_http.call(std::move(request), timeout, std::move(done));
}

store_answer store_client::record_outcome(std::string_view call,
                                          http_result const& result, store_answer answer)
{
    auto const era_error = std::exchange(m_era_error, {});
    bool const refused = std::holds_alternative<store_refused>(answer);
    bool const no_answer = std::holds_alternative<store_no_answer>(answer);
    m_counts.refused += refused ? 1 : 0;
    m_counts.no_answer += no_answer ? 1 : 0;
    m_counts.conflicts += std::holds_alternative<store_conflict>(answer) ? 1 : 0;
    m_reachable = !refused && !no_answer;
    bool const history_lost = std::holds_alternative<store_history_lost>(answer);
    if (m_options.on_failure && (!m_reachable || history_lost))
        m_options.on_failure(
            {.call = call,
             .what = !era_error.empty() ? std::string(era_error)
                     : result.has_value()
                         ? "status " + std::to_string(result.value().status)
                         : std::string(to_string(result.error().failed_step)) +
                               (result.error().sent ? ", sent" : ", not sent")});
    return answer;
}

// A refusal is true in any era: the call had no effect.
store_answer store_client::check_era(http_result const& result, store_answer answer,
                                     asked_era const& asked)
{
    if (!result.has_value() || std::holds_alternative<store_refused>(answer) ||
        std::holds_alternative<store_no_answer>(answer))
        return answer;
    auto const reading = m_era.read(platform::era_statement(result.value()));
    if (is_error(reading))
    {
        ++m_counts.era_errors;
        m_era_error = to_string(reading);
        return store_no_answer{};
    }
    if (reading == era_reading::risen)
    {
        ++m_counts.era_rises;
        if (m_options.on_era_risen)
            m_options.on_era_risen(*m_era.value());
    }
    bool const crossed = asked && asked != m_era.value();
    return crossed ? store_answer(store_history_lost{}) : answer;
}

// Entries of other writers may be many and long: what is remembered and reported of them
// is bounded.
void store_client::note_skipped(std::vector<platform::skipped_entry> const& entries)
{
    for (auto entry : entries)
    {
        entry.name.resize(std::min(entry.name.size(), max_reported_name));
        bool const is_new =
            m_skipped.size() < max_remembered_entries && m_skipped.insert(entry).second;
        if (!is_new)
            continue;
        ++m_counts.skipped_entries;
        if (m_options.on_skipped)
            m_options.on_skipped({.name = entry.name, .revision = entry.revision});
    }
}

void store_client::list(store_list const& operation, store_objects so_far,
                        std::string const& after, callback done)
{
    ++m_counts.lists;
    send(platform::list_request(operation, after), m_options.call_timeout,
         [this, operation, asked = m_era.value(), is_first = after.empty(),
          so_far = std::move(so_far), done = std::move(done)](http_result result) mutable
         {
             auto page = result.has_value()
                             ? platform::read_list(operation, result.value())
                             : std::nullopt;
             if (!page)
                 return done(record_outcome("list", result, store_no_answer{}));
             // The first page may be of a new era, as long as all are of one.
             auto const checked =
                 check_era(result, store_objects{}, is_first ? asked_era{} : asked);
             if (!std::holds_alternative<store_objects>(checked))
                 return done(record_outcome("list", result, store_no_answer{}));
             note_skipped(page->skipped);
             store_answer answer = std::move(page->objects);
             qualify(m_era.value(), answer);
             auto& found = std::get<store_objects>(answer);
             if (so_far.revision == 0)
                 so_far.revision = found.revision;
             for (auto& o : found.objects)
                 so_far.objects.push_back(std::move(o));
             if (page->more && !page->last_name.empty())
                 return list(operation, std::move(so_far), page->last_name,
                             std::move(done));
             done(record_outcome("list", result, std::move(so_far)));
         });
}

void store_client::watch(store_watch const& operation, callback done)
{
    if (is_of_earlier_era(operation.since))
        return done(store_history_lost{}); // the revision means nothing any more
    ++m_counts.watches;
    auto plain = operation;
    plain.since = revision_of_version(operation.since);
    send(platform::watch_request(plain), operation.wait + watch_timeout_margin,
         [this, operation, asked = m_era.value(),
          done = std::move(done)](http_result result)
         {
             auto read = result.has_value()
                             ? platform::read_watch(operation, result.value())
                             : platform::watch_result{.answer = store_no_answer{}};
             note_skipped(read.skipped);
             auto answer = check_era(result, std::move(read.answer), asked);
             qualify(m_era.value(), answer);
             done(record_outcome("watch", result, std::move(answer)));
         });
}

void store_client::write(store_write const& operation, callback done)
{
    // Its condition might hold again by accident, and nobody has read what stands now.
    if (is_of_earlier_era(operation.expected))
        return done(store_refused{});
    ++m_counts.writes;
    auto plain = operation;
    plain.expected = revision_of_version(operation.expected);
    send(platform::write_request(plain), m_options.call_timeout,
         [this, operation, done = std::move(done)](http_result result)
         {
             // A write that was asked in one era and answered in the next is decided by
             // its answer like any other.
             if (result.has_value())
             {
                 auto answer = check_era(
                     result, platform::read_write(operation, result.value()), {});
                 qualify(m_era.value(), answer);
                 return done(record_outcome("write", result, std::move(answer)));
             }
             bool const sent = result.error().sent;
             done(record_outcome("write", result,
                                 sent ? store_answer(store_no_answer{})
                                      : store_answer(store_refused{})));
         });
}

} // namespace buckthornusher
