// Tracks a node's peers: their clocks and whether they respond.
//
// While an answer is awaited from a peer that sends nothing, the table probes it with a
// Hello. A peer that does not answer the probe either is marked silent and its connection
// is replaced, as an open connection can stop delivering permanently. tick() does not
// probe peers with no awaited answers, unless they are silent.
//
// Cost: each tick is linear in the number of known peers.
#ifndef BUCKTHORNUSHER_PROCESS_PEER_TABLE_HPP
#define BUCKTHORNUSHER_PROCESS_PEER_TABLE_HPP

#include "buckthornusher/request_clock.hpp"
#include "connection/peer_socket.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornusher
{

struct peer_options
{
    duration probe_after = 250ms;      // without a message, while an answer is awaited
    duration silent_after = 800ms;     // without a message; longer than probe_after
    duration probe_round_trip = 100ms; // within which probes are answered
    friend bool operator==(peer_options const&, peer_options const&) = default;
};

class peer_table
{
public:
    // `session` identifies this process. Peers learn it with its clock and send it back
    // with their requests.
    peer_table(peer_socket& socket, std::string self, std::uint64_t session,
               peer_options opts)
        : m_socket(socket), m_self(std::move(self)), m_session(session), m_options(opts),
          m_clocks({})
    {
    }

    std::uint64_t session() const { return m_session; }

    // Returns the current time on the peer's clock, or nothing if the clock is not known
    // yet or the peer is silent. Probes the peer if needed.
    std::optional<request_clock::stamp_value>
    stamp(std::string const& node, std::string const& endpoint, instant now);
    // Handles a peer's refusal of a request as past its deadline or as sent to an earlier
    // process. `deadline` is the request's deadline on the local clock. If it has not
    // passed, the stored reading of the peer's clock is wrong and is dropped; otherwise
    // the request was delayed in transit.
    void on_refused_as_stale(std::string const& node, instant deadline, instant now)
    {
        if (now < deadline)
            m_clocks.forget(node);
    }

    // Begins or ends the wait for one answer from the peer.
    void await(std::string const& node, std::string const& endpoint, instant now);
    void end_await(std::string const& node);

    // Returns for how long the peer has sent nothing although an answer is awaited and a
    // probe should have been answered; 0: it is not late.
    duration silence(std::string const& node, instant now) const;

    // Records a message from the peer. Returns for how long the peer had sent nothing if
    // it was marked silent, otherwise 0.
    duration on_message(std::string const& node, instant now);
    void on_hello(peer_route const& route) const;
    // Returns whether the peer's process has been replaced since the last answer.
    bool on_hello_ack(wire::Envelope const& message, instant now);
    // Handles the announcement that the peer's process exits: stamp() returns nothing
    // until the peer answers a new probe.
    void on_goodbye(std::string const& node);

    // Probes peers that have sent nothing. Returns the peers that have just become
    // silent.
    std::vector<std::string> tick(instant now);

private:
    struct peer
    {
        std::string endpoint;
        std::size_t awaited_answers = 0;
        instant awaited_since; // since awaited_answers was last 0
        instant last_heard;
        instant last_probed;
        bool silent = false;
        std::uint64_t session = 0; // of the process that answered last; 0: none yet
    };

    void probe(peer& p, instant now);

    peer_socket& m_socket;
    std::string m_self;
    std::uint64_t m_session;
    peer_options m_options;
    request_clock m_clocks;
    std::map<std::string, peer> m_peers; // by node
};

} // namespace buckthornusher

#endif
