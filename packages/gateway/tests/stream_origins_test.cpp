#include <hemlocknotch/gateway/stream_origins.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

constexpr duration lifetime = stream_origins::min_lifetime;

struct origins_fixture {
    /// Registers one endpoint of each version.
    void serve(const std::vector<std::string>& versions, stream_origins& at)
    {
        std::vector<endpoint_record> records;
        for (const auto& version : versions) {
            records.push_back(create_endpoint("e-" + version, "model"));
            records.back().software_version = version;
        }
        at.set_endpoints(records, now);
    }

    void serve(const std::vector<std::string>& versions) { serve(versions, it); }

    [[nodiscard]] std::string version_of(const std::string& request, const stream_origins& at) const
    {
        return at.version_of("model", request, now).value_or("unknown");
    }

    [[nodiscard]] std::string version_of(const std::string& request) const { return version_of(request, it); }

    void begin(const std::string& request, const std::string& version)
    {
        it.note_begun("model", request, version, now + std::chrono::seconds{12}, now);
    }

    instant now{std::chrono::seconds{100}};
    stream_origins it;
    stream_origins other;
};

BOOST_FIXTURE_TEST_SUITE(stream_origins_suite, origins_fixture)

BOOST_AUTO_TEST_CASE(the_only_version_for_as_long_as_a_stream_lasts_began_each_stream)
{
    serve({"v1"});
    BOOST_TEST(version_of("any") == "unknown");
    now += lifetime;
    BOOST_TEST(version_of("any") == "v1");
    BOOST_TEST(version_of("") == "v1");
}

BOOST_AUTO_TEST_CASE(a_stream_is_unknown_from_the_second_version_until_streams_of_the_first_have_ended)
{
    serve({"v1"});
    now += lifetime * 2;
    serve({"v1", "v2"});
    BOOST_TEST(version_of("any") == "unknown");
    now += std::chrono::seconds{1};
    serve({"v2"});
    now += lifetime - std::chrono::seconds{1};
    BOOST_TEST(version_of("any") == "unknown");
    now += std::chrono::seconds{1};
    BOOST_TEST(version_of("any") == "v2");
}

BOOST_AUTO_TEST_CASE(callers_that_wait_longer_keep_streams_unknown_for_longer)
{
    it.note_lifetime(lifetime * 3);
    serve({"v1"});
    now += lifetime * 2;
    BOOST_TEST(version_of("any") == "unknown");
    now += lifetime;
    BOOST_TEST(version_of("any") == "v1");
}

BOOST_AUTO_TEST_CASE(the_others_are_told_of_each_stream_while_two_versions_may_have_begun_it)
{
    serve({"v1"});
    serve({"v1"}, other);
    begin("early", "v1");
    now += std::chrono::seconds{1};
    serve({"v1", "v2"});
    begin("late", "v2");
    other.apply_report(it.create_report(now), now);
    BOOST_TEST(version_of("early", other) == "v1");
    BOOST_TEST(version_of("late", other) == "v2");
    BOOST_TEST(version_of("other", other) == "unknown");
}

BOOST_AUTO_TEST_CASE(streams_are_told_again_in_case_reports_are_lost_and_when_a_gateway_joins)
{
    serve({"v1", "v2"});
    begin("a", "v1");
    for (unsigned n = 0; n < stream_origins::repetitions; ++n) {
        BOOST_TEST(it.create_report(now).versions.front().streams.size() == 1U);
    }
    BOOST_TEST(it.create_report(now).versions.front().streams.empty());
    it.report_all();
    other.apply_report(it.create_report(now), now);
    BOOST_TEST(version_of("a", other) == "v1");
    // What was heard is not told on.
    other.report_all();
    serve({"v1", "v2"}, other);
    BOOST_TEST(other.create_report(now).versions.front().streams.empty());
}

BOOST_AUTO_TEST_CASE(a_gateway_that_starts_learns_from_another_which_versions_served_before)
{
    serve({"v1"});
    now += lifetime * 2;
    serve({"v1"}, other);
    BOOST_TEST(version_of("any", other) == "unknown");
    other.apply_report(it.create_report(now), now);
    BOOST_TEST(version_of("any", other) == "v1");
    stream_origins third;
    serve({"v2"});
    serve({"v2"}, third);
    third.apply_report(it.create_report(now), now);
    BOOST_TEST(version_of("any", third) == "unknown");
}

BOOST_AUTO_TEST_CASE(a_gateway_with_an_old_registry_does_not_take_its_version_for_the_only_one)
{
    serve({"v1"});
    now += lifetime * 2;
    it.note_registry(now, now);
    BOOST_TEST(version_of("any") == "v1");
    now += stream_origins::max_registry_age + std::chrono::milliseconds{1};
    BOOST_TEST(version_of("any") == "unknown");
    // Versions may have come and left meanwhile.
    it.note_registry(now, now);
    BOOST_TEST(version_of("any") == "unknown");
    now += lifetime;
    it.note_registry(now, now);
    now += std::chrono::milliseconds{1};
    BOOST_TEST(version_of("any") == "unknown");
}

BOOST_AUTO_TEST_CASE(streams_are_forgotten_when_their_callers_wait_no_more)
{
    serve({"v1", "v2"});
    begin("a", "v1");
    now += std::chrono::seconds{12};
    static_cast<void>(it.create_report(now));
    BOOST_TEST(it.size() == 0U);
    BOOST_TEST(version_of("a") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
