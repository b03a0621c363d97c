#include <hemlocknotch/wire/socket_address.hpp>

#include "gateway/caller_server.hpp"
#include "plain_dialect.hpp"
#include "start_error.hpp"
#include "test_loop.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using gateway::exchange_id;

/// Records the calls of a server.
class request_recorder final : public caller_request_sink {
public:
    void on_request(exchange_id exchange, std::shared_ptr<const gateway::caller_request> request) override
    {
        exchanges.push_back(exchange);
        requests.push_back(std::move(request));
        if (server != nullptr) {
            server->reply(exchange, {200, {}}, requests.back()->body);
        }
    }

    void on_caller_disconnected(exchange_id exchange) override { disconnected.push_back(exchange); }

    void on_malformed(int status, std::string_view /*reason*/) override { malformed.push_back(status); }

    /// Where set, each request is answered at once with its own body.
    caller_server* server = nullptr;
    std::vector<exchange_id> exchanges;
    std::vector<std::shared_ptr<const gateway::caller_request>> requests;
    std::vector<exchange_id> disconnected;
    std::vector<int> malformed;
};

struct server_fixture {
    server_fixture()
    {
        port = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<unsigned short> {
                BOOST_LEAF_AUTO(at, server.listen(*endpoint_address::parse("127.0.0.1:0")));
                return at.port();
            },
            [] { return static_cast<unsigned short>(0); });
        BOOST_REQUIRE(port != 0);
    }

    test_loop loop;
    plain_dialect dialect;
    request_recorder recorder;
    caller_server server{loop.base(), dialect, 100, recorder};
    unsigned short port = 0;
};

/// A caller whose bytes are in the sockets before the server's loop runs again.
class blocking_client {
public:
    explicit blocking_client(unsigned short port) : fd_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        // Little is on its way to a caller that reads slowly.
        constexpr int buffer_size = 1 << 16;
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
        const auto to =
            detail::socket_address::of(*endpoint_address::parse("127.0.0.1:" + std::to_string(port)));
        BOOST_REQUIRE(::connect(fd_, to.get(), static_cast<socklen_t>(to.length())) == 0);
    }

    ~blocking_client() { ::close(fd_); }

    blocking_client(const blocking_client&) = delete;
    blocking_client(blocking_client&&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;
    blocking_client& operator=(blocking_client&&) = delete;

    void send(const std::string& bytes) const
    {
        BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                      static_cast<ssize_t>(bytes.size()));
    }

    /// Returns what has arrived so far.
    std::string receive()
    {
        std::array<char, 4096> buf{};
        ssize_t n = 0;
        while ((n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT)) > 0) {
            received_.append(buf.data(), static_cast<std::size_t>(n));
        }
        is_closed_ = is_closed_ || n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return received_;
    }

    /// Takes up to `size` bytes of what has arrived, and forgets them. Returns how many.
    std::size_t skip(std::size_t size)
    {
        std::vector<char> buf(size);
        const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
        is_closed_ = is_closed_ || n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    [[nodiscard]] bool is_closed() const { return is_closed_; }

private:
    int fd_;
    std::string received_;
    bool is_closed_ = false;
};

const std::string head = "POST /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\n";

BOOST_FIXTURE_TEST_SUITE(caller_server_suite, server_fixture)

BOOST_AUTO_TEST_CASE(forwards_a_request_without_connection_headers)
{
    raw_client client{loop.base(), port,
                      head + "Key: k\r\nAccount: other\r\nConnection: x-odd, Model\r\nX-Odd: 1\r\n"
                             "Model: m\r\nMemory: 1.2.3.4:5/6\r\nX-Other: 2\r\nContent-Length: 3\r\n\r\nabc"};
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    const auto& it = *recorder.requests[0];
    BOOST_TEST(it.method == "POST");
    BOOST_TEST(it.target == "/a/b");
    BOOST_TEST(it.host == "h");
    BOOST_TEST(it.body == "abc");
    BOOST_TEST(it.fields.key == "k");
    std::string names;
    for (const auto& field : it.headers) {
        names += field.name + " ";
    }
    BOOST_TEST(names == "Id Model X-Other ");
}

