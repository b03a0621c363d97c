#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlocknotch::gateway {

/// The operators' configuration.
struct configuration_item {
    std::shared_ptr<const routing_configuration> configuration;
};

/// An endpoint's registration.
struct endpoint_item {
    endpoint_record record;
};

/// A failure domain is out of service.
struct out_of_service_item {
    std::string failure_domain;
};

/// A gateway is a member of the fleet.
struct member_item {
    std::string name;
    endpoint_address address;
};

/// Something else, or something that cannot be read; `fault` says why where it should have been readable.
struct unreadable_item {
    std::string fault;
};

using registry_item =
    std::variant<unreadable_item, configuration_item, endpoint_item, out_of_service_item, member_item>;

/// One key of the registry as it was written or removed.
struct registry_change {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removed = false;
    registry_item item;
    /// What was written, as other gateways read it.
    std::string value;
};

/// How a call to the registry ended.
enum class registry_status : std::uint8_t {
    ok,
    /// Nothing was done: the registry is busy, refuses this instance, or the limit of calls is reached.
    refused,
    /// No answer, or one that cannot be read; a change may have been made.
    unknown,
    /// A watch began before the oldest change that is kept.
    history_lost,
    /// The lease has ended.
    lease_lost,
};

/// What a call to the registry returned.
struct registry_answer {
    registry_status status = registry_status::unknown;
    /// Changes up to `revision`, in order; after `read` every key that exists.
    std::vector<registry_change> changes;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

/// The platform's store as far as the gateway uses it. Callbacks come once each, later, on the event loop's
/// thread, and not after the object is destroyed.
class registry_client {
public:
    using callback = std::function<void(registry_answer)>;

    virtual ~registry_client() = default;

    /// Reads everything, current as of some moment after the call; `revision` is one from which a watch
    /// misses nothing.
    virtual void read(callback done) = 0;

    /// Returns the changes after `revision`, at once where there are any, else after `wait`.
    virtual void watch(std::uint64_t revision, duration wait, callback done) = 0;

    /// Reads what another gateway tells was written under `key`.
    [[nodiscard]] virtual registry_item decode(std::string_view key, std::string_view value) const = 0;

    /// Registers the gateway `name` under a new lease of `time_to_live`.
    virtual void join(std::string_view name, const endpoint_address& address, duration time_to_live,
                      callback done) = 0;

    /// Renews the lease of `join`.
    virtual void renew(std::uint64_t lease, callback done) = 0;

    /// Ends the lease, so that the registration goes at once.
    virtual void leave(std::uint64_t lease) = 0;

    /// Returns the number of calls made.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace hemlocknotch::gateway
