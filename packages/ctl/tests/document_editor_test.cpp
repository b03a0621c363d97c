#include <hemlocknotch/ctl/document_editor.hpp>

#include <boost/test/unit_test.hpp>

using hemlocknotch::out_of_service;
using hemlocknotch::replace_out_of_service;

namespace {

const out_of_service out{{"a"}, {"agent-1", "agent-2"}};
const std::string value = R"({"failure_domains": ["a"], "instances": ["agent-1","agent-2"]})";

} // namespace

BOOST_AUTO_TEST_SUITE(document_editor_test)

BOOST_AUTO_TEST_CASE(the_value_is_replaced_and_nothing_else)
{
    const std::string before = R"(/* "out_of_service": {} */ {"x": {"out_of_service": [1, "}"]}, // {
 "out_of_service" /**/ : {"failure_domains": [ /* ] */ "]"], "instances": []} , "y": 1})";
    const std::string after = R"(/* "out_of_service": {} */ {"x": {"out_of_service": [1, "}"]}, // {
 "out_of_service" /**/ : )" + value +
                              R"( , "y": 1})";
    BOOST_TEST(replace_out_of_service(before, out).value() == after);
    BOOST_TEST(replace_out_of_service(after, out).value() == after);
}

BOOST_AUTO_TEST_CASE(a_missing_value_is_added_behind_the_last_one)
{
    BOOST_TEST(replace_out_of_service("{\"x\": 1 // one\n}", out).value() ==
               "{\"x\": 1,\n  \"out_of_service\": " + value + " // one\n}");
    BOOST_TEST(replace_out_of_service(R"({"x": "a\"}"})", out).value() ==
               "{\"x\": \"a\\\"}\",\n  \"out_of_service\": " + value + "}");
}

BOOST_AUTO_TEST_CASE(text_that_is_no_object_is_left_alone)
{
    BOOST_TEST(!replace_out_of_service("[]", out).has_value());
    BOOST_TEST(!replace_out_of_service("", out).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
