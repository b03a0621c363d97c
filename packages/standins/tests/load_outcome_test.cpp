#include <hemlocknotch/standins/execution_check.hpp>
#include <hemlocknotch/standins/load_outcome.hpp>
#include <hemlocknotch/standins/stated_outcomes.hpp>

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(load_outcome_test)

using namespace hemlocknotch::standins;

namespace {

call_head head_with(const char* verdict, int status = 200, bool is_framed = true)
{
    call_head head;
    head.verdict = verdict;
    head.status = status;
    head.is_framed = is_framed;
    return head;
}

load_record booked(const char* booking, load_outcome outcome)
{
    load_record record;
    record.booking = booking;
    record.outcome = outcome;
    return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_exact_body_with_a_proper_end_is_whole)
{
    BOOST_TEST((judge(head_with("ran"), true, "abc", "abc") == load_outcome::whole));
    BOOST_TEST((judge(head_with("ran"), true, "ab", "abc") == load_outcome::short_answer));
    BOOST_TEST((judge(head_with("ran"), true, "abd", "abc") == load_outcome::wrong_answer));
    BOOST_TEST((judge(head_with("ran"), true, "abcd", "abc") == load_outcome::wrong_answer));
    BOOST_TEST((judge(head_with("ran"), false, "abc", "abc") == load_outcome::cut));
    BOOST_TEST((judge(head_with("ran", 200, false), true, "abc", "abc") == load_outcome::cut));
    BOOST_TEST((judge(head_with("ran", 500), true, "abc", "abc") == load_outcome::endpoint_error));
    BOOST_TEST((judge(head_with("not-run", 429), true, "", "abc") == load_outcome::not_run));
    BOOST_TEST((judge(head_with("may-have-run", 502), true, "", "abc") == load_outcome::may_have_run));
    BOOST_TEST((judge(std::nullopt, false, "", "abc") == load_outcome::no_answer));
}

BOOST_AUTO_TEST_CASE(false_verdicts_and_double_runs_are_found)
{
    const std::vector<load_record> records{
        booked("a", load_outcome::whole), booked("b", load_outcome::not_run),
        booked("c", load_outcome::whole), booked("d", load_outcome::not_run),
        booked("e", load_outcome::may_have_run)};
    const auto findings = check_executions(records, {{{"a", 1}, {"b", 1}, {"e", 1}}, {{"a", 1}}});
    BOOST_TEST(findings.double_runs == 1U);
    BOOST_TEST(findings.false_not_run == 1U);
    BOOST_TEST(findings.false_ran == 1U);
}

BOOST_AUTO_TEST_CASE(stated_outcomes_are_checked)
{
    const nlohmann::json stated{{"x", {{"equal", 0}}}, {"y", {{"min", 2}, {"max", 5}}}, {"z", {{"max", 1}}}};
    BOOST_TEST(failed_outcomes(stated, {{"x", 0}, {"y", 3}, {"z", 0.5}}).empty());
    BOOST_TEST(failed_outcomes(stated, {{"x", 1}, {"y", 6}}).size() == 3U);
    BOOST_TEST(failed_outcomes({{"x", {{"about", 0}}}}, {{"x", 0}}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
