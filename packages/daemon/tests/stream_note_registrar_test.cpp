#include <hemlocknotch/core/endpoint_address.hpp>

#include "gateway/report_exchange.hpp"
#include "gateway/stream_note_registrar.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

/// A store that keeps what is written, unless it is away.
struct note_memory final : gateway::stream_note_store {
    void write_note(std::string_view /*name*/, std::string value, duration /*time_to_live*/,
                    std::function<void(bool)> done) override
    {
        if (!is_away) {
            values.push_back(std::move(value));
        }
        done(!is_away);
    }

    void read_notes(std::function<void(std::optional<std::vector<std::string>>)> done) override
    {
        done(is_away ? std::nullopt : std::optional{values});
    }

    std::vector<std::string> values;
    bool is_away = false;
};

struct notes_fixture {
    /// A gateway with its knowledge of streams.
    struct gateway_memory {
        explicit gateway_memory(gateway::stream_note_store& store) : registrar{store, origins, "g/"} {}

        gateway::stream_origins origins;
        stream_note_registrar registrar;
    };

    void serve(const std::vector<std::string>& versions, gateway_memory& at) const
    {
        std::vector<gateway::endpoint_record> records;
        records.reserve(versions.size());
        for (const auto& version : versions) {
            records.push_back({.instance = "e-" + version,
                               .service = "model",
                               .address = *endpoint_address::parse("127.0.0.1:1"),
                               .failure_domain = "d",
                               .slots = 1,
                               .is_draining = false,
                               .cold_remaining = {},
                               .started_at_ms = 1,
                               .software_version = version});
        }
        at.origins.set_endpoints(records, now);
    }

    void pass(duration time, gateway_memory& at)
    {
        now += time;
        at.registrar.update([this] { return now; });
    }

    [[nodiscard]] std::string version_of(const std::string& request, const gateway_memory& at) const
    {
        return at.origins.version_of("model", request, now).value_or("unknown");
    }

    instant now{std::chrono::seconds{100}};
    note_memory store;
    gateway_memory first{store};
    gateway_memory second{store};
};

constexpr duration step = std::chrono::milliseconds{200};

BOOST_FIXTURE_TEST_SUITE(stream_note_registrar_suite, notes_fixture)

BOOST_AUTO_TEST_CASE(a_gateway_that_starts_after_all_were_killed_knows_the_streams_of_two_versions)
{
    serve({"v1", "v2"}, first);
    pass(step, first);
    pass(step, first);
    first.origins.note_begun("model", "a", "v1", now + std::chrono::seconds{10}, now);
    pass(step, first);
    serve({"v2"}, second);
    pass(step, second);
    BOOST_TEST(version_of("a", second) == "v1");
    BOOST_TEST(version_of("b", second) == "unknown");
}

BOOST_AUTO_TEST_CASE(a_gateway_that_starts_where_one_version_serves_takes_up_every_stream)
{
    serve({"v1"}, first);
    pass(step, first);
    pass(step, first);
    BOOST_TEST(store.values.empty());
    serve({"v1"}, second);
    BOOST_TEST(version_of("a", second) == "unknown");
    pass(step, second);
    BOOST_TEST(version_of("a", second) == "v1");
}

BOOST_AUTO_TEST_CASE(streams_of_a_note_that_was_not_written_are_in_the_next_one)
{
    serve({"v1", "v2"}, first);
    pass(step, first);
    first.origins.note_begun("model", "a", "v1", now + std::chrono::seconds{10}, now);
    const auto notes = store.values.size();
    store.is_away = true;
    pass(step, first);
    BOOST_TEST(store.values.size() == notes);
    pass(step, second);
    BOOST_TEST(version_of("a", second) == "unknown");
    store.is_away = false;
    pass(step, first);
    pass(std::chrono::seconds{1}, second);
    BOOST_TEST(version_of("a", second) == "v1");
}

BOOST_AUTO_TEST_CASE(notes_that_cannot_be_read_are_left_out)
{
    store.values = {"", "\x84", std::string(100, '\xff'), "{}"};
    serve({"v1"}, second);
    pass(step, second);
    BOOST_TEST(version_of("a", second) == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
