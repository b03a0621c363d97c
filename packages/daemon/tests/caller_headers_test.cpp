#include "caller_headers.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

std::vector<header_field> with(std::vector<header_field> more)
{
    std::vector<header_field> out{{"hemlocknotch-account", "township-plots"},
                                  {"HEMLOCKNOTCH-PROFILE", "calendar"}};
    out.insert(out.end(), more.begin(), more.end());
    return out;
}

caller_request_event accepted(const std::vector<header_field>& headers)
{
    const auto reading = read_caller_headers(headers);
    const auto* fault = std::get_if<caller_header_error>(&reading);
    BOOST_REQUIRE_MESSAGE(fault == nullptr, (fault == nullptr ? "" : fault->detail));
    return std::get<caller_request_event>(reading);
}

std::string refused(const std::vector<header_field>& headers)
{
    const auto reading = read_caller_headers(headers);
    BOOST_REQUIRE(std::holds_alternative<caller_header_error>(reading));
    return std::get<caller_header_error>(reading).detail;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_headers_test)

BOOST_AUTO_TEST_CASE(reads_all_fields)
{
    const std::string trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto event = accepted(with({{"Idempotency-Key", "k-1"},
                                      {"Hemlocknotch-Cost-Hint", "12.5"},
                                      {"Hemlocknotch-Deadline-Ms", "1500"},
                                      {"Hemlocknotch-Prefix", "heirloom"},
                                      {"traceparent", trace}}));
    BOOST_TEST(event.client_account == "township-plots");
    BOOST_TEST(event.profile == "calendar");
    BOOST_TEST(event.idempotency_key == "k-1");
    BOOST_TEST(event.cost_hint.value() == 12.5);
    BOOST_TEST((event.deadline.value() == std::chrono::milliseconds{1500}));
    BOOST_TEST(event.prefix != 0U);
    BOOST_TEST(event.traceparent == trace);
}

BOOST_AUTO_TEST_CASE(passes_other_headers_on_but_no_hop_headers)
{
    const auto event = accepted(with({{"Accept", "text/plain"},
                                      {"Connection", "keep-alive, X-Private"},
                                      {"X-Private", "1"},
                                      {"Transfer-Encoding", "chunked"},
                                      {"Content-Length", "4"},
                                      {"Hemlocknotch-Prefix", "heirloom"}}));
    const std::vector<header_field> expected{{"Accept", "text/plain"}, {"Hemlocknotch-Prefix", "heirloom"}};
    BOOST_TEST((event.headers == expected));
}

BOOST_AUTO_TEST_CASE(names_the_missing_header)
{
    BOOST_TEST(contains(refused({{"Hemlocknotch-Profile", "calendar"}}), "Hemlocknotch-Account is missing"));
    BOOST_TEST(contains(refused({{"Hemlocknotch-Account", "a"}}), "Hemlocknotch-Profile is missing"));
}

BOOST_AUTO_TEST_CASE(refuses_bad_values_and_says_what_is_allowed)
{
    const std::vector<header_field> bad{
        {"Hemlocknotch-Cost-Hint", "0"},       {"Hemlocknotch-Cost-Hint", "-1"},
        {"Hemlocknotch-Cost-Hint", "nan"},     {"Hemlocknotch-Cost-Hint", "inf"},
        {"Hemlocknotch-Cost-Hint", "3 lines"}, {"Hemlocknotch-Deadline-Ms", "0"},
        {"Hemlocknotch-Deadline-Ms", "1.5"},   {"Hemlocknotch-Deadline-Ms", "86400001"},
        {"Hemlocknotch-Deadline-Ms", ""},      {"Idempotency-Key", ""},
        {"Idempotency-Key", "two words"},      {"Idempotency-Key", std::string(129, 'k')},
        {"Hemlocknotch-Prefix", "two\twords"},
    };
    for (const auto& field : bad) {
        const auto detail = refused(with({field}));
        BOOST_TEST(contains(detail, field.name), detail);
        BOOST_TEST(contains(detail, "allowed: "), detail);
    }
}

BOOST_AUTO_TEST_CASE(refuses_a_repeated_header)
{
    BOOST_TEST(contains(refused(with({{"Hemlocknotch-Account", "other"}})), "more than once"));
}

BOOST_AUTO_TEST_CASE(ignores_an_unreadable_trace_context)
{
    BOOST_TEST(accepted(with({{"traceparent", "00-zz"}})).traceparent.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
