#include "gateway/gateway_settings.hpp"
#include "gateway/nonblocking_log.hpp"
#include "gateway/report_exchange.hpp"
#include "process_clock.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

BOOST_AUTO_TEST_SUITE(gateway_parts_suite)

BOOST_AUTO_TEST_CASE(full_pipe_drops_log_lines_without_blocking)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    instant now{std::chrono::seconds{1}};
    nonblocking_log it{ends[1], "g", [&] { return now; }};
    // Many times what pipe and buffer hold. Nobody reads, so that a blocking write would never return.
    for (int n = 0; n < 20'000; ++n) {
        now += std::chrono::milliseconds{50};
        if (it.try_acquire(log_level::error)) {
            it.write({log_level::error, "request-ended", {{"request", std::string(100, 'a')}}});
        }
    }
    BOOST_TEST(it.dropped_count() > 10'000U);
    ::close(ends[0]);
    ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(log_budget_is_larger_for_warnings_than_for_debug)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    const instant now{std::chrono::seconds{1}};
    nonblocking_log it{ends[1], "g", [&] { return now; }};
    const auto count = [&](log_level level) {
        int out = 0;
        for (int n = 0; n < 1000; ++n) {
            out += it.try_acquire(level) ? 1 : 0;
        }
        return out;
    };
    const auto successes = count(log_level::debug);
    const auto failures = count(log_level::warning);
    BOOST_TEST(successes <= nonblocking_log::lines_per_second[0] * nonblocking_log::burst_seconds);
    BOOST_TEST(failures > successes);
    BOOST_TEST(it.dropped_count() == 2000U - static_cast<unsigned>(successes + failures));
    ::close(ends[0]);
    ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(reports_dropped_log_lines_at_most_once_a_second)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    instant now{std::chrono::seconds{1}};
    nonblocking_log it{ends[1], "g", [&] { return now; }};
    constexpr int steps = 300;
    constexpr int steps_per_second = 100;
    for (int n = 0; n < steps; ++n) {
        now += std::chrono::milliseconds{1000 / steps_per_second};
        for (int k = 0; k < 3; ++k) {
            if (it.try_acquire(log_level::warning)) {
                it.write({log_level::warning, "request-ended", {}});
            }
        }
    }
    ::close(ends[1]);
    std::string text(nonblocking_log::max_pending_bytes, '\0');
    const auto size = ::read(ends[0], text.data(), text.size());
    BOOST_REQUIRE(size > 0);
    ::close(ends[0]);
    std::size_t reports = 0;
    for (auto at = text.find("log-lines-left-out"); at != std::string::npos;
         at = text.find("log-lines-left-out", at + 1)) {
        ++reports;
    }
    BOOST_TEST(it.dropped_count() > 0U);
    BOOST_TEST(reports >= 1U);
    BOOST_TEST(reports <= steps / steps_per_second);
}

BOOST_AUTO_TEST_CASE(a_full_buffer_keeps_room_for_lines_on_the_state_of_the_process)
{
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    instant now{std::chrono::seconds{1}};
    nonblocking_log it{ends[1], "g", [&] { return now; }};
    while (it.dropped_count() == 0) {
        now += std::chrono::seconds{1};
        it.write({log_level::warning, "request-ended", {{"request", std::string(100, 'a')}}});
    }
    it.write_state({log_level::warning, "registry-lost", {}});
    BOOST_TEST(it.dropped_count() == 1U);
    ::close(ends[0]);
    ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(settings_errors_name_the_path_of_each_faulty_field)
{
    const auto good = parse_gateway_settings(R"({
        // comments are allowed
        "instance": "g", "failure_domain": "d", "unknown": [1],
        "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "members": null},
        "store": "127.0.0.1:3", "seeds": ["127.0.0.1:4"], "bounds": {"retry_ratio": 0.3}})");
    BOOST_REQUIRE(good.accepted);
    BOOST_TEST(good.accepted->retry_ratio == 0.3);
    BOOST_TEST(!good.accepted->members);
    BOOST_TEST(good.accepted->seeds.size() == 1U);
    const auto bad = parse_gateway_settings(
        R"({"instance": 7, "listen": {"callers": "here"}, "store": "127.0.0.1:3", "bounds": {"retry_ratio": -1}})");
    BOOST_TEST(!bad.accepted);
    std::string all;
    for (const auto& it : bad.errors) {
        all += it + "\n";
    }
    for (const auto* path :
         {"/instance", "/failure_domain", "/listen/callers", "/listen/readiness", "/bounds/retry_ratio"}) {
        BOOST_TEST(all.find(path) != std::string::npos, path);
    }
    BOOST_TEST(!parse_gateway_settings("[]").errors.empty());
    BOOST_TEST(!parse_gateway_settings("{").errors.empty());
}

