#include "endpoint_pool_fixture.hpp"

#include <string>
#include <string_view>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

/// Heads of successes, one for each way in which the end of a body is known, without the blank line.
std::vector<std::string> heads_of(const std::string& id)
{
    const auto common = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\n";
    return {common + "Content-Length: 3\r\n", common + "Transfer-Encoding: chunked\r\n", common,
            common + "Connection: close\r\n", "HTTP/1.0 200 OK\r\nId: " + id + "\r\nSignature: s\r\n"};
}

/// Plays each head of `heads_of("2")`, cut after each of its bytes, as the last answer on a connection.
/// `precede` prepares the fixture and returns the bytes that stand before the head.
template <class Precede>
void play_each_cut(Precede precede)
{
    for (const auto& whole : heads_of("2")) {
        const auto head = whole + "\r\n";
        for (std::size_t size = 1; size < head.size(); ++size) {
            for (const auto resets : {false, true}) {
                pool_fixture it;
                const std::string bytes = precede(it) + head.substr(0, size);
                it.endpoint.closes_after_answer = true;
                it.endpoint.resets = resets;
                it.endpoint.answers = {bytes};
                it.call("2");
                BOOST_REQUIRE(it.wait_for_end());
                BOOST_TEST((it.recorder.outcome == call_outcome::broken), bytes);
                BOOST_TEST(it.recorder.status == 0, bytes);
                BOOST_TEST(it.recorder.body.empty(), bytes);
                BOOST_TEST(it.pool.connection_count() == 0U, bytes);
            }
        }
    }
}

// Guards against a success whose head broke off and that is passed on as an empty or short whole answer.
BOOST_AUTO_TEST_SUITE(cut_heads_suite)

BOOST_AUTO_TEST_CASE(a_head_that_ends_at_any_byte_is_no_answer)
{
    play_each_cut([](pool_fixture& /*it*/) { return std::string{}; });
}

BOOST_AUTO_TEST_CASE(a_head_that_ends_at_any_byte_on_a_kept_connection_is_no_answer)
{
    play_each_cut([](pool_fixture& it) {
        it.endpoint.answers = {answer("1", "one")};
        it.call("1");
        BOOST_REQUIRE(it.wait_for_end());
        BOOST_REQUIRE(it.pool.connection_count() == 1U);
        return std::string{};
    });
}

BOOST_AUTO_TEST_CASE(a_head_that_ends_at_any_byte_after_an_interim_answer_is_no_answer)
{
    play_each_cut([](pool_fixture& /*it*/) { return std::string{"HTTP/1.1 100 Continue\r\n\r\n"}; });
}

BOOST_AUTO_TEST_CASE(a_head_that_ends_at_any_byte_after_another_answer_is_no_answer)
{
    play_each_cut([](pool_fixture& /*it*/) { return answer("1", "one"); });
}

BOOST_AUTO_TEST_CASE(a_head_that_ends_at_any_byte_in_answer_to_a_head_request_is_no_answer)
{
    play_each_cut([](pool_fixture& it) {
        it.method = "HEAD";
        it.body.clear();
        return std::string{};
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
