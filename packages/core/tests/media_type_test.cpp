#include "media_type.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace hemlocknotch {

BOOST_AUTO_TEST_SUITE(media_type_test)

BOOST_AUTO_TEST_CASE(leaves_out_parameters)
{
    const std::vector<header_field> headers{{"A", "b"}, {"content-type", "text/plain ; charset=utf-8"}};
    BOOST_TEST(media_type_of(headers) == "text/plain");
    BOOST_TEST(media_type_of(std::vector<header_field>{}).empty());
    const std::vector<header_field> empty{{"Content-Type", ""}};
    BOOST_TEST(media_type_of(empty).empty());
}

BOOST_AUTO_TEST_CASE(only_stated_types_differ)
{
    BOOST_TEST(may_continue("text/plain", "Text/Plain"));
    BOOST_TEST(may_continue("", "text/plain"));
    BOOST_TEST(may_continue("text/plain", ""));
    BOOST_TEST(!may_continue("text/plain", "text/html"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch
