#include "fleet_summary.hpp"
#include "revision_wait.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace hemlocknotch;

namespace {

observed_daemon make_daemon(const std::string& name, process_role role, std::optional<daemon_status> status)
{
    const auto address = endpoint_address::parse("127.0.0.1:1");
    const std::string service = role == process_role::agent ? "gardener" : "";
    return {{{name, role, *address, "a", service, member_state::live}, address}, std::move(status)};
}

daemon_status make_status(std::string_view text)
{
    return read_daemon_status(text).value();
}

std::vector<observed_daemon> make_fleet()
{
    return {make_daemon("agent-1", process_role::agent,
                        make_status(R"({"revision": 7, "is_ready": true, "running": 3, "limit": 8, "room": 5,
                                        "counters": {"gardener": {"x": 10, "y": 14.5, "idle": 1}}})")),
            make_daemon("agent-2", process_role::agent,
                        make_status(R"({"revision": 6, "is_ready": false, "running": 8, "limit": 8,
                                        "counters": {"gardener": {"x": 12, "y": 13}}})")),
            make_daemon("entry-1", process_role::entry,
                        make_status(R"({"revision": 7, "is_ready": true, "waiting": 4})")),
            make_daemon("entry-2", process_role::entry, std::nullopt)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_summary_test)

BOOST_AUTO_TEST_CASE(the_fleet_is_summed_up)
{
    const fleet_summary summary = summarize(make_fleet(), std::nullopt);
    BOOST_TEST(summary.live == 4U);
    BOOST_TEST(summary.answering == 3U);
    BOOST_TEST(summary.waiting == 4U);
    BOOST_TEST(summary.revisions.at(7) == 2U);
    BOOST_TEST(summary.use.at("gardener").running == 11U);
    BOOST_TEST(summary.use.at("gardener").limit == 16U);
    BOOST_TEST(summary.spread.at("gardener").lowest == 1.0);
    BOOST_TEST(summary.spread.at("gardener").highest == 14.5);
}

BOOST_AUTO_TEST_CASE(accounts_that_got_no_service_since_the_last_look_do_not_widen_the_gap)
{
    const fleet_counters earlier{{"gardener", {{"x", 3.0}, {"y", 4.0}, {"idle", 1.0}}}};
    const fleet_summary summary = summarize(make_fleet(), earlier);
    BOOST_TEST(summary.spread.at("gardener").accounts == 2U);
    BOOST_TEST(summary.spread.at("gardener").lowest == 12.0);
}

BOOST_AUTO_TEST_CASE(health_is_one_word)
{
    std::vector<observed_daemon> fleet = make_fleet();
    BOOST_TEST(health_of(fleet[0], nullptr) == "ok");
    BOOST_TEST(health_of(fleet[1], nullptr) == "not-ready");
    BOOST_TEST(health_of(fleet[3], nullptr) == "no-answer");
    fleet[3].instance.operators.reset();
    BOOST_TEST(health_of(fleet[3], nullptr) == "no-address");
    fleet[0].instance.process.state = member_state::leaving;
    BOOST_TEST(health_of(fleet[0], nullptr) == "leaving");
    configuration current;
    current.out.failure_domains = {"a"};
    BOOST_TEST(health_of(fleet[0], &current) == "out");
}

BOOST_AUTO_TEST_CASE(daemons_that_are_behind_are_named)
{
    std::vector<observed_daemon> fleet = make_fleet();
    const std::vector<std::string> expected{"agent-2 (revision 6)", "entry-2 (no answer)"};
    BOOST_TEST(daemons_behind(fleet, 7) == expected, boost::test_tools::per_element());
    fleet[3].instance.operators.reset();
    BOOST_TEST(daemons_behind(fleet, 6).front() == "entry-2 (no operators' address in the instance list)");
    fleet[3].instance.process.state = member_state::leaving;
    BOOST_TEST(daemons_behind(fleet, 6).empty());
}

BOOST_AUTO_TEST_CASE(other_text_is_no_status)
{
    BOOST_TEST(!read_daemon_status("").has_value());
    BOOST_TEST(!read_daemon_status("[]").has_value());
    BOOST_TEST(read_daemon_status(R"({"revision": "x", "counters": 3})")->revision == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
