// Tests of the adapter to the platform: decoding and encoding of its messages.
#include "connection/json_text.hpp"
#include "connection/wire.hpp"
#include "platform/caller_form.hpp"
#include "platform/configuration.hpp"
#include "platform/object_store.hpp"
#include "platform/reports.hpp"
#include "platform/upstream_form.hpp"

#include <gtest/gtest.h>

#include <initializer_list>

namespace buckthornusher::platform
{
namespace
{

// ---- callers ----

TEST(platform_callers, id_and_timeout_are_read_from_headers)
{
    http_request request{.method = "GET", .target = "/"};
    request.headers = {{"x-buckthornusher-request-id", "9c"},
                       {"X-Buckthornusher-Deadline-Ms", "1500"}};
    EXPECT_EQ(caller_form{}.read(request),
              (caller_facts{.id = "9c", .timeout = 1'500ms, .operation = ""}));
    EXPECT_EQ(caller_form{}.read({}), caller_facts{});
    for (auto const* invalid : {"", "x", "-1"})
    {
        http_request bad;
        bad.headers = {{"X-Buckthornusher-Deadline-Ms", invalid}};
        EXPECT_EQ(caller_form{}.read(bad).timeout, std::nullopt) << invalid;
    }
}

TEST(platform_callers, internal_headers_are_stripped_from_requests)
{
    http_request request;
    request.headers = {{"X-Buckthornusher-Caller-Service", "a"},
                       {"x-buckthornusher-expect-instance", "b"},
                       {"X-Other", "c"}};
    caller_form{}.strip(request);
    EXPECT_EQ(request.headers, (http_headers{{"X-Other", "c"}}));
}

TEST(platform_callers, statuses_distinguish_not_run_from_unknown)
{
    caller_form const form;
    auto const status = [&](outcome_reason reason, bool ran)
    {
        return form.refused({.reason = reason, .may_have_run = ran}).status;
    };
    EXPECT_EQ(status(outcome_reason::overloaded, false), 429);
    EXPECT_EQ(status(outcome_reason::no_owner, false), 503);
    EXPECT_EQ(status(outcome_reason::no_configuration, false), 503);
    EXPECT_EQ(status(outcome_reason::no_route, false), 404);
    for (auto const reason : {outcome_reason::answer_lost, outcome_reason::owner_lost,
                              outcome_reason::deadline, outcome_reason::stopping})
        EXPECT_TRUE(status(reason, true) == 502 || status(reason, true) == 504);
    auto const refused =
        form.refused({.reason = outcome_reason::overloaded, .retry_after = 1'250ms});
    EXPECT_EQ(find_header(refused.headers, "retry-after"), "1.250");
}

// ---- upstreams ----

TEST(platform_upstreams, requests_carry_the_remaining_time_and_the_incarnation)
{
    http_request request{.method = "GET", .target = "/x?y"};
    request.headers = {{"Host", "h"},
                       {"X-Buckthornusher-Request-Id", "9c"},
                       {"X-Buckthornusher-Deadline-Ms", "1500"}};
    auto const sent = upstream_form{}.add_call_headers(
        request, {.incarnation = {.id = "i-1", .started = 5},
                  .origin = "desk",
                  .time_left = 1'234'567us});
    EXPECT_EQ(find_header(sent.headers, "x-buckthornusher-deadline-ms"), "1234");
    EXPECT_EQ(find_header(sent.headers, "x-buckthornusher-expect-instance"), "i-1");
    EXPECT_EQ(find_header(sent.headers, "x-buckthornusher-caller-service"), "desk");
    EXPECT_EQ(find_header(sent.headers, "x-buckthornusher-request-id"), "9c");
    EXPECT_EQ(sent.target, request.target);
    EXPECT_EQ(sent.headers.size(), 5U);
}

TEST(platform_upstreams, responses_are_matched_by_request_id)
{
    http_request request;
    request.headers = {{"X-Buckthornusher-Request-Id", "a"}};
    http_response answer;
    EXPECT_FALSE(upstream_form{}.is_response_to(request, answer));
    answer.headers = {{"x-buckthornusher-request-id", "b"}};
    EXPECT_FALSE(upstream_form{}.is_response_to(request, answer));
    answer.headers = {{"x-buckthornusher-request-id", "a"}};
    EXPECT_TRUE(upstream_form{}.is_response_to(request, answer));
}

load_word load_of(std::string const& text)
{
    return upstream_form{}.load({.headers = {{"x-buckthornusher-instance-load", text}}});
}

TEST(platform_upstreams, a_load_is_read_and_one_that_means_nothing_is_told_apart)
{
    EXPECT_EQ(upstream_form{}.load({}), load_word(load_not_told{}));
    EXPECT_EQ(load_of("3,1,12"),
              load_word(reported_load{.running = 3, .waiting = 1, .slots = 12}));
    EXPECT_EQ(load_of("3,1,12,250"),
              load_word(reported_load{
                  .running = 3, .waiting = 1, .slots = 12, .slowness = 2.5}));
    EXPECT_EQ(load_of("0, 0, 5, 100"),
              load_word(reported_load{.slots = 5, .slowness = 1}));
    for (std::string const broken : {"",
                                     ",",
                                     "3",
                                     "3,1",
                                     "3,1,",
                                     "3,1,12,",
                                     "3,1,12,100,1",
                                     "-3,1,12",
                                     "3,-1,12",
                                     "3,1,-12",
                                     "3,1,0",
                                     "3,1,12,0",
                                     "3,1,12,-100",
                                     "a,b,c",
                                     "3;1;12",
                                     "3,1,12x",
                                     "nan,1,12",
                                     "3,1,inf",
                                     "3,1,12,nan",
                                     "3,1,12,inf",
                                     "3,1,12,1000000",
                                     "99999999999999999999,1,12",
                                     "3,1,4294967297",
                                     "1e400,0,1",
                                     "3,1,12,100%"})
        EXPECT_EQ(load_of(broken), load_word(load_broken{})) << broken;
}

TEST(platform_upstreams, responses_are_classified_by_status_and_headers)
{
    auto const meaning = [](int status, http_headers headers)
    {
        return upstream_form{}.meaning({.status = status, .headers = std::move(headers)});
    };
    http_header const signature{"X-Buckthornusher-Response-Signature", "s"};
    http_header const not_run{"X-Buckthornusher-Not-Executed", "1"};
    EXPECT_EQ(meaning(200, {signature}), answer_meaning::answered);
    EXPECT_EQ(meaning(200, {}), answer_meaning::unverified);
    EXPECT_EQ(meaning(200, {signature, {"Content-Encoding", "gzip"}}),
              answer_meaning::unverified);
    EXPECT_EQ(meaning(404, {signature}), answer_meaning::answered);
    EXPECT_EQ(meaning(500, {signature}), answer_meaning::failed);
    EXPECT_EQ(meaning(504, {signature}), answer_meaning::failed);
    EXPECT_EQ(meaning(503, {not_run}), answer_meaning::no_room);
    EXPECT_EQ(meaning(429, {not_run}), answer_meaning::no_room);
    EXPECT_EQ(meaning(421, {not_run}), answer_meaning::not_held);
    // Passed on to a caller, these statuses would guarantee that nothing has run.
    for (int const status : {408, 429, 503})
        EXPECT_EQ(meaning(status, {signature}), answer_meaning::unverified) << status;
}

// ---- heartbeats ----

http_request heartbeat_request(std::string body, std::string target = "/v1/instances/i-7")
{
    return {.method = "PUT",
            .target = std::move(target),
            .headers = {},
            .body = std::move(body)};
}

std::string const full_heartbeat =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,)"
    R"("state":"draining","cold_remaining_ms":1500,"sequence":4,"born":1767225600123,)"
    R"("holds":[[0,4095,7],[9000,9999,8]],"freed":[[4096,8191,"5c"]],"later":{}})";

TEST(platform_reports, all_heartbeat_fields_are_read)
{
    auto const read = read_announcement(heartbeat_request(full_heartbeat));
    ASSERT_TRUE(std::holds_alternative<upstream_report>(read));
    auto const& report = std::get<upstream_report>(read);
    EXPECT_EQ(report.incarnation,
              (upstream_incarnation{.id = "i-7", .started = 1'767'225'600'123}));
    EXPECT_EQ(report.service, "s");
    EXPECT_EQ(report.ip, "10.0.0.9");
    EXPECT_EQ(report.port, 8'080);
    EXPECT_EQ(report.slots, 12U);
    EXPECT_EQ(report.sequence, 4U);
    EXPECT_EQ(report.state, upstream_state::draining);
    EXPECT_EQ(report.warm_up_left, 1'500ms);
    EXPECT_EQ(report.holds, (std::vector<held_range>{
                                {.keys = {.first = 0, .last = 4'095}, .epoch = 7},
                                {.keys = {.first = 9'000, .last = 9'999}, .epoch = 8}}));
    EXPECT_EQ(report.freed,
              (std::vector<freed_range>{
                  {.keys = {.first = 4'096, .last = 8'191}, .handover = "5c"}}));
}

TEST(platform_reports, malformed_heartbeats_are_rejected)
{
    auto const replaced = [](std::string const& part, std::string const& replacement)
    {
        auto text = full_heartbeat;
        auto const position = text.find(part);
        EXPECT_NE(position, std::string::npos) << part;
        return text.replace(position, part.size(), replacement);
    };
    std::vector<std::string> const bad{
        "",
        "[]",
        "{",
        "\xff\xfe",
        "{}",
        replaced(R"("service":"s")", R"("service":7)"),
        replaced(R"("service":"s")", R"("service":"")"),
        replaced(R"("service":"s",)", ""),
        replaced("10.0.0.9:8080", "10.0.0.9"),
        replaced("10.0.0.9:8080", "10.0.0.9:0"),
        replaced("10.0.0.9:8080", "10.0.0.9:99999"),
        replaced("10.0.0.9:8080", ":80"),
        replaced("10.0.0.9:8080", "10.0.0:80"),
        replaced("10.0.0.9:8080", "localhost:80"),
        replaced(R"("slots":12)", R"("slots":0)"),
        replaced(R"("slots":12)", R"("slots":"12")"),
        replaced(R"("slots":12)", R"("slots":-1)"),
        replaced(R"("sequence":4)", R"("sequence":4.5)"),
        replaced(R"("state":"draining")", R"("state":"odd")"),
        replaced(R"([0,4095,7])", R"([0,4095])"),
        replaced(R"([0,4095,7])", R"([4095,0,7])"),
        replaced(R"([0,4095,7])", R"([0,65536,7])"),
        replaced(R"([0,4095,7])", R"([-1,4095,7])"),
        replaced(R"([0,4095,7])", R"([0,4095,"7"])"),
        replaced(R"([4096,8191,"5c"])", R"([4096,8191,5])"),
        replaced(R"([[4096,8191,"5c"]])", R"({})"),
    };
    for (auto const& body : bad)
        EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
            read_announcement(heartbeat_request(body))))
            << body;
    EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
        read_announcement(heartbeat_request(full_heartbeat, "/v1/instances/"))));
    EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
        read_announcement(heartbeat_request(full_heartbeat, "/v2/instances/i"))));
    EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
        read_announcement({.method = "POST", .target = "/v1/instances/i"})));
}

// Guards against an id that no record can hold: the node's own could not be written.
TEST(platform_reports, announcements_with_unreadable_ids_are_rejected)
{
    for (std::string const& id :
         {std::string("i-\xff\xfe"), std::string("i\x01"), std::string(1'000, 'i')})
    {
        auto const target = "/v1/instances/" + id;
        EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
            read_announcement(heartbeat_request(full_heartbeat, target))));
        EXPECT_TRUE(std::holds_alternative<invalid_announcement>(
            read_announcement({.method = "DELETE", .target = target})));
    }
}

TEST(platform_reports, a_departure_names_the_incarnation)
{
    EXPECT_EQ(read_announcement({.method = "DELETE", .target = "/v1/instances/i-7"}),
              announcement(departure{.incarnation_id = "i-7"}));
}

TEST(platform_reports, grants_are_encoded_as_rows_and_no_grant_as_an_empty_object)
{
    EXPECT_EQ(answer_announcement(std::nullopt).body, "{}");
    EXPECT_EQ(answer_announcement(upstream_grant{.ranges = {}, .valid_for = 4s}).body,
              R"({"hold_ms":4000,"holds":[]})");
    upstream_grant const grant{
        .ranges = {{.keys = {.first = 0, .last = 9}, .epoch = 7, .handover = ""},
                   {.keys = {.first = 20, .last = 29}, .epoch = 12, .handover = "7a"}},
        .valid_for = 3'999'999us};
    EXPECT_EQ(answer_announcement(grant).body,
              R"({"hold_ms":3999,"holds":[[0,9,7,""],[20,29,12,"7a"]]})");
}

// ---- the configuration ----

std::string const full_configuration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":"/x/y/",)"
    R"("kind":"non_idempotent","timeout_ms":1500,"slo_latency_ms":600,"priority":1,)"
    R"("service":"s","max_attempts":2},)"
    R"({"name":"r2","host":"b.example","path_prefix":"/z/","kind":"idempotent",)"
    R"("timeout_ms":1500,"slo_latency_ms":1600,"priority":2,"service":null,)"
    R"("max_attempts":2,"traffic_split":[{"service":"s","weight":90},)"
    R"({"service":"t","weight":10}]}],"services":[{"name":"s","health_path":"/h",)"
    R"("max_conns":110,"protocol":"h1","tls":false,"sharded":true,"warmup_s":5.0,)"
    R"("grants":"heartbeat"},{"name":"t","health_path":"/h","max_conns":110,)"
    R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("base_version":5,"later":1})";

TEST(platform_configuration, all_fields_are_read)
{
    auto const parsed = parse_configuration(full_configuration);
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& doc = parsed.value();
    ASSERT_EQ(doc.services.size(), 2U);
    EXPECT_TRUE(doc.services[0].keyed);
    EXPECT_EQ(doc.services[0].keys, key_form::number);
    EXPECT_EQ(doc.services[0].connections, 110U);
    EXPECT_FALSE(doc.services[1].keyed);
    ASSERT_EQ(doc.routes.size(), 2U);
    auto const& first = doc.routes[0];
    EXPECT_EQ(first.host, "a.example");
    EXPECT_EQ(first.prefix, "/x/y/");
    EXPECT_EQ(first.repeats, repeat_rule::at_most_once);
    EXPECT_EQ(first.timeout, 1'500ms);
    EXPECT_EQ(first.latency, 600ms);
    EXPECT_EQ(first.rank, 1U);
    EXPECT_EQ(first.max_attempts, 2U);
    EXPECT_EQ(first.source, key_source::header);
    EXPECT_EQ(doc.routes[1].services,
              (std::vector<weighted_service>{{.service = "s", .weight = 90},
                                             {.service = "t", .weight = 10}}));
    EXPECT_EQ(doc.routes[1].repeats, repeat_rule::idempotent);
    EXPECT_EQ(doc.limits, (caller_limits{.header_bytes = 16'384,
                                         .body_bytes = 67'108'864,
                                         .header_timeout = 3s,
                                         .idle_timeout = 15s}));
}

TEST(platform_configuration, an_invalid_field_rejects_the_document)
{
    auto const changed = [](std::string const& part, std::string const& replacement)
    {
        auto text = full_configuration;
        auto const position = text.find(part);
        EXPECT_NE(position, std::string::npos) << part;
        return text.replace(position, part.size(), replacement);
    };
    std::vector<std::pair<std::string, std::string>> const bad{
        {"", "found text that is not a JSON object"},
        {full_configuration.substr(0, 300), "found text that is not a JSON object"},
        {changed(R"("service":"s","max)", R"("service":"u","max)"),
         "route.service: found \"u\", allowed the name of a service"},
        {changed(R"("service":"s","max)", R"("max)"),
         "routes.service: found nothing, allowed a string"},
        {changed(R"("weight":90)", R"("wait":90)"),
         "routes.traffic_split.weight: found nothing"},
        {changed(R"("timeout_ms":1500,)", ""), "routes.timeout_ms: found nothing"},
        {changed(R"("timeout_ms":1500)", R"("timeout_ms":"1500")"),
         "routes.timeout_ms: found \"1500\""},
        {changed(R"("timeout_ms":1500)", R"("timeout_ms":0)"),
         "routes.timeout_ms: found 0"},
        {changed(R"("kind":"non_idempotent",)", ""), "routes.kind: found nothing"},
        {changed(R"("kind":"non_idempotent")", R"("kind":3)"), "routes.kind: found 3"},
        {changed(R"("max_attempts":2},)", R"("max_attempts":2,"allowed_regions":"r"},)"),
         "routes.allowed_regions: found \"r\", allowed a list"},
        {changed(R"("max_attempts":2},)", R"("max_attempts":2,"allowed_regions":[1]},)"),
         "routes.allowed_regions: found 1"},
        {changed(R"("sharded":true)", R"("cold_per_s":-1)"),
         "services.cold_per_s: found -1"},
        {changed(R"("sharded":true)", R"("cold_start_s":"3")"),
         "services.cold_start_s: found \"3\""},
        {changed(R"("path_prefix":"/z/")", R"("path_prefix":"/z")"),
         "routes.path_prefix: found \"/z\""},
        {changed(R"("host":"b.example","path_prefix":"/z/")",
                 R"("host":"a.example","path_prefix":"/x/y/")"),
         "found \"a.example/x/y/\" twice"},
        {changed(R"("sharded":true)", R"("sharded":1)"), "services.sharded: found 1"},
        {changed(R"("max_header_bytes":16384)", R"("max_header_bytes":-1)"),
         "limits.max_header_bytes: found -1"},
        {changed(R"("limits")", R"("limit")"), "limits: found nothing"},
    };
    for (auto const& [text, message] : bad)
    {
        auto const parsed = parse_configuration(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_NE(to_string(parsed.error().front()).find(message), std::string::npos)
            << text << "\n"
            << to_string(parsed.error().front());
    }
}

// A document that the store accepted is served, whatever words later versions add to it.
TEST(platform_configuration, an_unknown_kind_makes_its_route_run_at_most_once)
{
    auto text = full_configuration;
    std::string const kind = R"("kind":"idempotent")";
    text.replace(text.find(kind), kind.size(), R"("kind":"odd")");
    auto const parsed = parse_configuration(text);
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& doc = parsed.value();
    ASSERT_EQ(doc.routes.size(), 2U);
    EXPECT_EQ(doc.routes[1].repeats, repeat_rule::at_most_once);
    ASSERT_EQ(doc.unknown_words.size(), 1U);
    EXPECT_EQ(
        to_string(doc.unknown_words[0]),
        "routes.kind: found \"odd\", allowed idempotent, download or non_idempotent");
    // The other route is not affected.
    auto const usual = parse_configuration(full_configuration);
    ASSERT_TRUE(usual);
    EXPECT_TRUE(usual.value().unknown_words.empty());
    EXPECT_EQ(doc.routes[0], usual.value().routes[0]);
}

TEST(platform_configuration, downloads_may_be_repeated_and_have_large_answers)
{
    auto text = full_configuration;
    std::string const kind = R"("kind":"idempotent")";
    text.replace(text.find(kind), kind.size(), R"("kind":"download")");
    auto const parsed = parse_configuration(text);
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& routes = parsed.value().routes;
    EXPECT_EQ(routes[1].repeats, repeat_rule::idempotent);
    EXPECT_TRUE(routes[1].large_answers);
    EXPECT_FALSE(routes[0].large_answers);
    EXPECT_TRUE(parsed.value().unknown_words.empty());
}

TEST(platform_configuration, regions_and_the_bound_of_cold_upstreams_are_read)
{
    auto text = full_configuration;
    std::string const attempts = R"("max_attempts":2},)";
    text.replace(text.find(attempts), attempts.size(),
                 R"("max_attempts":2,"allowed_regions":["a","b"]},)");
    std::string const sharded = R"("sharded":true)";
    text.replace(text.find(sharded), sharded.size(),
                 R"("sharded":true,"cold_per_s":12.5,"cold_start_s":3.5)");
    auto const parsed = parse_configuration(text);
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& doc = parsed.value();
    EXPECT_EQ(doc.routes[0].regions, (std::vector<std::string>{"a", "b"}));
    EXPECT_TRUE(doc.routes[1].regions.empty());
    EXPECT_EQ(doc.services[0].cold_rate, 12.5);
    EXPECT_EQ(doc.services[0].cold_time, 3'500ms);
    EXPECT_EQ(doc.services[1].cold_rate, 0);
}

TEST(platform_configuration, what_is_null_of_regions_and_cold_upstreams_is_missing)
{
    auto text = full_configuration;
    std::string const attempts = R"("max_attempts":2},)";
    text.replace(text.find(attempts), attempts.size(),
                 R"("max_attempts":2,"allowed_regions":null},)");
    std::string const sharded = R"("sharded":true)";
    text.replace(text.find(sharded), sharded.size(),
                 R"("sharded":true,"cold_per_s":null,"cold_start_s":null)");
    auto const parsed = parse_configuration(text);
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& doc = parsed.value();
    EXPECT_TRUE(doc.routes[0].regions.empty());
    EXPECT_EQ(doc.services[0].cold_rate, 0);
    EXPECT_EQ(doc.services[0].cold_time, 0ms);
}

// ---- the store ----

member_record member()
{
    return {
        .id = {"n", 7},
        .generation = 5,
        .inherited = true,
        .endpoint = "tcp://10.0.0.1:7000",
        .region = "r",
        .domain = "d",
        .state = member_state::evicting,
        .watchers = {{"w", 3}},
        .targets = {{.service = "s", .slots = 9, .incarnation = "i@1", .draining = true}},
        .draining = true};
}

shard_group_record chunk()
{
    shard_group_record c{.service = "s", .first_shard = 1'024, .assignments = {}};
    assignment const a{
        .owner = {"n", 5}, .epoch = 3, .successor = {"m", 6}, .handover = "5c"};
    c.assignments.assign(700, a);
    c.assignments[300] = {.owner = {"m", 6}, .epoch = 4};
    c.assignments[301] = {};
    return c;
}

// An entry at evacuations/ZONE is all that the operator writes.
TEST(platform_store, an_evacuation_is_an_entry_whatever_its_spec)
{
    store_list const list{.kind = object_kind::evacuations};
    EXPECT_EQ(list_request(list, "").target, "/v1/objects/evacuations");
    auto const part = read_list(
        list,
        {.status = 200,
         .body = R"({"items":[{"metadata":{"name":"zone-a","revision":7},"spec":{}},)"
                 R"({"metadata":{"name":"zone-b","revision":8}},)"
                 R"({"metadata":{"name":"zone-c","revision":9},"spec":{"x":[1]}},)"
                 R"({"metadata":{"name":"","revision":10},"spec":{}},)"
                 R"({"metadata":{"name":")" +
                 std::string(300, 'z') +
                 R"(","revision":11},"spec":{}},7],"has_more":false,)"
                 R"("store_revision":12})"});
    ASSERT_TRUE(part);
    EXPECT_EQ(part->objects.revision, 12U);
    ASSERT_EQ(part->objects.objects.size(), 3U);
    EXPECT_EQ(part->skipped.size(), 3U);
    EXPECT_EQ(part->objects.objects[1],
              (object{.name = evacuation_object("zone-b"),
                      .version = 8,
                      .value = evacuation_record{.domain = "zone-b"}}));
    auto const watched = read_watch(
        {.kind = object_kind::evacuations, .since = 9, .wait = 1s},
        {.status = 200,
         .body = R"({"events":[{"deleted":true,"object":{"metadata":{"name":"zone-a",)"
                 R"("revision":13},"spec":{}}}],"store_revision":13})"});
    auto const* found = std::get_if<store_objects>(&watched.answer);
    ASSERT_NE(found, nullptr);
    ASSERT_EQ(found->objects.size(), 1U);
    EXPECT_EQ(found->objects[0],
              (object{.name = evacuation_object("zone-a"), .version = 13, .value = {}}));
}

TEST(platform_store, an_evacuation_is_written_and_removed)
{
    store_write write{.name = evacuation_object("zone a"),
                      .expected = 0,
                      .value = evacuation_record{.domain = "zone a"}};
    auto const create = write_request(write);
    EXPECT_EQ(create.method, "POST");
    EXPECT_EQ(create.target, "/v1/objects/evacuations");
    EXPECT_EQ(create.body, R"({"metadata":{"name":"zone a"},"spec":{}})");
    write.expected = 5;
    write.value.reset();
    auto const remove = write_request(write);
    EXPECT_EQ(remove.method, "DELETE");
    EXPECT_EQ(remove.target, "/v1/objects/evacuations/zone%20a?revision=5");
}

TEST(platform_store, requests_match_the_object_api)
{
    EXPECT_EQ(list_request({}, "").target, "/v1/objects/buckthornusher");
    EXPECT_EQ(list_request({.kind = object_kind::configuration}, "a b").target,
              "/v1/objects/config?after=a%20b");
    EXPECT_EQ(
        watch_request({.kind = object_kind::configuration, .since = 530, .wait = 2s})
            .target,
        "/v1/objects/config?watch=530&wait_ms=2000");
    store_write write{.name = member_object("n"), .expected = 0, .value = member()};
    auto const create = write_request(write);
    EXPECT_EQ(create.method, "POST");
    EXPECT_EQ(create.target, "/v1/objects/buckthornusher");
    EXPECT_EQ(create.body.find("\"revision\""), std::string::npos);
    write.expected = 12;
    auto const replace = write_request(write);
    EXPECT_EQ(replace.method, "PUT");
    EXPECT_EQ(replace.target, "/v1/objects/buckthornusher/member.n");
    EXPECT_NE(replace.body.find("\"revision\":12"), std::string::npos);
    write.value.reset();
    auto const remove = write_request(write);
    EXPECT_EQ(remove.method, "DELETE");
    EXPECT_EQ(remove.target, "/v1/objects/buckthornusher/member.n?revision=12");
}

// Guards against a field of a record that is lost between encoding and decoding.
TEST(platform_store, records_survive_a_round_trip)
{
    for (record const& value : {record(member()), record(chunk())})
    {
        auto const name = std::holds_alternative<member_record>(value)
                              ? member_object("n")
                              : shard_group_object("s", 1'024);
        auto text = write_request({.name = name, .expected = 9, .value = value}).body;
        auto const answer =
            read_write({.name = name, .expected = 9, .value = value},
                       {.status = 409, .reason = "", .headers = {}, .body = text});
        ASSERT_TRUE(std::holds_alternative<store_conflict>(answer));
        EXPECT_EQ(std::get<store_conflict>(answer).current,
                  (object{.name = name, .version = 9, .value = value}));
    }
    EXPECT_LT(encode_record(chunk()).size(), 1'000U)
        << "equal neighbouring assignments are stored once";
}

http_response json_answer(int status, std::string body)
{
    return {.status = status, .reason = "", .headers = {}, .body = std::move(body)};
}

TEST(platform_store, lists_skip_objects_of_other_writers)
{
    auto const spec = encode_record(member());
    auto const part = read_list(
        {},
        json_answer(200, R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{}},)"
                         R"({"metadata":{"name":"b"},"spec":null},7,)"
                         R"({"metadata":{"name":"member.n","revision":4},"spec":)" +
                             spec + R"(}],"has_more":true,"store_revision":530})"));
    ASSERT_TRUE(part);
    EXPECT_EQ(part->objects.revision, 530U);
    EXPECT_TRUE(part->more);
    EXPECT_EQ(part->last_name, "member.n");
    ASSERT_EQ(part->objects.objects.size(), 1U);
    EXPECT_EQ(part->objects.objects.front().value, record(member()));
    for (auto const* body :
         {"", "[]", "{}", R"({"items":[]})", R"({"items":{},"store_revision":1})"})
        EXPECT_FALSE(read_list({}, json_answer(200, body))) << body;
    EXPECT_FALSE(read_list({}, json_answer(503, R"({"items":[],"store_revision":1})")));
}

TEST(platform_store, the_operators_configuration_is_stored_as_text)
{
    auto const part = read_list(
        {.kind = object_kind::configuration},
        json_answer(200, R"({"items":[{"metadata":{"name":"main","revision":3},"spec":)" +
                             full_configuration + R"(}],"store_revision":4})"));
    ASSERT_TRUE(part);
    ASSERT_EQ(part->objects.objects.size(), 1U);
    auto const& o = part->objects.objects.front();
    EXPECT_EQ(o.name, config_object);
    auto const& config = std::get<config_record>(*o.value);
    EXPECT_EQ(config.number, 7U);
    EXPECT_TRUE(parse_configuration(config.document.text()));
}

TEST(platform_store, watches_report_changes_deletions_and_lost_history)
{
    auto const changed = R"({"deleted":false,"object":{"metadata":{"name":"member.n",)"
                         R"("revision":5},"spec":)" +
                         encode_record(member()) + "}}";
    auto const removed = R"({"deleted":true,"object":{"metadata":{"name":"member.n",)"
                         R"("revision":5},"spec":)" +
                         encode_record(member()) + "}}";
    auto const answer =
        read_watch({}, json_answer(200, R"({"events":[)" + changed + "," + removed +
                                            R"(,{"deleted":true}],"store_revision":8})"))
            .answer;
    ASSERT_TRUE(std::holds_alternative<store_objects>(answer));
    auto const& found = std::get<store_objects>(answer);
    EXPECT_EQ(found.revision, 8U);
    ASSERT_EQ(found.objects.size(), 2U);
    EXPECT_EQ(found.objects[0].version, 5U);
    EXPECT_EQ(found.objects[1],
              (object{.name = "member.n", .version = 8, .value = std::nullopt}));
    EXPECT_TRUE(std::holds_alternative<store_history_lost>(
        read_watch({}, json_answer(410, "")).answer));
}

// ---- entries that another program wrote ----

constexpr std::size_t deep_levels = 50'000;

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string entry(std::string const& name, std::string const& spec,
                  std::string const& revision = "3")
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + revision +
           R"(},"spec":)" + spec + "}";
}

