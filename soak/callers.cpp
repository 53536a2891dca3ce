// Implementation of the load; see the header.
#include "soak/callers.hpp"

#include "process/boot_clock.hpp"

namespace buckthornusher::soak
{
namespace
{

constexpr std::size_t connections_per_node = 200;
constexpr duration answer_timeout = 5s; // above all deadlines of the configuration
constexpr int max_tries = 6;
constexpr duration order_backoff = 50ms; // times the number of tries so far
constexpr std::uint64_t max_work_us = 30'000;
constexpr std::uint64_t long_body_bytes = 100'000;

// Shares of the kinds of requests.
constexpr std::uint64_t read_percent = 55;
constexpr std::uint64_t repeatable_order_percent = 20; // under an operation id
constexpr std::uint64_t single_order_percent = 12;
constexpr std::uint64_t cancel_percent = 5;
constexpr std::uint64_t long_body_percent = 3;
constexpr std::uint64_t slow_read_percent = 4;
constexpr std::uint64_t max_slow_work_us = 1'000'000;

} // namespace

struct callers::request_state
{
    std::string id;
    std::string path;
    std::string body;
    bool read_only = true;
    bool wants_operation = false;
    std::string operation;
    std::uint64_t work_us = 0;
    duration cancel_after{0}; // 0: never
    int tries = 0;
    std::optional<std::size_t> last_node; // that the latest try was sent to
};

callers::callers(event_loop& loop, options opts)
    : m_loop(loop), m_options(std::move(opts)), m_random(m_options.seed)
{
    for (auto const port : m_options.ports)
        m_clients.push_back(std::make_unique<http_client>(
            loop, http_client::options{.peer = {.ip = "127.0.0.1", .port = port},
                                       .max_connections = connections_per_node}));
    m_send_interval = duration(1s) / m_options.rate;
}

callers::~callers() = default;

void callers::start(duration length)
{
    m_end = boot_now() + length;
    send_due(boot_now());
}

bool callers::finished() const
{
    return m_pending == 0 && boot_now() >= m_end;
}

void callers::send_due(instant now)
{
    if (now >= m_end)
        return;
    ++m_sent;
    ++m_pending;
    send(draw_request());
    m_loop.timers().at(now + m_send_interval, [this](instant t) { send_due(t); });
}

std::shared_ptr<callers::request_state> callers::draw_request()
{
    auto r = std::make_shared<request_state>();
    r->id = "s" + std::to_string(m_options.seed) + "-" + std::to_string(m_sent);
    auto const kind = draw_below(100);
    auto const key = "k" + std::to_string(draw_below(m_options.keys));
    r->read_only = kind < read_percent ||
                   kind >= read_percent + repeatable_order_percent + single_order_percent;
    r->wants_operation =
        kind >= read_percent && kind < read_percent + repeatable_order_percent;
    bool const slow = kind < slow_read_percent;
    r->path = (slow                  ? "/rounds/"
               : kind < read_percent ? "/stands/"
               : !r->read_only       ? "/orders/"
                                     : "/rounds/") +
              key;
    r->work_us = draw_below(slow ? max_slow_work_us : max_work_us);
    if (draw_below(100) < cancel_percent)
        r->cancel_after = std::chrono::milliseconds(1 + draw_below(20));
    if (!r->read_only)
        r->body = draw_below(100) < long_body_percent ? std::string(long_body_bytes, 'b')
                                                      : "order " + r->id;
    return r;
}

// A retry goes to another node than the try before it.
std::size_t callers::draw_node(request_state& r)
{
    auto node = draw_below(m_clients.size());
    if (r.last_node == node && m_clients.size() > 1)
        node = (node + 1 + draw_below(m_clients.size() - 1)) % m_clients.size();
    r.last_node = node;
    return node;
}

void callers::send(std::shared_ptr<request_state> const& r)
{
    ++r->tries;
    bool const asks_operation = r->wants_operation && r->operation.empty();
    caller_attempt attempt{.id = r->id + "." + std::to_string(r->tries),
                           .node = draw_node(*r),
                           .sent = boot_now()};
    http_request request{.method = r->read_only ? "GET" : "POST",
                         .target = r->path + "?work_us=" + std::to_string(r->work_us)};
    request.headers.push_back({"x-request-id", attempt.id});
    if (r->wants_operation)
        request.headers.push_back(
            {"buckthornusher-operation", asks_operation ? "new" : r->operation});
    if (!asks_operation)
        request.body = r->body;
    auto& client = *m_clients[attempt.node];
    auto const call = client.call(std::move(request), answer_timeout,
                                  [this, r, attempt](http_result const& result)
                                  { on_answer(r, attempt, result); });
    if (r->cancel_after > 0s)
        m_loop.timers().at(boot_now() + r->cancel_after,
                           [&client, call](instant) { client.cancel(call); });
}

namespace
{

attempt_outcome outcome_of(http_result const& result)
{
    if (result.has_value())
    {
        auto const outcome =
            find_header(result.value().headers, "buckthornusher-outcome");
        return outcome == "refused"   ? attempt_outcome::refused
               : outcome == "unknown" ? attempt_outcome::unknown
                                      : attempt_outcome::answered;
    }
    auto const& failure = result.error();
    if (failure.failed_step == http_failure::step::cancelled ||
        failure.failed_step == http_failure::step::timeout)
        return attempt_outcome::abandoned;
    return failure.sent ? attempt_outcome::connection_broken
                        : attempt_outcome::not_reached;
}

} // namespace

void callers::on_answer(std::shared_ptr<request_state> const& r, caller_attempt attempt,
                        http_result const& result)
{
    attempt.ended = boot_now();
    attempt.outcome = outcome_of(result);
    attempt.stopping =
        result.has_value() &&
        find_header(result.value().headers, "buckthornusher-reason") == "stopping";
    bool const got_operation = attempt.outcome == attempt_outcome::answered &&
                               r->wants_operation && r->operation.empty();
    if (got_operation)
        r->operation = find_header(result.value().headers, "buckthornusher-operation");
    else if (attempt.outcome == attempt_outcome::answered)
        attempt.body_matches =
            result.value().body.find(r->path + "\n" + r->body) != std::string::npos;
    m_attempts.push_back(attempt);

    bool const done = attempt.outcome == attempt_outcome::answered && !got_operation;
    bool const may_retry = attempt.outcome == attempt_outcome::refused ||
                           attempt.outcome == attempt_outcome::not_reached ||
                           got_operation || r->read_only || r->wants_operation;
    m_served += done ? 1 : 0;
    if (done || attempt.outcome == attempt_outcome::abandoned || !may_retry ||
        r->tries >= max_tries)
    {
        --m_pending;
        return;
    }
    auto const backoff =
        r->wants_operation && !got_operation ? order_backoff * r->tries : duration(1ms);
    m_loop.timers().at(boot_now() + backoff, [this, r](instant) { send(r); });
}

} // namespace buckthornusher::soak
