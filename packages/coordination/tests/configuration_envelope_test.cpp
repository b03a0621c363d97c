#include <hemlocknotch/coordination/configuration_envelope.hpp>

#include <boost/test/unit_test.hpp>

using hemlocknotch::configuration_envelope;
using hemlocknotch::read_envelope;

BOOST_AUTO_TEST_SUITE(configuration_envelope_test)

BOOST_AUTO_TEST_CASE(written_envelope_is_read_back_unchanged)
{
    const configuration_envelope value{
        7, "ana", "2026-01-31T12:00:00Z", "c0ffee", {"beef", "cafe"}, "{ // \"x\"\n}"};
    const auto read = read_envelope(write_envelope(value));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == value));
}

BOOST_AUTO_TEST_CASE(text_that_is_not_an_envelope_reads_as_nothing)
{
    BOOST_TEST(!read_envelope("").has_value());
    BOOST_TEST(!read_envelope("[1]").has_value());
    BOOST_TEST(!read_envelope(R"({"revision": 0, "document": ""})").has_value());
    BOOST_TEST(!read_envelope(R"({"revision": -1, "document": ""})").has_value());
    BOOST_TEST(!read_envelope(R"({"revision": 1, "document": {}})").has_value());
    BOOST_TEST(read_envelope(R"({"revision": 1, "document": ""})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