BOOST_AUTO_TEST_CASE(rejects_ambiguous_framing)
{
    const std::vector<std::string> requests{
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        head + "Content-Length: +3\r\n\r\nabc",
        head + "Content-Length: 0x3\r\n\r\nabc",
        head + "X-A: b\r\n folded\r\n\r\n",
        head + "X-A: b\n\r\n\r\n",
        "POST /a/b HTTP/1.1\r\nId: 1\r\n\r\n",
        "POST /a/b HTTP/1.1\r\nHost: h\r\nHost: i\r\nId: 1\r\n\r\n",
        "POST /a/b HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a/b\r\n\r\n",
        "\x16\x03\x01garbage\r\n\r\n",
    };
    for (std::size_t n = 0; n < requests.size(); ++n) {
        raw_client client{loop.base(), port, requests[n]};
        BOOST_REQUIRE_MESSAGE(loop.run_until([&] { return client.is_closed(); }), requests[n]);
        BOOST_TEST(client.received().starts_with("HTTP/1.1 400 "), requests[n]);
        BOOST_TEST(client.has("Connection: close"));
        BOOST_TEST(recorder.requests.empty(), requests[n]);
    }
}

BOOST_AUTO_TEST_CASE(rejects_oversized_heads_and_bodies)
{
    server.set_limits({.max_header_bytes = 512,
                       .max_body_bytes = 16,
                       .header_timeout = std::chrono::seconds{3},
                       .idle_timeout = std::chrono::seconds{15}});
    raw_client long_head{loop.base(), port, head + "X-Long: " + std::string(2000, 'a') + "\r\n\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return long_head.has("\r\n\r\n"); }));
    BOOST_TEST(long_head.received().starts_with("HTTP/1.1 431 "));
    raw_client long_body{loop.base(), port, head + "Content-Length: 17\r\n\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return long_body.has("\r\n\r\n"); }));
    BOOST_TEST(long_body.received().starts_with("HTTP/1.1 413 "));
    raw_client long_chunk{loop.base(), port,
                          head + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + std::string(17, 'a') +
                              "\r\n0\r\n\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return long_chunk.has("\r\n\r\n"); }));
    BOOST_TEST(long_chunk.received().starts_with("HTTP/1.1 413 "));
    BOOST_TEST(recorder.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_slow_head_gets_408)
{
    server.set_limits({.max_header_bytes = 512,
                       .max_body_bytes = 16,
                       .header_timeout = std::chrono::milliseconds{50},
                       .idle_timeout = std::chrono::seconds{15}});
    raw_client client{loop.base(), port, "POST /a"};
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(client.received().starts_with("HTTP/1.1 408 "));
}

BOOST_AUTO_TEST_CASE(reports_a_disconnected_caller_at_once)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    client.close();
    BOOST_REQUIRE(loop.run_until([&] { return recorder.disconnected.size() == 1; }));
    BOOST_TEST(recorder.disconnected[0] == recorder.exchanges[0]);
    // An answer after the disconnection is ignored.
    server.reply(recorder.exchanges[0], {200, {}}, "late");
}

BOOST_AUTO_TEST_CASE(knows_that_a_caller_has_disconnected_before_that_is_reported)
{
    auto client = std::make_unique<blocking_client>(port);
    client->send(head + "\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    BOOST_TEST(!server.has_disconnected(recorder.exchanges[0]));
    client.reset();
    BOOST_TEST(server.has_disconnected(recorder.exchanges[0]));
    BOOST_TEST(recorder.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_is_reported_while_its_further_bytes_are_unread)
{
    auto client = std::make_unique<blocking_client>(port);
    client->send(head + "\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    client->send(head + "\r\n");
    client.reset();
    BOOST_REQUIRE(loop.run_until([&] { return recorder.disconnected.size() == 1; }));
    BOOST_TEST(recorder.requests.size() == 1U);
    BOOST_REQUIRE(loop.run_until([&] { return server.connection_count() == 0; }));
    BOOST_TEST(recorder.disconnected.size() == 1U);
}

BOOST_AUTO_TEST_CASE(drops_a_request_whose_caller_disconnected_before_it_was_read)
{
    const auto text = head + "Content-Length: 3\r\n\r\nabc";
    const auto address =
        detail::socket_address::of(*endpoint_address::parse("127.0.0.1:" + std::to_string(port)));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(::connect(fd, address.get(), static_cast<socklen_t>(address.length())) == 0);
    BOOST_REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    ::close(fd);
    // The server reads the second connection after the first, whose request has thus been read by then.
    raw_client client{loop.base(), port, text};
    BOOST_REQUIRE(
        loop.run_until([&] { return !recorder.requests.empty() && server.connection_count() == 1; }));
    BOOST_TEST(recorder.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aborted_stream_ends_without_a_final_chunk)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    server.begin_stream(recorder.exchanges[0], {200, {{"Content-Type", "text/event-stream"}}});
    server.send_part(recorder.exchanges[0], "id: 1\n\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.has("7\r\nid: 1\n\n\r\n"); }));
    server.abort(recorder.exchanges[0]);
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(!client.has("0\r\n\r\n"));
    BOOST_TEST(recorder.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(reuses_a_connection_until_the_server_stops)
{
    recorder.server = &server;
    raw_client client{loop.base(), port, head + "Content-Length: 1\r\n\r\na"};
    BOOST_REQUIRE(loop.run_until([&] { return client.has("\r\n\r\na"); }));
    BOOST_TEST(!client.has("Connection: close"));
    server.begin_stop();
    client.send(head + "Content-Length: 1\r\n\r\nb");
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(client.has("Connection: close\r\nContent-Length: 1\r\n\r\nb"));
}

BOOST_AUTO_TEST_CASE(closes_a_connection_after_a_stream_begun_before_the_stop)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    server.begin_stream(recorder.exchanges[0], {200, {}});
    server.send_part(recorder.exchanges[0], "id: 1\n\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.has("id: 1"); }));
    server.begin_stop();
    server.end_stream(recorder.exchanges[0]);
    client.send(head + "\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(client.has("0\r\n\r\n"));
    BOOST_TEST(recorder.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(closes_the_longest_idle_connection_at_the_limit)
{
    caller_server small{loop.base(), dialect, 3, recorder};
    recorder.server = &small;
    const auto at = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<unsigned short> {
            BOOST_LEAF_AUTO(address, small.listen(*endpoint_address::parse("127.0.0.1:0")));
            return address.port();
        },
        [] { return static_cast<unsigned short>(0); });
    raw_client first{loop.base(), at, ""};
    BOOST_REQUIRE(loop.run_until([&] { return small.connection_count() == 1; }));
    raw_client second{loop.base(), at, ""};
    raw_client third{loop.base(), at, ""};
    BOOST_REQUIRE(loop.run_until([&] { return small.connection_count() == 3; }));
    raw_client fourth{loop.base(), at, head + "Content-Length: 1\r\n\r\na"};
    BOOST_REQUIRE(loop.run_until([&] { return fourth.has("\r\n\r\na"); }));
    BOOST_TEST(loop.run_until([&] { return first.is_closed(); }));
    BOOST_TEST(!second.is_closed());
    // While more than half of the allowed connections are open, each is closed after its answer.
    BOOST_TEST(fourth.has("Connection: close"));
    recorder.server = nullptr;
}

BOOST_AUTO_TEST_CASE(reads_the_same_requests_however_their_bytes_are_split)
{
    recorder.server = &server;
    std::mt19937 random{5};
    std::string all;
    std::vector<std::string> bodies;
    for (int n = 0; n < 60; ++n) {
        std::string body;
        for (auto size = random() % 50; size > 0; --size) {
            body += "abc\r\n0 :"[random() % 8];
        }
        bodies.push_back(body);
        if (random() % 2 == 0) {
            all.append(head).append("Content-Length: ").append(std::to_string(body.size()));
            all.append("\r\n\r\n").append(body);
            continue;
        }
        all += head + "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t position = 0; position < body.size();) {
            const auto size = std::min<std::size_t>(1 + random() % 9, body.size() - position);
            all.append(std::to_string(size)).append("\r\n").append(body, position, size).append("\r\n");
            position += size;
        }
        all += "0\r\n\r\n";
    }
    raw_client client{loop.base(), port, ""};
    for (std::size_t position = 0; position < all.size();) {
        const auto size = std::min<std::size_t>(1 + random() % 97, all.size() - position);
        client.send(all.substr(position, size));
        position += size;
        if (random() % 4 == 0) {
            timeval pause{0, 200};
            event_base_loopexit(loop.base(), &pause);
            event_base_dispatch(loop.base());
        }
    }
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == bodies.size(); }));
    for (std::size_t n = 0; n < bodies.size(); ++n) {
        BOOST_TEST(recorder.requests[n]->body == bodies[n]);
    }
    BOOST_TEST(recorder.malformed.empty());
}

BOOST_AUTO_TEST_CASE(damage_to_the_head_never_turns_the_body_into_a_request)
{
    recorder.server = &server;
    std::mt19937 random{23};
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n";
    const std::string plain =
        head + "Content-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled;
    const auto head_size = plain.size() - smuggled.size();
    for (int n = 0; n < 300; ++n) {
        auto text = plain;
        // Only the head is damaged: the body must not be parsed as a request, whatever the damage does to the
        // framing. The digits of the length are spared, and a damaged name of the Content-Length header is
        // excepted below: both yield a message with another, unambiguous framing.
        const auto position = random() % (head_size - 7);
        text[position] = " \t:;,\r\n0Aa"[random() % 10];
        raw_client client{loop.base(), port, text};
        loop.run_until([&] { return client.has("\r\n\r\n") || client.is_closed(); });
        for (const auto& it : recorder.requests) {
            BOOST_REQUIRE_MESSAGE(
                it->target != "/smuggled" || text.find("Content-Length: ") == std::string::npos, text);
        }
        recorder.requests.clear();
    }
}

BOOST_AUTO_TEST_CASE(a_stop_serves_connections_that_wait_to_be_accepted)
{
    recorder.server = &server;
    server.begin_stop();
    std::vector<std::unique_ptr<blocking_client>> clients;
    for (int n = 0; n < 20; ++n) {
        clients.push_back(std::make_unique<blocking_client>(port));
        clients.back()->send(head + "Content-Length: 3\r\n\r\nabc");
    }
    server.close_idle_connections();
    for (const auto& it : clients) {
        BOOST_REQUIRE(loop.run_until([&] { return it->receive().ends_with("abc") || it->is_closed(); }));
        BOOST_TEST(it->receive().starts_with("HTTP/1.1 200 "));
        BOOST_TEST(it->receive().ends_with("abc"));
    }
}

BOOST_AUTO_TEST_CASE(a_stop_serves_a_request_that_has_arrived_on_an_idle_connection)
{
    recorder.server = &server;
    blocking_client client{port};
    client.send(head + "Content-Length: 3\r\n\r\none");
    BOOST_REQUIRE(loop.run_until([&] { return client.receive().ends_with("one"); }));
    server.begin_stop();
    client.send(head + "Content-Length: 3\r\n\r\ntwo");
    server.close_idle_connections();
    BOOST_REQUIRE(loop.run_until([&] { return client.receive().ends_with("two") || client.is_closed(); }));
    BOOST_TEST(client.receive().ends_with("two"));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_ends_though_the_stop_asks_again_and_again)
{
    // The caller does not close its side.
    blocking_client client{port};
    BOOST_REQUIRE(loop.run_until([&] { return server.connection_count() == 1; }));
    server.begin_stop();
    const auto began = std::chrono::steady_clock::now();
    BOOST_TEST(loop.run_until([&] {
        server.close_idle_connections();
        return server.connection_count() == 0;
    }));
    BOOST_TEST((std::chrono::steady_clock::now() - began < std::chrono::seconds{15}));
}

// Guards against whole answers that are cut because their callers read slowly.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_its_last_answer_slowly_gets_all_of_it)
{
    constexpr std::size_t size = std::size_t{24} << 20U;
    constexpr std::size_t slow_part = std::size_t{1} << 17U;
    constexpr auto slow_for = std::chrono::seconds{5};
    blocking_client client{port};
    client.send("GET /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 1; }));
    server.reply(recorder.exchanges[0], {200, {}}, std::string(size, 'x'));
    const auto began = std::chrono::steady_clock::now();
    std::size_t received = 0;
    BOOST_TEST(loop.run_until([&] {
        const auto is_slow = std::chrono::steady_clock::now() - began < slow_for;
        received += client.skip(is_slow ? slow_part / 4 : size);
        return client.is_closed();
    }));
    BOOST_TEST(received > size);
}

BOOST_AUTO_TEST_CASE(a_caller_that_stops_reading_its_last_answer_is_disconnected)
{
    constexpr std::size_t size = std::size_t{24} << 20U;
    blocking_client client{port};
    client.send("GET /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 1; }));
    server.reply(recorder.exchanges[0], {200, {}}, std::string(size, 'x'));
    BOOST_TEST(loop.run_until([&] { return server.connection_count() == 0; }));
}

BOOST_AUTO_TEST_CASE(a_complete_answer_is_not_written_into_a_begun_stream)
{
    blocking_client client{port};
    client.send(head + "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 1; }));
    server.begin_stream(recorder.exchanges[0], {200, {{"Content-Type", "text/event-stream"}}});
    server.send_part(recorder.exchanges[0], "id: 1\n\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.receive().ends_with("id: 1\n\n\r\n"); }));
    const auto sent = client.receive();
    server.reply(recorder.exchanges[0], {500, {}}, "failed");
    BOOST_REQUIRE(loop.run_until([&] { return client.receive() != sent || client.is_closed(); }));
    BOOST_TEST(client.receive() == sent);
    BOOST_TEST(client.is_closed());
    BOOST_TEST(recorder.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_in_answer_to_a_head_request_has_no_body)
{
    blocking_client client{port};
    client.send("HEAD /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 1; }));
    server.begin_stream(recorder.exchanges[0], {200, {{"Content-Type", "text/event-stream"}}});
    server.send_part(recorder.exchanges[0], "id: 1\n\n");
    server.end_stream(recorder.exchanges[0]);
    client.send(head + "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 2; }));
    server.reply(recorder.exchanges[1], {200, {}}, "next");
    BOOST_REQUIRE(loop.run_until([&] { return client.receive().ends_with("next"); }));
    const auto body = client.receive().find("\r\n\r\n") + 4;
    BOOST_TEST(client.receive().substr(body).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(a_rejected_head_request_is_answered_without_a_body)
{
    for (const auto* request :
         {"HEAD /a/b HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD /a/b HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n",
          "HEAD /a/b HTTP/1.1\r\nHost: h\r\n bad\r\n\r\n", "HEAD /a/b HTTP/1.1\r\nHost h\r\n\r\n"}) {
        blocking_client client{port};
        client.send(request);
        BOOST_REQUIRE(loop.run_until([&] { return client.receive().ends_with("\n") && client.is_closed(); }));
        BOOST_TEST(client.receive().ends_with("\r\n\r\n"));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_with_a_status_that_allows_no_body_has_none)
{
    blocking_client client{port};
    client.send(head + "Content-Length: 0\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return recorder.exchanges.size() == 1; }));
    server.begin_stream(recorder.exchanges[0], {204, {{"Content-Type", "text/event-stream"}}});
    server.end_stream(recorder.exchanges[0]);
    BOOST_REQUIRE(loop.run_until([&] { return client.receive().find("\r\n\r\n") != std::string::npos; }));
    BOOST_TEST(client.receive().find("Transfer-Encoding") == std::string::npos);
    BOOST_TEST(client.receive().ends_with("\r\n\r\n"));
    BOOST_TEST(client.receive().find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
