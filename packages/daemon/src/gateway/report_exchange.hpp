#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>
#include <hemlocknotch/gateway/fleet_report.hpp>
#include <hemlocknotch/gateway/registry_update.hpp>

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

/// Decodes a report; nothing where the bytes are none. Thread-safe.
std::optional<gateway::fleet_report> decode_report(std::span<const std::uint8_t> bytes);

/// Encodes news as CBOR (RFC 8949), without changes beyond `max_bytes` in all. Thread-safe.
std::vector<std::uint8_t> encode_news(gateway::registry_update news, std::size_t max_bytes);

/// Bytes of changes that fit a datagram. A configuration of many routes does not and is read from the
/// registry.
inline constexpr std::size_t max_datagram_news = 32'000;

/// Decodes news; nothing where the bytes are none. Thread-safe.
std::optional<gateway::registry_update> decode_news(std::span<const std::uint8_t> bytes);

/// Sends and receives reports and news as datagrams: each stands for itself, so that a lost one need not be
/// sent again, and no connection can go silent. Used on the event loop's thread only.
class report_exchange {
public:
    using report_callback = std::function<void(const gateway::fleet_report&)>;
    using news_callback = std::function<void(const gateway::registry_update&)>;

    /// `base` must outlive the exchange. Precondition: the callbacks are not empty.
    report_exchange(event_base* base, report_callback received, news_callback news_received);
    ~report_exchange();

    report_exchange(const report_exchange&) = delete;
    report_exchange(report_exchange&&) = delete;
    report_exchange& operator=(const report_exchange&) = delete;
    report_exchange& operator=(report_exchange&&) = delete;

    /// Binds to `address`. Fails with a `start_error`.
    boost::leaf::result<void> listen(const endpoint_address& address);

    /// Sends `report` to each of `addresses`, as far as the system takes it.
    void send(const gateway::fleet_report& report, std::span<const endpoint_address> addresses) const;
    void send(gateway::registry_update news, std::span<const endpoint_address> addresses) const;

private:
    static void handle_read(evutil_socket_t fd, short what, void* self);
    void read();
    void take(std::span<const std::uint8_t> bytes);
    void send_bytes(std::span<const std::uint8_t> bytes, std::span<const endpoint_address> addresses) const;

    event_base* base_;
    report_callback received_;
    news_callback news_received_;
    int fd_ = -1;
    event_ptr event_;

    struct newest_report {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    /// By gateway.
    std::map<std::string, newest_report, std::less<>> newest_;
};

} // namespace hemlocknotch::daemon
