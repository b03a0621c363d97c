#include <hemlocknotch/core/header_name.hpp>

#include <boost/test/unit_test.hpp>

namespace hemlocknotch {
namespace {

BOOST_AUTO_TEST_SUITE(header_name_test)

BOOST_AUTO_TEST_CASE(comparison_ignores_case)
{
    BOOST_TEST(is_same_header("Content-Length", "content-LENGTH"));
    BOOST_TEST(!is_same_header("Content-Length", "Content-Lengt"));
    BOOST_TEST(!is_same_header("a_b", "a-b"));
    BOOST_TEST(is_same_header("", ""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch
