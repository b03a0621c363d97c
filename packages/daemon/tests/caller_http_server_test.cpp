#include "caller_http_server.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

constexpr std::size_t body_limit = 4096;
constexpr std::size_t header_limit = 2048;
constexpr std::size_t progress_step = 1024;

struct recorder final : caller_sink {
    void on_request(caller_request_event request) override { requests.push_back(std::move(request)); }

    void on_disconnected(const caller_disconnected_event& one) override
    {
        disconnected.push_back(one.exchange);
    }

    void on_progress(const caller_progress_event& one) override { progress.push_back(one.sent_bytes); }

    void on_refused_by_server(refusal_code code) override { refused.push_back(code); }

    std::vector<caller_request_event> requests;
    std::vector<exchange_id> disconnected;
    std::vector<std::uint64_t> progress;
    std::vector<refusal_code> refused;
};

std::string request(const std::string& method, const std::string& body, const std::string& more = "")
{
    return method +
           " /path?q=1 HTTP/1.1\r\nHost: h\r\nHemlocknotch-Account: a\r\nHemlocknotch-Profile: p\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct fixture {
    fixture()
    {
        caller_http_server_options options;
        options.incarnation = 7;
        options.max_body_bytes = body_limit;
        options.max_header_bytes = header_limit;
        options.progress_step_bytes = progress_step;
        server = std::make_unique<caller_http_server>(loop.base(), options, sink);
        const auto address = server->listen(*endpoint_address::parse("127.0.0.1:0"));
        BOOST_REQUIRE(address.has_value());
        port = address.value().port();
    }

    std::unique_ptr<raw_client> client(const std::string& bytes) const
    {
        return std::make_unique<raw_client>(loop.base(), port, bytes);
    }

    /// Sends one request and returns the client once the server has passed the request to the sink.
    std::unique_ptr<raw_client> accepted_client() const
    {
        auto out = client(request("POST", "hello"));
        const auto expected_count = sink.requests.size() + 1;
        BOOST_REQUIRE(loop.run_until([&] { return sink.requests.size() == expected_count; }));
        return out;
    }

    void check_refusal(const std::string& bytes, const std::string& status, const std::string& code,
                       const std::string& version = "HTTP/1.1") const
    {
        const auto it = client(bytes);
        BOOST_TEST(loop.run_until([&] { return it->has("\"request_id\"") && it->has("}"); }), it->received());
        BOOST_TEST(it->received().starts_with(version + " " + status + " "), it->received());
        BOOST_TEST(it->has("Hemlocknotch-Verdict: not-run"), it->received());
        BOOST_TEST(it->has("Hemlocknotch-Request-Id: 0000000000000007"), it->received());
        BOOST_TEST(it->has("\"code\":\"" + code + "\""), it->received());
        BOOST_TEST(it->has("\"verdict\":\"not-run\""), it->received());
        BOOST_TEST(!it->has("<HTML>"), it->received());
        BOOST_TEST(sink.requests.empty());
    }

    test_loop loop;
    recorder sink;
    std::unique_ptr<caller_http_server> server;
    unsigned short port = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_http_server_test, fixture)

