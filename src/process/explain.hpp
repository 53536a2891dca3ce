// Reconstructs from the nodes' logs which path a request took and which decision ended
// it.
//
//   std::vector<log_record> records;
//   read_records(log, "9c41...", records); // once per log
//   sort_records(records);
//   std::cout << format_records(records) << cause_of(records);
//
// Lines may have any prefix before "ts="; lines of other programs are skipped. Records
// are merged by their timestamps. The clocks of VMs may differ by more than a request
// takes, so the order of records of different nodes is approximate; records of one node
// with equal timestamps keep their order.
//
// Cost: O(n log n) in the request's records, O(bytes) in the logs.
#ifndef BUCKTHORNUSHER_PROCESS_EXPLAIN_HPP
#define BUCKTHORNUSHER_PROCESS_EXPLAIN_HPP

#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornusher
{

// One line of a node's log.
struct log_record
{
    struct field
    {
        std::string name;
        std::string value;
        friend bool operator==(field const&, field const&) = default;
    };
    std::vector<field> fields; // in the order of the line

    // Returns the field's value; empty if the record has no such field.
    std::string_view get(std::string_view name) const;
    friend bool operator==(log_record const&, log_record const&) = default;
};

// Returns nothing if the line was not written by a node.
std::optional<log_record> parse_log_line(std::string_view line);

// Appends the request's records from a log to `records`.
void read_records(std::istream& log, std::string_view request,
                  std::vector<log_record>& records);

// Sorts by timestamp; the sort is stable.
void sort_records(std::vector<log_record>& records);

// One line for each record: milliseconds since the first, node, event, fields.
std::string format_records(std::vector<log_record> const& records);

// Returns a sentence on what ended the request, or on what is missing if the records do
// not show it.
std::string cause_of(std::vector<log_record> const& records);

} // namespace buckthornusher

#endif
