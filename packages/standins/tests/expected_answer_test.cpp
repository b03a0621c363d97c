#include <hemlocknotch/standins/expected_answer.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

BOOST_AUTO_TEST_SUITE(expected_answer_test)

using namespace hemlocknotch::standins;

BOOST_AUTO_TEST_CASE(whole_answer_is_its_lines_in_order)
{
    const std::string answer = expected_engine_answer("body", 3);
    BOOST_TEST(answer == answer_line("body", 0) + answer_line("body", 1) + answer_line("body", 2));
    BOOST_TEST(std::count(answer.begin(), answer.end(), '\n') == 3);
}

BOOST_AUTO_TEST_CASE(answers_to_different_requests_differ)
{
    BOOST_TEST(answer_line("body", 0) != answer_line("bodz", 0));
    BOOST_TEST(expected_plain_answer("GET", "/a", "") != expected_plain_answer("POST", "/a", ""));
    BOOST_TEST(expected_plain_answer("GET", "/a", "") != expected_plain_answer("GET", "/b", ""));
    BOOST_TEST(expected_plain_answer("GET", "/a", "") != expected_plain_answer("GET", "/a", "x"));
}

BOOST_AUTO_TEST_SUITE_END()
