// A load generator with open-loop arrivals.
//
//   bench_load --ports 8001,8002 --rate 1000 --seconds 10 --prefix /stands/ --keys 1000
//
// Requests are sent at their intended times whether or not earlier ones have been
// answered, and latency counts from the intended time. With --orders a share of the
// requests are POSTs with an operation id (orders). They are retried with the same id if
// they are refused, if their outcome is unknown for a reason other than
// operation-unknown, or if the connection fails. Prints one "name value" per line:
// outcomes, latency, and the longest time in which a key had no answer.
#include "connection/http_client.hpp"
#include "process/boot_clock.hpp"
#include "process/event_loop.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

namespace buckthornusher
{
namespace
{

struct load_options
{
    std::vector<int> ports;
    double rate = 1'000;
    double seconds = 5;
    std::string prefix = "/stands/";
    std::string query;
    std::uint32_t keys = 1'000;
    double zipf = 0;              // exponent; 0 is uniform
    double orders = 0;            // share of POSTs with an operation id
    int tries = 16;               // of one request; those of an order span about 6 s
    std::size_t connections = 64; // per port
    std::uint64_t seed = 1;
};

class zipf_keys
{
public:
    zipf_keys(std::uint32_t keys, double exponent)
    {
        double sum = 0;
        for (std::uint32_t k = 0; k < keys; ++k)
            m_cumulative.push_back(sum += 1.0 / std::pow(k + 1.0, exponent));
    }

    std::uint32_t pick(std::mt19937_64& random) const
    {
        auto const x = std::uniform_real_distribution<>(0, m_cumulative.back())(random);
        return static_cast<std::uint32_t>(
            std::lower_bound(m_cumulative.begin(), m_cumulative.end(), x) -
            m_cumulative.begin());
    }

private:
    std::vector<double> m_cumulative;
};

struct totals
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t transport = 0;   // the connection failed after the request was sent
    std::uint64_t not_reached = 0; // the request was not sent
    std::uint64_t mismatched = 0;  // answers to another request
    std::uint64_t orders_done = 0;
    std::uint64_t orders_lost = 0; // without an answer after all tries
    std::uint64_t repeats = 0;
    std::map<std::string, std::uint64_t> reasons;
};

class load_run
{
public:
    load_run(event_loop& loop, load_options const& opts)
        : m_loop(loop), m_options(opts), m_random(opts.seed),
          m_keys(opts.keys, opts.zipf), m_last_answer(opts.keys), m_max_gap(opts.keys)
    {
        for (auto const port : opts.ports)
            m_clients.push_back(std::make_unique<http_client>(
                loop, http_client::options{.peer = {.ip = "127.0.0.1", .port = port},
                                           .max_connections = opts.connections}));
    }

    void run()
    {
        m_start = boot_now();
        std::fill(m_last_answer.begin(), m_last_answer.end(), m_start);
        m_end = m_start + duration(static_cast<duration::rep>(m_options.seconds * 1e6));
        send_due(m_start);
        while (boot_now() < m_end || m_pending > 0)
        {
            m_loop.run_once();
            if (boot_now() > m_end + 5s)
                break;
        }
        for (std::uint32_t key = 0; key < m_options.keys; ++key)
            update_gap(key, m_end);
    }

    void print() const
    {
        std::cout << "sent " << m_totals.sent << "\nanswered " << m_totals.answered
                  << "\nrefused " << m_totals.refused << "\nunknown " << m_totals.unknown
                  << "\ntransport " << m_totals.transport << "\nnot_reached "
                  << m_totals.not_reached << "\nwrong " << m_totals.mismatched << "\n";
        if (m_options.orders > 0)
            std::cout << "orders_done " << m_totals.orders_done << "\norders_lost "
                      << m_totals.orders_lost << "\nrepeats " << m_totals.repeats << "\n";
        for (auto const& [reason, count] : m_totals.reasons)
            std::cout << "reason_" << reason << " " << count << "\n";
        for (auto const& [name, share] : {std::pair{"p50_us", 0.5},
                                          {"p90_us", 0.9},
                                          {"p99_us", 0.99},
                                          {"p999_us", 0.999}})
            std::cout << name << " " << quantile(share) << "\n";
        auto const max_gap = std::max_element(m_max_gap.begin(), m_max_gap.end());
        std::cout << "longest_gap_ms " << max_gap->count() / 1'000 << "\n";
    }

private:
    // One request and its retries.
    struct task
    {
        instant intended;
        std::uint32_t key = 0;
        bool order = false;
        std::string operation;
        int tries = 0;
    };

    void send_due(instant now)
    {
        auto const gap = 1e6 / m_options.rate;
        while (now < m_end)
        {
            auto const intended =
                m_start + duration(static_cast<duration::rep>(
                              gap * static_cast<double>(m_totals.sent)));
            if (intended > now)
            {
                m_loop.timers().at(intended, [this](instant t) { send_due(t); });
                return;
            }
            ++m_totals.sent;
            ++m_pending;
            auto t = std::make_shared<task>();
            t->intended = intended;
            t->key = m_keys.pick(m_random);
            t->order =
                std::uniform_real_distribution<>(0, 1)(m_random) < m_options.orders;
            send(t);
        }
    }

