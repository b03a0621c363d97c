#include <hemlocknotch/coordination/http_client.hpp>

#include "test_http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>
#include <vector>

namespace hemlocknotch {
namespace {

constexpr std::chrono::seconds long_timeout{20};
constexpr std::chrono::milliseconds short_timeout{50};

struct http_client_fixture {
    /// Starts a call whose status `answers` gets at `index`.
    void start(std::size_t index, duration timeout)
    {
        answers.resize(std::max(answers.size(), index + 1));
        client.send({http_method::get, "/" + std::to_string(index), ""}, timeout,
                    [this, index](const http_answer& answer) { answers[index] = answer.status; });
    }

    int wait_for(std::size_t index)
    {
        while (!answers[index]) {
            BOOST_REQUIRE(event_base_loop(base.get(), EVLOOP_ONCE) == 0);
        }
        return *answers[index];
    }

    std::unique_ptr<event_base, void (*)(event_base*)> base{event_base_new(), &event_base_free};
    test_http_server server{base.get()};
    http_client client{base.get(), server.address()};
    std::vector<std::optional<int>> answers;
};

BOOST_FIXTURE_TEST_SUITE(http_client_suite, http_client_fixture)

BOOST_AUTO_TEST_CASE(does_not_use_connections_that_went_silent_together_with_another)
{
    // Three calls at once leave three idle connections.
    std::vector<evhttp_request*> held;
    server.set_handler([&](evhttp_request* request) {
        held.push_back(request);
        if (held.size() == 3) {
            for (auto* it : held) {
                test_http_server::reply(it, 200, "");
            }
        }
    });
    for (std::size_t n = 0; n < 3; ++n) {
        start(n, long_timeout);
    }
    for (std::size_t n = 0; n < 3; ++n) {
        BOOST_TEST(wait_for(n) == 200);
    }
    BOOST_TEST(server.connection_count() == 3U);
    // From now on only new connections get answers.
    server.set_handler([&](evhttp_request* request) {
        if (server.connection_count() > 3) {
            test_http_server::reply(request, 200, "");
        }
    });
    start(3, short_timeout);
    BOOST_TEST(wait_for(3) == 0);
    start(4, short_timeout);
    BOOST_TEST(wait_for(4) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch
