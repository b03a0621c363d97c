#include <hemlocknotch/gateway/event_splitter.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

namespace hemlocknotch::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(event_splitter_suite)

BOOST_AUTO_TEST_CASE(returns_complete_events_for_any_fragmentation)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid:4\ndata: c\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        event_splitter it;
        std::string out;
        for (std::size_t n = 0; n < text.size(); n += step) {
            out += it.append(std::string_view{text}.substr(n, step));
        }
        BOOST_TEST(out == text);
        BOOST_TEST(it.last_id() == "4");
        BOOST_TEST(!it.has_remainder());
    }
}

BOOST_AUTO_TEST_CASE(holds_back_an_incomplete_event_and_its_id)
{
    event_splitter it;
    BOOST_TEST(it.append("id: 1\n\nid: 2\ndata") == "id: 1\n\n");
    BOOST_TEST(it.last_id() == "1");
    BOOST_TEST(it.has_remainder());
    it.begin_continuation();
    BOOST_TEST(it.append("id: 2\ndata: x\n\n") == "id: 2\ndata: x\n\n");
    BOOST_TEST(it.last_id() == "2");
    BOOST_TEST(!it.is_not_continued());
}

BOOST_AUTO_TEST_CASE(finds_a_continuation_that_repeats_an_event)
{
    event_splitter it;
    it.append("id: 9\n\nid: 10\n\n");
    it.begin_continuation();
    it.append("id: 10\n\nid: 11\n\n");
    BOOST_TEST(it.is_not_continued());
    BOOST_TEST(it.last_id() == "10");
    it.begin_continuation();
    BOOST_TEST(!it.is_not_continued());
    it.append("id: 11\n\n");
    BOOST_TEST(!it.is_not_continued());
    BOOST_TEST(it.last_id() == "11");
}

BOOST_AUTO_TEST_CASE(an_id_that_no_header_can_hold_is_not_kept)
{
    using namespace std::string_view_literals;
    for (const auto events : {"id: 2\rX: y\n\n"sv, "id: 2\0\n\n"sv, "id: 2\x7f\n\n"sv}) {
        event_splitter it;
        it.append("id: 1\n\n");
        it.append(events);
        BOOST_TEST(it.last_id().empty());
    }
}

BOOST_AUTO_TEST_CASE(does_not_compare_ids_that_are_no_numbers)
{
    event_splitter it;
    it.append("id: b\n\n");
    it.begin_continuation();
    it.append("id: a\n\n");
    BOOST_TEST(!it.is_not_continued());
    BOOST_TEST(it.last_id() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