    void send(std::shared_ptr<task> const& t)
    {
        ++t->tries;
        http_request request{.method = t->order ? "POST" : "GET",
                             .target = m_options.prefix + "k" + std::to_string(t->key)};
        if (!m_options.query.empty())
            request.target += "?" + m_options.query;
        if (t->order)
        {
            request.body = "order";
            request.headers.push_back({"buckthornusher-operation",
                                       t->operation.empty() ? "new" : t->operation});
        }
        auto& client = *m_clients[m_random() % m_clients.size()];
        client.call(std::move(request), 3s,
                    [this, t](http_result r) { on_answer(t, r); });
    }

    void on_answer(std::shared_ptr<task> const& t, http_result const& result)
    {
        if (!result.has_value())
        {
            // A request that was not sent is retried at a random node, as callers do.
            bool const sent = result.error().sent;
            ++(sent ? m_totals.transport : m_totals.not_reached);
            return t->order || !sent ? repeat(t, t->order ? 50ms : 1ms) : finish();
        }
        auto const& response = result.value();
        auto const outcome = find_header(response.headers, "buckthornusher-outcome");
        if (outcome == "refused" || outcome == "unknown")
        {
            ++(outcome == "refused" ? m_totals.refused : m_totals.unknown);
            ++m_totals.reasons[std::string(
                find_header(response.headers, "buckthornusher-reason"))];
            bool const final = find_header(response.headers, "buckthornusher-reason") ==
                               "operation-unknown";
            return t->order && !final ? repeat(t, 50ms)
                   : t->order         ? abandon(t)
                                      : finish();
        }
        if (t->order && t->operation.empty())
        {
            t->operation = find_header(response.headers, "buckthornusher-operation");
            return send(t);
        }
        auto const now = boot_now();
        ++m_totals.answered;
        m_totals.orders_done += t->order ? 1 : 0;
        if (m_options.query.find("size=") == std::string::npos &&
            response.body.find("/k" + std::to_string(t->key) + "\n") == std::string::npos)
            ++m_totals.mismatched;
        m_latencies.push_back(now - t->intended);
        update_gap(t->key, now);
        finish();
    }

    void repeat(std::shared_ptr<task> const& t, duration after)
    {
        if (t->tries >= m_options.tries)
            return abandon(t);
        ++m_totals.repeats;
        m_loop.timers().at(boot_now() + after * t->tries,
                           [this, t](instant) { send(t); });
    }

    void abandon(std::shared_ptr<task> const& t)
    {
        m_totals.orders_lost += t->order ? 1 : 0;
        finish();
    }

    void finish() { --m_pending; }

    void update_gap(std::uint32_t key, instant now)
    {
        m_max_gap[key] = std::max(m_max_gap[key], now - m_last_answer[key]);
        m_last_answer[key] = now;
    }

    std::int64_t quantile(double share) const
    {
        if (m_latencies.empty())
            return 0;
        auto sorted = m_latencies;
        std::sort(sorted.begin(), sorted.end());
        auto const index =
            static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)].count();
    }

    event_loop& m_loop;
    load_options m_options;
    std::mt19937_64 m_random;
    zipf_keys m_keys;
    std::vector<std::unique_ptr<http_client>> m_clients;
    std::vector<instant> m_last_answer; // by key
    std::vector<duration> m_max_gap;
    std::vector<duration> m_latencies; // of answered requests
    totals m_totals;
    std::uint64_t m_pending = 0;
    instant m_start;
    instant m_end;
};

} // namespace
} // namespace buckthornusher

int main(int argc, char** argv)
{
    using namespace buckthornusher;
    load_options opts;
    CLI::App app("A load generator with open-loop arrivals");
    app.add_option("--ports", opts.ports, "ports on 127.0.0.1")
        ->delimiter(',')
        ->required();
    app.add_option("--rate", opts.rate, "requests per second");
    app.add_option("--seconds", opts.seconds, "length of the run");
    app.add_option("--prefix", opts.prefix, "path prefix before the key");
    app.add_option("--query", opts.query, "query of each request, such as work_us=1000");
    app.add_option("--keys", opts.keys, "number of keys");
    app.add_option("--zipf", opts.zipf, "Zipf exponent of the keys; 0 is uniform");
    app.add_option("--orders", opts.orders,
                   "share of POSTs with an operation id among the requests");
    app.add_option("--connections", opts.connections, "connections per port");
    app.add_option("--seed", opts.seed, "random seed");
    CLI11_PARSE(app, argc, argv);
    event_loop loop;
    loop.run_timers_precisely();
    load_run run(loop, opts);
    run.run();
    run.print();
    return 0;
}
