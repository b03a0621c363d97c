#include "metric_catalog.hpp"
#include "metrics.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace hemlocknotch::daemon {
namespace {

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics_test)

BOOST_AUTO_TEST_CASE(writes_counters_and_gauges_with_help_and_type)
{
    metrics it;
    it.add("hemlocknotch_refused_by_front_total", "code", "body-too-large", 1);
    it.add("hemlocknotch_refused_by_front_total", "code", "body-too-large", 2);
    it.set("hemlocknotch_links", 5);
    it.set("hemlocknotch_links", 4);
    const auto text = it.text();
    BOOST_TEST(has_line(text, "# HELP hemlocknotch_links Open links."));
    BOOST_TEST(has_line(text, "# TYPE hemlocknotch_links gauge"));
    BOOST_TEST(has_line(text, "hemlocknotch_links 4"));
    BOOST_TEST(has_line(text, "# TYPE hemlocknotch_refused_by_front_total counter"));
    BOOST_TEST(has_line(text, "hemlocknotch_refused_by_front_total{code=\"body-too-large\"} 3"));
}

BOOST_AUTO_TEST_CASE(label_values_beyond_the_limit_share_one_sample)
{
    metrics it;
    for (int n = 0; n < 1000; ++n) {
        it.add("hemlocknotch_gateway_account_requests_total", "account", "a" + std::to_string(n), 1);
    }
    const auto text = it.text();
    BOOST_TEST(has_line(text, "hemlocknotch_gateway_account_requests_total{account=\"a0\"} 1"));
    BOOST_TEST(has_line(text, "hemlocknotch_gateway_account_requests_total{account=\"other\"} 800"));
    BOOST_TEST(text.find("\"a999\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(buckets_are_cumulative_and_include_their_upper_bound)
{
    metrics it;
    for (const double value : {0.0001, 0.001, 0.002, 1000.0}) {
        it.record({metric_kind::histogram, "hemlocknotch_wait_seconds", "client_account", "a", value});
    }
    const auto text = it.text();
    BOOST_TEST(has_line(text, "# TYPE hemlocknotch_wait_seconds histogram"));
    const std::string start = "hemlocknotch_wait_seconds_bucket{client_account=\"a\",le=";
    BOOST_TEST(has_line(text, start + "\"0.0005\"} 1"));
    BOOST_TEST(has_line(text, start + "\"0.001\"} 2"));
    BOOST_TEST(has_line(text, start + "\"0.0025\"} 3"));
    BOOST_TEST(has_line(text, start + "\"60\"} 3"));
    BOOST_TEST(has_line(text, start + "\"+Inf\"} 4"));
    BOOST_TEST(has_line(text, "hemlocknotch_wait_seconds_count{client_account=\"a\"} 4"));
    BOOST_TEST(has_line(text, "hemlocknotch_wait_seconds_sum{client_account=\"a\"} 1000.0031"));
}

BOOST_AUTO_TEST_CASE(escapes_label_values)
{
    metrics it;
    it.add("hemlocknotch_x_total", "name", "a\"b\\c\nd", 1);
    BOOST_TEST(has_line(it.text(), "hemlocknotch_x_total{name=\"a\\\"b\\\\c\\nd\"} 1"));
}

BOOST_AUTO_TEST_CASE(catalog_contains_each_metric_once)
{
    std::set<std::string_view> names;
    for (const auto& it : metric_descriptions()) {
        BOOST_TEST(names.insert(it.name).second, it.name);
        BOOST_TEST(it.name.starts_with("hemlocknotch_"), it.name);
        BOOST_TEST(it.help.ends_with('.'), it.name);
    }
}

BOOST_AUTO_TEST_CASE(metric_catalog_lists_every_metric_name_in_the_source_code)
{
    std::set<std::string> known;
    for (const auto& it : metric_descriptions()) {
        known.emplace(it.name);
    }
    const std::regex quoted_name{"\"(hemlocknotch_[a-z_]+)\""};
    std::size_t found = 0;
    for (const std::string package : {"core", "gateway", "daemon"}) {
        const auto sources = std::string{HEMLOCKNOTCH_SOURCE_DIR} + "/packages/" + package + "/src";
        for (const auto& file : std::filesystem::recursive_directory_iterator{sources}) {
            if (!file.is_regular_file()) {
                continue;
            }
            std::ifstream input{file.path()};
            const std::string text{std::istreambuf_iterator<char>{input}, {}};
            for (std::sregex_iterator it{text.begin(), text.end(), quoted_name}, end; it != end; ++it) {
                BOOST_TEST(known.contains((*it)[1]), (*it)[1] << " of " << file.path());
                ++found;
            }
        }
    }
    BOOST_TEST(found >= known.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
