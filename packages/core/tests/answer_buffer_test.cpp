#include "answer_buffer.hpp"

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;

BOOST_AUTO_TEST_SUITE(answer_buffer_test)

BOOST_AUTO_TEST_CASE(parts_follow_each_other_within_the_window)
{
    answer_buffer it{10};
    it.append("abcdef");
    const auto first = it.take_next(4, 5);
    BOOST_TEST(first->offset == 10U);
    BOOST_TEST(first->bytes == "abcd");
    BOOST_TEST(it.take_next(4, 5)->bytes == "e");
    BOOST_TEST(!it.take_next(4, 5).has_value());
    it.acknowledge(13);
    BOOST_TEST(it.take_next(4, 5)->bytes == "f");
    BOOST_TEST(it.is_all_sent());
    BOOST_TEST(it.end() == 16U);
}

BOOST_AUTO_TEST_CASE(acknowledgement_of_what_was_not_sent_changes_nothing)
{
    answer_buffer it;
    it.append("abc");
    it.acknowledge(2);
    BOOST_TEST(it.size() == 3U);
}

BOOST_AUTO_TEST_CASE(bytes_not_acknowledged_are_sent_again)
{
    answer_buffer it;
    it.append("abcdef");
    it.take_next(6, 100);
    it.acknowledge(2);
    BOOST_TEST(it.resend_from(3));
    BOOST_TEST(it.take_next(6, 100)->bytes == "def");
    BOOST_TEST(it.resend_from(0));
    BOOST_TEST(it.take_next(6, 100)->offset == 2U);
    BOOST_TEST(!it.resend_from(7));
}

BOOST_AUTO_TEST_SUITE_END()
