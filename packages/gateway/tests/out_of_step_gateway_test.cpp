#include <hemlocknotch/gateway/stream_origins.hpp>

#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {
namespace {

/// Longer than callers may wait, so that streams of before are over.
constexpr duration calm_time = std::chrono::seconds{30};
constexpr duration step = milliseconds{50};

/// One of the gateways that serve the same endpoints.
struct gateway_under_test {
    explicit gateway_under_test(const placement_policy& placement)
        : it{router_options{}, placement, placement, port}
    {
    }

    recording_port port;
    router it;
};

/// Two gateways, of which one hears nothing while a second software version joins.
struct out_of_step_fixture {
    out_of_step_fixture()
    {
        const auto configuration = std::make_shared<routing_configuration>(create_document());
        for (auto* gateway : {&in_step, &out_of_step}) {
            gateway->it.set_configuration(configuration, now);
            gateway->it.set_gateways(2);
        }
        register_endpoints(in_step, {"old1", "old2"});
        register_endpoints(out_of_step, {"old1", "old2"});
        const auto end = now + calm_time;
        while (now < end) {
            pass(step);
            out_of_step.port.registry_known_at = now;
        }
    }

    static std::string version_of(const std::string& instance) { return instance.substr(0, 3); }

    void register_endpoints(gateway_under_test& at, const std::vector<std::string>& names) const
    {
        std::vector<endpoint_record> records;
        for (const auto& name : names) {
            records.push_back(create_endpoint(name, "model"));
            records.back().software_version = version_of(name);
        }
        at.it.set_endpoints(records, now);
    }

    /// Lets time pass, in which one gateway keeps reading the registry.
    void pass(duration time)
    {
        now += time;
        in_step.port.registry_known_at = now;
        for (auto* gateway : {&in_step, &out_of_step}) {
            static_cast<void>(gateway->it.create_stream_report(now));
        }
        in_step.it.on_timer(now);
    }

    std::shared_ptr<caller_request> create_stream_request(const std::string& target)
    {
        ++last_exchange;
        auto out =
            std::make_shared<caller_request>(*create_request("id-" + std::to_string(last_exchange), target));
        out->fields.prompt = {{last_exchange * 1000, 600}, {last_exchange, 400}};
        return out;
    }

    /// Begins a stream at `at` and breaks it off after its first event. Returns the version that began it;
    /// empty where no endpoint took it.
    std::string begin_stream(gateway_under_test& at, const std::string& target)
    {
        const auto request = create_stream_request(target);
        const auto calls = at.port.calls.size();
        at.it.on_request(last_exchange, request, now);
        if (at.port.calls.size() == calls) {
            return {};
        }
        const auto call = at.port.calls.back();
        answer_fields fields;
        fields.request_id = request->fields.id;
        fields.is_signed = true;
        fields.is_event_stream = true;
        at.it.on_head(call.call, {200, {}}, fields, now);
        at.it.on_part(call.call, "id: 1\ndata: x\n\n", now);
        at.it.on_caller_disconnected(last_exchange, now);
        return version_of(call.instance);
    }

    /// Takes up the stream of the request `id` at `at`. Returns the version at which it goes on; empty where
    /// it does not.
    std::string take_up(gateway_under_test& at, const std::string& id)
    {
        const auto request = create_stream_request("/resume/");
        request->fields.last_event_id = "1";
        request->fields.resumed_request_id = id;
        const auto calls = at.port.calls.size();
        at.it.on_request(last_exchange, request, now);
        at.it.on_caller_disconnected(last_exchange, now);
        return at.port.calls.size() == calls ? std::string{} : version_of(at.port.calls.back().instance);
    }

    instant now{std::chrono::seconds{100}};
    exchange_id last_exchange = 0;
    affinity_placement placement{affinity_options{}};
    gateway_under_test in_step{placement};
    gateway_under_test out_of_step{placement};
};

BOOST_FIXTURE_TEST_SUITE(out_of_step_gateway_suite, out_of_step_fixture)

BOOST_AUTO_TEST_CASE(a_gateway_that_missed_a_version_does_not_take_up_its_streams_at_another_version)
{
    register_endpoints(in_step, {"old1", "old2", "new1", "new2"});
    std::set<std::string> begun_at;
    std::vector<std::string> of_new_version;
    for (const auto end = now + std::chrono::seconds{8}; now < end; pass(step)) {
        const auto version = begin_stream(in_step, "/resume/");
        begun_at.insert(version);
        if (version == "new") {
            of_new_version.push_back("id-" + std::to_string(last_exchange));
        }
        for (const auto& id : of_new_version) {
            BOOST_TEST(take_up(out_of_step, id) != "old");
        }
    }
    BOOST_TEST(begun_at.contains("old"));
    BOOST_TEST(begun_at.contains("new"));
}

BOOST_AUTO_TEST_CASE(a_gateway_that_is_out_of_step_does_not_vouch_for_the_versions_it_knows)
{
    BOOST_TEST((out_of_step.it.create_stream_report(now).known_for > duration::zero()));
    for (const auto end = now + stream_origins::max_registry_age; now <= end;) {
        pass(step);
    }
    BOOST_TEST((out_of_step.it.create_stream_report(now).known_for == duration::zero()));
    BOOST_TEST((in_step.it.create_stream_report(now).known_for > duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_version_that_joins_takes_at_once_what_is_never_taken_up)
{
    register_endpoints(in_step, {"old1", "old2", "new1", "new2"});
    std::set<std::string> begun_at;
    for (int n = 0; n < 40; ++n) {
        begun_at.insert(begin_stream(in_step, "/stream/"));
    }
    BOOST_TEST(begun_at.contains("new"));
}

BOOST_AUTO_TEST_CASE(a_version_that_joins_begins_streams_at_once_before_a_single_gateway)
{
    in_step.it.set_gateways(1);
    register_endpoints(in_step, {"old1", "old2", "new1", "new2"});
    std::set<std::string> begun_at;
    for (int n = 0; n < 40; ++n) {
        begun_at.insert(begin_stream(in_step, "/resume/"));
    }
    BOOST_TEST(begun_at.contains("new"));
}

BOOST_AUTO_TEST_CASE(a_gateway_that_starts_learns_from_another_which_versions_have_settled)
{
    register_endpoints(in_step, {"old1", "old2", "new1", "new2"});
    pass(stream_origins::settling_time);
    gateway_under_test started{placement};
    started.it.set_configuration(std::make_shared<routing_configuration>(create_document()), now);
    started.it.set_gateways(3);
    register_endpoints(started, {"old1", "old2", "new1", "new2"});
    BOOST_TEST(begin_stream(started, "/resume/").empty());
    started.it.apply_stream_report(in_step.it.create_stream_report(now), now);
    std::set<std::string> begun_at;
    for (int n = 0; n < 40; ++n) {
        begun_at.insert(begin_stream(started, "/resume/"));
    }
    BOOST_TEST(begun_at.contains("old"));
    BOOST_TEST(begun_at.contains("new"));
}

BOOST_AUTO_TEST_CASE(a_stream_that_no_version_may_begin_in_time_is_refused_at_once)
{
    register_endpoints(in_step, {"new1", "new2"});
    BOOST_TEST(begin_stream(in_step, "/resume/").empty());
    BOOST_TEST(in_step.port.answers[last_exchange].status == 503);
    pass(stream_origins::settling_time);
    BOOST_TEST(begin_stream(in_step, "/resume/") == "new");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
