// Tests of real node processes against crowds of clients that keep to no rule: bodies
// that stop just short of their end, bodies over the limit, answers that nobody reads.
//
// Each checks that the processes live, stay within the memory of their settings, hold no
// more descriptors than the crowd has connections, and answer an ordinary request while
// the crowd is still connected. Nothing here depends on how fast the machine is.
#include "node_fleet.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace buckthornusher::test
{
namespace
{

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t body_limit = mebibyte; // as in the fleet's configuration
constexpr std::uint64_t memory_mb = 96;
constexpr std::uint64_t memory_kib = memory_mb * 1'000'000 / 1'024;
constexpr std::size_t crowd_size = 120;
constexpr std::size_t own_descriptors = 128; // of a node without the crowd
constexpr std::size_t piece_bytes = 65'536;
constexpr int small_receive_buffer = 4'096;
constexpr duration quiet_time = 1s; // without a byte moving, a crowd has settled

// A client that sends what it is given, a piece at a time, and then stays connected. It
// reads and drops what arrives, unless it is one that does not read.
class crowd_client
{
public:
    struct options
    {
        std::string head;
        std::size_t body_bytes = 0; // sent after the head
        std::string piece;          // repeated for the body
        bool reads = true;
    };

    crowd_client(event_loop& loop, tcp_address const& to, options opts)
        : m_options(std::move(opts))
    {
        int const fd = tcp_connect(to, 20s);
        if (!m_options.reads)
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_receive_buffer,
                         sizeof(small_receive_buffer));
        m_watch = descriptor_watch(loop, fd,
                                   {.readable = [this] { read(); },
                                    .writable =
                                        [this]
                                    {
                                        write();
                                    }});
        m_watch.pause_reading(!m_options.reads);
        m_watch.request_write();
    }

    void send_more(std::size_t body_bytes)
    {
        m_options.body_bytes += body_bytes;
        if (m_watch.is_open())
            m_watch.request_write();
    }

    std::size_t moved() const { return m_moved; } // bytes, both ways

private:
    void write()
    {
        auto const total = m_options.head.size() + m_options.body_bytes;
        if (m_sent >= total)
            return;
        std::string_view next;
        if (m_sent < m_options.head.size())
            next = std::string_view(m_options.head).substr(m_sent);
        else
            next = std::string_view(m_options.piece)
                       .substr((m_sent - m_options.head.size()) % m_options.piece.size());
        auto const put = tcp_write(m_watch.fd(), next.substr(0, total - m_sent));
        if (put.status != io_status::done && put.status != io_status::not_ready)
            return m_watch.close();
        m_sent += put.bytes;
        m_moved += put.bytes;
        m_watch.request_write();
    }

    void read()
    {
        std::array<char, piece_bytes> space{};
        auto const got = tcp_read(m_watch.fd(), space.data(), space.size());
        m_moved += got.bytes;
        if (got.status == io_status::ended || got.status == io_status::broken)
            m_watch.close();
    }

    options m_options;
    descriptor_watch m_watch;
    std::size_t m_sent = 0;
    std::size_t m_moved = 0;
};

std::string head_of(std::string const& method, std::string const& service,
                    std::string const& id, std::string const& framing)
{
    return method + " /" + service + "/" + id + " HTTP/1.1\r\nHost: " + service +
           ".example\r\nX-Buckthornusher-Request-Id: " + id +
           "\r\nX-Buckthornusher-Deadline-Ms: 3000\r\n" + framing + "\r\n";
}

std::string length_of(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string one_chunk()
{
    constexpr std::string_view size_line = "fff0\r\n"; // 65,520 bytes
    constexpr std::size_t chunk_bytes = 0xfff0;
    return std::string(size_line) + std::string(chunk_bytes, 'c') + "\r\n";
}

// Waits until a node serves a request with a body of that length.
bool wait_until_served_with_body(event_loop& loop, tcp_address const& node,
                                 std::string const& name, std::size_t bytes)
{
    auto const deadline = boot_now() + max_wait;
    for (int n = 0; boot_now() < deadline; ++n)
    {
        auto request =
            make_request("desk", "whole-body-" + name + "-" + std::to_string(n));
        request.body = std::string(bytes, 'l');
        auto const answer = ask(loop, node, std::move(request));
        if (answer && answer->status == 200)
            return true;
        run_for(loop, 50ms);
    }
    return false;
}

class crowd_fleet : public node_fleet
{
protected:
    void SetUp() override
    {
        node_arguments = {"--set", "vm.memory_mb=" + std::to_string(memory_mb)};
        ASSERT_NO_FATAL_FAILURE(start({"desk", "kiosk"}));
        for (std::size_t node = 0; node < upstreams.size(); ++node)
            ASSERT_TRUE(wait_until_served(node, "desk"));
    }

    // Connects one more client to the node.
    void add(std::size_t node, crowd_client::options opts)
    {
        m_crowd.push_back(std::make_unique<crowd_client>(loop, callers_of(node), opts));
    }

    void send_more(std::size_t body_bytes)
    {
        for (auto const& client : m_crowd)
            client->send_more(body_bytes);
    }

    std::size_t moved() const
    {
        std::size_t sum = 0;
        for (auto const& client : m_crowd)
            sum += client->moved();
        return sum;
    }

    // Runs until the crowd neither sends nor receives any more, once it has begun to.
    void let_crowd_settle()
    {
        ASSERT_TRUE(run_until(loop, [this] { return moved() > 0; }));
        auto const deadline = boot_now() + max_wait;
        for (auto before = moved() + 1; before != moved() && boot_now() < deadline;)
        {
            before = moved();
            run_for(loop, quiet_time);
        }
    }

    void check_processes()
    {
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            SCOPED_TRACE("node " + std::to_string(i));
            EXPECT_TRUE(node(i).is_running());
            EXPECT_LE(node(i).peak_resident_kb(), memory_kib);
            EXPECT_LE(node(i).descriptors(), crowd_size + own_descriptors);
            RecordProperty("peak_kib_of_node_" + std::to_string(i),
                           static_cast<int>(node(i).peak_resident_kb()));
        }
    }

    // Checks the processes and the callers beside the crowd, and without it.
    void check_service()
    {
        check_processes();
        for (std::size_t i = 0; i < upstreams.size(); ++i)
            EXPECT_TRUE(wait_until_served(i, "desk")) << "beside the crowd, node " << i;
        m_crowd.clear();
        for (std::size_t i = 0; i < upstreams.size(); ++i)
            EXPECT_TRUE(wait_until_served_with_body(loop, callers_of(i),
                                                    std::to_string(i), body_limit))
                << "node " << i;
        check_processes();
    }

private:
    std::vector<std::unique_ptr<crowd_client>> m_crowd;
};

// Guards against bodies of legal size that never end.
TEST_F(crowd_fleet, bodies_that_stop_just_short_of_their_end)
{
    for (std::size_t n = 0; n < crowd_size; ++n)
        add(0, {.head = head_of("POST", "desk", "s" + std::to_string(n),
                                length_of(body_limit)),
                .body_bytes = body_limit - 1,
                .piece = std::string(piece_bytes, 's')});
    let_crowd_settle();
    check_service();
}

// Guards against whole bodies of legal size that end at once, beside their upstream.
TEST_F(crowd_fleet, whole_bodies_at_once)
{
    for (std::size_t n = 0; n < crowd_size; ++n)
        add(0, {.head = head_of("POST", "desk", "w" + std::to_string(n),
                                length_of(body_limit)),
                .body_bytes = body_limit - 1,
                .piece = std::string(piece_bytes, 'w')});
    let_crowd_settle();
    send_more(1);
    let_crowd_settle();
    check_service();
}

// Guards against the same at a node that passes them on to another one.
TEST_F(crowd_fleet, whole_bodies_at_once_that_another_node_serves)
{
    for (std::size_t n = 0; n < crowd_size; ++n)
        add(1, {.head = head_of("POST", "desk", "f" + std::to_string(n),
                                length_of(body_limit)),
                .body_bytes = body_limit - 1,
                .piece = std::string(piece_bytes, 'f')});
    let_crowd_settle();
    send_more(1);
    let_crowd_settle();
    check_service();
}

// Guards against bodies that are announced far over the limit and sent nevertheless.
TEST_F(crowd_fleet, bodies_announced_over_the_limit)
{
    constexpr std::size_t announced = 1'000 * body_limit;
    for (std::size_t n = 0; n < crowd_size; ++n)
        add(0, {.head = head_of("POST", "desk", "a" + std::to_string(n),
                                length_of(announced)),
                .body_bytes = 4 * body_limit,
                .piece = std::string(piece_bytes, 'a')});
    let_crowd_settle();
    check_service();
}

// Guards against bodies whose length shows only as they come. All of them stop within
// the limit first and then go over it.
TEST_F(crowd_fleet, chunked_bodies_over_the_limit)
{
    for (std::size_t n = 0; n < crowd_size; ++n)
        add(0, {.head = head_of("POST", "desk", "c" + std::to_string(n),
                                "Transfer-Encoding: chunked\r\n"),
                .body_bytes = body_limit / piece_bytes * (piece_bytes - 1'024),
                .piece = one_chunk()});
    let_crowd_settle();
    send_more(4 * body_limit);
    let_crowd_settle();
    check_service();
}

// Guards against long answers that their callers do not read, beside their upstream.
TEST_F(crowd_fleet, long_answers_that_nobody_reads)
{
    upstreams[0]->answer = [](http_request const& request)
    {
        auto answer = signed_answer(request);
        if (request.target.find("/long-") != std::string::npos)
            answer.body = std::string(4 * mebibyte, 'r');
        return answer;
    };
    for (std::size_t n = 0; n < crowd_size; ++n)
    {
        add(0,
            {.head = head_of("POST", "desk", "long-" + std::to_string(n), length_of(0)),
             .reads = false});
        run_for(loop, 20ms);
    }
    let_crowd_settle();
    check_service();
}

// Guards against the same at a node that gets the answers from another one.
TEST_F(crowd_fleet, long_answers_from_another_node_that_nobody_reads)
{
    upstreams[0]->answer = [](http_request const& request)
    {
        auto answer = signed_answer(request);
        if (request.target.find("/long-") != std::string::npos)
            answer.body = std::string(4 * mebibyte, 'r');
        return answer;
    };
    for (std::size_t n = 0; n < crowd_size; ++n)
    {
        add(1,
            {.head = head_of("POST", "desk", "long-" + std::to_string(n), length_of(0)),
             .reads = false});
        run_for(loop, 20ms);
    }
    let_crowd_settle();
    check_service();
}

// Guards against one body of the length that the document allows taking a process over
// its memory, or being refused though nothing else is held.
class calm_fleet : public node_fleet
{
protected:
    static constexpr std::size_t longest_body = 67'108'864;
    static constexpr std::uint64_t vm_memory_mb = 260;

    void SetUp() override
    {
        node_arguments = {"--set", "vm.memory_mb=" + std::to_string(vm_memory_mb)};
        upstream_body_limit = longest_body;
        ASSERT_NO_FATAL_FAILURE(start({"desk", "kiosk"}));
        auto document = configuration(2);
        document["limits"]["max_body_bytes"] = longest_body;
        ASSERT_TRUE(put_configuration(document));
    }
};

TEST_F(calm_fleet, one_body_of_the_longest_length_is_served_within_the_memory)
{
    constexpr std::uint64_t bound_kib = vm_memory_mb * 1'000'000 / 1'024;
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        EXPECT_TRUE(wait_until_served(i, "desk"));
        EXPECT_TRUE(wait_until_served_with_body(loop, callers_of(i), std::to_string(i),
                                                longest_body))
            << i;
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i)
    {
        EXPECT_TRUE(node(i).is_running());
        EXPECT_LE(node(i).peak_resident_kb(), bound_kib) << i;
        RecordProperty("peak_kib_of_node_" + std::to_string(i),
                       static_cast<int>(node(i).peak_resident_kb()));
    }
}

} // namespace
} // namespace buckthornusher::test
