#include "caller_server_fixture.hpp"

#include <fcntl.h>
#include <sys/resource.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace hemlocknotch::daemon {
namespace {

/// Lets this process open no further descriptor during its lifetime.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        const int next = ::fcntl(STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);
        ::close(next);
        auto none = before_;
        none.rlim_cur = static_cast<rlim_t>(next);
        BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    }

    ~descriptor_shortage() { setrlimit(RLIMIT_NOFILE, &before_); }

    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage(descriptor_shortage&&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(descriptor_shortage&&) = delete;

private:
    rlimit before_{};
};

const std::string request = head + "Content-Length: 1\r\n\r\nx";

BOOST_FIXTURE_TEST_SUITE(caller_server_descriptors_suite, server_fixture)

BOOST_AUTO_TEST_CASE(a_lack_of_descriptors_does_not_keep_the_loop_busy)
{
    constexpr auto shortage = std::chrono::milliseconds{300};
    constexpr std::size_t few = 10;
    raw_client caller{loop.base(), port, request};
    {
        const descriptor_shortage none;
        BOOST_REQUIRE(loop.run_until([&] { return !recorder.malformed.empty(); }));
        const auto end = std::chrono::steady_clock::now() + shortage;
        loop.run_until([&] { return std::chrono::steady_clock::now() >= end; });
        BOOST_TEST(recorder.malformed.size() <= few);
        BOOST_TEST(recorder.requests.empty());
    }
    BOOST_TEST(loop.run_until([&] { return recorder.requests.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_gives_its_descriptor_to_a_new_caller)
{
    raw_client idle{loop.base(), port, ""};
    BOOST_REQUIRE(loop.run_until([&] { return server.connection_count() == 1; }));
    raw_client caller{loop.base(), port, request};
    const descriptor_shortage none;
    BOOST_TEST(loop.run_until([&] { return recorder.requests.size() == 1; }));
    BOOST_TEST(loop.run_until([&] { return idle.is_closed(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
