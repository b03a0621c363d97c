#include <hemlocknotch/wire/link_factory.hpp>

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace hemlocknotch;

struct base_deleter {
    void operator()(event_base* it) const { event_base_free(it); }
};

struct stream_deleter {
    void operator()(bufferevent* it) const { bufferevent_free(it); }
};

/// A listener and the links it has accepted, on one event loop.
struct link_fixture {
    link_fixture() : factory{create_websocket_link_factory(base.get())}
    {
        listener = factory->listen(*endpoint_address::parse("127.0.0.1:0"));
        BOOST_TEST_REQUIRE(listener != nullptr);
        listener->accepted.connect([this](const std::shared_ptr<peer_link>& it) {
            server = it;
            it->received.connect([this](const message& value) { server_messages.push_back(value); });
            it->closed.connect([this](const std::string& reason) { server_reason = reason; });
        });
    }

    void connect()
    {
        client = factory->connect(listener->address());
        client->opened.connect([this] { is_client_open = true; });
        client->received.connect([this](const message& value) { client_messages.push_back(value); });
        client->closed.connect([this](const std::string& reason) { client_reason = reason; });
        run_until([this] { return is_client_open; });
    }

    /// Runs the event loop until `condition` holds; fails the test if it still does not after many
    /// iterations.
    void run_until(const std::function<bool()>& condition) const
    {
        constexpr int max_iterations = 5000;
        constexpr timeval iteration_time{.tv_sec = 0, .tv_usec = 2000};
        for (int n = 0; n < max_iterations && !condition(); ++n) {
            event_base_loopexit(base.get(), &iteration_time);
            event_base_dispatch(base.get());
        }
        BOOST_TEST_REQUIRE(condition());
    }

    std::unique_ptr<event_base, base_deleter> base{event_base_new()};
    std::unique_ptr<link_factory> factory;
    std::unique_ptr<link_listener> listener;
    std::shared_ptr<peer_link> server;
    std::unique_ptr<peer_link> client;
    std::vector<message> server_messages;
    std::vector<message> client_messages;
    std::string server_reason;
    std::string client_reason;
    bool is_client_open = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(websocket_link_test, link_fixture)

BOOST_AUTO_TEST_CASE(messages_arrive_in_order_in_both_directions)
{
    constexpr std::uint64_t message_count = 1000;
    connect();
    for (std::uint64_t n = 0; n < message_count; ++n) {
        client->send(revision_message{n});
        server->send(heartbeat_message{n, false});
    }
    run_until([this] {
        return server_messages.size() == message_count && client_messages.size() == message_count;
    });
    for (std::uint64_t n = 0; n < message_count; ++n) {
        BOOST_TEST((server_messages[n] == message{revision_message{n}}));
        BOOST_TEST((client_messages[n] == message{heartbeat_message{n, false}}));
    }
}

BOOST_AUTO_TEST_CASE(large_body_arrives_and_is_counted_as_body_bytes)
{
    constexpr std::size_t body_size = std::size_t{3} << 20U;
    connect();
    submit_message submit;
    submit.body.assign(body_size, 'x');
    client->send(submit);
    run_until([this] { return server_messages.size() == 1; });
    BOOST_TEST((server_messages[0] == message{submit}));
    constexpr std::uint64_t handshake_and_framing_limit = 4096;
    const link_traffic traffic = client->traffic();
    BOOST_TEST(traffic.sent_body_bytes == body_size);
    BOOST_TEST(traffic.sent_bytes - traffic.sent_body_bytes < handshake_and_framing_limit);
    BOOST_TEST(server->traffic().received_body_bytes == body_size);
}

BOOST_AUTO_TEST_CASE(close_is_reported_at_both_ends_and_later_messages_are_dropped)
{
    connect();
    client->close("not wanted any more");
    BOOST_TEST(client_reason == "not wanted any more");
    run_until([this] { return !server_reason.empty(); });
    client->send(revision_message{1});
    BOOST_TEST(server_messages.empty());
}

BOOST_AUTO_TEST_CASE(destroying_one_end_closes_the_other)
{
    connect();
    client.reset();
    run_until([this] { return !server_reason.empty(); });
}

BOOST_AUTO_TEST_CASE(refused_connection_emits_closed_in_a_later_iteration)
{
    const endpoint_address unused = listener->address();
    listener.reset();
    client = factory->connect(unused);
    client->closed.connect([this](const std::string& reason) { client_reason = reason; });
    BOOST_TEST(client_reason.empty());
    run_until([this] { return !client_reason.empty(); });
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_a_websocket_close_only_that_link)
{
    std::unique_ptr<bufferevent, stream_deleter> stream{
        bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE)};
    sockaddr_storage storage{};
    int length = sizeof(storage);
    auto* const target = reinterpret_cast<sockaddr*>(&storage);
    evutil_parse_sockaddr_port(listener->address().to_string().c_str(), target, &length);
    bufferevent_socket_connect(stream.get(), target, length);
    constexpr std::string_view noise = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
    bufferevent_write(stream.get(), noise.data(), noise.size());
    run_until([this] { return !server_reason.empty(); });
    server_reason.clear();
    connect();
    client->send(revision_message{1});
    run_until([this] { return server_messages.size() == 1; });
}

BOOST_AUTO_TEST_SUITE_END()
