// Bad documents and settings: each error names the key, what was found and what is
// allowed.
#include "version/config.hpp"
#include "version/route_table.hpp"

#include <gtest/gtest.h>

namespace buckthornusher
{
namespace
{

constexpr char const* service = "[[service.a.route]]\nprefix = \"/a/\"\n";

TEST(config, bad_documents_are_refused_with_line_key_and_range)
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
         "service.b.route.prefix: found \"/a/\" twice, allowed each prefix once"},
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

TEST(config, bad_settings_are_refused)
{
    std::string const store = "[store]\naddress = \"127.0.0.1\"\nport = 9000\n";
    std::string const node =
        "[node]\nname = \"n\"\nregion = \"r\"\ndomain = \"d\"\n"
        "address = \"127.0.0.1\"\ncaller_port = 1\noperator_port = 2\n";
    std::vector<std::pair<std::string, std::string>> const cases{
        {store, "node: found nothing"},
        {node + "peer_port = 3\n", "store: found nothing"},
        {node + store, "node.peer_port: found nothing, allowed 1 to 65535"},
        {node + "peer_port = 70000\n" + store,
         "node.peer_port: found 70000, allowed 1 to 65535"},
        {node + "peer_port = 3\nseeds = 1\n" + store,
         "node.seeds: found 1, allowed an array of strings"},
        {node + "peer_port = 3\nseeds = [1]\n" + store,
         "node.seeds: found 1, allowed an array of strings"},
        {node + "peer_port = 3\nlog_level = \"loud\"\n" + store,
         "node.log_level: found \"loud\", allowed debug, info, warning, error"},
    };
    for (auto const& [text, message] : cases)
    {
        auto const parsed = parse_settings(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_NE(to_string(parsed.error().front()).find(message), std::string::npos)
            << text << "\n"
            << to_string(parsed.error().front());
    }
    EXPECT_TRUE(parse_settings(node + "peer_port = 3\n" + store).has_value());
}

TEST(route_table, the_longest_prefix_wins_and_departments_follow_their_stage)
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
    EXPECT_EQ(routes.find({.method = "GET", .path = "/a/k1/more"})->key, "k1");
    auto const b = routes.find({.method = "GET", .path = "/a/b/c", .query = "j=1&k=2"});
    EXPECT_EQ(b->service->name, "b");
    EXPECT_EQ(b->key, "2");
    EXPECT_EQ(routes.find({.method = "GET", .path = "/c/"}), std::nullopt);
    EXPECT_FALSE(routes.is_old("a", "x1"));
    EXPECT_TRUE(routes.is_old("a", "xy1"));
    EXPECT_FALSE(routes.is_old("a", "z"));
    EXPECT_FALSE(routes.is_old("b", "xy1"));
}

} // namespace
} // namespace buckthornusher
