#include <hemlocknotch/core/service_ledger.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string_view>
#include <vector>

using namespace hemlocknotch;

namespace {

const account_key township = account_key::of("township-plots");
const account_key farm = account_key::of("farm-plots");
const account_key service = account_key::of("gardener");

} // namespace

BOOST_AUTO_TEST_SUITE(service_ledger_test)

BOOST_AUTO_TEST_CASE(counter_is_charges_over_weight)
{
    service_ledger it{{"agent-a", 1}};
    it.charge(township, 10.0);
    it.charge(township, -4.0);
    BOOST_TEST(it.counter(township, 2.0) == 3.0);
    BOOST_TEST(it.own_counter(township, 2.0) == 3.0);
    BOOST_TEST(it.counter(farm, 1.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(reports_that_are_lost_doubled_or_reordered_give_the_same_counters)
{
    std::mt19937_64 random{1};
    for (int round = 0; round < 100; ++round) {
        service_ledger agent{{"agent-a", 1}};
        std::vector<service_report_message> reports;
        for (int n = 0; n < 8; ++n) {
            agent.charge(n % 2 == 0 ? township : farm, 1.0 + n);
            agent.raise_to(farm, 1.0, static_cast<double>(n));
            reports.push_back(n % 3 == 0 ? agent.full_report(service) : agent.take_changes(service));
        }
        reports.push_back(agent.full_report(service));
        reports.push_back(reports[2]);
        std::shuffle(reports.begin(), reports.end(), random);
        service_ledger other{{"agent-b", 2}};
        for (const service_report_message& report : reports) {
            other.merge(report);
        }
        BOOST_TEST(other.counter(township, 1.0) == agent.counter(township, 1.0));
        BOOST_TEST(other.counter(farm, 1.0) == agent.counter(farm, 1.0));
    }
}

BOOST_AUTO_TEST_CASE(report_of_ones_own_charges_that_comes_back_changes_nothing)
{
    service_ledger it{{"agent-a", 1}};
    it.charge(township, 5.0);
    const service_report_message old = it.take_changes(service);
    it.charge(township, 5.0);
    BOOST_TEST(!it.merge(old));
    BOOST_TEST(it.counter(township, 1.0) == 10.0);
}

BOOST_AUTO_TEST_CASE(changes_are_told_once_and_relayed)
{
    service_ledger agent{{"agent-a", 1}};
    agent.charge(township, 5.0);
    service_ledger entry{{"entry-a", 2}};
    BOOST_TEST(entry.merge(agent.take_changes(service)));
    BOOST_TEST(agent.own_charge_since_report(township) == 0.0);
    const service_report_message relayed = entry.take_changes(service);
    BOOST_TEST(relayed.sources.at(0).items.at(0).charged == 5.0);
    BOOST_TEST(entry.take_changes(service).sources.empty());
}

BOOST_AUTO_TEST_CASE(lift_raises_and_never_lowers)
{
    service_ledger it{{"agent-a", 1}};
    it.charge(township, 10.0);
    it.raise_to(township, 1.0, 4.0);
    BOOST_TEST(it.counter(township, 1.0) == 10.0);
    it.raise_to(farm, 2.0, 7.0);
    BOOST_TEST(it.counter(farm, 2.0) == 7.0);
}

BOOST_AUTO_TEST_CASE(totals_leave_out_their_receiver_and_count_once)
{
    service_ledger first{{"agent-a", 1}};
    service_ledger second{{"agent-b", 1}};
    service_ledger entry{{"entry-a", 1}};
    first.charge(township, 5.0);
    second.charge(township, 7.0);
    entry.merge(first.take_changes(service));
    entry.merge(second.take_changes(service));
    const service_totals_message told{service, entry.totals_excluding({"agent-a", 1}), {}};
    for (const std::string_view teller : {"entry-a", "entry-b", "entry-a"}) {
        first.merge_totals(teller, told);
    }
    BOOST_TEST(first.counter(township, 1.0) == 12.0);
    BOOST_TEST(first.counter(township, 2.0) == 6.0);
}

// An entry that has just started knows less than the others.
BOOST_AUTO_TEST_CASE(highest_of_several_totals_counts)
{
    service_ledger it{{"agent-a", 1}};
    it.merge_totals("entry-a", {service, {{township, 9}}, {}});
    it.merge_totals("entry-b", {service, {{township, 2}}, {{farm, 4.0}}});
    BOOST_TEST(it.counter(township, 1.0) == 9.0);
    BOOST_TEST(it.counter(farm, 1.0) == 4.0);
    it.merge_totals("entry-a", {service, {{township, 3}}, {}});
    BOOST_TEST(it.counter(township, 1.0) == 3.0);
}

BOOST_AUTO_TEST_CASE(incarnation_that_changed_least_recently_is_dropped_first)
{
    service_ledger it{{"entry-a", 1}, 2};
    for (std::uint64_t n = 10; n < 13; ++n) {
        it.merge({service, {{{"agent-a", n}, {{township, 1, 1.0}}}}, {}});
    }
    BOOST_TEST(it.source_count() == 2U);
    BOOST_TEST(it.counter(township, 1.0) == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()
