// What a node must not forget of the upstreams beside it, even if its process ends.
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
//   upstream_history history;
//   history.restore(record);                     // at the start, and when it changes
//   switch (history.classify(report)) ...
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
#include <string>
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
// the same address, possibly for another service.
bool supersedes(upstream_report const& later, upstream_report const& earlier);

class upstream_history
{
public:
    // Takes over what the record says. Never removes anything.
    void restore(member_record const& record);

    // Classifies a report. Must be called once for each report, in order of arrival.
    report_verdict classify(upstream_report const& report);

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
    std::map<std::string, report_order> m_orders; // by service
    std::vector<upstream_incarnation> m_departed; // latest last
    std::vector<target> m_restored;
};

} // namespace buckthornusher

#endif
