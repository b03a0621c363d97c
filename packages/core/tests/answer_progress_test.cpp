#include "answer_progress.hpp"

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {

BOOST_AUTO_TEST_SUITE(answer_progress_test)

constexpr std::uint64_t window = 8;

BOOST_AUTO_TEST_CASE(trims_overlaps_and_reports_gaps)
{
    answer_progress answer;
    BOOST_TEST(answer.accept_part(0, "abcd", window).new_bytes == "abcd");
    BOOST_TEST(answer.accept_part(0, "abcd", window).new_bytes.empty());
    BOOST_TEST(answer.accept_part(2, "cdef", window).new_bytes == "ef");
    const auto gap = answer.accept_part(7, "h", window);
    BOOST_TEST(gap.is_gap);
    BOOST_TEST(gap.new_bytes.empty());
    BOOST_TEST(answer.received() == 6U);
}

BOOST_AUTO_TEST_CASE(sends_no_more_than_the_window)
{
    answer_progress answer;
    const auto limited = answer.accept_part(0, "0123456789", window);
    BOOST_TEST(limited.new_bytes == "01234567");
    BOOST_TEST(limited.is_gap);
    BOOST_TEST(answer.is_window_full(window));
    answer.on_sent(4);
    BOOST_TEST(!answer.is_window_full(window));
    BOOST_TEST(answer.accept_part(8, "89", window).new_bytes == "89");
}

BOOST_AUTO_TEST_CASE(acknowledges_in_steps)
{
    answer_progress answer;
    answer.accept_part(0, "01234567", window);
    answer.on_sent(3);
    BOOST_TEST(answer.take_ack(4) == 0U);
    answer.on_sent(100);
    BOOST_TEST(answer.sent() == 8U);
    BOOST_TEST(answer.take_ack(4) == 8U);
    BOOST_TEST(answer.take_ack(4) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
