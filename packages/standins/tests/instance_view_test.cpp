#include <hemlocknotch/standins/instance_view.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(instance_view_test)

using hemlocknotch::instant;
using hemlocknotch::standins::instance_view;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(changes_show_after_the_lag)
{
    instance_view view{1s};
    const instant start{};
    view.put("a", {{"role", "entry"}}, start);
    BOOST_TEST(view.seen_at(start).at("instances").empty());
    BOOST_TEST(view.seen_at(start + 1s).at("instances").at(0).at("name") == "a");
    view.remove("a", start + 2s);
    BOOST_TEST(view.seen_at(start + 2900ms).at("instances").size() == 1U);
    BOOST_TEST(view.seen_at(start + 3s).at("instances").empty());
}

BOOST_AUTO_TEST_SUITE_END()
