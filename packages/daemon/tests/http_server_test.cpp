#include "http_server.hpp"
#include "test_loop.hpp"

#include <boost/test/unit_test.hpp>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hemlocknotch::daemon {
namespace {

/// Stores the TCP_NODELAY option of a request's connection in an `int`.
void record_no_delay_option(evhttp_request* request, void* no_delay)
{
    auto* const stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    int enabled = 0;
    socklen_t length = sizeof enabled;
    getsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled, &length);
    *static_cast<int*>(no_delay) = enabled;
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_test)

// Without TCP_NODELAY, a part after the head of an answer waited up to 40 ms for the caller's delayed
// acknowledgement.
BOOST_AUTO_TEST_CASE(accepted_connections_send_small_parts_at_once)
{
    test_loop loop;
    http_server server{loop.base()};
    const auto address = server.listen(*endpoint_address::parse("127.0.0.1:0"), "tests");
    BOOST_REQUIRE(address.has_value());
    int no_delay = 0;
    evhttp_set_gencb(server.handle(), record_no_delay_option, &no_delay);
    raw_client client{loop.base(), address.value().port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"};
    BOOST_TEST(loop.run_until([&] { return client.has("200"); }));
    BOOST_TEST(no_delay == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
