// The fuzz targets; see the header.
#include "fuzz/targets.hpp"

#include "connection/http_codec.hpp"
#include "connection/json_text.hpp"
#include "connection/wire.hpp"
#include "platform/caller_form.hpp"
#include "platform/configuration.hpp"
#include "platform/object_store.hpp"
#include "platform/reports.hpp"
#include "process/burn_report.hpp"
#include "process/explain.hpp"
#include "version/config.hpp"

#include "wire.pb.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace buckthornusher::fuzz
{

namespace
{

void require(bool law, char const* what)
{
    if (law)
        return;
    std::cerr << "violated: " << what << "\n";
    std::abort();
}

constexpr http_read_limits limits{.header_bytes = 4'096, .body_bytes = 65'536};

// ---- HTTP ----

void run_request(std::string_view bytes)
{
    request_reader whole(limits);
    auto const used = whole.put(bytes);
    request_reader parts(limits);
    std::size_t used_in_parts = 0;
    for (auto const byte : bytes)
    {
        auto const one = parts.put({&byte, 1});
        used_in_parts += one;
        if (one == 0)
            break;
    }
    require(whole.complete() == parts.complete(), "a request does not depend on packets");
    if (!whole.complete())
        return;
    require(used == used_in_parts, "a request ends where it ends");
    auto const request = whole.take();
    require(request == parts.take(), "a request does not depend on packets");
    platform::caller_form{}.read(request);
    platform::read_announcement(request);
}

void run_response(std::string_view bytes)
{
    for (bool const no_body : {false, true})
    {
        response_reader reader(limits, no_body);
        reader.put(bytes);
        reader.put_eof();
        if (!reader.complete())
            continue;
        reader.keep_alive_seconds();
        auto const response = reader.take();
        require(response.body.size() <= limits.body_bytes, "bodies are bounded");
        require(!is_final_status(response.status) || is_sound(response),
                "what is read can be passed on");
    }
}

// ---- the platform's store ----

http_response json_answer(std::string_view body)
{
    return {.status = 200,
            .reason = {},
            .headers = {{"Content-Type", "application/json"}},
            .body = std::string(body)};
}

void run_store(std::string_view bytes)
{
    auto const answer = json_answer(bytes);
    for (auto const kind :
         {object_kind::fleet, object_kind::configuration, object_kind::evacuations})
    {
        platform::read_list({.kind = kind}, answer);
        platform::read_watch({.kind = kind, .since = 1}, answer);
    }
    platform::read_write({.name = member_object("a"), .expected = 1, .value = {}},
                         answer);
    auto conflict = answer;
    conflict.status = 409;
    platform::read_write({.name = member_object("a"), .expected = 1, .value = {}},
                         conflict);
}

void run_record(std::string_view bytes)
{
    auto const decoded_once = decode_record(bytes);
    if (!decoded_once.has_value())
        return;
    auto const again = decode_record(encode_record(decoded_once.value()));
    require(again.has_value() && again.value() == decoded_once.value(),
            "a record survives its encoding");
}

// ---- other programs ----

void run_heartbeat(std::string_view bytes)
{
    platform::read_announcement({.method = "PUT",
                                 .target = "/v1/instances/i-7",
                                 .headers = {},
                                 .body = std::string(bytes)});
}

void run_configuration(std::string_view bytes)
{
    static_cast<void>(platform::parse_configuration(bytes));
}

void run_control(std::string_view bytes)
{
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    auto const message = decode_control(envelope);
    if (!message)
        return;
    wire::Envelope out;
    encode(*message, out);
    require(decode_control(out) == message, "a message survives its encoding");
}

// ---- operators ----

void run_document(std::string_view bytes)
{
    static_cast<void>(parse_document(bytes));
}

void run_settings(std::string_view bytes)
{
    static_cast<void>(parse_settings(bytes));
}

void run_log(std::string_view bytes)
{
    std::istringstream log{std::string(bytes)};
    std::vector<log_record> records;
    read_records(log, "r1", records);
    sort_records(records);
    format_records(records);
    cause_of(records);
}

void run_burn(std::string_view bytes)
{
    burn_by_service sums;
    if (auto const counts = parse_burn(std::string(bytes)))
        add_burn(*counts, sums);
    std::ostringstream out;
    print_burn_table(sums, out);
}

// ---- seeds ----

std::string message(control_message const& value)
{
    wire::Envelope envelope;
    encode(value, envelope);
    return envelope.SerializeAsString();
}

member_record sample_member()
{
    return {.id = {"a", 7},
            .generation = 7,
            .endpoint = "tcp://10.0.0.1:7000",
            .region = "r",
            .domain = "d",
            .watchers = {{"b", 8}},
            .targets = {{.service = "s", .slots = 12, .incarnation = "i@1"}}};
}

shard_group_record sample_group()
{
    return {
        .service = "s",
        .first_shard = 0,
        .assignments = {{.owner = {"a", 7}, .epoch = 3},
                        {.owner = {"a", 7}, .epoch = 4, .successor = owner_id{"b", 8}}}};
}

std::vector<std::string> store_seeds()
{
    auto const entry = [](std::string const& name, record const& value)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" +
               encode_record(value) + "}";
    };
    auto const member = entry(member_object("a"), sample_member());
    auto const group = entry(shard_group_object("s", 0), sample_group());
    return {R"({"items":[)" + member + "," + group +
                R"(],"has_more":false,"store_revision":9})",
            R"({"events":[{"type":"put","object":)" + member +
                R"(}],"store_revision":9})",
            member};
}

std::vector<target> make_targets()
{
    auto const deltas_message =
        deltas{.from = 3,
               .to = 4,
               .objects = {
                   {.name = member_object("a"), .version = 4, .value = sample_member()}}};
    return {
        {.name = "request",
         .run = run_request,
         .seeds = {"GET /stands/k1?x=1 HTTP/1.1\r\nHost: a\r\n\r\n",
                   "POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\norder",
                   "POST /o HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n0\r\nx: y\r\n\r\n"}},
        {.name = "response",
         .run = run_response,
         .seeds = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                   "\r\n",
                   "HTTP/1.1 503 Busy\r\nKeep-Alive: timeout=5\r\nConnection: close\r\n"
                   "\r\nbody until the end"}},
        {.name = "store", .run = run_store, .seeds = store_seeds()},
        {.name = "record",
         .run = run_record,
         .seeds = {encode_record(sample_member()), encode_record(sample_group())}},
        {.name = "heartbeat",
         .run = run_heartbeat,
         .seeds =
             {R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
              R"("slots":12,"state":"draining","cold_remaining_ms":1500,"sequence":4,)"
              R"("born":1767225600123,"holds":[[0,4095,7]],"freed":[[4096,8191,"5c"]]})"}},
        {.name = "configuration",
         .run = run_configuration,
         .seeds = {R"({"version":1,"services":[{"name":"s","sharded":true}],)"
                   R"("routes":[{"host":"h","prefix":"/p/","service":"s"}]})"}},
        {.name = "control",
         .run = run_control,
         .seeds = {message(renew{.sequence = 3, .revision = 9}),
                   message(released{.shards = {{.shard = {"s", 3}, .epoch = 4}}}),
                   message(deltas_message), message(pull{.from = 4})}},
        {.name = "document",
         .run = run_document,
         .seeds = {"[service.s]\nshards = 64\n\n[[route]]\nservice = \"s\"\n"
                   "prefix = \"/s/\"\n"}},
        {.name = "settings",
         .run = run_settings,
         .seeds = {"[node]\nname = \"n\"\nregion = \"r\"\ndomain = \"d\"\n[listen]\n"
                   "callers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\n[store]\n"
                   "address = \"127.0.0.1:3\"\n"}},
        {.name = "log",
         .run = run_log,
         .seeds = {"ts=2026-12-04T08:10:36.000100 level=info node=n1 event=taken "
                   "request=r1 shard=-\n"
                   "ts=2026-12-04T08:10:36.000300 level=info node=n1 event=ended "
                   "request=r1 outcome=refused reason=\"not \\\"reached\\\"\"\n"}},
        {.name = "burn",
         .run = run_burn,
         .seeds = {R"({"services":[{"name":"s","availability":0.99,"windows":)"
                   R"([{"total":60,"failed":1,"slow":0}]}]})"}},
    };
}

} // namespace

std::vector<target> const& targets()
{
    static std::vector<target> const all = make_targets();
    return all;
}

target const* find_target(std::string_view name)
{
    auto const& all = targets();
    auto const it = std::find_if(all.begin(), all.end(),
                                 [&](target const& t) { return t.name == name; });
    return it == all.end() ? nullptr : &*it;
}

} // namespace buckthornusher::fuzz
