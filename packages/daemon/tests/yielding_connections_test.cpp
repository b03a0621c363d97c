#include "gateway/yielding_connections.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

namespace hemlocknotch::daemon {
namespace {

/// Connections, which are only compared.
struct yielding_connections_fixture {
    caller_connection& connection(std::size_t n)
    {
        return *reinterpret_cast<caller_connection*>(&storage.at(n));
    }

    std::array<char, 4> storage{};
    yielding_connections it;
};

BOOST_FIXTURE_TEST_SUITE(yielding_connections_suite, yielding_connections_fixture)

BOOST_AUTO_TEST_CASE(idle_connections_yield_before_those_that_receive_a_request)
{
    BOOST_TEST(it.next() == nullptr);
    it.set(connection(0), yielding_phase::closing);
    it.set(connection(1), yielding_phase::receiving);
    it.set(connection(2), yielding_phase::idle);
    BOOST_TEST(it.next() == &connection(2));
    it.remove(connection(2));
    BOOST_TEST(it.next() == &connection(1));
    it.set(connection(1), yielding_phase::closing);
    BOOST_TEST(it.next() == &connection(0));
    it.remove(connection(0));
    it.remove(connection(0));
    BOOST_TEST(it.next() == &connection(1));
}

BOOST_AUTO_TEST_CASE(the_connection_without_progress_for_the_longest_time_yields)
{
    for (std::size_t n = 0; n < 3; ++n) {
        it.set(connection(n), yielding_phase::receiving);
    }
    it.set(connection(0), yielding_phase::receiving);
    BOOST_TEST(it.next() == &connection(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
