// The objects that nodes keep in the platform's store, and calls on the store.
//
// The store assigns each accepted write a version higher than all earlier versions of any
// object. A write names the version that it replaces and fails with a conflict if another
// write came first. The answer can be lost after the write took effect.
#ifndef BUCKTHORNUSHER_RECORD_HPP
#define BUCKTHORNUSHER_RECORD_HPP

#include "buckthornusher/member.hpp"
#include "buckthornusher/packed_text.hpp"
#include "buckthornusher/shard_map.hpp"
#include "buckthornusher/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornusher
{

// An accepted configuration. `document` is the operators' text, byte for byte.
struct config_record
{
    std::uint64_t number = 0;
    std::string environment;
    packed_text document;
    friend bool operator==(config_record const&, config_record const&) = default;
};

// Operators want the upstreams of a failure domain to get no requests.
struct evacuation_record
{
    std::string domain;
    friend bool operator==(evacuation_record const&, evacuation_record const&) = default;
};

using record =
    std::variant<member_record, shard_group_record, config_record, evacuation_record>;

// Names of objects in the store.
std::string member_object(std::string const& node);
std::string shard_group_object(std::string const& service, std::uint32_t first_shard);
inline constexpr char const* config_object = "configuration";
std::string evacuation_object(std::string_view domain);
// Returns the domain if the object is an evacuation. The view is part of the name.
std::optional<std::string_view> evacuated_domain(std::string_view object);
// Returns the name of the object that holds the record.
std::string object_name(record const& value);
// Returns whether an object of this name can be a member or a shard group.
bool is_record_name(std::string_view name);

// Objects are read by kind. All kinds share the store's single version counter.
enum class object_kind
{
    fleet,         // members and shard groups, written by nodes
    configuration, // written by operators
    evacuations,   // written by operators
};

// Returns the kind of the object with that name.
object_kind kind_of(std::string_view name);

// An object as a write left it. No value: the write deleted it.
struct object
{
    std::string name;
    std::uint64_t version = 0;
    std::optional<record> value;
    friend bool operator==(object const&, object const&) = default;
};

// ---- calls ----

struct store_list // all objects of the kind
{
    object_kind kind = object_kind::fleet;
    friend bool operator==(store_list const&, store_list const&) = default;
};

// Answers with the objects of the kind changed after `since`, as soon as there are any,
// without objects if there are none for `wait`, or with store_history_lost.
struct store_watch
{
    object_kind kind = object_kind::fleet;
    std::uint64_t since = 0;
    duration wait{0};
    friend bool operator==(store_watch const&, store_watch const&) = default;
};

// Replaces version `expected` (0: creates). No value: deletes.
struct store_write
{
    std::string name;
    std::uint64_t expected = 0;
    std::optional<record> value;
    friend bool operator==(store_write const&, store_write const&) = default;
};

using store_operation = std::variant<store_list, store_watch, store_write>;

// ---- answers ----

struct store_objects // answers list and watch
{
    std::uint64_t revision = 0; // all changes of the kind up to it are included
    std::vector<object> objects;
};

struct store_history_lost // answers watch: the history is gone, list again
{
};

struct store_written
{
    std::uint64_t version = 0;
};

struct store_conflict
{
    object current;
};

struct store_refused // the call had no effect
{
};

struct store_no_answer // a write may or may not have taken effect
{
};

using store_answer = std::variant<store_objects, store_history_lost, store_written,
                                  store_conflict, store_refused, store_no_answer>;

} // namespace buckthornusher

#endif
