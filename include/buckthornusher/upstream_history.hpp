// Who may speak for the upstreams beside a node, and what the node must not forget of
// them, even if its process ends.
//
// Any program on the VM reaches the socket for reports. A report can be of an upstream
// only if its service is the node's own by its settings, or is or was named by a
// configuration that this process knows. Before the first configuration only the own
// service speaks; a node without one takes any report then. A report of another service
// is a stranger's: it changes nothing that is known of the node's upstreams.
//
// Of two voices for one address the one that started later speaks (report_order.hpp), for
// whichever service, until it has been unheard for `voice_lapse`.
//
// A report or an announcement may arrive after later ones, also after a restart of the
// node's process. What an upstream was told once must bind the next process too:
//   - an upstream that has announced its exit is never used again;
//   - one that drains stays draining until its next incarnation;
//   - an incarnation never replaces a later one.
// These facts are therefore kept in the member's record in the store: `targets` has the
// latest incarnations, and `departed` the exits. The node acknowledges an exit or a drain
// only once is_recorded() holds for its record. A new process calls restore() with that
// record, and must take no report before.
//
//   upstream_history history("own-service");
//   history.add_services(names);                 // of each configuration
//   history.restore(record, now);                // at the start, and when it changes
//   switch (history.classify(report, now)) ...
//   auto const gone = history.note_departure({.id = id, ...});
//   write_to_record(history.departed());
//   if (is_recorded({gone, announced::departure}, record)) acknowledge();
//
// An exit names its incarnation by an id alone, which a later incarnation may have too.
// It then ends the latest incarnation known with that id, and otherwise all that started
// before it arrived.
//
// Not thread-safe. Cost: O(services + remembered departures) for each call.
#ifndef BUCKTHORNUSHER_UPSTREAM_HISTORY_HPP
#define BUCKTHORNUSHER_UPSTREAM_HISTORY_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/report_order.hpp"
#include "buckthornusher/upstream_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthornusher
{

// An upstream's announcement of its exit.
struct departure_notice
{
    std::string id;
    std::optional<std::uint64_t> started; // of its incarnation, if it says so
    std::uint64_t arrived = 0;            // on the clock of `started`, as far as known
    friend bool operator==(departure_notice const&, departure_notice const&) = default;
};

// What an acknowledgement tells an upstream that it may rely on.
enum class announced
{
    drain,
    departure,
};

struct promise
{
    upstream_incarnation incarnation;
    announced what = announced::drain;
    friend bool operator==(promise const&, promise const&) = default;
};

// Whether the next process of the node will know the promise from the record.
bool is_recorded(promise const& p, member_record const& record);

// Adds the departure to a record's list and drops the oldest beyond a fixed number. Has
// no effect if the list has it.
void add_departure(std::vector<upstream_incarnation>& list,
                   upstream_incarnation const& departed);

// Whether `later` shows that the incarnation of `earlier` has ended: it started later at
// the same address, possibly for another service, and was heard within `voice_lapse`.
bool supersedes(upstream_report const& later, duration later_unheard,
                upstream_report const& earlier);

class upstream_history
{
public:
    // `own_service`: of the upstream beside the node, by its settings; may be empty.
    explicit upstream_history(std::string own_service = {})
        : m_own_service(std::move(own_service))
    {
    }

    // The services of a configuration may speak from now on.
    void add_services(std::vector<std::string> const& names);

    // Takes over what the record says. Never removes anything.
    void restore(member_record const& record, instant now);

    // Classifies a report. Must be called once for each report, in order of arrival. That
    // of a stranger leaves no trace.
    report_verdict classify(upstream_report const& report, instant now);

    // Notes an exit and returns the incarnation that it ends. All incarnations with that
    // id that did not start later have departed.
    upstream_incarnation note_departure(departure_notice const& notice);

    bool has_departed(upstream_incarnation const& incarnation) const;
    // Whether the restored record says that it drains.
    bool was_draining(upstream_incarnation const& incarnation) const;

    // The departures for the record.
    std::vector<upstream_incarnation> const& departed() const { return m_departed; }
    // The upstreams by the restored record.
    std::vector<target> const& restored() const { return m_restored; }

private:
    bool may_speak(std::string const& service) const;

    std::string m_own_service;
    std::set<std::string> m_named_services;       // empty: no configuration yet
    std::map<std::string, report_order> m_orders; // by service
    std::vector<upstream_incarnation> m_departed; // latest last
    std::vector<target> m_restored;
};

} // namespace buckthornusher

#endif
