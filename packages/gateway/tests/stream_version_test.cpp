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

/// A router with two model endpoints of each of two software versions.
struct versions_fixture : router_fixture {
    versions_fixture() { set_endpoints({"old1", "old2", "new1", "new2"}); }

    /// Registers these endpoints; their versions are in their names.
    void set_endpoints(const std::vector<std::string>& names)
    {
        records.clear();
        for (const auto& name : names) {
            records.push_back(create_endpoint(name, "model"));
            records.back().software_version = version_of(name);
        }
        it.set_endpoints(records, now);
    }

    static std::string version_of(const std::string& instance) { return instance.substr(0, 3); }

    /// Returns a request whose prompt is that of stream `stream`, since prompts decide where streams are
    /// placed.
    static std::shared_ptr<caller_request> request_of(exchange_id exchange, std::uint64_t stream)
    {
        auto out =
            std::make_shared<caller_request>(*create_request("id-" + std::to_string(exchange), "/resume/"));
        out->fields.prompt = {{stream * 1000, 600}, {stream, 400}};
        return out;
    }

    /// Begins a resumable stream with one event. Returns the version that began it.
    std::string begin_stream(exchange_id exchange)
    {
        it.on_request(exchange, request_of(exchange, exchange), now);
        pass_event("id: 1\ndata: x\n\n");
        return version_of(port.calls.back().instance);
    }

    void pass_event(std::string_view event)
    {
        head(port.calls.back(), 200, true);
        it.on_part(port.calls.back().call, event, now);
    }

    /// A caller takes up, after event 1, the stream that its request `id` began.
    void take_up(exchange_id exchange, const std::string& id)
    {
        auto request =
            std::make_shared<caller_request>(*create_request("id-" + std::to_string(exchange), "/resume/"));
        request->fields.last_event_id = "1";
        request->fields.resumed_request_id = id;
        it.on_request(exchange, request, now);
    }

    /// Returns the versions of the endpoints to which calls were made from call `n` on.
    [[nodiscard]] std::set<std::string> versions_from(std::size_t n) const
    {
        std::set<std::string> out;
        for (; n < port.calls.size(); ++n) {
            out.insert(version_of(port.calls[n].instance));
        }
        return out;
    }
};

BOOST_FIXTURE_TEST_SUITE(stream_version_suite, versions_fixture)

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_goes_on_at_the_version_that_began_it)
{
    for (exchange_id id = 1; id <= 20; ++id) {
        const auto version = begin_stream(id);
        const auto calls = port.calls.size();
        it.on_end(port.calls.back().call, call_outcome::broken, now);
        BOOST_REQUIRE(port.calls.size() == calls + 1);
        BOOST_TEST(version_of(port.calls.back().instance) == version);
        pass_event("id: 2\ndata: y\n\n");
        it.on_end(port.calls.back().call, call_outcome::complete, now);
        now += std::chrono::seconds{3};
    }
}

BOOST_AUTO_TEST_CASE(a_stream_is_cut_when_its_version_serves_no_more)
{
    const auto version = begin_stream(1);
    const auto call = port.calls.back().call;
    version == "old" ? set_endpoints({"new1", "new2"}) : set_endpoints({"old1", "old2"});
    it.on_end(call, call_outcome::broken, now);
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(1).is_aborted);
}

BOOST_AUTO_TEST_CASE(a_stream_that_its_caller_takes_up_goes_on_at_the_version_that_began_it)
{
    for (exchange_id id = 1; id <= 40; id += 2) {
        const auto version = begin_stream(id);
        it.on_caller_disconnected(id, now);
        const auto calls = port.calls.size();
        take_up(id + 1, "id-" + std::to_string(id));
        BOOST_REQUIRE(port.calls.size() == calls + 1);
        BOOST_TEST(version_of(port.calls.back().instance) == version);
        pass_event("id: 2\ndata: y\n\n");
        it.on_end(port.calls.back().call, call_outcome::complete, now);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_nobody_knows_is_not_taken_up_while_two_versions_serve)
{
    take_up(1, "unknown");
    BOOST_TEST(port.calls.empty());
    BOOST_TEST(answer(1).status == 503);
}

BOOST_AUTO_TEST_CASE(a_stream_is_not_taken_up_once_its_version_has_left)
{
    const auto version = begin_stream(1);
    it.on_caller_disconnected(1, now);
    version == "old" ? set_endpoints({"new1", "new2"}) : set_endpoints({"old1", "old2"});
    take_up(2, "id-1");
    BOOST_TEST(port.calls.size() == 1U);
    BOOST_TEST(answer(2).status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::gateway
