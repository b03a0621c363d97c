#include <hemlocknotch/coordination/http_client.hpp>
#include <hemlocknotch/standins/endless_endpoint.hpp>

#include "gateway/endpoint_pool.hpp"
#include "plain_dialect.hpp"
#include "process_clock.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using standins::endless_endpoint;

/// What the sockets of both sides hold at most, beside what the reader holds.
constexpr std::uint64_t socket_bytes = std::uint64_t{16} << 20U;
constexpr std::uint64_t megabyte = std::uint64_t{1} << 20U;

/// Counts the bytes that are passed on.
class counting_sink final : public endpoint_answer_sink {
public:
    void on_connected(gateway::call_id /*call*/) override {}

    void on_head(gateway::call_id /*call*/, gateway::answer_head /*head*/,
                 const gateway::answer_fields& /*fields*/) override
    {
    }

    void on_part(gateway::call_id /*call*/, std::string_view bytes) override { passed += bytes.size(); }

    void on_end(gateway::call_id /*call*/, gateway::call_outcome it) override
    {
        outcome = it;
        has_ended = true;
    }

    void on_discarded(const endpoint_address& /*from*/, const discarded_answer& /*answer*/) override {}

    std::uint64_t passed = 0;
    gateway::call_outcome outcome = gateway::call_outcome::complete;
    bool has_ended = false;
};

struct endless_fixture {
    void call()
    {
        auto request = std::make_shared<gateway::caller_request>();
        request->method = "POST";
        request->target = "/a";
        request->host = "h";
        request->headers = {{"Id", "1"}};
        request->fields.id = "1";
        sink.has_ended = false;
        pool.start({.call = ++last_call,
                    .request = request,
                    .address = endpoint.address(),
                    .instance = "i-1",
                    .account = "acme",
                    .remaining = std::chrono::seconds{1},
                    .resume_after = "",
                    .is_unrepeatable = false,
                    .max_connections = 0});
    }

    /// Calls the endpoint, and returns whether the call ends as broken, its connection is closed, and no more
    /// than `bytes` beyond what sockets hold have been sent by then.
    bool ends_within(std::uint64_t bytes)
    {
        const auto before = endpoint.sent_bytes();
        call();
        const auto is_ended = loop.run_until(
            [&] { return sink.has_ended || endpoint.sent_bytes() - before > bytes + socket_bytes; });
        BOOST_TEST(endpoint.sent_bytes() - before <= bytes + socket_bytes);
        if (!is_ended || !sink.has_ended) {
            pool.cancel(last_call);
            return false;
        }
        return sink.outcome == gateway::call_outcome::broken && pool.connection_count() == 0;
    }

    test_loop loop;
    process_clock clock;
    plain_dialect dialect;
    endless_endpoint endpoint{loop.base(), *endpoint_address::parse("127.0.0.1:0"), "Id"};
    counting_sink sink;
    gateway::answer_memory memory;
    endpoint_pool pool{loop.base(), dialect, sink, memory, [this] { return clock.now(); }};
    gateway::call_id last_call = 0;
};

const std::string chunked =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";

BOOST_FIXTURE_TEST_SUITE(endless_answers_suite, endless_fixture)

BOOST_AUTO_TEST_CASE(an_endless_head_ends_the_call)
{
    for (const std::string text :
         {"x", "HTTP/1.1 200 OK\r\nId: {id}\r\nA: ", "HTTP/1.1 200 OK\r\nId: {id}\r\n", " ", "\r\n"}) {
        endpoint.answer = {text, text.ends_with("\r\n") && text.size() > 2 ? "A: b\r\n" : "x"};
        BOOST_TEST(ends_within(megabyte), text);
    }
    endpoint.answer = {"\r\n", "\r\n"};
    BOOST_TEST(ends_within(megabyte));
}

BOOST_AUTO_TEST_CASE(heads_without_end_of_many_calls_are_bounded_together)
{
    constexpr std::size_t calls = 300;
    constexpr std::size_t head_bytes = 60'000;
    endpoint.answer = {"HTTP/1.1 200 OK\r\nA: " + std::string(head_bytes, 'x'), "x",
                       std::chrono::seconds{60}};
    std::size_t most = 0;
    for (std::size_t n = 1; n <= calls; ++n) {
        call();
        // No more at once than the endpoint's listener queues.
        BOOST_REQUIRE(n % 100 != 0 || loop.run_until([&] {
            most = std::max(most, memory.total_bytes());
            return endpoint.request_count() >= n;
        }));
    }
    BOOST_REQUIRE(loop.run_until([&] {
        most = std::max(most, memory.total_bytes());
        return pool.connection_count() < calls;
    }));
    BOOST_TEST(most > gateway::answer_memory::default_max_bytes / 2);
    BOOST_TEST(most <= 2 * gateway::answer_memory::default_max_bytes);
}

