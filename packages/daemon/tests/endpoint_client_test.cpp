#include "endpoint_client.hpp"
#include "endpoint_probe.hpp"
#include "http_server.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/listener.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

struct recorder final : endpoint_sink {
    void on_head(endpoint_head_event head) override { heads.push_back(std::move(head)); }

    void on_part(endpoint_part_event part) override { body += part.bytes; }

    void on_end(const endpoint_end_event& end) override { ends.push_back(end.outcome); }

    void on_health(const endpoint_health_event& one) override { health.push_back(one); }

    void on_cache(endpoint_cache_event one) override { cache.push_back(std::move(one)); }

    std::vector<endpoint_head_event> heads;
    std::string body;
    std::vector<call_outcome> ends;
    std::vector<endpoint_health_event> health;
    std::vector<endpoint_cache_event> cache;
};

/// An endpoint that answers each connection with the same bytes once it has read a request's head, and then
/// closes the connection.
class scripted_endpoint {
public:
    scripted_endpoint(event_base* base, std::string answer) : base_{base}, answer_{std::move(answer)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr*>(&address), sizeof address);
        BOOST_REQUIRE(listener_ != nullptr);
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
    }

    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint(scripted_endpoint&&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(scripted_endpoint&&) = delete;

    ~scripted_endpoint() { evconnlistener_free(listener_); }

    [[nodiscard]] endpoint_address address() const
    {
        return *endpoint_address::parse("127.0.0.1:" + std::to_string(port_));
    }

    [[nodiscard]] const std::string& received() const { return received_; }

private:
    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*peer*/, int /*n*/,
                          void* arg)
    {
        auto& self = *static_cast<scripted_endpoint*>(arg);
        auto* stream = bufferevent_socket_new(self.base_, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, on_read, on_written, on_event, arg);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        self.streams_.emplace_back(stream);
    }

    static void on_read(bufferevent* stream, void* arg)
    {
        auto& self = *static_cast<scripted_endpoint*>(arg);
        self.received_ += take_bytes(bufferevent_get_input(stream));
        if (self.received_.find("\r\n\r\n") != std::string::npos) {
            self.is_answered_ = true;
            bufferevent_write(stream, self.answer_.data(), self.answer_.size());
            if (self.answer_.empty()) {
                on_written(stream, arg);
            }
        }
    }

    static void on_written(bufferevent* stream, void* arg)
    {
        auto& self = *static_cast<scripted_endpoint*>(arg);
        if (self.is_answered_) {
            std::erase_if(self.streams_, [&](const auto& it) { return it.get() == stream; });
        }
    }

    static void on_event(bufferevent* stream, short what, void* arg)
    {
        auto& self = *static_cast<scripted_endpoint*>(arg);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            std::erase_if(self.streams_, [&](const auto& it) { return it.get() == stream; });
        }
    }

    event_base* base_;
    std::string answer_;
    evconnlistener* listener_ = nullptr;
    unsigned short port_ = 0;
    bool is_answered_ = false;
    std::string received_;
    std::vector<std::unique_ptr<bufferevent, bufferevent_deleter>> streams_;
};

struct fixture {
    /// Calls an endpoint that answers with `answer`, and waits for the end of the call.
    void call(const std::string& answer, std::uint64_t offset = 0, endpoint_kind kind = endpoint_kind::engine)
    {
        endpoint = std::make_unique<scripted_endpoint>(loop.base(), answer);
        client = std::make_unique<endpoint_client>(loop.base(), endpoint->address(), kind, sink);
        start_call_effect effect;
        effect.call = 1;
        effect.id = request_id{7, 1};
        effect.offset = offset;
        effect.method = "POST";
        effect.target = "/v1/generate";
        effect.headers = {{"X-Request-Id", "of the caller"}, {"X-Other", "kept"}};
        effect.body = "prompt";
        effect.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        client->start(effect);
        BOOST_REQUIRE(loop.run_until([&] { return !sink.ends.empty(); }));
        BOOST_TEST(sink.ends.size() == 1U);
    }

    [[nodiscard]] bool was_sent(const std::string& text) const
    {
        return endpoint->received().find(text) != std::string::npos;
    }

    test_loop loop;
    recorder sink;
    std::unique_ptr<scripted_endpoint> endpoint;
    std::unique_ptr<endpoint_client> client;
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\nX-Incarnation: 42\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_client_test, fixture)

BOOST_AUTO_TEST_CASE(chunked_answer_with_final_chunk_is_complete)
{
    call(chunked_head + "4\r\none\n\r\n4\r\ntwo\n\r\n0\r\n\r\n");
    BOOST_TEST((sink.ends.front() == call_outcome::complete));
    BOOST_TEST(sink.body == "one\ntwo\n");
    BOOST_REQUIRE(sink.heads.size() == 1U);
    BOOST_TEST(sink.heads.front().status == 200U);
    BOOST_TEST(sink.heads.front().incarnation == 42U);
    BOOST_TEST(was_sent("POST /v1/generate HTTP/1.1\r\n"));
    BOOST_TEST(was_sent("X-Request-Id: " + request_id{7, 1}.to_string()));
    BOOST_TEST(!was_sent("of the caller"));
    BOOST_TEST(was_sent("X-Other: kept"));
    BOOST_TEST(was_sent("traceparent: 00-0af7651916cd43dd8448eb211c80319c"));
}

