// Tests of documents, settings and routes. Each error of an invalid text names the key,
// the value found and the values allowed.
#include "buckthornusher/shard_map.hpp"
#include "version/config.hpp"
#include "version/route_table.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>

namespace buckthornusher
{
namespace
{

constexpr char const* service = "[[service.a.route]]\nprefix = \"/a/\"\n";

TEST(config, invalid_documents_are_rejected_with_line_key_and_range)
{
    std::string const head = "environment = \"trial\"\n";
    std::string const tail = service;
    std::vector<std::pair<std::string, std::string>> const cases{
        {"", "line 1: environment: found nothing, allowed a string"},
        {"x", "found"},
        {"environment = 3\n" + tail,
         "line 1: environment: found 3, allowed a string that is not empty"},
        {"environment = \"\"\n" + tail,
         "line 1: environment: found \"\", allowed a string that is not empty"},
        {head, "line 1: service: found nothing, allowed a table"},
        {head + "service = 1\n", "line 2: service: found 1, allowed a table"},
        {head + "[service]\na = 1\n", "line 3: service.a: found 1, allowed a table"},
        {head + "[service.a]\n",
         "line 2: service.a.route: found nothing, allowed one or more tables"},
        {head + "[service.a]\nroute = 1\n",
         "line 3: service.a.route: found 1, allowed one or more tables"},
        {head + "[service.a]\nroute = []\n",
         "line 3: service.a.route: found an array, allowed one or more tables"},
        {head + "[service.a]\nroute = [1]\n",
         "line 3: service.a.route: found 1, allowed a table"},
        {head + "[service.a]\nshards = 0\n" + tail,
         "line 3: service.a.shards: found 0, allowed 1 to 65536"},
        {head + "[service.a]\nshards = 65537\n" + tail,
         "line 3: service.a.shards: found 65537, allowed 1 to 65536"},
        {head + "[service.a]\nshards = \"x\"\n" + tail,
         "line 3: service.a.shards: found \"x\", allowed 1 to 65536"},
        {head + "[service.a]\nshards = 1.5\n" + tail,
         "line 3: service.a.shards: found 1.500000, allowed 1 to 65536"},
        {head + "[service.a]\nshard = 4\n" + tail,
         "line 3: service.a.shard: found an unknown key, allowed perhaps \"shards\""},
        {head + "[service.a]\nkeyd = true\n" + tail,
         "line 3: service.a.keyd: found an unknown key, allowed perhaps \"keyed\""},
        {head + "[service.a]\nkeyed = 1\n" + tail,
         "line 3: service.a.keyed: found 1, allowed true or false"},
        {head + "[service.a]\nfenced = \"no\"\n" + tail,
         "line 3: service.a.fenced: found \"no\", allowed true or false"},
        {head + "[service.a]\ndeadline_ms = 0\n" + tail,
         "line 3: service.a.deadline_ms: found 0, allowed 1 to 1500"},
        {head + "[service.a]\ndeadline_ms = 1501\n" + tail,
         "line 3: service.a.deadline_ms: found 1501, allowed 1 to 1500"},
        {head + "[service.a]\nkeyed = false\ndeadline_ms = 60001\n" + tail,
         "line 4: service.a.deadline_ms: found 60001, allowed 1 to 60000"},
        {head + "[service.a]\navailability = 1\n" + tail,
         "line 3: service.a.availability: found 1, allowed a number between 0 and 1"},
        {head + "[service.a]\navailability = \"x\"\n" + tail,
         "line 3: service.a.availability: found \"x\", allowed a number between 0 and 1"},
        {head + "[service.a]\nlatency_ms = -1\n" + tail,
         "line 3: service.a.latency_ms: found -1, allowed 1 to 60000"},
        {head + "[[service.a.route]]\n",
         "line 2: service.a.route.prefix: found nothing, allowed a string"},
        {head + "[[service.a.route]]\nprefix = \"a\"\n",
         "line 3: service.a.route.prefix: found \"a\", allowed a path that begins and "
         "ends with /"},
        {head + "[[service.a.route]]\nprefix = \"/a\"\n",
         "line 3: service.a.route.prefix: found \"/a\", allowed a path that begins and "
         "ends with /"},
        {head + tail + "key = \"cookie\"\n",
         "line 4: service.a.route.key: found \"cookie\", allowed path, query, header"},
        {head + tail + "key = \"query\"\n",
         "line 2: service.a.route.parameter: found nothing, allowed a string"},
        {head + tail + "prefx = \"/b/\"\n", "line 4: service.a.route.prefx: found an "
                                            "unknown key, allowed perhaps \"prefix\""},
        {head + tail + "[[service.b.route]]\nprefix = \"/a/\"\n",
         "route.prefix: found \"/a/\" twice, allowed each prefix of a host once"},
        {head + tail + "[[route]]\nprefix = \"/b/\"\nservice = \"z\"\n",
         "route.service: found \"z\", allowed the name of a service"},
        {head + tail + "[[route]]\nprefix = \"/b/\"\n",
         "line 4: route.service: found nothing, allowed a string"},
        {head + tail + "[[route]]\nprefix = \"/b/\"\n[[route.split]]\nservice = \"a\"\n",
         "line 6: route.split.weight: found nothing, allowed 0 to 1000000"},
        {head + tail +
             "[[route]]\nprefix = \"/b/\"\n[[route.split]]\nservice = \"a\"\nweight = "
             "0\n",
         "route.split.weight: found no weight above 0 for /b/, allowed one or more"},
        {head + tail + "repeats = \"twice\"\n",
         "line 4: service.a.route.repeats: found \"twice\", allowed get, idempotent, "
         "at-most-once"},
        {head + tail + "[limits]\nbody_bytes = -1\n",
         "line 5: limits.body_bytes: found -1, allowed 0 to 1073741824"},
        {head + "servce = 1\n" + tail,
         "line 2: servce: found an unknown key, allowed perhaps \"service\""},
        {head + tail + "[old_setup]\nport = 1\n",
         "line 4: old_setup.address: found nothing, allowed a string"},
        {head + tail + "[old_setup]\naddress = \"h\"\nport = 0\n",
         "line 6: old_setup.port: found 0, allowed 1 to 65535"},
        {head + tail +
             "[[department]]\nname = \"d\"\nservice = \"a\"\nkey_prefix = \"x\"\n",
         "line 1: old_setup: found nothing, allowed a table"},
        {head + tail +
             "[old_setup]\naddress = \"h\"\nport = 1\n[[department]]\nname = "
             "\"d\"\nservice = \"z\"\nkey_prefix = \"x\"\n",
         "line 7: department.service: found a table, allowed the name of a keyed "
         "service"},
        {head + tail +
             "[old_setup]\naddress = \"h\"\nport = 1\n[[department]]\nname = "
             "\"d\"\nservice = \"a\"\nkey_prefix = \"x\"\nstage = \"done\"\n",
         "line 11: department.stage: found \"done\", allowed old, new"},
        {head + tail +
             "[old_setup]\naddress = \"h\"\nport = 1\n[[department]]\nname = "
             "\"d\"\nservice = \"a\"\nkey_prefix = \"x\"\n[[department]]\nname = "
             "\"e\"\nservice = \"a\"\nkey_prefix = \"y\"\nstage = \"new\"\n",
         "line 11: department.stage: found a table, allowed \"old\" until \"d\" is "
         "handed over"},
    };
    for (auto const& [text, message] : cases)
    {
        auto const parsed = parse_document(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_NE(to_string(parsed.error().front()).find(message), std::string::npos)
            << text << "\n"
            << to_string(parsed.error().front());
    }
}

TEST(config, invalid_settings_are_rejected)
{
    std::string const store = "[store]\naddress = \"127.0.0.1:9000\"\n";
    std::string const node = "[node]\nname = \"n\"\nregion = \"r\"\ndomain = \"d\"\n";
    std::string const listen = "[listen]\ncallers = \"127.0.0.1:1\"\n"
                               "operators = \"127.0.0.1:2\"\n";
    std::string const peers = "peers = \"127.0.0.1:3\"\n";
    std::vector<std::pair<std::string, std::string>> const cases{
        {listen + peers + store, "node: found nothing"},
        {node + store, "listen: found nothing"},
        {node + listen + peers, "store: found nothing"},
        {node + listen + store, "listen.peers: found nothing, allowed a string"},
        {node + listen + "peers = \"127.0.0.1:70000\"\n" + store,
         "listen.peers: found \"127.0.0.1:70000\", allowed IP:port"},
        {node + listen + "peers = \"127.0.0.1\"\n" + store,
         "listen.peers: found \"127.0.0.1\", allowed IP:port"},
        {node + listen + "peers = \":3\"\n" + store,
         "listen.peers: found \":3\", allowed IP:port"},
        {node + listen + "peers = \"127.0.0.1:3x\"\n" + store,
         "listen.peers: found \"127.0.0.1:3x\", allowed IP:port"},
        {node + listen + "peers = 3\n" + store,
         "listen.peers: found 3, allowed a string that is not empty"},
        {node + listen + peers + "advertised_peers = \":3\"\n" + store,
         "listen.advertised_peers: found \":3\", allowed IP:port"},
        {node + "seeds = 1\n" + listen + peers + store,
         "node.seeds: found 1, allowed an array of strings"},
        {node + "seeds = [1]\n" + listen + peers + store,
         "node.seeds: found 1, allowed an array of strings"},
        {node + "log_level = \"loud\"\n" + listen + peers + store,
         "node.log_level: found \"loud\", allowed debug, info, warning, error"},
        {node + "form = \"other\"\n" + listen + peers + store,
         "node.form: found \"other\", allowed native, platform"},
        {node + "grace_ms = 1\n" + listen + peers + store,
         "node.grace_ms: found 1, allowed 100 to 600000"},
        {node + listen + peers + store + "[retries]\nratio = 2.0\n",
         "retries.ratio: found 2.000000, allowed a number between 0 and 1"},
        {node + listen + peers + store + "[cold_upstreams]\nratio = -1\n",
         "cold_upstreams.ratio: found -1, allowed 0 to 1000"},
        {node + listen + peers + store + "[vm]\nmemory_mb = \"x\"\n",
         "vm.memory_mb: found \"x\", allowed 0 to 1048576"},
        {node + listen + peers + store + "[vm]\nlink = 10\n",
         "vm.link: found an unknown key, allowed perhaps \"link_mbps\""},
    };
    for (auto const& [text, message] : cases)
    {
        auto const parsed = parse_settings(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_NE(to_string(parsed.error().front()).find(message), std::string::npos)
            << text << "\n"
            << to_string(parsed.error().front());
    }
    EXPECT_TRUE(parse_settings(node + listen + peers + store).has_value());
    auto const advertised = parse_settings(node + listen + peers +
                                           "advertised_peers = \"10.0.0.9:7\"\n" + store);
    ASSERT_TRUE(advertised.has_value());
    EXPECT_EQ(advertised.value().advertised_peers, "10.0.0.9:7");
}

TEST(config, a_figure_of_the_settings_can_be_replaced)
{
    std::string const text =
        "[node]\nname = \"n\"\nregion = \"r\"\ndomain = \"d\"\n"
        "[listen]\ncallers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n"
        "peers = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:9000\"\n"
        "[retries]\nreserve = 4\n";
    auto const parsed = parse_settings(
        text, {"vm.memory_mb=160", "vm.link_mbps=", "cold_upstreams.ratio=1.5",
               "cold_upstreams.reserve=8", "node.evacuation_bound_ms=5000",
               "retries.reserve=202"});
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& settings = parsed.value();
    EXPECT_EQ(settings.memory_bytes, 160'000'000U);
    EXPECT_EQ(settings.link_bits, 0);
    EXPECT_EQ(settings.cold_ratio, 1.5);
    EXPECT_EQ(settings.cold_reserve, 8);
    EXPECT_EQ(settings.evacuation_bound, 5s);
    EXPECT_EQ(settings.retry_reserve, 202);
    for (auto const* bad : {"", "vm", "vm.memory_mb", "vm.=3", ".memory_mb=3", "vm=3.5",
                            "vm.memory_mb=many", "vm.memory_mb=1 2", "vm.memory_mb=1e99",
                            "vm.memory=1", "node.name=3", "nodes.name=3",
                            "cold_upstreams.ratio=0", "cold_upstreams.ratio=-1"})
        EXPECT_TRUE(parse_settings(text, {bad}).has_error()) << bad;
}

// Returns deploy/settings.toml.in with the placeholders replaced by values of a site.
// The figures among them are those given.
std::string filled_settings(std::map<std::string, std::string> const& figures)
{
    std::ifstream file(SOURCE_DIR "/deploy/settings.toml.in");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    std::map<std::string, std::string> values{
        {"ip", "10.0.0.1"},
        {"region", "r"},
        {"zone", "d"},
        {"service", "s"},
        {"listen.outbound", "10.0.0.1:1"},
        {"listen.control", "10.0.0.1:2"},
        {"listen.readiness_addr", "10.0.0.1:3"},
        {"port_range.0", "4"},
        {"port_range.1", "5"},
        {"platform.address", "10.0.0.2:6"},
    };
    values.insert(figures.begin(), figures.end());
    for (auto const& [name, value] : values)
    {
        auto const placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

TEST(config, deployment_figures_may_be_fractions)
{
    auto const parsed = parse_settings(filled_settings({
        {"heartbeat_ms", "870.25"},
        {"bounds.grace_s", "6.5"},
        {"bounds.config_apply_ms", "2500.5"},
        {"bounds.drain_ms", "2500.75"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "34.328358"},
        {"bounds.budget_window_s", "7.5"},
    }));
    ASSERT_TRUE(parsed) << to_string(parsed.error().front());
    auto const& s = parsed.value();
    EXPECT_EQ(s.report_interval, 870'250us);
    EXPECT_EQ(s.grace, 6'500ms);
    EXPECT_EQ(s.config_bound, 2'500'500us);
    EXPECT_EQ(s.drain_limit, 2'500'750us);
    EXPECT_EQ(s.retry_reserve, 34.328358);
    EXPECT_EQ(s.retry_window, 7'500ms);
}

TEST(config, deployment_figures_out_of_range_are_rejected)
{
    std::map<std::string, std::string> const sound{
        {"heartbeat_ms", "870"},
        {"bounds.grace_s", "6"},
        {"bounds.config_apply_ms", "2500"},
        {"bounds.drain_ms", "2500"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.retry_budget_slack", "56"},
        {"bounds.budget_window_s", "10"},
    };
    EXPECT_TRUE(parse_settings(filled_settings(sound)));
    for (auto const& entry : sound)
        for (auto const* value : {"-1", "1e300", "inf", "nan", "\"7\"", "[]"})
        {
            auto figures = sound;
            figures[entry.first] = value;
            EXPECT_TRUE(parse_settings(filled_settings(figures)).has_error())
                << entry.first << " = " << value;
        }
}

TEST(route_table, a_host_with_its_own_routes_ignores_the_default_routes)
{
    auto const doc = parse_document("environment = \"t\"\n"
                                    "[[service.a.route]]\nprefix = \"/a/\"\n"
                                    "[[route]]\nhost = \"H.example\"\nprefix = \"/h/\"\n"
                                    "service = \"a\"\n");
    ASSERT_TRUE(doc.has_value()) << to_string(doc.error().front());
    route_table const routes(doc.value());
    auto const find = [&](std::string host, std::string target)
    {
        http_request request{.method = "GET", .target = std::move(target)};
        request.headers.push_back({"Host", std::move(host)});
        return routes.find(request).has_value();
    };
    EXPECT_TRUE(find("h.example", "/h/1"));
    EXPECT_TRUE(find("h.EXAMPLE:80", "/h/1"));
    EXPECT_FALSE(find("h.example", "/a/1"));
    EXPECT_TRUE(find("other", "/a/1"));
    EXPECT_FALSE(find("other", "/h/1"));
    EXPECT_FALSE(find("other", "/a")) << "a prefix includes its trailing slash";
}

TEST(route_table, a_split_distributes_by_weight)
{
    auto const doc =
        parse_document("environment = \"t\"\n[service.a]\n[service.b]\n[service.c]\n"
                       "[[route]]\nprefix = \"/s/\"\n"
                       "[[route.split]]\nservice = \"a\"\nweight = 70\n"
                       "[[route.split]]\nservice = \"b\"\nweight = 30\n"
                       "[[route.split]]\nservice = \"c\"\nweight = 0\n");
    ASSERT_TRUE(doc.has_value()) << to_string(doc.error().front());
    route_table const routes(doc.value());
    std::map<std::string, int> counts;
    for (std::uint64_t draw = 0; draw < 1'000; ++draw)
        ++counts[routes.find({.method = "GET", .target = "/s/x"}, draw)->service->name];
    EXPECT_EQ(counts, (std::map<std::string, int>{{"a", 700}, {"b", 300}}));
}

TEST(route_table, numeric_keys_map_to_contiguous_shard_ranges)
{
    service_config service{.name = "s", .keys = key_form::number, .shards = 1'024};
    EXPECT_EQ(shard_of(service, "0"), 0U);
    EXPECT_EQ(shard_of(service, "65535"), 1'023U);
    for (auto const* no_key : {"", "-1", "65536", "1x", " 1", "0x1"})
        EXPECT_EQ(shard_of(service, no_key), std::nullopt) << no_key;
    // For any number of shards the ranges are contiguous, and the first and last number
    // of each range map back to its shard.
    for (std::uint32_t const shards : {1U, 3U, 64U, 1'000U, 1'024U, 65'536U})
    {
        std::uint32_t next = 0;
        for (std::uint32_t s = 0; s < shards; ++s)
        {
            auto const range = numbers_of_shard(s, shards);
            ASSERT_EQ(range.first, next);
            ASSERT_EQ(shard_of_number(range.first, shards), s);
            ASSERT_EQ(shard_of_number(range.last, shards), s);
            next = range.last + 1;
        }
        EXPECT_EQ(next, number_keys);
    }
}

TEST(route_table, the_longest_prefix_wins_for_routes_and_departments)
{
    auto const doc =
        parse_document("environment = \"t\"\n"
                       "[[service.a.route]]\nprefix = \"/a/\"\n"
                       "[[service.b.route]]\nprefix = \"/a/b/\"\nkey = \"query\"\n"
                       "parameter = \"k\"\n"
                       "[old_setup]\naddress = \"127.0.0.1\"\nport = 1\n"
                       "[[department]]\nname = \"d\"\nservice = \"a\"\n"
                       "key_prefix = \"x\"\nstage = \"new\"\n"
                       "[[department]]\nname = \"e\"\nservice = \"a\"\n"
                       "key_prefix = \"xy\"\n");
    ASSERT_TRUE(doc.has_value()) << to_string(doc.error().front());
    route_table const routes(doc.value());
    EXPECT_EQ(routes.find({.method = "GET", .target = "/a/k1/more"})->key, "k1");
    auto const b = routes.find({.method = "GET", .target = "/a/b/c?j=1&k=2"});
    EXPECT_EQ(b->service->name, "b");
    EXPECT_EQ(b->key, "2");
    EXPECT_EQ(routes.find({.method = "GET", .target = "/c/"}), std::nullopt);
    EXPECT_FALSE(routes.uses_old_setup("a", "x1"));
    EXPECT_TRUE(routes.uses_old_setup("a", "xy1"));
    EXPECT_FALSE(routes.uses_old_setup("a", "z"));
    EXPECT_FALSE(routes.uses_old_setup("b", "xy1"));
}

TEST(config, a_route_timeout_raises_the_maximum_request_time)
{
    auto const doc =
        parse_document("environment = \"t\"\n"
                       "[service.a]\ndeadline_ms = 700\n"
                       "[[service.a.route]]\nprefix = \"/a/\"\n"
                       "[[service.a.route]]\nprefix = \"/b/\"\ntimeout_ms = 5000\n"
                       "[service.b]\ndeadline_ms = 900\n"
                       "[[service.b.route]]\nprefix = \"/c/\"\ntimeout_ms = 100\n");
    ASSERT_TRUE(doc);
    EXPECT_EQ(max_request_time(doc.value(), doc.value().services[0]), 5s);
    EXPECT_EQ(max_request_time(doc.value(), doc.value().services[1]), 900ms);
}

} // namespace
} // namespace buckthornusher
