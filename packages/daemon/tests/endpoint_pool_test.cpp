#include "gateway/endpoint_pool.hpp"
#include "plain_dialect.hpp"
#include "process_clock.hpp"
#include "test_loop.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <event2/listener.h>
#include <netinet/in.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

/// An endpoint that answers each request with the next of a list of raw answers.
class scripted_endpoint {
public:
    explicit scripted_endpoint(event_base* base) : base_{base}
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_.reset(evconnlistener_new_bind(base, on_accept, this, LEV_OPT_CLOSE_ON_FREE, 8,
                                                reinterpret_cast<sockaddr*>(&at), sizeof at));
        socklen_t length = sizeof at;
        getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &length);
        port = ntohs(at.sin_port);
    }

    void close_all() { streams_.clear(); }

    std::vector<std::string> answers;
    /// Closes each connection after an answer.
    bool closes_after_answer = false;
    /// The connection is reset then, not closed in an orderly way.
    bool resets = false;
    std::size_t accepted = 0;
    std::string received;
    unsigned short port = 0;

private:
    struct deleter {
        void operator()(evconnlistener* it) const { evconnlistener_free(it); }
    };

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*at*/, int /*n*/,
                          void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        ++that.accepted;
        auto* stream = bufferevent_socket_new(that.base_, fd, BEV_OPT_CLOSE_ON_FREE);
        that.streams_.emplace_back(stream);
        bufferevent_setcb(stream, on_read, on_written, nullptr, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    static void on_read(bufferevent* stream, void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        auto* input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        that.received += bytes;
        if (bytes.find("\r\n\r\n") == std::string::npos || that.answers.empty()) {
            return;
        }
        const auto answer = that.answers.front();
        that.answers.erase(that.answers.begin());
        that.has_answered_ = true;
        bufferevent_write(stream, answer.data(), answer.size());
    }

    static void on_written(bufferevent* stream, void* self)
    {
        auto& that = *static_cast<scripted_endpoint*>(self);
        if (that.closes_after_answer && std::exchange(that.has_answered_, false)) {
            if (that.resets) {
                const linger discard{.l_onoff = 1, .l_linger = 0};
                ::setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            }
            std::erase_if(that.streams_, [&](const auto& it) { return it.get() == stream; });
        }
    }

    event_base* base_;
    bool has_answered_ = false;
    std::unique_ptr<evconnlistener, deleter> listener_;
    std::vector<std::unique_ptr<bufferevent, bufferevent_deleter>> streams_;
};

/// Records what the pool reports of the last call.
class answer_recorder final : public endpoint_answer_sink {
public:
    void on_connected(gateway::call_id call) override
    {
        if (connected) {
            connected(call);
        }
    }

    void on_head(gateway::call_id call, gateway::answer_head head,
                 const gateway::answer_fields& /*fields*/) override
    {
        if (call == last_call) {
            status = head.status;
        }
    }

    void on_part(gateway::call_id /*call*/, std::string_view bytes) override { body += bytes; }

    void on_end(gateway::call_id /*call*/, gateway::call_outcome it) override
    {
        outcome = it;
        ++end_count;
    }

    void on_discarded(const endpoint_address& /*from*/, const discarded_answer& it) override
    {
        discarded_ids.emplace_back(it.received_id);
    }

    std::function<void(gateway::call_id)> connected;
    gateway::call_id last_call = 0;
    int status = 0;
    std::string body;
    gateway::call_outcome outcome = gateway::call_outcome::broken;
    int end_count = 0;
    /// Ids that discarded answers carried.
    std::vector<std::string> discarded_ids;
};

struct pool_fixture {
    void call(const std::string& id, bool is_unrepeatable = false, unsigned max_connections = 0)
    {
        auto request = std::make_shared<gateway::caller_request>();
        request->method = "POST";
        request->target = "/a";
        request->host = "h";
        request->headers = {{"Id", id}};
        request->body = "abc";
        request->fields.id = id;
        recorder.status = 0;
        recorder.body.clear();
        pool.start({.call = ++recorder.last_call,
                    .request = request,
                    .address = *endpoint_address::parse("127.0.0.1:" + std::to_string(endpoint.port)),
                    .instance = "i-1",
                    .account = "acme",
                    .remaining = std::chrono::seconds{1},
                    .resume_after = "",
                    .is_unrepeatable = is_unrepeatable,
                    .max_connections = max_connections});
    }

    bool wait_for_end()
    {
        const auto before = recorder.end_count;
        return loop.run_until([&] { return recorder.end_count > before; });
    }

    [[nodiscard]] instant now() const { return fixed_now.value_or(clock.now()); }

    test_loop loop;
    process_clock clock;
    /// Where set, time stands still.
    std::optional<instant> fixed_now;
    plain_dialect dialect;
    scripted_endpoint endpoint{loop.base()};
    answer_recorder recorder;
    endpoint_pool pool{loop.base(), dialect, recorder, [this] { return now(); }};
};

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nSignature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

BOOST_FIXTURE_TEST_SUITE(endpoint_pool_suite, pool_fixture)

