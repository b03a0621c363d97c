#include <hemlocknotch/standins/load_metrics.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

BOOST_AUTO_TEST_SUITE(load_metrics_test)

using namespace hemlocknotch::standins;
using namespace std::chrono_literals;

namespace {

deployment_mix two_accounts()
{
    deployment_mix mix;
    mix.accounts = {{"a", 1.0}, {"b", 1.0}};
    return mix;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_window_counts)
{
    load_metrics metrics{two_accounts(), {10s, 20s}};
    metrics.on_sent("a", 0s);
    metrics.on_sent("b", 0s);
    metrics.on_service("a", 30.0, 5s);
    metrics.on_engine_sample(0.0, 4.0, 9s);
    metrics.on_service("b", 30.0, 13s);
    metrics.on_engine_sample(3.0, 4.0, 14s);
    metrics.on_service("b", 500.0, 20s);
    const nlohmann::json summary = metrics.summary({});
    BOOST_TEST(summary.at("fairness_gap_units") == 30.0);
    BOOST_TEST(summary.at("units_per_second") == 3.0);
    BOOST_TEST(summary.at("fair_share_60s_units") == 90.0);
    BOOST_TEST(summary.at("utilisation") == 0.75);
    BOOST_TEST(summary.at("jain") == 1.0);
    BOOST_TEST(summary.at("jain_accounts") == 2U);
}

BOOST_AUTO_TEST_CASE(an_idle_account_does_not_count_in_the_index)
{
    load_metrics metrics{two_accounts(), {10s, 20s}};
    metrics.on_sent("a", 1s);
    metrics.on_sent("b", 1s);
    metrics.on_not_waiting("b", 1s, 2s);
    metrics.on_service("a", 30.0, 12s);
    BOOST_TEST(metrics.summary({}).at("jain_accounts") == 1U);
}

BOOST_AUTO_TEST_CASE(a_short_wait_is_no_waiting_for_room)
{
    load_metrics metrics{two_accounts(), {0s, 20s}};
    metrics.on_sent("a", 1s);
    metrics.on_engine_sample(0.0, 4.0, 1100ms);
    BOOST_TEST(metrics.summary({}).at("utilisation") == 1.0);
    metrics.on_engine_sample(1.0, 4.0, 1500ms);
    BOOST_TEST(metrics.summary({}).at("utilisation") == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()
