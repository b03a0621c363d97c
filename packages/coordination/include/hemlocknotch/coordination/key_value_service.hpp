#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch {

/// How a call to the key-value service ended.
enum class store_status : std::uint8_t {
    /// Done; value and version are current.
    ok,
    /// No such key.
    absent,
    /// Compare-and-swap: the key has another version; value and version say which.
    conflict,
    /// Refused before anything was done: over the rate limit or a bad call.
    refused,
    /// No answer, or a broken one. A write may have taken effect.
    unknown,
};

/// Answer to a call.
struct store_answer {
    store_status status = store_status::unknown;
    std::string value;
    /// Version of the key; 0 where it is absent.
    std::uint64_t version = 0;
};

/// The platform's key-value service. Callbacks come once each, later, on the event loop's thread, and not
/// after the object is destroyed.
class key_value_service {
public:
    using callback = std::function<void(const store_answer&)>;

    virtual ~key_value_service() = default;

    /// Reads `key`.
    virtual void get(std::string_view key, callback done) = 0;

    /// Writes `value` if `key` has version `expected`; 0 means that it must be absent. With `lease` not 0 the
    /// key goes when the lease lapses.
    virtual void compare_and_swap(std::string_view key, std::uint64_t expected, std::string_view value,
                                  std::uint64_t lease, callback done) = 0;

    /// Removes `key` if it has version `expected`.
    virtual void remove(std::string_view key, std::uint64_t expected, callback done) = 0;

    /// Waits until `key` has a version above `known` or `limit` has passed, and then answers like `get`.
    virtual void watch(std::string_view key, std::uint64_t known, duration limit, callback done) = 0;

    /// Takes a lease of `time_to_live`; the answer's version is its number.
    virtual void grant_lease(duration time_to_live, callback done) = 0;

    /// Renews a lease.
    virtual void keep_lease(std::uint64_t lease, callback done) = 0;

    /// Returns the number of calls made since the start, waiting watches included.
    [[nodiscard]] virtual std::uint64_t call_count() const = 0;
};

} // namespace hemlocknotch
