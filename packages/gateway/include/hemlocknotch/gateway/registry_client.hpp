#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/endpoint_record.hpp>
#include <hemlocknotch/gateway/rollout.hpp>
#include <hemlocknotch/gateway/routing_configuration.hpp>
#include <hemlocknotch/gateway/signature_block.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlocknotch::gateway {

/// Configuration written by the operators.
struct configuration_item {
    std::shared_ptr<const routing_configuration> configuration;
};

/// An endpoint's registration.
struct endpoint_item {
    endpoint_record record;
};

/// Record that a failure domain is out of service.
struct out_of_service_item {
    std::string failure_domain;
};

/// Registration of a gateway as a member of the fleet.
struct member_item {
    std::string name;
    endpoint_address address;
};

/// A key of another kind, or a value that cannot be read. `fault` has the reason if the value should have
/// been readable, and is empty otherwise.
struct unreadable_item {
    std::string fault;
};

using registry_item = std::variant<unreadable_item, configuration_item, endpoint_item, out_of_service_item,
                                   member_item, signature_block, rollout_order, rollout_record>;

/// One key of the registry that was written or removed.
struct registry_change {
    std::string key;
    std::uint64_t revision = 0;
    bool is_removed = false;
    registry_item item;
    /// The value as written, in the form that other gateways decode.
    std::string value;
};

/// Result of a call to the registry.
enum class registry_status : std::uint8_t {
    ok,
    /// The registry did nothing: it is busy, it rejects this instance, or the limit of calls is reached.
    refused,
    /// There was no answer, or none that can be read; a requested change may have been made.
    unknown,
    /// The watch began before the oldest change that the registry retains.
    history_lost,
    /// The lease has ended.
    lease_lost,
};

/// What a call to the registry returned.
struct registry_answer {
    registry_status status = registry_status::unknown;
    /// Changes up to `revision`, in order; after `read`, every key that exists.
    std::vector<registry_change> changes;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    /// Era in which the registry answered, also if it did nothing; 0: not stated.
    std::uint64_t era = 0;
};

/// The platform's store, as far as the gateway uses it. Each callback is called once, after the call has
/// returned, on the event loop's thread, and never after the client is destroyed.
class registry_client {
public:
    using callback = std::function<void(registry_answer)>;

    virtual ~registry_client() = default;

    /// Reads all keys, as of some time after the call and within one era. A watch from the `revision` of the
    /// answer misses no change of that era.
    virtual void read(callback done) = 0;

    /// Returns the changes after `revision`, at once if there are any, otherwise after at most `wait`.
    virtual void watch(std::uint64_t revision, duration wait, callback done) = 0;

    /// Decodes a value of `key` that another gateway reported.
    [[nodiscard]] virtual registry_item decode(std::string_view key, std::string_view value) const = 0;

    /// Registers the gateway `name` under a new lease of `time_to_live`. The answer is `lease_lost` where the
    /// registry was restored after it had granted the lease.
    virtual void join(std::string_view name, const endpoint_address& address, duration time_to_live,
                      callback done) = 0;

    /// Renews the lease of `join`. Precondition: it was granted in the present era; the registry may assign
    /// the lease numbers of earlier eras to others.
    virtual void renew(std::uint64_t lease, callback done) = 0;

    /// Ends the lease, which removes the registration at once. Precondition: as for `renew`.
    virtual void leave(std::uint64_t lease) = 0;

    /// Writes the block of a signature, which the registry removes after `time_to_live`.
    virtual void write_block(const signature_block& block, duration time_to_live, callback done) = 0;

    /// Removes the block of a signature.
    virtual void remove_block(const request_signature& signature, callback done) = 0;

    /// Writes the record of a roll-out, and the state that operators read of it, where the record at
    /// `replaced` is still the present one; revision 0: where there is none. The answer is `refused` where it
    /// is not.
    virtual void write_rollout(const rollout_record& record, std::uint64_t replaced, callback done) = 0;

    /// Returns the number of calls to the registry so far.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace hemlocknotch::gateway
