// Answers the reports and exits that upstreams announce to the node beside them.
//
// An acknowledgement binds the node: an upstream whose drain or exit was acknowledged
// must get no requests later on, also from the next process of the node. It is therefore
// sent only once the node's record in the store says so (upstream_history.hpp). The agent
// acts on an announcement at once, acknowledged or not.
//
// Until the node's record is known, an announcement can't be told from one that a later
// one has overtaken. It waits, and the agent does not see it before.
//
// Whatever cannot be answered within `ack_wait` gets 503, so that the upstream announces
// it again. Neither outcome is lost work: an upstream without an acknowledgement serves
// on for a while.
#ifndef BUCKTHORNUSHER_PROCESS_UPSTREAM_ANNOUNCEMENTS_HPP
#define BUCKTHORNUSHER_PROCESS_UPSTREAM_ANNOUNCEMENTS_HPP

#include "buckthornusher/upstream_history.hpp"
#include "connection/http_server.hpp"
#include "platform/reports.hpp"

#include <functional>
#include <vector>

namespace buckthornusher
{

class agent;

class upstream_announcements
{
public:
    struct options
    {
        // Below the second after which upstreams ignore an answer.
        duration ack_wait = 800ms;
        std::size_t max_waiting = 64; // further ones get 503 at once
    };

    // `on_change` is called after the agent has learned something that may change the
    // node's record.
    upstream_announcements(agent& local, options opts,
                           std::function<void(instant)> on_change);

    void handle(http_request request, http_reply reply, instant now);

    // Applies the node's record; null: the node has none yet. Call when the record
    // becomes known, and whenever it has changed.
    void on_record(member_record const* record, instant now);

    // Answers 503 to what has waited too long.
    void tick(instant now);

private:
    struct unread_announcement
    {
        http_request request;
        http_reply reply;
        instant arrived;
    };
    struct pending_acknowledgement
    {
        promise what;
        http_response response;
        http_reply reply;
        instant arrived;
    };

    void read(unread_announcement const& a, instant now);
    void take(upstream_report const& report, unread_announcement const& a, instant now);
    void take(platform::departure const& gone, unread_announcement const& a, instant now);
    void take(platform::invalid_announcement const& bad, unread_announcement const& a,
              instant now);
    void acknowledge_once_recorded(promise what, http_response response,
                                   unread_announcement const& a);
    void acknowledge_recorded();

    agent& m_local;
    options m_options;
    std::function<void(instant)> m_on_change;
    bool m_record_known = false;
    member_record m_record;                    // empty if the node has none
    std::vector<unread_announcement> m_unread; // until the record is known
    std::vector<pending_acknowledgement> m_pending;
};

} // namespace buckthornusher

#endif
