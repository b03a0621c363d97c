#include <hemlocknotch/core/reachability_monitor.hpp>

#include <boost/test/unit_test.hpp>

using hemlocknotch::instant;
using hemlocknotch::reachability_monitor;
using std::chrono::seconds;

namespace {

constexpr seconds limit{3};
constexpr instant start{seconds{100}};

} // namespace

BOOST_AUTO_TEST_SUITE(reach_rule_test)

BOOST_AUTO_TEST_CASE(a_store_outage_alone_stops_no_work)
{
    reachability_monitor rule{limit, start};
    rule.set_has_other_domains(true);
    for (int i = 1; i <= 100; ++i) {
        rule.on_other_domain_contact(start + seconds{i});
        BOOST_TEST(rule.is_reachable(start + seconds{i} + limit));
    }
}

BOOST_AUTO_TEST_CASE(a_cut_off_domain_takes_no_new_work_after_the_limit)
{
    reachability_monitor rule{limit, start};
    rule.set_has_other_domains(true);
    rule.on_own_domain_contact(start + seconds{3});
    BOOST_TEST(rule.is_reachable(start + limit));
    rule.on_own_domain_contact(start + seconds{4});
    BOOST_TEST(!rule.is_reachable(start + limit + seconds{1}));
    rule.on_store_contact(start + seconds{5});
    BOOST_TEST(rule.is_reachable(start + seconds{5}));
}

BOOST_AUTO_TEST_CASE(a_single_domain_counts_any_peer)
{
    reachability_monitor rule{limit, start};
    rule.on_own_domain_contact(start + seconds{10});
    BOOST_TEST(rule.is_reachable(start + seconds{12}));
    rule.set_has_other_domains(true);
    BOOST_TEST(!rule.is_reachable(start + seconds{12}));
}

BOOST_AUTO_TEST_CASE(an_older_contact_told_late_changes_nothing)
{
    reachability_monitor rule{limit, start};
    rule.set_has_other_domains(true);
    rule.on_store_contact(start + seconds{10});
    rule.on_other_domain_contact(start + seconds{2});
    BOOST_TEST(rule.is_reachable(start + seconds{12}));
}

BOOST_AUTO_TEST_SUITE_END()
