#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::standins {

/// A value and its version.
struct stored_value {
    std::string value;
    std::uint64_t version = 0;
    /// Lease that keeps it; 0 for none.
    std::uint64_t lease = 0;
};

/// How a write ended.
enum class write_status : std::uint8_t { done, conflict, absent, unknown_lease };

/// The semantics of the platform's key-value service: versions, compare-and-swap, leases. Time comes from the
/// caller. Not thread-safe.
class key_value_store {
public:
    /// Returns the value of `key`, or null. Valid until the next call that writes.
    [[nodiscard]] const stored_value* find(std::string_view key) const;

    /// Writes `value` if `key` has version `expected`, 0 meaning absent. `lease` 0 for none.
    write_status compare_and_swap(std::string_view key, std::uint64_t expected, std::string value,
                                  std::uint64_t lease);

    /// Removes `key` if it has version `expected`.
    write_status remove(std::string_view key, std::uint64_t expected);

    /// Makes a lease that lapses at `at` plus `time_to_live` unless renewed; returns its number, above 0.
    std::uint64_t grant_lease(duration time_to_live, instant at);

    /// Renews a lease. Returns false where there is none.
    bool keep_lease(std::uint64_t lease, instant at);

    /// Removes the leases that have lapsed by `at`, and their keys.
    void expire(instant at);

    /// Returns the version of the last write.
    [[nodiscard]] std::uint64_t last_version() const { return last_version_; }

private:
    struct lease_state {
        duration time_to_live{};
        instant lapses;
    };

    std::map<std::string, stored_value, std::less<>> values_;
    std::map<std::uint64_t, lease_state> leases_;
    std::uint64_t last_version_ = 0;
    std::uint64_t last_lease_ = 0;
};

} // namespace hemlocknotch::standins