BOOST_AUTO_TEST_CASE(request_reaches_the_sink_and_its_answer_is_streamed_in_chunks)
{
    const auto it = accepted_client();
    const auto& event = sink.requests.front();
    BOOST_TEST(event.method == "POST");
    BOOST_TEST(event.target == "/path?q=1");
    BOOST_TEST(event.body == "hello");
    const request_id id{7, 1};
    server->start_reply({event.exchange, id, 201, {{"X-Own", "1"}, {"Content-Length", "3"}}});
    server->send_part({event.exchange, "one\n"});
    server->send_part({event.exchange, "two\n"});
    BOOST_TEST(loop.run_until([&] { return it->has("two\n"); }));
    BOOST_TEST(!it->has("\r\n0\r\n\r\n"));
    server->end_reply(event.exchange);
    BOOST_TEST(loop.run_until([&] { return it->has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(it->received().starts_with("HTTP/1.1 201 "));
    BOOST_TEST(it->has("Transfer-Encoding: chunked"));
    BOOST_TEST(it->has("Hemlocknotch-Request-Id: " + id.to_string()));
    BOOST_TEST(it->has("Hemlocknotch-Verdict: ran"));
    BOOST_TEST(it->has("X-Own: 1"));
    BOOST_TEST(!it->has("Content-Length"));
    BOOST_TEST(server->exchange_count() == 0U);
}

BOOST_AUTO_TEST_CASE(serves_consecutive_requests_on_one_connection)
{
    const auto it = accepted_client();
    for (int n = 0; n < 3; ++n) {
        const auto exchange = sink.requests.back().exchange;
        server->start_reply({exchange, request_id{7, 1}, 200, {}});
        server->end_reply(exchange);
        it->send(request("GET", ""));
        const auto expected_count = sink.requests.size() + 1;
        BOOST_REQUIRE(loop.run_until([&] { return sink.requests.size() == expected_count; }));
    }
    BOOST_TEST(sink.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(aborted_answer_has_no_final_chunk)
{
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    BOOST_TEST(loop.run_until([&] { return it->has("one\n"); }));
    server->abort_reply(exchange);
    BOOST_TEST(loop.run_until([&] { return it->is_closed(); }));
    BOOST_TEST(!it->has("\r\n0\r\n"));
    BOOST_TEST(sink.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(a_refusal_is_not_written_into_an_answer_that_has_begun)
{
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    BOOST_TEST(loop.run_until([&] { return it->has("one\n"); }));
    server->refuse({exchange, request_id{7, 1}, {refusal_code::endpoint_failed, verdict::may_have_run, {}}});
    BOOST_TEST(loop.run_until([&] { return it->is_closed(); }));
    BOOST_TEST(it->received().ends_with("4\r\none\n\r\n"), it->received());
}

BOOST_AUTO_TEST_CASE(a_second_head_is_not_written_into_an_answer_that_has_begun)
{
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    server->start_reply({exchange, request_id{7, 1}, 500, {{"Failed", "1"}}});
    server->end_reply(exchange);
    BOOST_TEST(loop.run_until([&] { return it->has("\r\n0\r\n\r\n"); }));
    BOOST_TEST(it->received().ends_with("4\r\none\n\r\n0\r\n\r\n"), it->received());
    BOOST_TEST(!it->has("Failed"));
}

BOOST_AUTO_TEST_CASE(a_malformed_request_is_refused_behind_an_answer_that_has_begun)
{
    const auto it = client(request("POST", "hello") + "no request\r\n\r\n");
    BOOST_REQUIRE(loop.run_until([&] { return sink.requests.size() == 1; }));
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    BOOST_TEST(loop.run_until([&] { return it->has("one\n"); }));
    server->end_reply(exchange);
    BOOST_TEST(loop.run_until([&] { return it->is_closed(); }));
    BOOST_TEST(it->has("4\r\none\n\r\n0\r\n\r\nHTTP/1.1 400 "), it->received());
}

BOOST_AUTO_TEST_CASE(an_answer_that_has_begun_does_not_look_complete_after_a_stop)
{
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    server.reset();
    BOOST_TEST(loop.run_until([&] { return it->is_closed(); }));
    BOOST_TEST(!it->has("\r\n0\r\n"), it->received());
}

BOOST_AUTO_TEST_CASE(reports_a_disconnect_before_the_answer)
{
    const auto it = accepted_client();
    it->close();
    BOOST_TEST(loop.run_until([&] { return sink.disconnected.size() == 1; }));
    BOOST_TEST(sink.disconnected.front() == sink.requests.front().exchange);
    server->end_reply(sink.disconnected.front());
}

BOOST_AUTO_TEST_CASE(reports_a_disconnect_during_the_answer)
{
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "one\n"});
    BOOST_TEST(loop.run_until([&] { return it->has("one\n"); }));
    it->close();
    BOOST_TEST(loop.run_until([&] { return sink.disconnected.size() == 1; }));
    server->send_part({exchange, "two\n"});
}

BOOST_AUTO_TEST_CASE(reports_how_much_of_the_answer_a_slow_caller_has_received)
{
    constexpr std::size_t part_bytes = std::size_t{8} << 20U;
    const auto it = accepted_client();
    const auto exchange = sink.requests.front().exchange;
    it->stop_reading();
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, std::string(part_bytes, 'x')});
    BOOST_TEST(loop.run_until([&] { return !sink.progress.empty(); }));
    BOOST_TEST(sink.progress.back() < part_bytes);
    BOOST_TEST(server->has_unsent_bytes());
    it->resume_reading();
    BOOST_TEST(loop.run_until([&] { return sink.progress.back() + progress_step > part_bytes; }));
    BOOST_TEST(sink.progress.back() <= part_bytes);
    BOOST_TEST(!server->has_unsent_bytes());
}

BOOST_AUTO_TEST_CASE(refuses_an_oversized_body_with_content_length)
{
    check_refusal(request("POST", std::string(body_limit + 1, 'x')), "413", "body-too-large");
}

BOOST_AUTO_TEST_CASE(refuses_an_oversized_chunked_body)
{
    const auto bytes = "POST / HTTP/1.1\r\nHemlocknotch-Account: a\r\nHemlocknotch-Profile: p\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n2000\r\n" +
                       std::string(0x2000, 'x') + "\r\n0\r\n\r\n";
    check_refusal(bytes, "413", "body-too-large");
}

BOOST_AUTO_TEST_CASE(refuses_a_malformed_header)
{
    check_refusal(request("POST", "x", "Hemlocknotch-Deadline-Ms: soon\r\n"), "400", "malformed-header");
}

BOOST_AUTO_TEST_CASE(refuses_a_header_line_without_a_colon)
{
    check_refusal("GET / HTTP/1.1\r\nno colon here\r\n\r\n", "400", "malformed-header");
}

BOOST_AUTO_TEST_CASE(refuses_a_request_without_required_headers)
{
    check_refusal("GET / HTTP/1.1\r\n\r\n", "400", "malformed-header");
}

BOOST_AUTO_TEST_CASE(refuses_a_get_body_that_would_be_read_as_the_next_request)
{
    check_refusal(request("GET", "GET /other HTTP/1.1\r\n\r\n"), "400", "malformed-header");
}

BOOST_AUTO_TEST_CASE(refuses_http_1_0)
{
    check_refusal("GET / HTTP/1.0\r\nHemlocknotch-Account: a\r\nHemlocknotch-Profile: p\r\n\r\n", "400",
                  "malformed-header", "HTTP/1.0");
}

BOOST_AUTO_TEST_CASE(closes_the_connection_after_an_answer_while_draining)
{
    const auto it = accepted_client();
    server->drain();
    const auto exchange = sink.requests.front().exchange;
    server->start_reply({exchange, request_id{7, 1}, 200, {}});
    server->send_part({exchange, "whole"});
    server->end_reply(exchange);
    BOOST_TEST(loop.run_until([&] { return it->is_closed(); }));
    BOOST_TEST(it->has("Connection: close"));
    BOOST_TEST(it->has("\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(listening_on_a_used_address_is_a_start_error)
{
    caller_http_server other{loop.base(), {}, sink};
    const auto used_address = endpoint_address::parse("127.0.0.1:" + std::to_string(port));
    BOOST_TEST(!other.listen(*used_address).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
