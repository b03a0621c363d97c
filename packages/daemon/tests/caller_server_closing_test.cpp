#include "caller_server_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

// How connections of callers end: after their answers, at a limit and in a planned stop.
BOOST_FIXTURE_TEST_SUITE(caller_server_closing_suite, server_fixture)

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

/// Guards against a gateway without processor time that lets new callers wait unread until they give up.
BOOST_AUTO_TEST_CASE(a_gateway_without_processor_time_refuses_new_callers_and_sends_others_elsewhere)
{
    recorder.server = &server;
    raw_client kept{loop.base(), port, head + "Content-Length: 1\r\n\r\na"};
    BOOST_REQUIRE(loop.run_until([&] { return kept.has("\r\n\r\na"); }));
    const instant now{std::chrono::seconds{100}};
    server.overload().note(std::chrono::milliseconds{300}, now);
    blocking_client taken{port};
    blocking_client refused{port};
    taken.send(head + "Content-Length: 1\r\n\r\nb");
    refused.send(head + "Content-Length: 1\r\n\r\nc");
    BOOST_REQUIRE(loop.run_until([&] {
        static_cast<void>(taken.receive());
        static_cast<void>(refused.receive());
        return taken.is_closed() && refused.is_closed();
    }));
    BOOST_TEST(taken.receive().ends_with("\r\n\r\nb"));
    BOOST_TEST(refused.receive().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(refused.receive().find("Retry-After: ") != std::string::npos);
    kept.send(head + "Content-Length: 1\r\n\r\nd");
    BOOST_REQUIRE(loop.run_until([&] { return kept.is_closed(); }));
    BOOST_TEST(kept.has("Connection: close\r\nContent-Length: 1\r\n\r\nd"));
    BOOST_TEST(server.overload().refused() == 1U);
    BOOST_TEST(recorder.requests.size() == 3U);
    server.overload().note(std::chrono::milliseconds{0}, now + std::chrono::minutes{1});
    server.overload().note(std::chrono::milliseconds{0}, now + std::chrono::minutes{2});
    raw_client later{loop.base(), port, head + "Content-Length: 1\r\n\r\ne"};
    BOOST_TEST(loop.run_until([&] { return later.has("\r\n\r\ne"); }));
}

/// Guards against a caller that makes a gateway hold bytes without end: trailers, chunk extensions and chunk
/// sizes of many zeros count towards no limit of head or body.
BOOST_AUTO_TEST_CASE(framing_without_end_is_refused)
{
    constexpr std::size_t sent_bytes = std::size_t{1} << 20U;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto* begin : {"0\r\n", "0\r\nA: ", "1;", "1;a=", "0", "1\r\na\r\n0\r\n"}) {
        const std::string filler = std::string_view{begin} == "0\r\n" ? "A: b\r\n" : "0";
        std::string bytes = chunked + begin;
        while (bytes.size() < sent_bytes) {
            bytes += filler;
        }
        const raw_client client{loop.base(), port, bytes};
        BOOST_TEST(loop.run_until([&] { return client.is_closed(); }), begin);
        BOOST_TEST((client.has("HTTP/1.1 431 ") || client.has("HTTP/1.1 400 ")), begin);
    }
    BOOST_TEST(recorder.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_reset_behind_a_further_request_is_noticed_while_the_first_is_served)
{
    raw_client client{loop.base(), port, head + "Content-Length: 1\r\n\r\nx" + "P"};
    BOOST_REQUIRE(loop.run_until([&] { return recorder.requests.size() == 1; }));
    client.reset();
    BOOST_TEST(loop.run_until([&] { return recorder.disconnected.size() == 1; }));
}

/// Guards against memory that large requests fill which stop just short of their end: they give way, and a
/// small request is served beside them.
BOOST_AUTO_TEST_CASE(unfinished_requests_give_way_where_all_hold_too_much)
{
    constexpr std::size_t max_bytes = std::size_t{4} << 20U;
    constexpr std::size_t body_bytes = std::size_t{1} << 20U;
    constexpr std::size_t crowd = 20;
    caller_server small{loop.base(), dialect, 100, recorder, memory, max_bytes};
    recorder.server = &small;
    const auto at = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<unsigned short> {
            BOOST_LEAF_AUTO(address, small.listen(*endpoint_address::parse("127.0.0.1:0")));
            return address.port();
        },
        [] { return static_cast<unsigned short>(0); });
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t n = 0; n < crowd; ++n) {
        const auto framing = "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
        clients.push_back(
            std::make_unique<raw_client>(loop.base(), at, head + framing + std::string(body_bytes - 1, 'x')));
        BOOST_REQUIRE(loop.run_until([&] {
            BOOST_REQUIRE_LE(small.held_bytes(), max_bytes + body_bytes);
            return small.held_bytes() >= std::min((n + 1) * body_bytes, max_bytes) / 2;
        }));
    }
    const auto refused = [](const auto& it) { return it->has("HTTP/1.1 503 "); };
    BOOST_TEST(loop.run_until([&] { return std::ranges::count_if(clients, refused) >= 12; }));
    const raw_client ordinary{loop.base(), at, head + "Content-Length: 1\r\n\r\na"};
    BOOST_TEST(loop.run_until([&] { return ordinary.has("\r\n\r\na"); }));
    clients.clear();
    BOOST_TEST(loop.run_until([&] { return small.held_bytes() == 0; }));
    const raw_client single{loop.base(), at,
                            head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
                                std::string(body_bytes, 'y')};
    BOOST_TEST(loop.run_until([&] { return single.has(std::string(body_bytes, 'y')); }));
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
    caller_server small{loop.base(), dialect, 3, recorder, memory};
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
