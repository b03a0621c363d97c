#include "event_log.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace hemlocknotch::daemon {
namespace {

BOOST_AUTO_TEST_SUITE(event_log_suite)

BOOST_AUTO_TEST_CASE(a_field_that_is_no_utf8_is_logged_in_both_formats)
{
    const log_effect record{log_level::error, "configuration-invalid", {{"reason", "last read: '\xff'"}}};
    for (const auto format : {log_format::json, log_format::text}) {
        const auto line = log_line(record, format, "0", "e1");
        BOOST_TEST(line.find("last read: '\xef\xbf\xbd'") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
