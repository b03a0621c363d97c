#include "span_recorder.hpp"
#include "traceparent.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace hemlocknotch::daemon {
namespace {

const request_id id{1, 2};
const std::string trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

span_effect span(std::string_view operation, const std::string& context)
{
    return {id,
            operation,
            instant{std::chrono::milliseconds{5}},
            instant{std::chrono::milliseconds{8}},
            context,
            "a",
            "calendar",
            "ran"};
}

nlohmann::json line(const span_effect& effect, const process_clock& clock)
{
    return nlohmann::json::parse(span_line(effect, clock, "entry-a"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(span_recorder_test)

BOOST_AUTO_TEST_CASE(request_span_belongs_to_the_callers_trace)
{
    const process_clock clock;
    const auto root = line(span("request", trace), clock);
    BOOST_TEST(root["trace_id"] == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(root["parent_id"] == "b7ad6b7169203331");
    BOOST_TEST(root["duration_us"] == 3000);
    BOOST_TEST(root["start_us"] == clock.wall_microseconds(instant{std::chrono::milliseconds{5}}));
    BOOST_TEST(root["tags"]["request_id"] == id.to_string());
    BOOST_TEST(root["tags"]["process"] == "entry-a");
}

BOOST_AUTO_TEST_CASE(spans_of_two_processes_have_the_same_parent)
{
    const process_clock clock_of_entry;
    const process_clock clock_of_agent;
    const auto root = line(span("request", ""), clock_of_entry);
    const auto queue = line(span("entry-queue", ""), clock_of_entry);
    const auto endpoint = line(span("endpoint", ""), clock_of_agent);
    BOOST_TEST(root["trace_id"] == id.to_string());
    BOOST_TEST(root["parent_id"] == "");
    BOOST_TEST(queue["parent_id"] == root["span_id"]);
    BOOST_TEST(endpoint["parent_id"] == root["span_id"]);
    BOOST_TEST(endpoint["trace_id"] == root["trace_id"]);
    BOOST_TEST(endpoint["span_id"] != queue["span_id"]);
}

BOOST_AUTO_TEST_CASE(endpoint_receives_the_trace_of_the_request)
{
    const process_clock clock;
    const auto context = traceparent::parse(outgoing_traceparent(id, trace));
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->trace_id() == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(context->span_id() == line(span("request", trace), clock)["span_id"].get<std::string>());
    BOOST_TEST(traceparent::parse(outgoing_traceparent(id, ""))->trace_id() == id.to_string());
}

BOOST_AUTO_TEST_CASE(parses_only_well_formed_trace_contexts)
{
    BOOST_TEST(traceparent::parse(trace).has_value());
    for (const std::string bad : {"", "00", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                  "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                  "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0"}) {
        BOOST_TEST(!traceparent::parse(bad).has_value(), bad);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hemlocknotch::daemon
