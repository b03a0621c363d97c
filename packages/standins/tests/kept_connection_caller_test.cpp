#include <hemlocknotch/standins/kept_connection_caller.hpp>
#include <hemlocknotch/standins/scripted_endpoint.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace hemlocknotch::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

/// A caller of an endpoint that answers each request as the test says.
struct caller_fixture {
    scripted_answer script;
    event_loop loop;
    scripted_endpoint endpoint{loop.base(), *endpoint_address::parse("127.0.0.1:0"),
                               [this](const auto& /*request*/) { return script; }};
    std::vector<kept_connection_answer> answers;
    kept_connection_caller caller{loop.base(), endpoint.address(), [this](const auto& it) {
                                      answers.push_back(it);
                                      loop.stop();
                                  }};
    bool awaits_unsolicited = false;
    timer next{loop.base(), [this] { send(); }};

    void send()
    {
        if (awaits_unsolicited && !caller.has_unsolicited()) {
            return next.start(milliseconds{5});
        }
        caller.send("GET / HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", seconds{10});
    }

    /// Sends a request and waits for its answer.
    const kept_connection_answer& ask()
    {
        next.start(duration::zero());
        loop.run();
        return answers.back();
    }
};

BOOST_FIXTURE_TEST_SUITE(kept_connection_caller_suite, caller_fixture)

BOOST_AUTO_TEST_CASE(notices_a_second_copy_that_comes_with_the_answer)
{
    script = {{{answer}, {answer}}};
    const auto& it = ask();
    BOOST_TEST(it.status == 200);
    BOOST_TEST(it.unsolicited == answer);
}

BOOST_AUTO_TEST_CASE(notices_a_second_copy_while_no_request_waits)
{
    script = {{{answer}, {answer, milliseconds{20}}}};
    BOOST_TEST(ask().unsolicited.empty());
    awaits_unsolicited = true;
    BOOST_TEST(ask().unsolicited == answer);
}

BOOST_AUTO_TEST_CASE(takes_answers_without_further_bytes_as_they_are)
{
    script = {{{answer}}};
    BOOST_TEST(ask().unsolicited.empty());
    script = {{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}}};
    const auto& it = ask();
    BOOST_TEST(it.body == "abc");
    BOOST_TEST(it.unsolicited.empty());
    BOOST_TEST(it.partial_body.empty());
}

BOOST_AUTO_TEST_CASE(notices_an_answer_within_a_stream)
{
    script = {{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" + answer}}};
    BOOST_TEST(ask().is_malformed);
}

BOOST_AUTO_TEST_CASE(tells_what_came_of_a_stream_that_broke_off)
{
    script = {{{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n6\r\nfailed\r\n"}},
              scripted_end::close};
    const auto& it = ask();
    BOOST_TEST(it.status == 0);
    BOOST_TEST(it.was_closed);
    BOOST_TEST(it.partial_body == "abcfailed");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::standins
