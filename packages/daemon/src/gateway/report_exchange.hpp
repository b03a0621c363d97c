#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>
#include <hemlocknotch/gateway/rollout_report.hpp>
#include <hemlocknotch/gateway/stream_origins.hpp>

#include "../libevent_handles.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::daemon {

/// Encodes a report as CBOR (RFC 8949). Thread-safe.
std::vector<std::uint8_t> encode_report(const gateway::fleet_report& report);

/// Decodes a report. Returns nothing where `bytes` are not a valid one. Thread-safe.
std::optional<gateway::fleet_report> decode_report(std::span<const std::uint8_t> bytes);

/// Encodes an update as CBOR (RFC 8949). Leaves out the changes from the one on with which their size would
/// exceed `max_bytes`, and then marks the update as partial. Thread-safe.
std::vector<std::uint8_t> encode_update(gateway::registry_update update, std::size_t max_bytes);

/// Encodes an update as datagrams, each with at most `max_bytes` of changes, which receivers apply one after
/// the other. Only the last one has the hash of the keys. A change that does not fit by itself is left out;
/// the datagram that ends with it is marked as partial. Thread-safe.
std::vector<std::vector<std::uint8_t>> encode_updates(gateway::registry_update update, std::size_t max_bytes);

/// Maximum number of bytes of changes in a datagram. A configuration of many routes exceeds it and is read
/// from the store.
inline constexpr std::size_t max_datagram_update_bytes = 32'000;

/// Decodes an update. Returns nothing where `bytes` are not a valid one. Thread-safe.
std::optional<gateway::registry_update> decode_update(std::span<const std::uint8_t> bytes);

/// Encodes what a gateway tells of streams as CBOR (RFC 8949). Thread-safe.
std::vector<std::uint8_t> encode_stream_report(const gateway::stream_report& report);

/// Decodes what a gateway tells of streams. Returns nothing where `bytes` are not a valid report.
/// Thread-safe.
std::optional<gateway::stream_report> decode_stream_report(std::span<const std::uint8_t> bytes);

/// Encodes what a gateway tells of roll-outs as CBOR (RFC 8949). Thread-safe.
std::vector<std::uint8_t> encode_rollout_report(const gateway::rollout_report& report);

/// Decodes what a gateway tells of roll-outs. Returns nothing where `bytes` are not a valid report.
/// Thread-safe.
std::optional<gateway::rollout_report> decode_rollout_report(std::span<const std::uint8_t> bytes);

/// Exchanges reports and registry updates with other gateways as UDP datagrams. Each message is complete in
/// itself, so that lost ones are not resent, and there are no connections that could become unresponsive.
/// Used on the event loop's thread only.
class report_exchange {
public:
    /// Takes a report and the address from which it was sent, which is also where its gateway receives.
    using report_callback = std::function<void(const gateway::fleet_report&, const endpoint_address&)>;
    using update_callback = std::function<void(const gateway::registry_update&)>;
    using stream_callback = std::function<void(const gateway::stream_report&)>;
    using rollout_callback = std::function<void(const gateway::rollout_report&)>;

    /// `base` must outlive the exchange; `now` returns the monotonic time. The callbacks are called for each
    /// valid message, except reports that are not newer than the last one of the same gateway. The age of an
    /// update includes the longest time for which it can have waited to be read. Precondition: the callbacks
    /// are not empty.
    report_exchange(event_base* base, std::function<instant()> now, report_callback report_received,
                    update_callback update_received, stream_callback streams_received,
                    rollout_callback rollouts_received);
    ~report_exchange();

    report_exchange(const report_exchange&) = delete;
    report_exchange(report_exchange&&) = delete;
    report_exchange& operator=(const report_exchange&) = delete;
    report_exchange& operator=(report_exchange&&) = delete;

    /// Binds to the UDP port of `address`. Returns a `start_error` where that fails.
    boost::leaf::result<void> listen(const endpoint_address& address);

    /// Sends a message to each of `addresses`. Datagrams that the system does not accept are dropped.
    void send(const gateway::fleet_report& report, std::span<const endpoint_address> addresses) const;
    void send(gateway::registry_update update, std::span<const endpoint_address> addresses) const;
    void send(const gateway::stream_report& report, std::span<const endpoint_address> addresses) const;
    void send(const gateway::rollout_report& report, std::span<const endpoint_address> addresses) const;

private:
    static void handle_read(evutil_socket_t fd, short what, void* self);
    void read();
    void handle_datagram(std::span<const std::uint8_t> bytes, const endpoint_address& from,
                         duration max_wait);
    void send_bytes(std::span<const std::uint8_t> bytes, std::span<const endpoint_address> addresses) const;

    event_base* base_;
    std::function<instant()> now_;
    report_callback report_received_;
    update_callback update_received_;
    stream_callback streams_received_;
    rollout_callback rollouts_received_;
    int fd_ = -1;
    event_ptr event_;
    /// Last time at which no datagram was waiting. Those that are read later arrived after it.
    instant empty_at_{};

    struct newest_report {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    /// The newest report of each gateway, by name.
    std::map<std::string, newest_report, std::less<>> newest_;
};

} // namespace hemlocknotch::daemon