BOOST_AUTO_TEST_CASE(report_survives_encoding_and_decoding)
{
    gateway::fleet_report report;
    report.gateway = "g1";
    report.incarnation = 0xffff'ffff'ffff'ffffU;
    report.sequence = 9;
    report.endpoints = {{"i-1", 1234.0, 7, 56789.0}};
    report.accounts = {{"s", "acme", {100.0, 50.0}}};
    report.configuration_version = 48;
    const auto bytes = encode_report(report);
    const auto back = decode_report(bytes);
    BOOST_REQUIRE(back);
    BOOST_TEST(back->configuration_version == 48U);
    BOOST_TEST(back->gateway == "g1");
    BOOST_TEST(back->incarnation == report.incarnation);
    BOOST_TEST(back->sequence == 9U);
    BOOST_REQUIRE_EQUAL(back->endpoints.size(), 1U);
    BOOST_TEST(back->endpoints[0].pending_tokens == 1234.0);
    BOOST_TEST(back->endpoints[0].running == 7U);
    BOOST_REQUIRE_EQUAL(back->accounts.size(), 1U);
    BOOST_TEST(back->accounts[0].rates.served == 50.0);
}

BOOST_AUTO_TEST_CASE(update_survives_encoding_and_is_partial_when_too_large)
{
    gateway::registry_update update;
    update.gateway = "g1";
    update.from_revision = 5;
    update.to_revision = 9;
    update.age = std::chrono::milliseconds{12};
    update.grace = std::chrono::milliseconds{1700};
    update.answering_for = std::chrono::milliseconds{2300};
    update.changes = {{"a", 6, false, std::string("\0\xff", 2)}, {"b", 7, true, ""}};
    const auto back = decode_update(encode_update(update, max_datagram_update_bytes));
    BOOST_REQUIRE(back);
    BOOST_TEST(back->from_revision == 5U);
    BOOST_TEST(back->to_revision == 9U);
    BOOST_TEST((back->age == update.age));
    BOOST_TEST((back->grace == update.grace));
    BOOST_TEST((back->answering_for == update.answering_for));
    update.answering_for.reset();
    BOOST_TEST(!decode_update(encode_update(update, max_datagram_update_bytes))->answering_for);
    BOOST_TEST(!back->is_partial);
    BOOST_REQUIRE_EQUAL(back->changes.size(), 2U);
    BOOST_TEST(back->changes[0].value == update.changes[0].value);
    BOOST_TEST(back->changes[1].is_removed);
    update.changes.push_back({"c", 8, false, std::string(100'000, 'x')});
    const auto bytes = encode_update(update, max_datagram_update_bytes);
    BOOST_TEST(bytes.size() < 60'000U);
    BOOST_TEST(decode_update(bytes)->is_partial);
    // A report cannot be decoded as an update, nor an update as a report.
    gateway::fleet_report report;
    report.gateway = "g1";
    BOOST_TEST(!decode_update(encode_report(report)));
    BOOST_TEST(!decode_report(bytes));
}

BOOST_AUTO_TEST_CASE(damaged_reports_are_rejected)
{
    gateway::fleet_report report;
    report.gateway = "g1";
    report.endpoints = {{"i-1", 1234.0, 7, 56789.0}};
    const auto valid = encode_report(report);
    std::mt19937 random{3};
    for (int n = 0; n < 5000; ++n) {
        auto bytes = valid;
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        bytes.resize(random() % 2 == 0 ? bytes.size() : random() % bytes.size());
        static_cast<void>(decode_report(bytes));
    }
    BOOST_TEST(!decode_report({}));
    // Fields that are misplaced, negative or missing.
    using nlohmann::json;
    const std::vector<json> others{
        json{"g1", 1, 2, json::array({"i-1", 5, 1}), json::object()},
        json{"g1", 1, 2, json::array({"i-1", -5, 1, 7}), json::object()},
        json{"g1", 1, 2, json::array({5, "i-1", 1, 7}), json::object()},
        json{"g1", 1, 2, json::array({json::array({"i-1", 5, 1, 7})}), json::object()},
        json{"g1", 1, 2, json::array(), json{{"s", json::array({"acme", 1})}}},
        json{"g1", 1, 2, json::array()},
        json{"g1", 1, 2, json::object(), json::object()},
        json{1, "g1", 2, json::array(), json::object()},
    };
    for (const auto& it : others) {
        BOOST_TEST(!decode_report(json::to_cbor(it)), it.dump());
    }
    BOOST_TEST(decode_report(json::to_cbor(json{"g1", 1, 2, json::array(), json::object()})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