BOOST_AUTO_TEST_CASE(answer_with_all_bytes_of_its_content_length_is_complete)
{
    call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    BOOST_TEST((sink.ends.front() == call_outcome::complete));
    BOOST_TEST(sink.body == "whole");
}

BOOST_AUTO_TEST_CASE(chunked_answer_without_final_chunk_ends_as_broken)
{
    call(chunked_head + "4\r\none\n\r\n");
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
    BOOST_TEST(sink.body == "one\n");
}

BOOST_AUTO_TEST_CASE(answer_truncated_within_a_chunk_ends_as_broken)
{
    call(chunked_head + "ff\r\none\n");
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
}

BOOST_AUTO_TEST_CASE(answer_shorter_than_its_content_length_ends_as_broken)
{
    call("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
}

BOOST_AUTO_TEST_CASE(answer_without_content_length_or_chunks_ends_as_broken)
{
    call("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwho knows");
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
}

BOOST_AUTO_TEST_CASE(call_ends_as_broken_if_the_connection_closes_without_an_answer)
{
    call("");
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
    BOOST_TEST(sink.heads.empty());
}

BOOST_AUTO_TEST_CASE(answer_503_with_not_run_header_is_not_started)
{
    call("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST((sink.ends.front() == call_outcome::not_started));
    BOOST_TEST(sink.heads.empty());
}

BOOST_AUTO_TEST_CASE(answer_503_without_not_run_header_is_complete)
{
    call("HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST((sink.ends.front() == call_outcome::complete));
    BOOST_REQUIRE(sink.heads.size() == 1U);
    BOOST_TEST(sink.heads.front().status == 503U);
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_started)
{
    auto closed_endpoint = std::make_unique<scripted_endpoint>(loop.base(), "");
    const auto address = closed_endpoint->address();
    closed_endpoint.reset();
    endpoint_client it{loop.base(), address, endpoint_kind::plain, sink};
    start_call_effect effect;
    effect.call = 1;
    effect.method = "GET";
    effect.target = "/";
    it.start(effect);
    BOOST_TEST(sink.ends.empty());
    BOOST_REQUIRE(loop.run_until([&] { return !sink.ends.empty(); }));
    BOOST_TEST((sink.ends.front() == call_outcome::not_started));
}

BOOST_AUTO_TEST_CASE(resuming_call_requests_the_answer_from_the_offset)
{
    call(chunked_head + "4\r\ntwo\n\r\n0\r\n\r\n", 4);
    BOOST_TEST(was_sent("GET /v1/streams/" + request_id{7, 1}.to_string() + "?offset=4 HTTP/1.1"));
    BOOST_TEST((sink.ends.front() == call_outcome::complete));
    BOOST_TEST(sink.body == "two\n");
}

BOOST_AUTO_TEST_CASE(resuming_call_answered_with_status_404_ends_as_broken)
{
    call("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 4);
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
    BOOST_TEST(sink.heads.empty());
}

BOOST_AUTO_TEST_CASE(resuming_call_to_a_plain_service_ends_as_broken_and_sends_nothing)
{
    call(chunked_head + "0\r\n\r\n", 4, endpoint_kind::plain);
    BOOST_TEST((sink.ends.front() == call_outcome::broken));
    BOOST_TEST(endpoint->received().empty());
}

BOOST_AUTO_TEST_CASE(stopped_call_reports_nothing_and_cancels_the_stream)
{
    endpoint = std::make_unique<scripted_endpoint>(loop.base(), chunked_head + "4\r\none\n\r\n0\r\n\r\n");
    client = std::make_unique<endpoint_client>(loop.base(), endpoint->address(), endpoint_kind::engine, sink);
    start_call_effect effect;
    effect.call = 1;
    effect.id = request_id{7, 1};
    effect.method = "POST";
    effect.target = "/v1/generate";
    client->start(effect);
    client->stop({1, effect.id, true});
    BOOST_REQUIRE(loop.run_until([&] { return was_sent("DELETE /v1/streams/" + effect.id.to_string()); }));
    BOOST_TEST(sink.ends.empty());
    BOOST_TEST(sink.heads.empty());
}

BOOST_AUTO_TEST_CASE(parses_the_health_page)
{
    BOOST_TEST(!read_health(std::nullopt).is_reached);
    BOOST_TEST(!read_health("{}").is_reached);
    BOOST_TEST(!read_health("nonsense").is_reached);
    const auto health = read_health(R"({"incarnation": 9, "running": 3})");
    BOOST_TEST(health.is_reached);
    BOOST_TEST(health.incarnation == 9U);
    BOOST_TEST(health.running == 3U);
}

BOOST_AUTO_TEST_CASE(parses_cache_events)
{
    const auto page = read_cache_events(
        R"({"next": 5, "events": [{"kind": "added", "prefix": 1}, {"kind": "removed", "prefix": 2}]})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->next == 5U);
    BOOST_TEST((page->events.added == std::vector<std::uint64_t>{1}));
    BOOST_TEST((page->events.removed == std::vector<std::uint64_t>{2}));
    BOOST_TEST(!read_cache_events(R"({"next": 5, "events": [{"kind": "moved", "prefix": 1}]})").has_value());
    BOOST_TEST(!read_cache_events("[]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
