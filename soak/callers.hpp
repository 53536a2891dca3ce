// Callers of a run: open-loop load over persistent connections, with a record of each
// attempt and its outcome.
//
// The load mixes reads, orders under an operation id, orders without one and requests
// without a key; a few orders have long bodies and some callers cancel early. A request
// that was refused or did not reach its node is retried at a node chosen at random. After
// an unknown outcome or a broken connection only reads and orders under an operation id
// are retried, since these may run again without harm.
#ifndef BUCKTHORNUSHER_SOAK_CALLERS_HPP
#define BUCKTHORNUSHER_SOAK_CALLERS_HPP

#include "connection/http_client.hpp"
#include "process/event_loop.hpp"
#include "soak/promises.hpp"

#include <memory>
#include <random>

namespace buckthornusher::soak
{

class callers
{
public:
    struct options
    {
        std::vector<int> ports; // of the nodes, on 127.0.0.1
        std::uint64_t seed = 1;
        std::uint32_t rate = 150; // requests per second
        std::uint32_t keys = 64;
    };

    callers(event_loop& loop, options opts);
    ~callers();

    void start(duration length);
    bool finished() const; // all requests sent and none pending

    std::uint64_t sent() const { return m_sent; }
    // Requests whose last attempt was answered.
    std::uint64_t served() const { return m_served; }
    std::vector<caller_attempt> const& attempts() const { return m_attempts; }

private:
    struct request_state;
    void send_due(instant now);
    std::shared_ptr<request_state> draw_request();
    std::size_t draw_node(request_state& r);
    void send(std::shared_ptr<request_state> const& r);
    void on_answer(std::shared_ptr<request_state> const& r, caller_attempt attempt,
                   http_result const& result);
    std::uint64_t draw_below(std::uint64_t bound) { return m_random() % bound; }

    event_loop& m_loop;
    options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<http_client>> m_clients; // indexed by node
    std::vector<caller_attempt> m_attempts;
    std::uint64_t m_sent = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_pending = 0;
    instant m_end;
    duration m_send_interval{0}; // time between two requests
};

} // namespace buckthornusher::soak

#endif
