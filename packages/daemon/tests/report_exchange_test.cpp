#include "gateway/report_exchange.hpp"
#include "test_loop.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hemlocknotch::daemon {
namespace {

using gateway::fleet_report;
using gateway::registry_update;

/// Two exchanges on loopback; the first sends to the second.
struct exchange_fixture {
    exchange_fixture()
    {
        BOOST_REQUIRE(listen(sender, "127.0.0.2:0"));
        // Ports that the system chooses are not reported back, so that one is tried after the other.
        for (unsigned port = 20'000; !receiver_address && port < 20'100; ++port) {
            const auto address = *endpoint_address::parse("127.0.0.3:" + std::to_string(port));
            if (listen(receiver, address.to_string())) {
                receiver_address = address;
            }
        }
        BOOST_REQUIRE(receiver_address);
    }

    static bool listen(report_exchange& it, const std::string& address)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                if (auto listening = it.listen(*endpoint_address::parse(address)); !listening) {
                    return listening.error();
                }
                return true;
            },
            [] { return false; });
    }

    void send(const registry_update& update) { sender.send(update, {{*receiver_address}}); }

    registry_update receive()
    {
        BOOST_REQUIRE(loop.run_until([&] { return received.has_value(); }));
        return *std::exchange(received, std::nullopt);
    }

    test_loop loop;
    instant now{std::chrono::seconds{100}};
    std::optional<registry_update> received;
    report_exchange sender{loop.base(),
                           [this] { return now; },
                           [](const fleet_report&, const endpoint_address&) {},
                           [](const registry_update&) {},
                           [](const gateway::stream_report&) {},
                           [](const gateway::rollout_report&) {}};
    report_exchange receiver{loop.base(),
                             [this] { return now; },
                             [](const fleet_report&, const endpoint_address&) {},
                             [this](const registry_update& it) { received = it; },
                             [](const gateway::stream_report&) {},
                             [](const gateway::rollout_report&) {}};
    std::optional<endpoint_address> receiver_address;
};

BOOST_FIXTURE_TEST_SUITE(report_exchange_suite, exchange_fixture)

BOOST_AUTO_TEST_CASE(an_update_that_waited_to_be_read_does_not_count_as_fresh)
{
    registry_update update;
    update.gateway = "g1";
    update.age = std::chrono::milliseconds{10};
    send(update);
    // The receiver gets no processor time meanwhile.
    now += std::chrono::seconds{1};
    BOOST_TEST((receive().age >= std::chrono::milliseconds{1010}));
    send(update);
    BOOST_TEST((receive().age == update.age));
}

void check_signatures(const std::vector<gateway::signature_report>& known,
                      const std::vector<gateway::request_signature>& sound)
{
    fleet_report report;
    report.gateway = "g1";
    report.signatures = {known, sound};
    const auto read = decode_report(encode_report(report));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE_EQUAL(read->signatures.known.size(), known.size());
    for (std::size_t n = 0; n < known.size(); ++n) {
        const auto& it = read->signatures.known[n];
        BOOST_TEST((it.signature == known[n].signature));
        BOOST_TEST(it.endpoints == known[n].endpoints, boost::test_tools::per_element());
        BOOST_TEST(it.block == known[n].block);
        BOOST_TEST((it.blocked_for == known[n].blocked_for));
        BOOST_TEST(it.has_trial == known[n].has_trial);
    }
    BOOST_TEST((read->signatures.sound == sound));
}

BOOST_AUTO_TEST_CASE(a_report_tells_what_is_known_against_prompt_parts_and_requests)
{
    const std::vector<gateway::signature_report> parts{
        {{7}, {"e1", "e2"}, 0, {}, true},
        {{0xfedcba9876543210}, {}, 2, std::chrono::milliseconds{1500}, false}};
    const std::vector<gateway::signature_report> requests{
        {{3, 0xfedcba9876543210}, {"e1"}, 0, {}, true},
        {{0, 1}, {}, 1, std::chrono::milliseconds{2500}, false}};
    auto both = parts;
    both.insert(both.end(), requests.begin(), requests.end());
    check_signatures(parts, {{8}, {9}});
    check_signatures(requests, {{0, 5}, {6, 7}});
    check_signatures(both, {{8}, {6, 7}});
    check_signatures({}, {{6, 7}});
}

BOOST_AUTO_TEST_CASE(a_report_tells_what_endpoints_announce)
{
    fleet_report report;
    report.gateway = "g1";
    report.endpoints = {{"e1", 10.0, 1, 20.0}};
    report.limits = {{"e1", 4.5, std::chrono::milliseconds{20}}, {"e2", 0.0, {}}};
    report.leaving = {{"e3", 1'796'387'653'890}};
    report.pauses = {{"e4", std::chrono::milliseconds{900}}};
    const auto read = decode_report(encode_report(report));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE_EQUAL(read->limits.size(), 2U);
    BOOST_TEST(read->limits[0].instance == "e1");
    BOOST_TEST(read->limits[0].requests_per_second == 4.5);
    BOOST_TEST((read->limits[0].age == std::chrono::milliseconds{20}));
    BOOST_TEST(read->limits[1].requests_per_second == 0.0);
    BOOST_REQUIRE_EQUAL(read->pauses.size(), 1U);
    BOOST_TEST(read->pauses[0].instance == "e4");
    BOOST_TEST((read->pauses[0].remaining == std::chrono::milliseconds{900}));
    BOOST_REQUIRE_EQUAL(read->leaving.size(), 1U);
    BOOST_TEST(read->leaving[0].instance == "e3");
    BOOST_TEST(read->leaving[0].started_at_ms == 1'796'387'653'890U);
    BOOST_TEST(read->signatures.known.empty());
}

