#include "report_exchange.hpp"

#include <hemlocknotch/wire/cbor_reader.hpp>
#include <hemlocknotch/wire/socket_address.hpp>

#include "../start_error.hpp"
#include "report_sax_handler.hpp"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <utility>

namespace hemlocknotch::daemon {
namespace {

using nlohmann::json;

constexpr std::size_t max_datagram_bytes = 65'507;
/// Estimated bytes of an encoded change besides its key and value.
constexpr std::size_t change_overhead_bytes = 32;
/// First element of an update. Reports begin with a string, the name of the gateway.
constexpr int update_tag = 1;
/// First element of what a gateway tells of streams.
constexpr int streams_tag = 2;
/// First element of what a gateway tells of roll-outs.
constexpr int rollouts_tag = 3;
/// Time that what a gateway tells of streams may have waited and still shows which versions are registered: a
/// part of the time in which a version that joins begins no streams.
constexpr duration max_stream_report_wait = std::chrono::milliseconds{500};
/// Stands in an update for a time that is not stated.
constexpr duration not_stated{-1};
/// Maximum number of datagrams that are read per event, so that a flood of them does not delay requests.
constexpr int max_datagrams_per_read = 64;

/// Returns the estimated number of bytes of an encoded change.
std::size_t size_of(const gateway::reported_change& it)
{
    return it.key.size() + it.value.size() + change_overhead_bytes;
}

/// Rounds to whole tokens, which CBOR encodes in fewer bytes than a floating-point number.
std::uint64_t round_tokens(double value)
{
    return value <= 0.0 ? 0 : static_cast<std::uint64_t>(std::llround(value));
}

/// The signatures of one kind in a report, as flat arrays.
struct encoded_signatures {
    json known = json::array();
    json sound = json::array();
};

encoded_signatures encode_signatures(const gateway::signature_reports& reports, bool are_prompt_parts)
{
    const auto append = [&](json& out, const gateway::request_signature& it) {
        if (!are_prompt_parts) {
            out.push_back(it.high);
        }
        out.push_back(it.low);
    };
    encoded_signatures out;
    for (const auto& it : reports.known) {
        if (it.signature.is_prompt_part() == are_prompt_parts) {
            append(out.known, it.signature);
            out.known.push_back(it.block);
            out.known.push_back(
                std::chrono::duration_cast<std::chrono::milliseconds>(it.blocked_for).count());
            out.known.push_back(it.has_trial ? 1U : 0U);
            out.known.push_back(it.endpoints);
        }
    }
    for (const auto& it : reports.sound) {
        if (it.is_prompt_part() == are_prompt_parts) {
            append(out.sound, it);
        }
    }
    return out;
}

} // namespace

std::vector<std::uint8_t> encode_report(const gateway::fleet_report& report)
{
    // The fields of all entries form one flat array, which saves bytes: every gateway sends its report to all
    // others.
    auto endpoints = json::array();
    for (const auto& it : report.endpoints) {
        endpoints.push_back(it.instance);
        endpoints.push_back(round_tokens(it.pending_tokens));
        endpoints.push_back(it.running);
        endpoints.push_back(round_tokens(it.tokens_per_second));
    }
    auto accounts = json::object();
    for (const auto& it : report.accounts) {
        auto& of_service = accounts[it.service];
        of_service.push_back(it.account);
        of_service.push_back(round_tokens(it.rates.requested));
        of_service.push_back(round_tokens(it.rates.served));
    }
    json out{report.gateway, report.incarnation, report.sequence, std::move(endpoints), std::move(accounts)};
    const auto parts = encode_signatures(report.signatures, true);
    const auto requests = encode_signatures(report.signatures, false);
    out.push_back(parts.known);
    out.push_back(parts.sound);
    auto limits = json::array();
    for (const auto& it : report.limits) {
        limits.push_back(it.instance);
        limits.push_back(std::llround(it.requests_per_second * limit_scale));
        limits.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(it.age).count());
    }
    out.push_back(std::move(limits));
    auto leaving = json::array();
    for (const auto& it : report.leaving) {
        leaving.push_back(it.instance);
        leaving.push_back(it.started_at_ms);
    }
    out.push_back(std::move(leaving));
    auto pauses = json::array();
    for (const auto& it : report.pauses) {
        pauses.push_back(it.instance);
        pauses.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(it.remaining).count());
    }
    out.push_back(std::move(pauses));
    out.push_back(requests.known);
    out.push_back(requests.sound);
    out.push_back(report.configuration_version);
    return json::to_cbor(out);
}

