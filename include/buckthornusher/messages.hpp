// Control messages between members, as values. The wire encoding is in
// connection/wire.hpp.
#ifndef BUCKTHORNUSHER_MESSAGES_HPP
#define BUCKTHORNUSHER_MESSAGES_HPP

#include "buckthornusher/ownership.hpp"
#include "buckthornusher/record.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornusher
{

// Asks a watcher to renew the sender's lease.
struct renew
{
    std::uint64_t sequence = 0;
    std::uint64_t watcher_changes = 0; // of the sender's record
    std::uint64_t revision = 0;        // of the sender's replica
    std::uint64_t config_version = 0;
    duration config_age{0}; // of the knowledge that the version is the store's newest
    friend bool operator==(renew const&, renew const&) = default;
};

struct renew_ack
{
    std::uint64_t sequence = 0;
    bool permitted = false; // the watcher is permitted to watch
    std::uint64_t revision = 0;
    std::uint64_t config_version = 0;
    duration config_age{0};
    friend bool operator==(renew_ack const&, renew_ack const&) = default;
};

// Tells a watcher to refuse the subject's renewals from now on.
struct refuse
{
    member_id subject;
    // Acks to renewals sent before the subject's watchers changed this many times do not
    // count.
    std::uint64_t watcher_changes = 0;
    friend bool operator==(refuse const&, refuse const&) = default;
};

struct refused
{
    member_id subject;
    std::optional<duration>
        elapsed; // since the last ack that counts; empty if there is none
    friend bool operator==(refused const&, refused const&) = default;
};

// The name under which a message states up to which version it has all evacuations.
inline constexpr char const* evacuations_complete = "evacuation.";

// All changes of fleet objects in (from, to], and optionally the configuration. Or, as a
// digest, all evacuations, with an object without a value that is named
// `evacuations_complete` if the sender has just read them; its version is theirs.
struct deltas
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<object> objects;
    friend bool operator==(deltas const&, deltas const&) = default;
};

// In a pull: the configuration is not requested.
inline constexpr std::uint64_t no_config_wanted =
    std::numeric_limits<std::uint64_t>::max();

// Requests the changes after `from`, and the configuration if its version is higher.
struct pull
{
    std::uint64_t from = 0;
    std::uint64_t config_version = 0;
    friend bool operator==(pull const&, pull const&) = default;
};

// Asks how current the receiver's configuration is.
struct config_question
{
    std::uint64_t sequence = 0;
    friend bool operator==(config_question const&, config_question const&) = default;
};

// Answers a config_question, or tells without one that the sender has a new version.
struct config_status
{
    std::uint64_t sequence = 0; // of the question; 0: none
    std::uint64_t version = 0;
    std::uint64_t revision = 0; // no change of the configuration up to it is missing
    // When sent: time since the store is known to have had no later version.
    std::optional<duration> age;
    friend bool operator==(config_status const&, config_status const&) = default;
};

// The sender has drained these shards and will not serve them at these epochs again.
struct released
{
    std::vector<shard_release> shards;
    friend bool operator==(released const&, released const&) = default;
};

// The request rate of a shard, in requests per second.
struct shard_rate
{
    std::uint32_t shard = 0;
    double rate = 0;
    friend bool operator==(shard_rate const&, shard_rate const&) = default;
};

// The request rates of the sender's shards of a service, and its upstream's capacity.
struct load_report
{
    std::string service;
    double capacity = 0;           // requests per second; 0: not yet known
    std::vector<shard_rate> rates; // of the sender's shards that got requests
    friend bool operator==(load_report const&, load_report const&) = default;
};

using control_message =
    std::variant<renew, renew_ack, refuse, refused, deltas, pull, config_question,
                 config_status, released, load_report>;

} // namespace buckthornusher

#endif
