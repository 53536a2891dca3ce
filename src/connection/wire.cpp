// Implementation of the conversions; see the header.
#include "connection/wire.hpp"

#include "connection/json_text.hpp"

#include "wire.pb.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace buckthornusher
{

namespace
{

template <class Message>
bool parse_json(std::string_view json, Message& out, std::string& error_text)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true; // a later version may have written them
    auto const status = google::protobuf::util::JsonStringToMessage(
        google::protobuf::StringPiece(json.data(), json.size()), &out, options);
    if (!status.ok())
        error_text = status.ToString();
    return status.ok();
}

std::uint64_t to_count(duration d)
{
    return static_cast<std::uint64_t>(std::max(d, duration{0}).count());
}

// Clamps counts that are too large for a duration.
duration to_duration(std::uint64_t count)
{
    constexpr std::uint64_t max_count = 1'000'000'000'000; // eleven days
    return duration(static_cast<duration::rep>(std::min(count, max_count)));
}

// ---- records ----

void encode_to(member_record const& m, wire::Record& out)
{
    auto& w = *out.mutable_member();
    encode(m.id, *w.mutable_id());
    w.set_endpoint(m.endpoint);
    w.set_region(m.region);
    w.set_domain(m.domain);
    w.set_state(static_cast<wire::MemberRecord::State>(m.state));
    w.set_draining(m.draining);
    w.set_tenure(m.generation);
    w.set_inherited(m.inherited);
    w.set_watcher_changes(m.watcher_changes);
    w.set_store_era(m.store_era);
    for (auto const& id : m.watchers)
        encode(id, *w.add_watchers());
    for (auto const& t : m.targets)
    {
        auto& target = *w.add_targets();
        target.set_service(t.service);
        target.set_slots(t.slots);
        target.set_life(t.incarnation);
        target.set_draining(t.draining);
    }
    for (auto const& incarnation : m.departed)
    {
        auto& life = *w.add_departed();
        life.set_id(incarnation.id);
        life.set_started(incarnation.started);
    }
}

void encode_to(assignment const& a, std::uint32_t shards, wire::Assignment& out)
{
    out.set_shards(shards);
    out.set_epoch(a.epoch);
    out.set_handover(a.handover);
    if (a.owner)
        encode(a.owner, *out.mutable_owner());
    if (a.successor)
        encode(a.successor, *out.mutable_successor());
}

void encode_to(shard_group_record const& c, wire::Record& out)
{
    auto& w = *out.mutable_chunk();
    w.set_service(c.service);
    w.set_first_shard(c.first_shard);
    auto const& all = c.assignments;
    for (std::size_t first = 0; first < all.size();)
    {
        auto next = first + 1;
        while (next < all.size() && all[next] == all[first])
            ++next;
        encode_to(all[first], static_cast<std::uint32_t>(next - first),
                  *w.add_assignments());
        first = next;
    }
}

void encode_to(config_record const& c, wire::Record& out)
{
    auto& w = *out.mutable_config();
    w.set_number(c.number);
    w.set_environment(c.environment);
    w.set_document(c.document.text());
}

void encode_to(evacuation_record const& e, wire::Record& out)
{
    out.mutable_evacuation()->set_domain(e.domain);
}

// Between nodes a configuration's document stays compressed.
void encode_for_peers(record const& value, wire::Record& out)
{
    auto const* c = std::get_if<config_record>(&value);
    if (c == nullptr)
        return std::visit([&](auto const& v) { encode_to(v, out); }, value);
    auto& w = *out.mutable_packed_config();
    w.set_number(c->number);
    w.set_environment(c->environment);
    w.set_document(c->document.bytes());
}

member_record decode_member(wire::MemberRecord const& w)
{
    member_record m;
    m.id = decode(w.id());
    m.endpoint = w.endpoint();
    m.region = w.region();
    m.domain = w.domain();
    m.state = static_cast<member_state>(w.state());
    m.draining = w.draining();
    m.generation = w.tenure();
    m.inherited = w.inherited();
    m.watcher_changes = w.watcher_changes();
    m.store_era = w.store_era();
    for (auto const& id : w.watchers())
        m.watchers.push_back(decode(id));
    for (auto const& t : w.targets())
        m.targets.push_back({.service = t.service(),
                             .slots = t.slots(),
                             .incarnation = t.life(),
                             .draining = t.draining()});
    for (auto const& life : w.departed())
        m.departed.push_back({.id = life.id(), .started = life.started()});
    return m;
}

shard_group_record decode_shard_group(wire::ChunkRecord const& w)
{
    shard_group_record c;
    c.service = w.service();
    c.first_shard = w.first_shard();
    for (auto const& a : w.assignments())
        c.assignments.insert(c.assignments.end(), a.shards(),
                             {.owner = decode(a.owner()),
                              .epoch = a.epoch(),
                              .successor = decode(a.successor()),
                              .handover = a.handover()});
    return c;
}

bool is_valid_shard_group(wire::ChunkRecord const& w)
{
    std::uint64_t shards = 0;
    for (auto const& a : w.assignments())
        shards += a.shards();
    return w.first_shard() % shards_per_group == 0 && w.first_shard() < number_keys &&
           shards <= shards_per_group;
}

// Returns whether the endpoint is "tcp://HOST:PORT" with a port of 1 to 65535.
bool is_valid_endpoint(std::string_view endpoint)
{
    constexpr std::string_view scheme = "tcp://";
    constexpr int max_port = 65'535;
    auto const colon = endpoint.rfind(':');
    if (!endpoint.starts_with(scheme) || colon <= scheme.size())
        return false;
    int port = 0;
    auto const* end = endpoint.data() + endpoint.size();
    auto const [stop, error] = std::from_chars(endpoint.data() + colon + 1, end, port);
    return error == std::errc{} && stop == end && port > 0 && port <= max_port;
}

bool is_valid_member(wire::MemberRecord const& w)
{
    return wire::MemberRecord::State_IsValid(w.state()) && !w.id().node().empty() &&
           is_valid_endpoint(w.endpoint());
}

decoded<record> decode_packed_config(wire::PackedConfigRecord const& w)
{
    auto document = packed_text::from_bytes(w.document());
    if (!document)
        return decode_error{.step = "configuration record",
                            .reason = "the document is not a compressed text"};
    return record(config_record{.number = w.number(),
                                .environment = w.environment(),
                                .document = *std::move(document)});
}

decoded<record> decode_value(wire::Record const& w)
{
    switch (w.kind_case())
    {
    case wire::Record::kMember:
        if (!is_valid_member(w.member()))
            return decode_error{.step = "member record",
                                .reason = "unknown state, or id or endpoint invalid"};
        return record(decode_member(w.member()));
    case wire::Record::kChunk:
        if (!is_valid_shard_group(w.chunk()))
            return decode_error{.step = "shard group record",
                                .reason = "shards out of range"};
        return record(decode_shard_group(w.chunk()));
    case wire::Record::kConfig:
        return record(config_record{.number = w.config().number(),
                                    .environment = w.config().environment(),
                                    .document = packed_text(w.config().document())});
    case wire::Record::kPackedConfig:
        return decode_packed_config(w.packed_config());
    case wire::Record::kEvacuation:
        if (w.evacuation().domain().empty())
            return decode_error{.step = "evacuation record", .reason = "no domain"};
        return record(evacuation_record{.domain = w.evacuation().domain()});
    case wire::Record::KIND_NOT_SET:
        break;
    }
    return decode_error{.step = "record", .reason = "unknown kind of record"};
}

// ---- control messages ----

void encode_to(renew const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_renew();
    w.set_sequence(m.sequence);
    w.set_watcher_changes(m.watcher_changes);
    w.set_revision(m.revision);
    w.set_config_version(m.config_version);
    w.set_config_age(to_count(m.config_age));
}

void encode_to(renew_ack const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_renew_ack();
    w.set_sequence(m.sequence);
    w.set_permitted(m.permitted);
    w.set_revision(m.revision);
    w.set_config_version(m.config_version);
    w.set_config_age(to_count(m.config_age));
}

void encode_to(refuse const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_refuse();
    encode(m.subject, *w.mutable_subject());
    w.set_watcher_changes(m.watcher_changes);
}

void encode_to(refused const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_refused();
    encode(m.subject, *w.mutable_subject());
    if (m.elapsed)
        w.set_elapsed(static_cast<std::uint64_t>(m.elapsed->count()));
}

void encode_to(deltas const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_deltas();
    w.set_from(m.from);
    w.set_to(m.to);
    for (auto const& o : m.objects)
    {
        auto& delta = *w.add_deltas();
        delta.set_name(o.name);
        delta.set_version(o.version);
        delta.set_deleted(!o.value);
        if (!o.value)
            continue;
        wire::Record value;
        encode_for_peers(*o.value, value);
        delta.set_value(value.SerializeAsString());
    }
}

void encode_to(pull const& m, wire::Envelope& out)
{
    out.mutable_pull()->set_from(m.from);
    out.mutable_pull()->set_config_version(m.config_version);
}

void encode_to(config_question const& m, wire::Envelope& out)
{
    out.mutable_config_question()->set_sequence(m.sequence);
}

void encode_to(config_status const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_config_status();
    w.set_sequence(m.sequence);
    w.set_version(m.version);
    w.set_revision(m.revision);
    if (m.age)
        w.set_age(to_count(*m.age));
}

void encode_to(released const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_released();
    for (auto const& r : m.shards)
    {
        auto& shard = *w.add_shards();
        shard.set_service(r.shard.service);
        shard.set_shard(r.shard.index);
        shard.set_epoch(r.epoch);
        shard.set_handover(r.handover);
    }
}

void encode_to(load_report const& m, wire::Envelope& out)
{
    auto& w = *out.mutable_load_report();
    w.set_service(m.service);
    w.set_capacity(static_cast<float>(m.capacity));
    for (auto const& r : m.rates)
    {
        w.add_shards(r.shard);
        w.add_rates(static_cast<float>(r.rate));
    }
}

config_status decode_config_status(wire::ConfigStatus const& w)
{
    config_status m{.sequence = w.sequence(),
                    .version = w.version(),
                    .revision = w.revision(),
                    .age = {}};
    if (w.has_age())
        m.age = to_duration(w.age());
    return m;
}

std::optional<control_message> decode_load_report(wire::LoadReport const& w)
{
    auto const is_amount = [](float x)
    {
        return std::isfinite(x) && x >= 0;
    };
    if (w.shards_size() != w.rates_size() || !is_amount(w.capacity()) ||
        !std::all_of(w.rates().begin(), w.rates().end(), is_amount))
        return std::nullopt;
    load_report m{.service = w.service(), .capacity = w.capacity(), .rates = {}};
    for (int i = 0; i < w.shards_size(); ++i)
        m.rates.push_back({.shard = w.shards(i), .rate = w.rates(i)});
    return m;
}

std::optional<control_message> decode_deltas(wire::Deltas const& w)
{
    deltas m{.from = w.from(), .to = w.to(), .objects = {}};
    for (auto const& delta : w.deltas())
    {
        object o{.name = delta.name(), .version = delta.version(), .value = {}};
        if (!delta.deleted())
        {
            wire::Record value;
            if (!value.ParseFromString(delta.value()))
                return std::nullopt;
            auto decoded_value = decode_value(value);
            if (!decoded_value)
                return std::nullopt;
            o.value = std::move(decoded_value).value();
        }
        m.objects.push_back(std::move(o));
    }
    return m;
}

} // namespace

