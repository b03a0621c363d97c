#include <hemlocknotch/core/configuration_tracker.hpp>

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace hemlocknotch;

namespace {

configuration_ptr create_configuration(std::uint64_t revision)
{
    auto value = std::make_shared<configuration>();
    value->revision = revision;
    value->document = "document " + std::to_string(revision);
    return value;
}

template <class Message>
bool is_only(const std::vector<send_effect>& effects, link_id link)
{
    return effects.size() == 1 && effects.front().link == link &&
           std::holds_alternative<Message>(effects.front().content);
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_tracker_test)

BOOST_AUTO_TEST_CASE(an_empty_process_requests_the_configuration_of_a_peer)
{
    configuration_tracker tracker;
    BOOST_TEST(is_only<configuration_request_message>(tracker.add_link(1, 4), 1));
    BOOST_TEST(tracker.on_request(1).empty());
    const auto effect = tracker.on_document({4, "document 4"});
    BOOST_REQUIRE(effect.has_value());
    BOOST_TEST(effect->revision == 4U);
    BOOST_TEST(tracker.accept(create_configuration(4)).empty());
    BOOST_TEST(tracker.revision() == 4U);
}

BOOST_AUTO_TEST_CASE(a_peer_with_an_older_revision_is_notified)
{
    configuration_tracker tracker;
    tracker.accept(create_configuration(5));
    BOOST_TEST(is_only<revision_message>(tracker.add_link(1, 2), 1));
    BOOST_TEST(tracker.add_link(2, 5).empty());
    BOOST_TEST(is_only<configuration_message>(tracker.on_request(1), 1));
    BOOST_TEST(tracker.accept(create_configuration(6)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_revision_never_decreases)
{
    configuration_tracker tracker;
    tracker.accept(create_configuration(5));
    BOOST_TEST(tracker.accept(create_configuration(4)).empty());
    BOOST_TEST(tracker.accept(create_configuration(5)).empty());
    BOOST_TEST(!tracker.on_document({4, ""}).has_value());
    BOOST_TEST(tracker.on_revision(9, 100).empty());
    BOOST_TEST(tracker.revision() == 5U);
}

BOOST_AUTO_TEST_CASE(few_links_are_asked_for_one_revision_and_another_when_a_link_closes)
{
    configuration_tracker tracker;
    BOOST_TEST(tracker.add_link(1, 3).size() == 1U);
    BOOST_TEST(tracker.add_link(2, 3).size() == 1U);
    BOOST_TEST(tracker.add_link(3, 3).empty());
    BOOST_TEST(tracker.on_revision(1, 3).empty());
    BOOST_TEST(is_only<configuration_request_message>(tracker.remove_link(1), 3));
    BOOST_TEST(is_only<configuration_request_message>(tracker.on_revision(3, 4), 3));
    tracker.accept(create_configuration(4));
    BOOST_TEST(tracker.remove_link(3).empty());
}

BOOST_AUTO_TEST_SUITE_END()
