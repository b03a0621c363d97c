#include <hemlocknotch/ctl/span_tree.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace hemlocknotch;

namespace {

recorded_span make_span(const std::string& id, const std::string& parent, std::int64_t start)
{
    recorded_span span;
    span.span_id = id;
    span.parent_id = parent;
    span.operation = "hop-" + id;
    span.start_us = start;
    return span;
}

std::vector<std::string> rows_of(std::vector<recorded_span> spans)
{
    std::vector<std::string> rows;
    for (const span_row& it : arrange_spans(std::move(spans))) {
        rows.push_back(std::string(it.depth, '>') + it.span.span_id);
    }
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(span_tree_test)

BOOST_AUTO_TEST_CASE(a_line_is_read)
{
    const auto span = read_span(
        R"({"trace_id": "t", "span_id": "s", "parent_id": "p", "operation": "link", "start_us": 5,
            "duration_us": 7, "tags": {"request_id": "r", "process": "entry-a", "outcome": "ran"}})");
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST(span->start_us == 5);
    BOOST_TEST(span->duration_us == 7);
    BOOST_TEST(span->request_id == "r");
    BOOST_TEST(span->outcome == "ran");
    BOOST_TEST(!read_span("not a span").has_value());
    BOOST_TEST(!read_span("{}").has_value());
    BOOST_TEST(read_span(R"({"span_id": "s", "operation": "o", "tags": 7})").has_value());
}

BOOST_AUTO_TEST_CASE(spans_stand_below_their_parents_by_start)
{
    const std::vector<std::string> expected{"a", ">b", ">>d", ">c"};
    BOOST_TEST(rows_of({make_span("c", "a", 30), make_span("d", "b", 25), make_span("b", "a", 20),
                        make_span("a", "outside", 10), make_span("b", "a", 20)}) == expected,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(spans_that_name_each_other_end)
{
    BOOST_TEST(rows_of({make_span("a", "b", 1), make_span("b", "a", 2), make_span("c", "c", 3)}) ==
                   std::vector<std::string>{"c"},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
