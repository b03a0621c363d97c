#include <hemlocknotch/core/reachability_monitor.hpp>

#include <boost/test/unit_test.hpp>

using hemlocknotch::instant;
using hemlocknotch::reachability_monitor;
using std::chrono::seconds;

namespace {

constexpr seconds limit{3};
constexpr instant start{seconds{100}};

} // namespace

BOOST_AUTO_TEST_SUITE(reachability_monitor_test)

BOOST_AUTO_TEST_CASE(a_store_outage_alone_stops_no_work)
{
    reachability_monitor monitor{limit, start};
    monitor.set_has_other_domains(true);
    for (int i = 1; i <= 100; ++i) {
        monitor.on_other_domain_contact(start + seconds{i});
        BOOST_TEST(monitor.is_reachable(start + seconds{i} + limit));
    }
}

BOOST_AUTO_TEST_CASE(an_isolated_domain_accepts_no_new_work_after_the_limit)
{
    reachability_monitor monitor{limit, start};
    monitor.set_has_other_domains(true);
    monitor.on_own_domain_contact(start + seconds{3});
    BOOST_TEST(monitor.is_reachable(start + limit));
    monitor.on_own_domain_contact(start + seconds{4});
    BOOST_TEST(!monitor.is_reachable(start + limit + seconds{1}));
    monitor.on_store_contact(start + seconds{5});
    BOOST_TEST(monitor.is_reachable(start + seconds{5}));
}

BOOST_AUTO_TEST_CASE(contact_with_any_peer_counts_in_a_single_domain)
{
    reachability_monitor monitor{limit, start};
    monitor.on_own_domain_contact(start + seconds{10});
    BOOST_TEST(monitor.is_reachable(start + seconds{12}));
    monitor.set_has_other_domains(true);
    BOOST_TEST(!monitor.is_reachable(start + seconds{12}));
}

BOOST_AUTO_TEST_CASE(an_older_contact_reported_late_changes_nothing)
{
    reachability_monitor monitor{limit, start};
    monitor.set_has_other_domains(true);
    monitor.on_store_contact(start + seconds{10});
    monitor.on_other_domain_contact(start + seconds{2});
    BOOST_TEST(monitor.is_reachable(start + seconds{12}));
}

BOOST_AUTO_TEST_SUITE_END()
