#include <hemlocknotch/gateway/request_memory.hpp>

#include <boost/test/unit_test.hpp>

#include <array>

namespace hemlocknotch::gateway {

namespace {

struct idle_holder final : request_holder {
    void give_way() override {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(request_memory_suite)

/// Guards against small requests that are refused for large ones which never end.
BOOST_AUTO_TEST_CASE(the_largest_request_that_is_not_served_gives_way)
{
    std::array<idle_holder, 3> holders{};
    request_memory it{1000};
    it.set(holders[0], 600, true);
    it.set(holders[1], 400, true);
    BOOST_TEST(it.to_give_way() == nullptr);
    it.set(holders[2], 10, true);
    BOOST_TEST(it.to_give_way() == &holders[0]);
    it.set(holders[0], 600, false);
    BOOST_TEST(it.to_give_way() == &holders[1]);
    it.set(holders[1], 0, true);
    BOOST_TEST(it.to_give_way() == nullptr);
    BOOST_TEST(it.bytes() == 610U);
}

BOOST_AUTO_TEST_CASE(nothing_gives_way_where_all_are_served)
{
    idle_holder holder;
    request_memory it{10};
    it.set(holder, 100, false);
    BOOST_TEST(it.to_give_way() == nullptr);
    it.set(holder, 0, true);
    BOOST_TEST(it.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::gateway