BOOST_AUTO_TEST_CASE(answers_to_no_request_without_end_end_the_call)
{
    endpoint.answer = {"", "HTTP/1.1 100 Continue\r\n\r\n"};
    BOOST_TEST(ends_within(2 * megabyte));
    endpoint.answer = {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc"};
    BOOST_TEST(ends_within(2 * megabyte));
    endpoint.answer = {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"};
    BOOST_TEST(ends_within(2 * megabyte));
}

BOOST_AUTO_TEST_CASE(endless_framing_of_a_chunk_ends_the_call)
{
    endpoint.answer = {chunked + "3;a=", "x"};
    BOOST_TEST(ends_within(megabyte), "extension");
    endpoint.answer = {chunked, "0"};
    BOOST_TEST(ends_within(megabyte), "size");
    endpoint.answer = {chunked + "0\r\nA: ", "x"};
    BOOST_TEST(ends_within(megabyte), "trailer");
    endpoint.answer = {chunked + "0\r\n", "A: b\r\n"};
    BOOST_TEST(ends_within(megabyte), "trailers");
    endpoint.answer = {chunked + "3\r\nabc", "x"};
    BOOST_TEST(ends_within(megabyte), "end of a chunk");
}

BOOST_AUTO_TEST_CASE(an_endless_body_ends_the_call)
{
    constexpr auto limit = 64 * megabyte;
    endpoint.answer = {chunked, "3\r\nabc\r\n"};
    BOOST_TEST(ends_within(3 * limit), "chunks");
    endpoint.answer = {"HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\n\r\n", "x"};
    BOOST_TEST(ends_within(limit + megabyte), "until the connection ends");
}

BOOST_AUTO_TEST_CASE(bytes_after_a_complete_answer_close_the_connection)
{
    endpoint.answer = {"HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nContent-Length: 3\r\n\r\nabc", "x"};
    call();
    BOOST_REQUIRE(loop.run_until([&] { return sink.has_ended && pool.connection_count() == 0; }));
    BOOST_TEST((sink.outcome == gateway::call_outcome::complete));
    BOOST_TEST(endpoint.sent_bytes() <= socket_bytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(endless_http_client_suite)

BOOST_AUTO_TEST_CASE(an_endless_answer_to_a_call_is_bounded_in_bytes_and_time)
{
    // Largest body and head of an answer, and as much again that is not parsed yet.
    constexpr std::uint64_t limit = 9 * megabyte;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    struct scenario {
        std::string begin;
        std::string filler;
    };

    for (const auto& it : std::vector<scenario>{{"", "x"},
                                                {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
                                                {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                                                {head + "3;a=", "x"},
                                                {head, "0"},
                                                {head + "0\r\n", "A: b\r\n"},
                                                {head, "3\r\nabc\r\n"},
                                                {"HTTP/1.1 200 OK\r\n\r\n", "x"}}) {
        const test_loop loop;
        endless_endpoint server{loop.base(), *endpoint_address::parse("127.0.0.1:0"), "Id"};
        server.answer = {it.begin, it.filler};
        http_client client{loop.base(), server.address()};
        int status = -1;
        client.send({http_method::get, "/", "", ""}, std::chrono::milliseconds{500},
                    [&](const http_answer& answer) { status = answer.status; });
        BOOST_REQUIRE(loop.run_until([&] { return status >= 0; }));
        BOOST_TEST(status == 0, it.begin + it.filler);
        BOOST_TEST(loop.run_until([&] { return server.connection_count() == 0; }));
        BOOST_TEST(server.sent_bytes() <= limit + socket_bytes, it.begin + it.filler);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_byte_now_and_then_ends_at_the_timeout)
{
    const test_loop loop;
    endless_endpoint server{loop.base(), *endpoint_address::parse("127.0.0.1:0"), "Id"};
    server.answer = {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x", std::chrono::milliseconds{20}};
    http_client client{loop.base(), server.address()};
    int status = -1;
    client.send({http_method::get, "/", "", ""}, std::chrono::milliseconds{300},
                [&](const http_answer& answer) { status = answer.status; });
    BOOST_REQUIRE(loop.run_until([&] { return status >= 0; }));
    BOOST_TEST(status == 0);
    BOOST_TEST(server.sent_bytes() < 100000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
