#include "caller_server_fixture.hpp"

#include <random>

namespace hemlocknotch::daemon {
namespace {

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
