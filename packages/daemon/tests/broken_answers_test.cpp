#include "endpoint_pool_fixture.hpp"

#include <sys/socket.h>

#include <string>
#include <string_view>

namespace hemlocknotch::daemon {
namespace {

using gateway::call_outcome;

/// An endpoint that answers the first bytes of a request at once, reads no more of it, and resets the
/// connection once the rest of the request is on its way.
class early_endpoint {
public:
    early_endpoint(event_base* base, std::string answer) : base_{base}, answer_{std::move(answer)}
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

    ~early_endpoint()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    early_endpoint(const early_endpoint&) = delete;
    early_endpoint(early_endpoint&&) = delete;
    early_endpoint& operator=(const early_endpoint&) = delete;
    early_endpoint& operator=(early_endpoint&&) = delete;

    unsigned short port = 0;

private:
    struct deleter {
        void operator()(evconnlistener* it) const { evconnlistener_free(it); }
    };

    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd, sockaddr* /*at*/, int /*n*/,
                          void* self)
    {
        auto& that = *static_cast<early_endpoint*>(self);
        that.fd_ = fd;
        that.readable_.reset(event_new(that.base_, fd, EV_READ, on_readable, self));
        event_add(that.readable_.get(), nullptr);
    }

    static void on_readable(evutil_socket_t fd, short /*what*/, void* self)
    {
        auto& that = *static_cast<early_endpoint*>(self);
        ::send(fd, that.answer_.data(), that.answer_.size(), MSG_NOSIGNAL);
        // The kernel resets a connection that is closed with unread bytes.
        that.readable_.reset();
        ::close(std::exchange(that.fd_, -1));
    }

    event_base* base_;
    std::string answer_;
    std::unique_ptr<evconnlistener, deleter> listener_;
    event_ptr readable_;
    int fd_ = -1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers_suite)

/// Guards against a part of an answer that is taken for the whole: an endpoint answers a long upload at once,
/// without a length, and resets the connection while the upload is still being written.
BOOST_AUTO_TEST_CASE(an_answer_without_length_that_is_reset_during_the_upload_is_broken)
{
    for (const std::size_t size : {std::size_t{1000}, std::size_t{100'000}, std::size_t{4} << 20U}) {
        for (int n = 0; n < 10; ++n) {
            pool_fixture it;
            early_endpoint endpoint{it.loop.base(),
                                    "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\npart of the body"};
            it.endpoint.port = endpoint.port;
            it.body = std::string(size, 'x');
            it.call("1");
            BOOST_REQUIRE(it.wait_for_end());
            BOOST_TEST((it.recorder.outcome == call_outcome::broken), "size " << size);
        }
    }
}

/// The same where a read of the channel's state takes the error of the kernel, or a send does.
BOOST_AUTO_TEST_CASE(a_channel_remembers_a_reset_whoever_meets_it_first)
{
    for (const auto asks : {0, 1, 2, 3}) {
        const test_loop loop;
        int fds[2] = {-1, -1};
        {
            const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t length = sizeof at;
            BOOST_REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&at), length) == 0);
            BOOST_REQUIRE(::listen(listener, 1) == 0);
            getsockname(listener, reinterpret_cast<sockaddr*>(&at), &length);
            fds[0] = ::socket(AF_INET, SOCK_STREAM, 0);
            BOOST_REQUIRE(::connect(fds[0], reinterpret_cast<sockaddr*>(&at), length) == 0);
            fds[1] = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            ::close(listener);
        }

        struct : channel_sink {
            void on_bytes(std::string_view /*bytes*/) override {}

            void on_end(channel_end it) override { end = it; }

            void on_drained() override {}

            std::optional<channel_end> end;
        } sink;

        gateway::answer_memory memory;
        const auto channel = socket_channel::adopt(loop.base(), fds[1], sink, memory);
        const linger discard{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(fds[0], SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        ::close(fds[0]);
        switch (asks) {
        case 0:
            channel->send("x");
            break;
        case 1:
            static_cast<void>(channel->is_quiet());
            break;
        case 2:
            static_cast<void>(channel->has_unread_bytes());
            break;
        default:
            static_cast<void>(channel->has_peer_closed());
            break;
        }
        BOOST_REQUIRE(loop.run_until([&] { return sink.end.has_value(); }));
        BOOST_TEST((*sink.end == channel_end::broken), "asked by " << asks);
    }
}

/// Guards against statuses that are none in the protocol: the answer is broken at once, and neither passed on
/// nor taken for an interim one.
BOOST_AUTO_TEST_CASE(an_answer_with_a_status_that_is_none_is_broken)
{
    for (const auto* status : {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "+20", "2x0"}) {
        pool_fixture it;
        it.endpoint.answers = {"HTTP/1.1 " + std::string{status} +
                               " Odd\r\nId: 1\r\nSignature: s\r\nContent-Length: 3\r\n\r\nodd"};
        it.call("1");
        BOOST_REQUIRE_MESSAGE(it.wait_for_end(), status);
        BOOST_TEST((it.recorder.outcome == call_outcome::broken), status);
        BOOST_TEST(it.recorder.status == 0, status);
        BOOST_TEST(it.pool.connection_count() == 0U, status);
    }
}

BOOST_AUTO_TEST_CASE(interim_answers_are_no_answers)
{
    for (const auto* status : {"100", "102", "103", "199"}) {
        pool_fixture it;
        it.endpoint.answers = {"HTTP/1.1 " + std::string{status} + " Interim\r\n\r\n" + answer("1", "one")};
        it.call("1");
        BOOST_REQUIRE(it.wait_for_end());
        BOOST_TEST((it.recorder.outcome == call_outcome::complete), status);
        BOOST_TEST(it.recorder.body == "one");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
