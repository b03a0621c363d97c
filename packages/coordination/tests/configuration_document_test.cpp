#include <hemlocknotch/coordination/configuration_document.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using hemlocknotch::configuration_read_result;
using hemlocknotch::read_configuration;

namespace {

const std::string valid_document = R"({
  // A comment.
  "services": {"gardener": {"cost_unit": "lines", "initial_estimate": 200},
               "booking": {"cost_unit": "requests"}},
  "profiles": {
    "calendar": {"service": "gardener", "idempotent": true, "resumable": true, "urgency": "slow",
                 "deadline_ms": 60000, "max_body_bytes": 1000, "max_attempts": 3},
    "book": {"service": "booking", "idempotent": false, "deadline_ms": 5000, "max_body_bytes": 100}
  },
  "client_accounts": {"township": {"weight": 2.5}, "farm": {}},
  "out_of_service": {"failure_domains": ["a"], "instances": ["agent-7"]}
})";

/// Returns `valid_document` with `old_text` replaced by `new_text`.
std::string edited(std::string_view old_text, std::string_view new_text)
{
    std::string text = valid_document;
    const std::size_t at = text.find(old_text);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, old_text.size(), new_text);
}

std::vector<std::string> paths_of(const configuration_read_result& reading)
{
    std::vector<std::string> paths;
    for (const auto& it : reading.errors) {
        paths.push_back(it.path);
    }
    return paths;
}

/// Checks that the document with `old_text` replaced by `new_text` is rejected with exactly one error, at
/// `path`.
void check_error(std::string_view old_text, std::string_view new_text, const std::string& path)
{
    BOOST_TEST_CONTEXT(new_text)
    {
        const configuration_read_result reading = read_configuration(edited(old_text, new_text), 1);
        BOOST_TEST(!reading.accepted);
        BOOST_TEST(paths_of(reading) == std::vector<std::string>{path}, boost::test_tools::per_element());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_document_test)

BOOST_AUTO_TEST_CASE(valid_document_is_read_completely)
{
    const configuration_read_result reading = read_configuration(valid_document, 9);
    BOOST_TEST(reading.errors.empty());
    BOOST_REQUIRE(reading.accepted);
    const hemlocknotch::configuration& value = *reading.accepted;
    BOOST_TEST(value.revision == 9U);
    BOOST_TEST(value.document == valid_document);
    BOOST_TEST((value.find_service("booking")->unit == hemlocknotch::cost_unit::requests));
    BOOST_TEST((value.find_profile("calendar")->work_urgency == hemlocknotch::urgency::slow));
    BOOST_TEST((value.find_profile("calendar")->deadline == std::chrono::seconds{60}));
    BOOST_TEST(value.find_profile("book")->max_attempts == 1U);
    BOOST_TEST(value.weight_of(hemlocknotch::account_key::of("township")) == 2.5);
    BOOST_TEST(value.is_out_of_service("x", "a"));
    BOOST_TEST(value.is_out_of_service("agent-7", "b"));
    BOOST_TEST(!value.is_out_of_service("x", "b"));
}

BOOST_AUTO_TEST_CASE(each_error_is_reported_at_its_path)
{
    check_error(R"("cost_unit": "requests")", R"("cost_unit": "tokens")", "services.booking.cost_unit");
    check_error(R"("cost_unit": "requests")", "", "services.booking.cost_unit");
    check_error(": 200", ": 0", "services.gardener.initial_estimate");
    check_error(": 200", ": true", "services.gardener.initial_estimate");
    check_error(R"("service": "booking")", R"("service": "bookings")", "profiles.book.service");
    check_error("5000", "0", "profiles.book.deadline_ms");
    check_error("5000", "1.5", "profiles.book.deadline_ms");
    check_error("5000", "18446744073709551615", "profiles.book.deadline_ms");
    check_error("5000", "86400001", "profiles.book.deadline_ms");
    check_error("5000", R"("5000")", "profiles.book.deadline_ms");
    check_error("2.5", "0", "client_accounts.township.weight");
    check_error("2.5", "-1", "client_accounts.township.weight");
    check_error("2.5", "1001", "client_accounts.township.weight");
    check_error(R"("weight")", R"("wieght")", "client_accounts.township.wieght");
    check_error(R"("farm")", R"("fa rm")", "client_accounts.fa rm");
    check_error(R"(["a"])", R"(["a", "a"])", "out_of_service.failure_domains");
    check_error(R"(["a"])", R"("a")", "out_of_service.failure_domains");
    check_error(R"("instances")", R"("instance")", "out_of_service.instance");
    check_error(R"("client_accounts")", R"("accounts": {}, "client_accounts")", "accounts");
}

BOOST_AUTO_TEST_CASE(profile_that_is_not_idempotent_may_not_retry_or_resume)
{
    check_error(R"("idempotent": false)", R"("idempotent": false, "max_attempts": 2)",
                "profiles.book.max_attempts");
    check_error(R"("idempotent": false)", R"("idempotent": false, "resumable": true)",
                "profiles.book.resumable");
}

BOOST_AUTO_TEST_CASE(duplicate_key_is_reported)
{
    check_error(R"("farm": {})", R"("farm": {}, "township": {})", "client_accounts.township");
    check_error(R"("weight": 2.5)", R"("weight": 2.5, "weight": 1)", "client_accounts.township.weight");
}

BOOST_AUTO_TEST_CASE(two_names_with_the_same_account_key_are_rejected)
{
    using hemlocknotch::account_key;
    BOOST_REQUIRE((account_key::of("account-46940") == account_key::of("account-164146")));
    check_error(R"("farm": {})", R"("account-46940": {}, "account-164146": {})",
                "client_accounts.account-46940");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together)
{
    const configuration_read_result reading = read_configuration(
        R"({"services": {"s": {"cost_unit": 1}}, "profiles": {"p": {"service": "t"}}, "more": 1})", 1);
    const std::vector<std::string> expected{"services.s.cost_unit",
                                            "profiles.p.service",
                                            "profiles.p.idempotent",
                                            "profiles.p.deadline_ms",
                                            "profiles.p.max_body_bytes",
                                            "client_accounts",
                                            "more"};
    BOOST_TEST(paths_of(reading) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(text_that_is_not_json_is_rejected_with_the_line_of_the_error)
{
    const configuration_read_result reading = read_configuration("{\n  \"services\": {,}\n}", 1);
    BOOST_REQUIRE(reading.errors.size() == 1U);
    BOOST_TEST(reading.errors.front().found.find("line 2") != std::string::npos);
    BOOST_TEST(!read_configuration("", 1).accepted);
    BOOST_TEST(!read_configuration("[]", 1).accepted);
    BOOST_TEST(!read_configuration(edited("5000", "1e999"), 1).accepted);
    BOOST_TEST(!read_configuration(edited("A comment.", "\xff"), 1).accepted);
}

BOOST_AUTO_TEST_CASE(document_above_a_megabyte_or_nested_too_deeply_is_rejected)
{
    BOOST_TEST(!read_configuration(edited("A comment.", std::string(1'000'000, 'x')), 1).accepted);
    // A quotation mark takes two bytes in the stored form.
    BOOST_TEST(!read_configuration(edited("A comment.", std::string(500'000, '"')), 1).accepted);
    BOOST_TEST(read_configuration(edited("A comment.", std::string(400'000, '"')), 1).accepted);
    const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
    BOOST_TEST(!read_configuration(edited("2.5", nested), 1).accepted);
    BOOST_TEST(!read_configuration(nested, 1).accepted);
}

BOOST_AUTO_TEST_SUITE_END()
