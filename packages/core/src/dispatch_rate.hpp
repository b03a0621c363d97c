#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace hemlocknotch {

/// Requests dispatched for each client account and in all, as exponentially decaying rates. Tells refused
/// callers when to come back.
class dispatch_rate {
public:
    /// Time over which the rates are averaged.
    static constexpr duration averaging_time = std::chrono::seconds{10};
    static constexpr duration min_retry_after = std::chrono::seconds{1};
    static constexpr duration max_retry_after = std::chrono::seconds{30};

    /// Counts one dispatch.
    void on_dispatch(account_key client_account, instant now);

    /// Returns how long it takes at the account's recent rate to dispatch `waiting` requests, within the two
    /// bounds above; the upper one where nothing was dispatched lately.
    [[nodiscard]] duration time_for_account(account_key client_account, std::size_t waiting,
                                            instant now) const;

    /// The same for all accounts together.
    [[nodiscard]] duration time_for_all(std::size_t waiting, instant now) const;

private:
    struct decaying_count {
        double count = 0.0;
        instant at;
    };

    static void add(decaying_count& value, instant now);
    [[nodiscard]] static duration time_for(const decaying_count& value, std::size_t waiting, instant now);

    std::unordered_map<account_key, decaying_count> accounts_;
    decaying_count all_;
};

} // namespace hemlocknotch