std::string member_spec(std::string const& endpoint, std::string const& slots)
{
    return R"({"member":{"id":{"node":"odd","incarnation":"7"},"endpoint":")" + endpoint +
           R"(","targets":[{"service":"s","slots":)" + slots + "}]}}";
}

// Found by fuzzing: an owner without a generation is none, whatever node it names.
TEST(platform_store, an_owner_without_a_generation_is_no_owner)
{
    auto const group = decode_record(
        R"({"chunk":{"service":"s","assignments":[{"owner":{"node":"a"},"epoch":3,)"
        R"("shards":1}]}})");
    ASSERT_TRUE(group.has_value());
    auto const& a = std::get<shard_group_record>(group.value()).assignments.at(0);
    EXPECT_EQ(a.owner, owner_id{});
    EXPECT_EQ(decode_record(encode_record(group.value())).value(), group.value());
}

// A text that is larger than any value that the store accepts.
std::string long_text()
{
    std::string text;
    text.resize(60'000'000, 'x');
    return text;
}

// Entries that are not a readable record of this project.
std::vector<std::string> odd_entries()
{
    auto const sound = member_spec("tcp://10.0.0.1:7000", "9");
    std::vector<std::string> entries{
        "7",
        "null",
        "[]",
        "{}",
        nested(deep_levels),
        entry("a", nested(deep_levels)),
        entry("member.odd", nested(deep_levels)),
        entry("member.odd", R"({"member":)" + nested(deep_levels) + "}"),
        entry("member.odd", R"({"member":{"id":)" + nested(deep_levels) + "}}"),
        R"({"metadata":)" + nested(deep_levels) + R"(,"spec":{}})",
        R"({"metadata":{"name":"a","revision":3,"labels":)" + nested(deep_levels) +
            R"(},"spec":{}})",
        entry("a", R"({"n":1e400})"),
        entry("a", "1e400"),
        entry("a", "-1e999999999"),
        entry("a", std::string(5'000, '9')),
        entry("a", R"({"text":"\ud800"})"),
        entry("a", "{\"text\":\"\xff\xfe\"}"),
        entry("a", "{\"text\":\"\x01\"}"),
        entry("\xff\xfe", "{}"),
        entry("\\ud800", "{}"),
        entry("", "{}"),
        entry(std::string(1'000'000, 'n'), "{}"),
        entry("a", "\"" + long_text() + "\""),
        // Under names of records, or records under names of others.
        entry("a", sound),
        entry("member.other", sound),
        entry("shards.s.0", sound),
        entry("member.odd", sound, "1e400"),
        entry("member.odd", sound, "-3"),
        entry("member.odd", sound, "18446744073709551616"),
        entry("member.odd", sound, "\"3\""),
    };
    for (auto const* endpoint :
         {"", "tcp://", "tcp://10.0.0.1", "tcp://10.0.0.1:", "tcp://10.0.0.1:0",
          "tcp://10.0.0.1:-7", "tcp://10.0.0.1:65536", "tcp://10.0.0.1:99999",
          "tcp://10.0.0.1:80.5", "tcp://10.0.0.1:eighty", "tcp://:7000",
          "ipc://10.0.0.1:7000", "10.0.0.1:7000"})
        entries.push_back(entry("member.odd", member_spec(endpoint, "9")));
    for (auto const* slots :
         {"-1", "4294967296", "18446744073709551616", "1.5", "1e400", "[]", R"("many")"})
        entries.push_back(entry("member.odd", member_spec("tcp://10.0.0.1:7000", slots)));
    for (auto const* group : {R"({"service":"s","firstShard":4294966272})",
                              R"({"service":"s","firstShard":7})",
                              R"({"service":"s","assignments":[{"shards":4294967295}]})"})
        entries.push_back(entry("shards.s.0", R"({"chunk":)" + std::string(group) + "}"));
    return entries;
}

std::string joined(std::initializer_list<std::string> const& items)
{
    std::string text;
    for (auto const& item : items)
        text.append(text.empty() ? "" : ",").append(item);
    return text;
}

std::string list_body(std::initializer_list<std::string> const& items)
{
    return R"({"items":[)" + joined(items) + R"(],"has_more":true,"store_revision":530})";
}

std::string change_event(std::string const& changed)
{
    return R"({"deleted":false,"object":)" + changed + "}";
}

std::string watch_body(std::initializer_list<std::string> const& events)
{
    return R"({"events":[)" + joined(events) + R"(],"store_revision":8})";
}

TEST(platform_store, an_odd_entry_hides_no_other_of_a_list)
{
    auto const before = entry("member.n", encode_record(member()), "4");
    auto const after = entry("shards.s.1", encode_record(chunk()), "5");
    for (auto const& odd : odd_entries())
    {
        auto const part =
            read_list({}, json_answer(200, list_body({before, odd, after})));
        ASSERT_TRUE(part) << odd.substr(0, 100);
        ASSERT_EQ(part->objects.objects.size(), 2U) << odd.substr(0, 100);
        EXPECT_EQ(part->objects.objects[0].value, record(member()));
        EXPECT_EQ(part->objects.objects[1].value, record(chunk()));
        EXPECT_EQ(part->last_name, "shards.s.1");
        EXPECT_EQ(part->skipped.size(), 1U) << odd.substr(0, 100);
    }
}

TEST(platform_store, a_list_goes_on_behind_an_odd_entry_at_the_end_of_a_page)
{
    for (auto const& spec : {nested(deep_levels), std::string(R"({"n":1e400})")})
    {
        auto const part = read_list(
            {}, json_answer(200, list_body({entry("member.n", encode_record(member())),
                                            entry("odd", spec)})));
        ASSERT_TRUE(part);
        EXPECT_EQ(part->last_name, "odd");
        EXPECT_EQ(part->skipped,
                  (std::vector<skipped_entry>{{.name = "odd", .revision = 3}}));
    }
}

TEST(platform_store, an_odd_event_hides_no_other_of_a_watch)
{
    auto const sound = change_event(entry("member.n", encode_record(member()), "5"));
    for (auto const& odd : odd_entries())
    {
        auto const read =
            read_watch({}, json_answer(200, watch_body({change_event(odd), sound})));
        ASSERT_TRUE(std::holds_alternative<store_objects>(read.answer));
        auto const& found = std::get<store_objects>(read.answer);
        EXPECT_EQ(found.revision, 8U);
        ASSERT_EQ(found.objects.size(), 1U) << odd.substr(0, 100);
        EXPECT_EQ(found.objects[0].value, record(member()));
        EXPECT_EQ(read.skipped.size(), 1U) << odd.substr(0, 100);
    }
}

// The value of a record that became odd stays until the object is deleted.
TEST(platform_store, the_deletion_of_an_odd_entry_is_read)
{
    auto const read = read_watch(
        {}, json_answer(200, R"({"events":[{"deleted":true,"object":)" +
                                 entry("member.n", nested(deep_levels)) +
                                 R"(},{"deleted":true,"object":)" +
                                 entry("another", "{}") + R"(}],"store_revision":8})"));
    auto const& found = std::get<store_objects>(read.answer);
    EXPECT_EQ(found.objects,
              (std::vector<object>{{.name = "member.n", .version = 8, .value = {}}}));
}

TEST(platform_store, a_conflict_with_an_odd_entry_is_no_answer)
{
    store_write const write{.name = member_object("n"), .expected = 3, .value = member()};
    for (auto const& odd : odd_entries())
        EXPECT_TRUE(std::holds_alternative<store_no_answer>(
            read_write(write, json_answer(409, odd))))
            << odd.substr(0, 100);
}

TEST(platform_store, an_odd_configuration_is_skipped_or_refused)
{
    store_list const list{.kind = object_kind::configuration};
    for (auto const& spec :
         {nested(deep_levels), std::string("{}"), std::string(R"({"version":1e400})"),
          std::string(R"({"version":18446744073709551616})"),
          std::string(R"({"version":"7"})"), R"({"config":)" + nested(deep_levels) + "}"})
    {
        auto const part =
            read_list(list, json_answer(200, list_body({entry("main", spec)})));
        ASSERT_TRUE(part);
        EXPECT_TRUE(part->objects.objects.empty()) << spec.substr(0, 100);
    }
    std::vector<std::string> const documents{
        nested(deep_levels),
        R"({"version":7,"services":)" + nested(deep_levels) + "}",
        R"({"version":7,"services":{"a":)" + nested(deep_levels) + "}}",
        R"({"version":7,"routes":[{"timeout_ms":)" + nested(max_json_depth - 3) + "}]}",
        R"({"version":7,"limits":{"max_body_bytes":1e400}})",
        R"({"version":7,"limits":{"max_body_bytes":1e300}})",
        R"({"version":7,"limits":{"max_body_bytes":-1e300}})",
        R"({"version":7,"limits":{"max_body_bytes":18446744073709551615}})",
        R"({"version":7,"limits":{"max_body_bytes":18446744073709551616}})",
        R"({"version":7,"limits":{"max_body_bytes":1.5}})",
    };
    for (auto const& text : documents)
        EXPECT_TRUE(parse_configuration(text).has_error()) << text.substr(0, 100);
}

TEST(platform_reports, odd_values_in_heartbeats_are_rejected_or_bounded)
{
    auto const with = [](std::string const& members)
    {
        return read_announcement(heartbeat_request(
            R"({"service":"s","address":"10.0.0.9:8080","state":"ready",)" + members +
            "}"));
    };
    for (auto const& members :
         {R"("slots":12,"sequence":)" + nested(deep_levels),
          R"("slots":12,"sequence":1,"later":)" + nested(deep_levels),
          std::string(R"("slots":12,"sequence":1e400)"),
          std::string(R"("slots":4294967296,"sequence":1)"),
          std::string(R"("slots":18446744073709551616,"sequence":1)"),
          std::string(R"("slots":12,"sequence":-1)"),
          R"("slots":12,"sequence":1,"holds":)" + nested(deep_levels)})
        EXPECT_TRUE(std::holds_alternative<invalid_announcement>(with(members)))
            << members.substr(0, 100);
    auto const late =
        with(R"("slots":12,"sequence":1,"cold_remaining_ms":18446744073709551615)");
    ASSERT_TRUE(std::holds_alternative<upstream_report>(late));
    EXPECT_EQ(std::get<upstream_report>(late).warm_up_left, 1h);
}

TEST(platform_store, unrecognised_responses_are_no_answer)
{
    store_write const write{.name = member_object("n"), .expected = 3, .value = member()};
    auto const read = [&](int status, std::string body)
    {
        return read_write(write, json_answer(status, std::move(body)));
    };
    EXPECT_EQ(
        std::get<store_written>(read(200, R"({"metadata":{"revision":9}})")).version, 9U);
    EXPECT_TRUE(std::holds_alternative<store_no_answer>(read(200, "")));
    EXPECT_TRUE(std::holds_alternative<store_no_answer>(read(200, R"({"metadata":{}})")));
    EXPECT_TRUE(std::holds_alternative<store_no_answer>(read(409, "{}")));
    EXPECT_TRUE(std::holds_alternative<store_no_answer>(read(500, "")));
    EXPECT_TRUE(std::holds_alternative<store_refused>(read(429, "")));
    EXPECT_TRUE(std::holds_alternative<store_refused>(read(503, "")));
    EXPECT_EQ(std::get<store_conflict>(read(404, "")).current,
              (object{.name = write.name}));
}

} // namespace
} // namespace buckthornusher::platform
