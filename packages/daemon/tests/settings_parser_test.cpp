#include "setting_description.hpp"
#include "settings_parser.hpp"
#include "settings_reference.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

namespace hemlocknotch::daemon {
namespace {

nlohmann::json entry_settings()
{
    return {{"name", "entry-a"},
            {"failure_domain", "a"},
            {"callers_address", "127.0.0.1:0"},
            {"operators_address", "127.0.0.1:0"},
            {"key_value_service", "127.0.0.1:9001"},
            {"instance_list", "127.0.0.1:9002"}};
}

nlohmann::json agent_settings()
{
    auto out = entry_settings();
    out.erase("callers_address");
    out["links_address"] = "127.0.0.1:0";
    out["service"] = "gardener";
    out["endpoint"] = {{"address", "127.0.0.1:9003"}};
    return out;
}

std::set<std::string> fault_paths(const nlohmann::json& document, process_role role)
{
    const auto reading = parse_settings(document.dump(), role);
    BOOST_TEST(reading.accepted.has_value() == reading.errors.empty());
    std::set<std::string> out;
    for (const auto& error : reading.errors) {
        BOOST_TEST(!error.found.empty());
        BOOST_TEST(!error.allowed.empty());
        out.insert(error.path);
    }
    return out;
}

const std::set<std::string> no_faults;

} // namespace

BOOST_AUTO_TEST_SUITE(settings_parser_test)

BOOST_AUTO_TEST_CASE(accepts_the_required_keys_alone_with_comments)
{
    const auto text = "// an entry\n" + entry_settings().dump();
    const auto reading = parse_settings(text, process_role::entry);
    BOOST_REQUIRE(reading.accepted.has_value());
    BOOST_TEST(reading.accepted->entry.identity.name == "entry-a");
    BOOST_TEST(reading.accepted->callers_address->to_string() == "127.0.0.1:0");
    BOOST_TEST(fault_paths(agent_settings(), process_role::agent) == no_faults);
}

BOOST_AUTO_TEST_CASE(takes_values_into_the_options)
{
    auto document = agent_settings();
    document["limits"] = {{"silence_limit_ms", 2500}, {"grants_ahead", 3}};
    document["concurrency"] = {{"initial", 4}, {"max", 8}, {"fixed", true}};
    document["fair_order"] = "local";
    const auto reading = parse_settings(document.dump(), process_role::agent);
    BOOST_REQUIRE(reading.accepted.has_value());
    const auto& agent = reading.accepted->agent;
    BOOST_TEST((agent.peer_timeout == std::chrono::milliseconds{2500}));
    BOOST_TEST(agent.grants_ahead == 3U);
    BOOST_TEST(agent.initial_limit == 4U);
    BOOST_TEST(agent.max_limit == 8U);
    BOOST_TEST(agent.is_limit_fixed);
    BOOST_TEST(reading.accepted->fair_order_name == "local");
}

BOOST_AUTO_TEST_CASE(reports_all_faults_at_once)
{
    auto document = entry_settings();
    document.erase("name");
    document["operators_address"] = "localhost:80";
    document["colour"] = "green";
    document["service"] = "gardener";
    document["log"] = {{"level", "loud"}};
    document["limits"] = {{"max_waiting", 0}, {"retry_share", "much"}, {"silence_limit_ms", 1.5}};
    const std::set<std::string> expected{"name",
                                         "operators_address",
                                         "colour",
                                         "service",
                                         "log.level",
                                         "limits.max_waiting",
                                         "limits.retry_share",
                                         "limits.silence_limit_ms"};
    BOOST_TEST(fault_paths(document, process_role::entry) == expected);
}

BOOST_AUTO_TEST_CASE(refuses_combinations_that_cannot_work)
{
    auto silence = entry_settings();
    silence["limits"] = {{"silence_limit_ms", 400}, {"heartbeat_interval_ms", 500}};
    BOOST_TEST(fault_paths(silence, process_role::entry) == std::set<std::string>{"limits.silence_limit_ms"});

    auto watch = entry_settings();
    watch["limits"] = {{"store_watch_limit_ms", 30000}};
    BOOST_TEST(fault_paths(watch, process_role::entry) ==
               std::set<std::string>{"limits.out_of_reach_limit_ms"});

    auto waiting = entry_settings();
    waiting["limits"] = {{"max_waiting", 10}, {"max_waiting_per_account", 11}};
    BOOST_TEST(fault_paths(waiting, process_role::entry) ==
               std::set<std::string>{"limits.max_waiting_per_account"});

    auto initial = agent_settings();
    initial["concurrency"] = {{"initial", 9}, {"max", 8}};
    BOOST_TEST(fault_paths(initial, process_role::agent) == std::set<std::string>{"concurrency.initial"});

    // A smaller window would wait for an acknowledgement that the entry does not send yet.
    auto window = agent_settings();
    window["limits"] = {{"send_window_bytes", 2 * max_acknowledgement_step_bytes - 1}};
    BOOST_TEST(fault_paths(window, process_role::agent) == std::set<std::string>{"limits.send_window_bytes"});

    auto fencing = agent_settings();
    fencing["endpoint"]["kind"] = "plain";
    fencing["endpoint"]["checks_fencing"] = true;
    BOOST_TEST(fault_paths(fencing, process_role::agent) == std::set<std::string>{"endpoint.checks_fencing"});
}

BOOST_AUTO_TEST_CASE(refuses_a_repeated_key_and_broken_text)
{
    auto text = entry_settings().dump();
    text.insert(1, R"("name": "entry-b",)");
    BOOST_TEST(!parse_settings(text, process_role::entry).errors.empty());
    BOOST_TEST(!parse_settings("{", process_role::entry).errors.empty());
    BOOST_TEST(!parse_settings("[]", process_role::entry).errors.empty());
}

BOOST_AUTO_TEST_CASE(every_default_passes_its_own_check)
{
    for (const auto role : {process_role::entry, process_role::agent}) {
        auto document = role == process_role::entry ? entry_settings() : agent_settings();
        for (const auto& setting : setting_descriptions()) {
            if (!applies_to(setting, role) || setting.is_required) {
                continue;
            }
            std::string pointer = "/" + std::string{setting.path};
            std::ranges::replace(pointer, '.', '/');
            document[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(default_text(setting));
        }
        BOOST_TEST(fault_paths(document, role) == no_faults);
    }
}

BOOST_AUTO_TEST_CASE(every_setting_is_described_once)
{
    std::set<std::string_view> paths;
    for (const auto& setting : setting_descriptions()) {
        BOOST_TEST(paths.insert(setting.path).second, setting.path);
        BOOST_TEST(setting.meaning.ends_with('.'), setting.path);
        BOOST_TEST(setting.least <= setting.most, setting.path);
    }
}

BOOST_AUTO_TEST_CASE(the_written_reference_is_that_of_the_code)
{
    std::ifstream file{std::string{HEMLOCKNOTCH_SOURCE_DIR} + "/docs/SETTINGS.md"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    BOOST_TEST(text.find(settings_reference(std::nullopt)) != std::string::npos,
               "docs/SETTINGS.md differs; replace its table by `hemlocknotchd --print-settings`");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
