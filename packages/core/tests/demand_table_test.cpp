#include "demand_table.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;

namespace {

const account_key township = account_key::of("township-plots");
const instant start{std::chrono::seconds{100}};

demand_message demand(std::uint64_t sequence, std::uint32_t waiting, duration age = {})
{
    return {sequence, false, {{township, waiting, age, 3.0}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(demand_table_test)

BOOST_AUTO_TEST_CASE(grants_use_up_demand_and_the_oldest_request_comes_first)
{
    demand_table it;
    it.on_demand(1, demand(1, 1, std::chrono::seconds{1}), start);
    it.on_demand(2, demand(1, 1, std::chrono::seconds{2}), start);
    BOOST_TEST(it.oldest_link(township, start).value() == 2U);
    it.on_granted(2, township);
    BOOST_TEST(it.oldest_link(township, start).value() == 1U);
    it.on_granted(1, township);
    BOOST_TEST(it.grantable(start).empty());
    BOOST_TEST(it.is_backlogged(township));
}

BOOST_AUTO_TEST_CASE(used_up_demand_is_granted_again_later_until_the_entry_reports_none)
{
    demand_table it;
    it.on_demand(1, demand(1, 1), start);
    it.on_granted(1, township);
    it.on_used(1, township, start);
    BOOST_TEST(it.grantable(start).empty());
    const instant retry = it.next_retry(start).value();
    BOOST_TEST(it.grantable(retry).size() == 1U);
    it.on_demand(1, demand(2, 0), retry);
    BOOST_TEST(it.grantable(retry).empty());
    BOOST_TEST(!it.has_any());
}

BOOST_AUTO_TEST_CASE(new_report_ends_the_wait_after_a_declined_grant)
{
    demand_table it;
    it.on_demand(1, demand(1, 1), start);
    it.on_granted(1, township);
    it.on_unused(1, township, start);
    BOOST_TEST(it.grantable(start).empty());
    it.on_demand(1, demand(2, 2), start);
    BOOST_TEST(it.grantable(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(older_message_changes_nothing)
{
    demand_table it;
    it.on_demand(1, demand(5, 0), start);
    it.on_demand(1, demand(4, 3), start);
    BOOST_TEST(!it.has_any());
}

BOOST_AUTO_TEST_CASE(snapshot_removes_unnamed_accounts_of_its_link_only)
{
    demand_table it;
    it.on_demand(1, demand(1, 1), start);
    it.on_demand(2, demand(1, 1), start);
    it.on_demand(1, {2, true, {}}, start);
    BOOST_TEST(it.oldest_link(township, start).value() == 2U);
    it.remove_link(2);
    BOOST_TEST(!it.has_any());
}

BOOST_AUTO_TEST_SUITE_END()
