#include <hemlocknotch/coordination/instance_document.hpp>

#include <boost/test/unit_test.hpp>

using namespace hemlocknotch;

BOOST_AUTO_TEST_SUITE(instance_document_test)

BOOST_AUTO_TEST_CASE(invalid_instances_are_skipped_and_the_valid_ones_read)
{
    const auto read = read_instance_document(R"({"instances": [
        {"name": "entry-a", "role": "entry", "address": "127.0.0.1:1", "failure_domain": "a", "state": "live",
         "operators": "127.0.0.1:2"},
        {"name": "broken", "role": "entry", "address": "nowhere", "state": "live"},
        7,
        {"name": "agent-b", "role": "agent", "address": "127.0.0.1:3", "failure_domain": "b",
         "service": "gardener", "state": "leaving"}]})");
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->size() == 2U);
    BOOST_TEST((read->front().operators == endpoint_address::parse("127.0.0.1:2")));
    BOOST_TEST((read->front().process.role == process_role::entry));
    BOOST_TEST((read->back().process.state == member_state::leaving));
    BOOST_TEST(read->back().process.service == "gardener");
}

BOOST_AUTO_TEST_CASE(text_that_is_not_an_instance_list_reads_as_nothing)
{
    BOOST_TEST(!read_instance_document("").has_value());
    BOOST_TEST(!read_instance_document("{}").has_value());
    BOOST_TEST(!read_instance_document(R"({"instances": {}})").has_value());
    BOOST_TEST(read_instance_document(R"({"instances": []})")->empty());
}

BOOST_AUTO_TEST_SUITE_END()
