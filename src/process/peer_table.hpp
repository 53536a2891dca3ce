// What a node knows of its peers as partners: their clocks, and whether they are heard.
//
// While answers are awaited from a peer that says nothing, the table asks it a short
// question; a peer that does not answer that either counts as silent, and the connection
// to it is made anew, as an open connection can go silent for good. Peers from which
// nothing is awaited cost nothing.
//
// Cost: O(peers that are awaited) for each tick.
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
    duration probe_after = 250ms;  // of silence, while something is awaited
    duration silent_after = 800ms; // a peer that answers nothing for so long
    friend bool operator==(peer_options const&, peer_options const&) = default;
};

class peer_table
{
public:
    // `session` names this process; peers that asked its clock tell it back.
    peer_table(peer_socket& socket, std::string self, std::uint64_t session,
               peer_options opts)
        : m_socket(socket), m_self(std::move(self)), m_session(session), m_options(opts),
          m_clocks({})
    {
    }

    std::uint64_t session() const { return m_session; }

    // The time now on the peer's clock; nothing if it had to be asked for first, or if
    // the peer is silent.
    std::optional<request_clock::stamp_value>
    stamp(std::string const& node, std::string const& endpoint, instant now);
    // The peer has refused a request as too late, or as meant for an earlier process; by
    // our clock its time ends at `deadline`. If that is still to come, what is known of
    // the peer's clock is wrong; otherwise the request has waited on its way.
    void on_refused_as_stale(std::string const& node, instant deadline, instant now)
    {
        if (now < deadline)
            m_clocks.forget(node);
    }

    // An answer is awaited from the peer from now on, or no longer.
    void await(std::string const& node, std::string const& endpoint, instant now);
    void end_await(std::string const& node);

    // Some message came from the peer. Returns for how long it had been silent.
    duration on_message(std::string const& node, instant now);
    void on_hello(peer_route const& route) const;
    // Returns whether the peer's process is another than the one known before.
    bool on_hello_ack(wire::Envelope const& message, instant now);
    // The peer's process ends: nothing is sent to it before it answers a question anew.
    void on_goodbye(std::string const& node);

    // Asks those that are quiet. Returns the peers that have just become silent.
    std::vector<std::string> tick(instant now);

private:
    struct peer
    {
        std::string endpoint;
        std::size_t awaited_answers = 0;
        instant awaited_since; // the first of those that are awaited
        instant last_heard;
        instant last_probed;
        bool silent = false;
        std::uint64_t session = 0; // of the process that answered last; 0: none
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