std::optional<gateway::fleet_report> decode_report(std::span<const std::uint8_t> bytes)
{
    if (!hemlocknotch::detail::has_stated_lengths(
            {reinterpret_cast<const char*>(bytes.data()), bytes.size()})) {
        return std::nullopt;
    }
    report_sax_handler reader;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &reader, json::input_format_t::cbor) ||
        !reader.is_complete()) {
        return std::nullopt;
    }
    return std::move(reader.report());
}

std::vector<std::uint8_t> encode_update(gateway::registry_update update, std::size_t max_bytes)
{
    auto changes = json::array();
    std::size_t size = 0;
    for (auto& it : update.changes) {
        size += size_of(it);
        if (size > max_bytes) {
            update.is_partial = true;
            break;
        }
        changes.push_back({std::move(it.key), it.revision, it.is_removed,
                           json::binary({it.value.begin(), it.value.end()})});
    }
    return json::to_cbor(json{update_tag, update.gateway, update.from_revision, update.to_revision,
                              update.digest, update.age.count(), update.is_partial, std::move(changes),
                              update.grace.count(), std::move(update.registry_page), update.era,
                              update.configuration_version,
                              update.answering_for.value_or(not_stated).count()});
}

std::vector<std::vector<std::uint8_t>> encode_updates(gateway::registry_update update, std::size_t max_bytes)
{
    std::vector<std::vector<std::uint8_t>> out;
    auto changes = std::exchange(update.changes, {});
    std::ranges::sort(changes, {}, &gateway::reported_change::revision);
    auto part = update;
    part.digest = 0;
    std::size_t size = 0;
    for (auto& it : changes) {
        const auto change_size = size_of(it);
        if (size + change_size > max_bytes && !part.changes.empty()) {
            part.to_revision = part.changes.back().revision;
            const auto next_from = part.to_revision;
            out.push_back(encode_update(part, max_bytes));
            part.changes.clear();
            part.from_revision = next_from;
            size = 0;
        }
        size += change_size;
        part.changes.push_back(std::move(it));
    }
    part.to_revision = update.to_revision;
    part.digest = update.digest;
    out.push_back(encode_update(std::move(part), max_bytes));
    return out;
}

