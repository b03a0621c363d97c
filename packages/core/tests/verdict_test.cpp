#include <hemlocknotch/core/verdict.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(verdict_test)

BOOST_AUTO_TEST_CASE(text_is_parsed_back)
{
    using hemlocknotch::verdict;
    for (const verdict value : {verdict::ran, verdict::not_run, verdict::may_have_run}) {
        BOOST_TEST((hemlocknotch::parse_verdict(to_string(value)) == value));
    }
    BOOST_TEST(!hemlocknotch::parse_verdict("maybe").has_value());
}

BOOST_AUTO_TEST_CASE(only_what_did_not_run_or_is_idempotent_is_executed_again)
{
    using hemlocknotch::verdict;
    BOOST_TEST(may_execute_again(verdict::not_run, false));
    BOOST_TEST(!may_execute_again(verdict::may_have_run, false));
    BOOST_TEST(!may_execute_again(verdict::ran, false));
    BOOST_TEST(may_execute_again(verdict::may_have_run, true));
}

BOOST_AUTO_TEST_SUITE_END()
