// From the nodes' logs and a request's id to the request's way and the decision that
// ended it.
//
//   auto const records = records_of("9c41...", lines);
//   std::cout << to_text(records) << cause_of(records);
//
// Lines may have anything before their "ts="; lines of other programs are passed over.
// Clocks of VMs may differ by more than a request takes, so records of one node keep
// their order and are placed among those of others by their times.
//
// Cost: O(n log n) in the request's records, O(bytes) in the lines.
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
    std::vector<field> fields; // all, in their order

    // Empty if the record has no such field.
    std::string_view get(std::string_view name) const;
    friend bool operator==(log_record const&, log_record const&) = default;
};

// Nothing if the line is not a node's.
std::optional<log_record> parse_log_line(std::string_view line);

// Adds the request's records from a log.
void read_records(std::istream& log, std::string_view request,
                  std::vector<log_record>& records);

// In the order of their times.
void sort_records(std::vector<log_record>& records);

// One line for each record: milliseconds since the first, node, event, fields.
std::string format_records(std::vector<log_record> const& records);

// What ended the request, in a sentence; says so if the records do not tell.
std::string cause_of(std::vector<log_record> const& records);

} // namespace buckthornusher

#endif
