// Tests of real node processes that are asked to stop while callers are served.
#include "node_fleet.hpp"
#include "slow_reader.hpp"

#include <csignal>
#include <string>
#include <string_view>

namespace buckthornusher::test
{
namespace
{

constexpr std::size_t answer_bytes = 540'000;
constexpr double bytes_per_second = 1'850'000;
constexpr duration callers_stay_for = 1'900ms; // until they have noticed the stop

class stopping_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(start({"desk", "kiosk"}));
        upstreams[0]->answer = [](http_request const& request)
        {
            auto answer = signed_answer(request);
            answer.body.assign(answer_bytes, 'b');
            return answer;
        };
        for (std::size_t node = 0; node < 2; ++node)
            ASSERT_TRUE(wait_until_served(node, "desk"));
    }

    static std::string request_text(std::size_t number)
    {
        auto const id = "pull-" + std::to_string(number);
        return "POST /desk/" + id +
               " HTTP/1.1\r\nHost: desk.example\r\nX-Buckthornusher-Request-Id: " + id +
               "\r\nX-Buckthornusher-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    }

    // Returns the number of whole answers at the beginning of the text.
    static std::size_t whole_answers(std::string_view text)
    {
        constexpr std::string_view end_of_header = "\r\n\r\n";
        std::size_t whole = 0;
        while (text.starts_with("HTTP/1.1 200 "))
        {
            auto const end = text.find(end_of_header);
            if (end == std::string_view::npos ||
                text.size() - end - end_of_header.size() < answer_bytes)
                break;
            text.remove_prefix(end + end_of_header.size() + answer_bytes);
            ++whole;
        }
        return whole;
    }

    // Asks node `stopped` to stop. Sends the requests at node `asked` while callers may
    // still do so, and reads slowly. Returns the number of whole answers.
    std::size_t read_across_stop(std::size_t stopped, std::size_t asked,
                                 std::size_t requests)
    {
        node(stopped).signal(SIGTERM);
        run_for(loop, callers_stay_for);
        std::string text;
        for (std::size_t n = 0; n < requests; ++n)
            text += request_text(n);
        slow_reader reader(loop, {.to = callers_of(asked),
                                  .requests = text,
                                  .bytes_per_second = bytes_per_second});
        run_until(loop, [&]
                  { return reader.ended() || whole_answers(reader.text()) == requests; });
        return whole_answers(reader.text());
    }
};

// Guards against answers that end with the process although their caller still reads them
// and the grace is not over: the requests had run, so the process took itself for idle.
TEST_F(stopping_fleet, answers_that_are_being_read_are_delivered_before_the_process_ends)
{
    constexpr std::size_t pulls = 8;
    EXPECT_EQ(read_across_stop(0, 0, pulls), pulls);
    EXPECT_TRUE(run_until(loop, [this] { return !node(0).is_running(); }));
    EXPECT_EQ(node(0).exit_code(), 0);
}

// The same for answers that were read from another node.
TEST_F(stopping_fleet, answers_of_another_nodes_upstream_are_delivered_too)
{
    constexpr std::size_t pulls = 8;
    EXPECT_EQ(read_across_stop(1, 1, pulls), pulls);
    EXPECT_TRUE(run_until(loop, [this] { return !node(1).is_running(); }));
}

TEST_F(stopping_fleet, a_node_that_forwards_gets_the_answers_of_one_that_stops)
{
    constexpr std::size_t pulls = 8;
    EXPECT_EQ(read_across_stop(0, 1, pulls), pulls);
    EXPECT_TRUE(run_until(loop, [this] { return !node(0).is_running(); }));
}

} // namespace
} // namespace buckthornusher::test
