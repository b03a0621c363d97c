#include <hemlocknotch/wire/socket_address.hpp>

#include "gateway/caller_server.hpp"
#include "plain_dialect.hpp"
#include "start_error.hpp"
#include "test_loop.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using gateway::exchange_id;

class request_keeper final : public caller_request_sink {
public:
    void on_request(exchange_id exchange, std::shared_ptr<const gateway::caller_request> request) override
    {
        exchanges.push_back(exchange);
        requests.push_back(std::move(request));
        if (server != nullptr) {
            server->reply(exchange, {200, {}}, requests.back()->body);
        }
    }

    void on_caller_disconnected(exchange_id exchange) override { gone.push_back(exchange); }

    void on_malformed(int status, std::string_view /*reason*/) override { malformed.push_back(status); }

    /// Answers each request at once where it is set.
    caller_server* server = nullptr;
    std::vector<exchange_id> exchanges;
    std::vector<std::shared_ptr<const gateway::caller_request>> requests;
    std::vector<exchange_id> gone;
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
    request_keeper keeper;
    caller_server server{loop.base(), dialect, 100, keeper};
    unsigned short port = 0;
};

const std::string head = "POST /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\n";

BOOST_FIXTURE_TEST_SUITE(caller_server_suite, server_fixture)

BOOST_AUTO_TEST_CASE(passes_a_request_on_without_headers_of_the_connection)
{
    raw_client client{loop.base(), port,
                      head + "Key: k\r\nAccount: other\r\nConnection: x-odd, Model\r\nX-Odd: 1\r\n"
                             "Model: m\r\nMemory: 1.2.3.4:5/6\r\nX-Other: 2\r\nContent-Length: 3\r\n\r\nabc"};
    BOOST_REQUIRE(loop.run_until([&] { return keeper.requests.size() == 1; }));
    const auto& it = *keeper.requests[0];
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

BOOST_AUTO_TEST_CASE(refuses_ambiguous_framing)
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
        BOOST_TEST(keeper.requests.empty(), requests[n]);
    }
}

BOOST_AUTO_TEST_CASE(refuses_what_is_too_large)
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
    BOOST_TEST(keeper.requests.empty());
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

BOOST_AUTO_TEST_CASE(tells_at_once_that_a_caller_has_left)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return keeper.requests.size() == 1; }));
    client.close();
    BOOST_REQUIRE(loop.run_until([&] { return keeper.gone.size() == 1; }));
    BOOST_TEST(keeper.gone[0] == keeper.exchanges[0]);
    // An answer that comes later finds nobody.
    server.reply(keeper.exchanges[0], {200, {}}, "late");
}

BOOST_AUTO_TEST_CASE(takes_no_request_whose_caller_has_left_before_it_was_read)
{
    const auto text = head + "Content-Length: 3\r\n\r\nabc";
    const auto address =
        detail::socket_address::of(*endpoint_address::parse("127.0.0.1:" + std::to_string(port)));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(::connect(fd, address.get(), static_cast<socklen_t>(address.length())) == 0);
    BOOST_REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    ::close(fd);
    // A second caller, served after the first, shows that the first was read.
    raw_client client{loop.base(), port, text};
    BOOST_REQUIRE(loop.run_until([&] { return !keeper.requests.empty() && server.connection_count() == 1; }));
    BOOST_TEST(keeper.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(sends_a_stream_in_chunks_and_cuts_it_without_an_end)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return keeper.requests.size() == 1; }));
    server.begin_stream(keeper.exchanges[0], {200, {{"Content-Type", "text/event-stream"}}});
    server.send_part(keeper.exchanges[0], "id: 1\n\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.has("7\r\nid: 1\n\n\r\n"); }));
    server.abort(keeper.exchanges[0]);
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(!client.has("0\r\n\r\n"));
    BOOST_TEST(keeper.gone.empty());
}

BOOST_AUTO_TEST_CASE(keeps_the_connection_and_closes_it_when_stopping)
{
    keeper.server = &server;
    raw_client client{loop.base(), port, head + "Content-Length: 1\r\n\r\na"};
    BOOST_REQUIRE(loop.run_until([&] { return client.has("\r\n\r\na"); }));
    BOOST_TEST(!client.has("Connection: close"));
    server.begin_stop();
    client.send(head + "Content-Length: 1\r\n\r\nb");
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(client.has("Connection: close\r\nContent-Length: 1\r\n\r\nb"));
}

BOOST_AUTO_TEST_CASE(a_stream_begun_before_the_stop_is_the_last_answer_of_its_connection)
{
    raw_client client{loop.base(), port, head + "\r\n"};
    BOOST_REQUIRE(loop.run_until([&] { return keeper.requests.size() == 1; }));
    server.begin_stream(keeper.exchanges[0], {200, {}});
    server.send_part(keeper.exchanges[0], "id: 1\n\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.has("id: 1"); }));
    server.begin_stop();
    server.end_stream(keeper.exchanges[0]);
    client.send(head + "\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return client.is_closed(); }));
    BOOST_TEST(client.has("0\r\n\r\n"));
    BOOST_TEST(keeper.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_longest_idle_connection_makes_room)
{
    caller_server small{loop.base(), dialect, 3, keeper};
    keeper.server = &small;
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
    // With more than half of the connections taken none is kept after its answer.
    BOOST_TEST(fourth.has("Connection: close"));
    keeper.server = nullptr;
}

BOOST_AUTO_TEST_CASE(reads_the_same_requests_however_they_are_cut)
{
    keeper.server = &server;
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
        for (std::size_t place = 0; place < body.size();) {
            const auto size = std::min<std::size_t>(1 + random() % 9, body.size() - place);
            all.append(std::to_string(size)).append("\r\n").append(body, place, size).append("\r\n");
            place += size;
        }
        all += "0\r\n\r\n";
    }
    raw_client client{loop.base(), port, ""};
    for (std::size_t place = 0; place < all.size();) {
        const auto size = std::min<std::size_t>(1 + random() % 97, all.size() - place);
        client.send(all.substr(place, size));
        place += size;
        if (random() % 4 == 0) {
            timeval pause{0, 200};
            event_base_loopexit(loop.base(), &pause);
            event_base_dispatch(loop.base());
        }
    }
    BOOST_REQUIRE(loop.run_until([&] { return keeper.requests.size() == bodies.size(); }));
    for (std::size_t n = 0; n < bodies.size(); ++n) {
        BOOST_TEST(keeper.requests[n]->body == bodies[n]);
    }
    BOOST_TEST(keeper.malformed.empty());
}

BOOST_AUTO_TEST_CASE(damaged_requests_never_start_another_one)
{
    keeper.server = &server;
    std::mt19937 random{23};
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n";
    const std::string plain =
        head + "Content-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n" + smuggled;
    const auto head_size = plain.size() - smuggled.size();
    for (int n = 0; n < 300; ++n) {
        auto text = plain;
        // Damage to the head only: whatever it does to the framing, the body must not become a request.
        // Damage to the digits of the length, or to its name, makes another message with another, clear
        // framing.
        const auto place = random() % (head_size - 7);
        text[place] = " \t:;,\r\n0Aa"[random() % 10];
        raw_client client{loop.base(), port, text};
        loop.run_until([&] { return client.has("\r\n\r\n") || client.is_closed(); });
        for (const auto& it : keeper.requests) {
            BOOST_REQUIRE_MESSAGE(
                it->target != "/smuggled" || text.find("Content-Length: ") == std::string::npos, text);
        }
        keeper.requests.clear();
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
