#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// Outcome of a call to the key-value service.
enum class store_status : std::uint8_t {
    /// The call took effect; value and version are current.
    ok,
    /// The key does not exist.
    absent,
    /// The key has another version than expected. After a compare-and-swap, value and version are the current
    /// ones.
    conflict,
    /// Refused without effect: rate limit exceeded or invalid call.
    refused,
    /// No answer or an invalid one. A write may have taken effect.
    unknown,
};

/// Result of a call.
struct store_answer {
    store_status status = store_status::unknown;
    std::string value;
    /// Version of the key, or the number of a lease that was granted; 0 if the key is absent.
    std::uint64_t version = 0;
};

/// The platform's key-value service. Each callback is called once, on the event loop's thread, after the call
/// that it was passed to has returned, and not after the object is destroyed.
class key_value_service {
public:
    using callback = std::function<void(const store_answer&)>;

    virtual ~key_value_service() = default;

    /// Reads `key`.
    virtual void get(std::string_view key, callback done) = 0;

    /// Writes `value` if `key` has version `expected`; 0 means that the key must be absent. If `lease` is not
    /// 0, the service removes the key when that lease expires.
    virtual void compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                                  std::uint64_t lease, callback done) = 0;

    /// Removes `key` if it has version `expected`.
    virtual void remove(std::string_view key, std::uint64_t expected, callback done) = 0;

    /// Waits until `key` has a version above `known` or `timeout` has passed, and then answers like `get`.
    virtual void watch(std::string_view key, std::uint64_t known, duration timeout, callback done) = 0;

    /// Requests a lease that expires after `time_to_live` unless renewed. The `version` of the answer is the
    /// id of the lease.
    virtual void grant_lease(duration time_to_live, callback done) = 0;

    /// Renews `lease` for its time to live.
    virtual void keep_lease(std::uint64_t lease, callback done) = 0;

    /// Returns the number of calls since this object was created, including watches that still wait.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace hemlocknotch