BOOST_AUTO_TEST_CASE(rewrites_the_request_and_reuses_the_connection)
{
    endpoint.answers = {answer("1", "one"), answer("2", "two")};
    fixed_now = clock.now();
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "one");
    BOOST_TEST(endpoint.received ==
               "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nRemaining: 1000\r\nInstance: i-1\r\n"
               "Account: acme\r\nContent-Length: 3\r\n\r\nabc");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 1U);
}

BOOST_AUTO_TEST_CASE(discards_a_mismatched_answer_and_does_not_reuse_its_connection)
{
    endpoint.answers = {answer("0", "other") + answer("1", "own"), answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "own");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(does_not_reuse_a_connection_after_extra_bytes)
{
    endpoint.answers = {answer("1", "one") + answer("1", "again"), answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "one");
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(incomplete_or_unreadable_answer_ends_as_broken)
{
    endpoint.closes_after_answer = true;
    for (const std::string text :
         {"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "not http at all\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"}) {
        endpoint.answers = {text.empty() ? " " : text};
        call("1");
        BOOST_REQUIRE(wait_for_end());
        BOOST_TEST((recorder.outcome == gateway::call_outcome::broken), text);
    }
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_is_complete_when_the_connection_closes)
{
    endpoint.closes_after_answer = true;
    endpoint.answers = {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nabc"};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "abc");
}

BOOST_AUTO_TEST_CASE(answer_without_a_length_is_broken_when_the_connection_is_reset)
{
    endpoint.closes_after_answer = true;
    endpoint.resets = true;
    endpoint.answers = {"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\nabc"};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::broken));
    BOOST_TEST(pool.connection_count() == 0U);
}

BOOST_AUTO_TEST_CASE(refused_connection_ends_as_not_connected)
{
    const auto port = endpoint.port;
    {
        scripted_endpoint other{loop.base()};
        endpoint.port = other.port;
    }
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::not_connected));
    endpoint.port = port;
}

BOOST_AUTO_TEST_CASE(cancelled_call_reports_no_end)
{
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return endpoint.received.find("abc") != std::string::npos; }));
    pool.cancel(recorder.last_call);
    BOOST_TEST(pool.connection_count() == 0U);
    endpoint.close_all();
    endpoint.answers = {answer("2", "two")};
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.end_count == 1);
    BOOST_TEST(recorder.body == "two");
}

BOOST_AUTO_TEST_CASE(time_until_the_connection_is_established_counts_for_the_request)
{
    endpoint.answers = {answer("1", "one")};
    fixed_now = clock.now();
    call("1");
    *fixed_now += std::chrono::milliseconds{700};
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(endpoint.received.find("Remaining: 300\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_call_that_is_cancelled_when_its_connection_is_established_is_not_sent)
{
    bool is_connected = false;
    recorder.connected = [&](gateway::call_id call) {
        is_connected = true;
        pool.cancel(call);
    };
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return is_connected && endpoint.accepted == 1; }));
    BOOST_TEST(pool.connection_count() == 0U);
    recorder.connected = nullptr;
    endpoint.answers = {answer("2", "two")};
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.end_count == 1);
    BOOST_TEST(endpoint.received.find("Id: 1\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(recalls_a_call_only_until_its_connection_is_established)
{
    call("1");
    BOOST_TEST(pool.recall(recorder.last_call));
    call("1");
    BOOST_REQUIRE(loop.run_until([&] { return !endpoint.received.empty(); }));
    BOOST_TEST(!pool.recall(recorder.last_call));
    BOOST_TEST(endpoint.received.find("POST") == endpoint.received.rfind("POST"));
    BOOST_TEST(!pool.recall(recorder.last_call + 1));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_cannot_be_reused_does_not_use_up_the_limit_of_connections)
{
    endpoint.answers = {answer("1", "a"), answer("2", "b")};
    call("1", false, 1);
    BOOST_REQUIRE(wait_for_end());
    // Longer than the idle time after which a request that runs once at most gets a new connection.
    const auto until = clock.now() + std::chrono::milliseconds{600};
    BOOST_REQUIRE(loop.run_until([&] { return clock.now() > until; }));
    call("2", true, 1);
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.status == 200);
}

BOOST_AUTO_TEST_CASE(a_connection_is_not_used_again_after_a_failure_without_an_id)
{
    // A second copy of it could arrive as the answer of the next call, which nothing would tell apart.
    endpoint.answers = {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.status == 503);
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 2U);
}

BOOST_AUTO_TEST_CASE(a_late_second_copy_of_an_answer_does_not_reach_the_next_call)
{
    // Arrives after the next call was sent, right before its answer.
    endpoint.answers = {answer("1", "one"), answer("1", "one") + answer("2", "two")};
    call("1");
    BOOST_REQUIRE(wait_for_end());
    call("2");
    BOOST_REQUIRE(wait_for_end());
    BOOST_TEST((recorder.outcome == gateway::call_outcome::complete));
    BOOST_TEST(recorder.body == "two");
    BOOST_TEST(endpoint.accepted == 1U);
    BOOST_TEST(recorder.discarded_ids == std::vector<std::string>{"1"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