std::optional<gateway::registry_update> decode_update(std::span<const std::uint8_t> bytes)
{
    try {
        const auto item =
            hemlocknotch::detail::read_cbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        if (!item || !item->is_array() || item->empty() || item->at(0) != update_tag) {
            return std::nullopt;
        }
        const auto& value = *item;
        gateway::registry_update out;
        out.gateway = value.at(1).get<std::string>();
        out.from_revision = value.at(2).get<std::uint64_t>();
        out.to_revision = value.at(3).get<std::uint64_t>();
        out.digest = value.at(4).get<std::uint64_t>();
        out.age = duration{value.at(5).get<std::int64_t>()};
        out.is_partial = value.at(6).get<bool>();
        for (const auto& it : value.at(7)) {
            const auto& value_bytes = it.at(3).get_binary();
            out.changes.push_back({it.at(0).get<std::string>(), it.at(1).get<std::uint64_t>(),
                                   it.at(2).get<bool>(),
                                   std::string{value_bytes.begin(), value_bytes.end()}});
        }
        // Gateways of earlier versions send neither the grace time and the page, nor what follows them.
        if (value.size() > 9) {
            out.grace = duration{value.at(8).get<std::int64_t>()};
            out.registry_page = value.at(9).get<std::string>();
        }
        if (value.size() > 11) {
            out.era = value.at(10).get<std::uint64_t>();
            out.configuration_version = value.at(11).get<std::uint64_t>();
        }
        if (value.size() > 12) {
            const duration answering_for{value.at(12).get<std::int64_t>()};
            out.answering_for =
                answering_for < duration::zero() ? std::nullopt : std::optional{answering_for};
        }
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<std::uint8_t> encode_stream_report(const gateway::stream_report& report)
{
    auto versions = json::array();
    for (const auto& it : report.versions) {
        versions.push_back({it.service, it.version, it.age.count(), it.streams, it.seen_for.count()});
    }
    return json::to_cbor(json{streams_tag, report.gateway, report.known_for.count(), std::move(versions)});
}

std::optional<gateway::stream_report> decode_stream_report(std::span<const std::uint8_t> bytes)
{
    try {
        const auto item =
            hemlocknotch::detail::read_cbor({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        if (!item || !item->is_array() || item->empty() || item->at(0) != streams_tag) {
            return std::nullopt;
        }
        gateway::stream_report out;
        out.gateway = item->at(1).get<std::string>();
        out.known_for = duration{item->at(2).get<std::int64_t>()};
        for (const auto& it : item->at(3)) {
            out.versions.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>(),
                                    duration{it.at(2).get<std::int64_t>()},
                                    it.at(3).get<std::vector<std::uint64_t>>(),
                                    // Gateways of earlier versions do not state it.
                                    duration{it.size() > 4 ? it.at(4).get<std::int64_t>() : 0}});
        }
        return out;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

report_exchange::report_exchange(event_base* base, std::function<instant()> now,
                                 report_callback report_received, update_callback update_received,
                                 stream_callback streams_received, rollout_callback rollouts_received)
    : base_{base},
      now_{std::move(now)},
      report_received_{std::move(report_received)},
      update_received_{std::move(update_received)},
      streams_received_{std::move(streams_received)},
      rollouts_received_{std::move(rollouts_received)}
{
    assert(now_ && report_received_ && update_received_ && streams_received_ && rollouts_received_);
}

report_exchange::~report_exchange()
{
    event_.reset();
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

boost::leaf::result<void> report_exchange::listen(const endpoint_address& address)
{
    const auto at = detail::socket_address::of(address);
    fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0 || ::bind(fd_, at.get(), static_cast<socklen_t>(at.length())) != 0) {
        const auto error = errno;
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
        return boost::leaf::new_error(start_error{
            "cannot listen on " + address.to_string() + " for other gateways: " + std::strerror(error),
            "Choose an address of this instance and a free port.", may_pass(error)});
    }
    event_.reset(event_new(base_, fd_, EV_READ | EV_PERSIST, handle_read, this));
    event_add(event_.get(), nullptr);
    empty_at_ = now_();
    return {};
}

void report_exchange::send(const gateway::fleet_report& report,
                           std::span<const endpoint_address> addresses) const
{
    send_bytes(encode_report(report), addresses);
}

void report_exchange::send(gateway::registry_update update, std::span<const endpoint_address> addresses) const
{
    for (const auto& it : encode_updates(std::move(update), max_datagram_update_bytes)) {
        send_bytes(it, addresses);
    }
}

void report_exchange::send(const gateway::stream_report& report,
                           std::span<const endpoint_address> addresses) const
{
    send_bytes(encode_stream_report(report), addresses);
}

void report_exchange::send(const gateway::rollout_report& report,
                           std::span<const endpoint_address> addresses) const
{
    send_bytes(encode_rollout_report(report), addresses);
}

void report_exchange::send_bytes(std::span<const std::uint8_t> bytes,
                                 std::span<const endpoint_address> addresses) const
{
    for (const auto& it : addresses) {
        const auto to = detail::socket_address::of(it);
        // A lost report is replaced by the next one, and a lost update by the receiver's own read.
        static_cast<void>(
            ::sendto(fd_, bytes.data(), bytes.size(), 0, to.get(), static_cast<socklen_t>(to.length())));
    }
}

void report_exchange::handle_read(evutil_socket_t /*fd*/, short /*what*/, void* self)
{
    static_cast<report_exchange*>(self)->read();
}

void report_exchange::read()
{
    static std::array<std::uint8_t, max_datagram_bytes> buf;
    for (int n = 0; n < max_datagrams_per_read; ++n) {
        const auto now = now_();
        sockaddr_storage from{};
        socklen_t from_length = sizeof from;
        const auto size =
            ::recvfrom(fd_, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&from), &from_length);
        if (size <= 0) {
            empty_at_ = now;
            return;
        }
        handle_datagram({buf.data(), static_cast<std::size_t>(size)}, detail::socket_address::decode(from),
                        now - empty_at_);
    }
}

void report_exchange::handle_datagram(std::span<const std::uint8_t> bytes, const endpoint_address& from,
                                      duration max_wait)
{
    // The first byte opens the CBOR array; the second one is its first element, the tag of an update.
    if (bytes.size() > 1 && bytes[1] == update_tag) {
        if (auto update = decode_update(bytes)) {
            update->age += max_wait;
            update_received_(*update);
        }
        return;
    }
    if (bytes.size() > 1 && bytes[1] == streams_tag) {
        if (auto streams = decode_stream_report(bytes)) {
            if (max_wait > max_stream_report_wait) {
                // It may be from before this process stood still.
                streams->known_for = duration::zero();
            }
            streams_received_(*streams);
        }
        return;
    }
    if (bytes.size() > 1 && bytes[1] == rollouts_tag) {
        if (const auto rollouts = decode_rollout_report(bytes)) {
            rollouts_received_(*rollouts);
        }
        return;
    }
    const auto report = decode_report(bytes);
    if (!report) {
        return;
    }
    auto& newest = newest_[report->gateway];
    if (report->incarnation != newest.incarnation || report->sequence > newest.sequence) {
        newest = {report->incarnation, report->sequence};
        report_received_(*report, from);
    }
}

} // namespace hemlocknotch::daemon
