#include <hemlocknotch/gateway/account_ledger.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(account_ledger_suite)

BOOST_AUTO_TEST_CASE(a_record_tells_what_became_of_the_tokens_of_each_account)
{
    account_ledger it;
    it.note_ended("a", 10.0, 1, true);
    it.note_ended("a", 20.0, 2, false);
    it.note_ended("b", 40.0, 0, false);
    const auto record = it.take_record(instant{account_ledger::interval});
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(field_of(*record, "accounts") == "b/40/0/0/0/40 a/30/50/10/20/0");
}

BOOST_AUTO_TEST_CASE(there_is_one_record_in_each_interval_in_which_requests_ended)
{
    instant now{account_ledger::interval};
    account_ledger it;
    it.note_ended("a", 10.0, 0, false);
    BOOST_TEST(it.take_record(now).has_value());
    it.note_ended("a", 10.0, 0, false);
    BOOST_TEST(!it.take_record(now).has_value());
    now += account_ledger::interval;
    BOOST_TEST(it.take_record(now).has_value());
    now += account_ledger::interval;
    BOOST_TEST(!it.take_record(now).has_value());
}

BOOST_AUTO_TEST_CASE(a_record_names_the_accounts_that_asked_for_most)
{
    account_ledger it;
    for (std::size_t n = 0; n < 2 * account_ledger::max_accounts; ++n) {
        it.note_ended("account" + std::to_string(n), static_cast<double>(n), 0, false);
    }
    const auto text = field_of(*it.take_record(instant{account_ledger::interval}), "accounts");
    BOOST_TEST(text.starts_with("account31/"));
    BOOST_TEST(text.find("account16/") != std::string::npos);
    BOOST_TEST(text.find("account15/") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_request_counts_by_how_far_it_came, router_fixture)
{
    for (exchange_id id = 1; id <= 3; ++id) {
        send_request(id, "/stream/");
    }
    head(port.calls[0], 200, true);
    it.on_part(port.calls[0].call, "id: 1\ndata: x\n\n", now);
    it.on_end(port.calls[0].call, call_outcome::complete, now);
    it.on_end(port.calls[1].call, call_outcome::broken, now);
    it.on_caller_disconnected(3, now);
    const auto record = it.accounts().take_record(now);
    BOOST_REQUIRE(record.has_value());
    // Three requests of 1,000 prompt tokens and 100 generated ones, of which one began.
    BOOST_TEST(field_of(*record, "accounts") == "a/3300/3300/1100/2200/0");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
