// Implementation of the agent: the VM's link as room for large answers. See the header.
#include "process/agent_impl.hpp"

#include "process/overloaded.hpp"

namespace buckthornusher
{

// Returns false if the request has been refused or waits for the link. A request that was
// taken from a caller here crosses no link.
bool agent::admit_to_link(active_request& w, instant now)
{
    auto const& r = w.request;
    if (!r.large_answer || r.sender.empty() || !m_link_answers.active())
        return true;
    auto const& queue = w.backend->queue;
    auto const verdict = m_link_downloads.arrive(
        {.id = w.id,
         .request_class = r.request_class,
         .due = r.due,
         .deadline = r.deadline,
         .start_until = r.start_until,
         .may_be_held = !r.shard},
        {.slot_wait = wait_of_rank(r.rank, queue.until_free_slot(), queue.backlog()),
         .service = queue.expected_service(r.request_class)},
        now);
    auto const* held = std::get_if<held_for_link>(&verdict);
    auto const* full = std::get_if<link_is_full>(&verdict);
    if (held == nullptr || !w.held_for_link)
        w.trace.add("link",
                    {{"verdict", full != nullptr   ? "full"
                                 : held != nullptr ? "waits"
                                                   : "room"},
                     {"expected_wait_ms", held != nullptr ? in_ms(held->expected) : "-"},
                     {"link_wait_ms", in_ms(m_link_downloads.wait(now))},
                     {"usual_bytes",
                      std::to_string(m_link_downloads.usual_bytes(r.request_class))},
                     {"due_ms", in_ms(r.due - now)}});
    w.held_for_link = held != nullptr;
    if (held != nullptr)
        m_waiting.insert(w.id); // tick() tries it again
    if (full != nullptr)
        finish(w, request_refused{.reason = outcome_reason::overloaded,
                                  .retry_after = full->retry_after});
    return held == nullptr && full == nullptr;
}

void agent::note_link_end(active_request const& w, request_result const& result)
{
    if (!w.request.large_answer || !m_link_answers.active())
        return;
    m_link_downloads.end(w.id);
    auto const* answered = std::get_if<request_answered>(&result);
    if (answered != nullptr && !answered->failed) // a failure's size is no answer's
        m_link_downloads.note_answer(w.request.request_class,
                                     answered->response.body.size());
}

void agent::add_link_load(upstream_load& load, instant now) const
{
    if (!m_link_downloads.active())
        return;
    load.link_wait = m_link_downloads.wait(now);
    load.link_rate = m_link_answers.large_bytes_per_second();
}

} // namespace buckthornusher