BOOST_AUTO_TEST_CASE(a_report_that_is_cut_is_dropped_and_a_damaged_one_takes_bounded_memory)
{
    fleet_report report;
    report.gateway = "g1";
    report.signatures.known = {{{7}, {"e1", "e2"}, 1, std::chrono::milliseconds{1500}, true},
                               {{7, 9}, {"e1"}, 1, std::chrono::milliseconds{1500}, true}};
    report.signatures.sound = {{8}, {8, 9}};
    report.limits = {{"e1", 4.5, std::chrono::milliseconds{20}}};
    report.leaving = {{"e3", 7}};
    const auto bytes = encode_report(report);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_report(std::span{bytes}.first(n)).has_value());
        for (const auto value : {0x00, 0x60, 0x80, 0xa0, 0xff}) {
            auto damaged = bytes;
            damaged[n] = static_cast<std::uint8_t>(value);
            if (const auto read = decode_report(damaged)) {
                BOOST_TEST(read->signatures.known.size() <= bytes.size());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_message_of_nested_arrays_is_dropped)
{
    // As long as a datagram, and as a page of another gateway.
    for (const std::size_t size : {65'507, 4 << 20}) {
        // An array of ten elements, the tag of an update, and an array in an array until the end.
        std::vector<std::uint8_t> bytes(size, 0x81);
        bytes[0] = 0x8a;
        bytes[1] = 0x01;
        BOOST_TEST(!decode_update(bytes).has_value());
        BOOST_TEST(!decode_report(bytes).has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_datagram_that_is_cut_or_damaged_is_dropped_or_read_whole)
{
    registry_update update;
    update.gateway = "g1";
    update.era = 3;
    update.configuration_version = 7;
    update.changes = {{"e/a", 5, false, "value"}, {"e/b", 6, true, ""}};
    const auto bytes = encode_update(update, max_datagram_update_bytes);
    const auto whole = decode_update(bytes);
    BOOST_REQUIRE(whole);
    BOOST_TEST(whole->era == 3U);
    BOOST_TEST(whole->configuration_version == 7U);
    BOOST_TEST(whole->changes.size() == 2U);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_update({bytes.data(), n}).has_value());
        for (const std::uint8_t value : {0x00, 0x1b, 0x5f, 0x7f, 0x80, 0x9f, 0xbf, 0xf6, 0xfb, 0xff}) {
            auto damaged = bytes;
            damaged[n] = value;
            static_cast<void>(decode_update(damaged));
            static_cast<void>(decode_report(damaged));
        }
    }
}

/// Guards against a damaged datagram that is taken for another report, or ends the process.
BOOST_AUTO_TEST_CASE(a_rollout_report_is_read_whole_or_not_at_all)
{
    gateway::rollout_report report;
    report.gateway = "g1";
    gateway::service_rollout_report service;
    service.order = {"s", "v2", std::chrono::seconds{12}};
    service.position = {3, 41};
    service.phase = gateway::rollout_phase::moving;
    service.elapsed = std::chrono::milliseconds{6100};
    service.requests = 1000;
    service.exposed = 80;
    service.open_elsewhere = 12;
    service.evidence.reference[{"d1", "r1"}] = {900, 3};
    service.evidence.candidate[{"e1", "d1", "r1"}] = {80, 1};
    report.services.push_back(service);
    const auto bytes = encode_rollout_report(report);
    const auto read = decode_rollout_report(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == report));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_rollout_report(std::span{bytes}.first(n)).has_value());
    }
    BOOST_TEST(!decode_rollout_report(encode_report({})).has_value());
    report.services[0].evidence.candidate[{"e1", "d1", "r1"}] = {-1, 0};
    BOOST_TEST(!decode_rollout_report(encode_rollout_report(report)).has_value());
}

BOOST_AUTO_TEST_CASE(a_stream_report_names_the_streams_that_each_version_began)
{
    gateway::stream_report report;
    report.gateway = "g1";
    report.known_for = std::chrono::seconds{20};
    report.versions = {{"model", "v1", std::chrono::milliseconds{1500}, {1, 1ULL << 63U}},
                       {"model", "v2", {}, {}}};
    const auto bytes = encode_stream_report(report);
    const auto read = decode_stream_report(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->gateway == "g1");
    BOOST_TEST((read->known_for == report.known_for));
    BOOST_REQUIRE(read->versions.size() == 2U);
    BOOST_TEST(read->versions[0].service == "model");
    BOOST_TEST(read->versions[0].version == "v1");
    BOOST_TEST((read->versions[0].age == report.versions[0].age));
    BOOST_TEST(read->versions[0].streams == report.versions[0].streams);
    BOOST_TEST(read->versions[1].streams.empty());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        BOOST_TEST(!decode_stream_report(std::span{bytes}.first(n)).has_value());
    }
    BOOST_TEST(!decode_stream_report(encode_report({})).has_value());
}

// Guards against a process that ends for lack of stack by strings within strings.
BOOST_AUTO_TEST_CASE(strings_of_unstated_length_are_no_report)
{
    constexpr std::size_t depth = 4'000'000;
    for (const std::uint8_t tag : {0x60, 0x01, 0x02, 0x03}) {
        std::vector<std::uint8_t> bytes(depth, 0x7f);
        bytes[0] = 0x82;
        bytes[1] = tag;
        BOOST_TEST(!decode_report(bytes));
        BOOST_TEST(!decode_update(bytes));
        BOOST_TEST(!decode_stream_report(bytes));
        BOOST_TEST(!decode_rollout_report(bytes));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace hemlocknotch::daemon