void encode(member_id const& id, wire::MemberId& out)
{
    out.set_node(id.node);
    out.set_incarnation(id.incarnation);
}

member_id decode(wire::MemberId const& in)
{
    return {.node = in.node(), .incarnation = in.incarnation()};
}

void encode(owner_id const& id, wire::OwnerId& out)
{
    out.set_node(id.node);
    out.set_tenure(id.generation);
}

owner_id decode(wire::OwnerId const& in)
{
    if (in.tenure() == 0)
        return {}; // no owner, whatever node is named
    return {.node = in.node(), .generation = in.tenure()};
}

void encode(control_message const& message, wire::Envelope& out)
{
    std::visit([&](auto const& m) { encode_to(m, out); }, message);
}

std::optional<control_message> decode_control(wire::Envelope const& in)
{
    switch (in.body_case())
    {
    case wire::Envelope::kRenew:
        return renew{.sequence = in.renew().sequence(),
                     .watcher_changes = in.renew().watcher_changes(),
                     .revision = in.renew().revision(),
                     .config_version = in.renew().config_version(),
                     .config_age = to_duration(in.renew().config_age())};
    case wire::Envelope::kRenewAck:
        return renew_ack{.sequence = in.renew_ack().sequence(),
                         .permitted = in.renew_ack().permitted(),
                         .revision = in.renew_ack().revision(),
                         .config_version = in.renew_ack().config_version(),
                         .config_age = to_duration(in.renew_ack().config_age())};
    case wire::Envelope::kRefuse:
        return refuse{.subject = decode(in.refuse().subject()),
                      .watcher_changes = in.refuse().watcher_changes()};
    case wire::Envelope::kRefused:
    {
        refused m{.subject = decode(in.refused().subject()), .elapsed = {}};
        if (in.refused().has_elapsed())
            m.elapsed = to_duration(in.refused().elapsed());
        return m;
    }
    case wire::Envelope::kDeltas:
        return decode_deltas(in.deltas());
    case wire::Envelope::kPull:
        return pull{.from = in.pull().from(),
                    .config_version = in.pull().config_version()};
    case wire::Envelope::kConfigQuestion:
        return config_question{.sequence = in.config_question().sequence()};
    case wire::Envelope::kConfigStatus:
        return decode_config_status(in.config_status());
    case wire::Envelope::kReleased:
    {
        released m;
        for (auto const& r : in.released().shards())
            m.shards.push_back({.shard = {r.service(), r.shard()},
                                .epoch = r.epoch(),
                                .handover = r.handover()});
        return m;
    }
    case wire::Envelope::kLoadReport:
        return decode_load_report(in.load_report());
    default:
        return std::nullopt;
    }
}

std::string encode_record(record const& value)
{
    wire::Record out;
    std::visit([&](auto const& v) { encode_to(v, out); }, value);
    std::string json;
    (void)google::protobuf::util::MessageToJsonString(out, &json);
    return json;
}

decoded<record> decode_record(std::string_view json)
{
    wire::Record w;
    std::string error_text;
    if (!has_allowed_depth(json))
        return decode_error{.step = "record", .reason = "nested too deep"};
    if (!parse_json(json, w, error_text))
        return decode_error{.step = "record", .reason = error_text};
    return decode_value(w);
}

} // namespace buckthornusher
