#include <hemlocknotch/standins/fairness_meter.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(fairness_meter_test)

using hemlocknotch::standins::fairness_meter;
using hemlocknotch::standins::jain_index;

BOOST_AUTO_TEST_CASE(equal_weighted_service_leaves_no_lasting_gap)
{
    fairness_meter meter{{2.0, 1.0}};
    meter.set_backlogged(0, true);
    meter.set_backlogged(1, true);
    for (int i = 0; i < 100; ++i) {
        meter.add_service(0, 2.0);
        meter.add_service(1, 1.0);
    }
    BOOST_TEST(meter.largest_gap() == 1.0);
    BOOST_TEST(meter.weighted_service(0) == meter.weighted_service(1));
}

BOOST_AUTO_TEST_CASE(only_service_while_both_are_backlogged_counts)
{
    fairness_meter meter{{1.0, 1.0}};
    meter.set_backlogged(0, true);
    meter.add_service(0, 100.0);
    BOOST_TEST(meter.largest_gap() == 0.0);
    meter.set_backlogged(1, true);
    meter.add_service(0, 5.0);
    meter.set_backlogged(1, false);
    meter.add_service(0, 50.0);
    meter.set_backlogged(1, true);
    meter.add_service(0, 4.0);
    BOOST_TEST(meter.largest_gap() == 5.0);
}

BOOST_AUTO_TEST_CASE(gap_spans_a_lead_that_is_lost_again)
{
    fairness_meter meter{{1.0, 1.0}};
    meter.set_backlogged(0, true);
    meter.set_backlogged(1, true);
    meter.add_service(0, 5.0);
    meter.add_service(1, 12.0);
    BOOST_TEST(meter.largest_gap() == 12.0);
}

BOOST_AUTO_TEST_CASE(jain_index_is_one_for_equal_and_one_over_n_for_one)
{
    BOOST_TEST(jain_index({3.0, 3.0, 3.0}) == 1.0);
    BOOST_TEST(jain_index({4.0, 0.0, 0.0, 0.0}) == 0.25);
    BOOST_TEST(jain_index({}) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
