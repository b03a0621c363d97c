#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/decaying_sum.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Rates of one client account, in tokens per second.
struct account_rates {
    /// Of all its requests, including refused ones.
    double requested = 0.0;
    /// Of its requests that were sent to endpoints.
    double served = 0.0;
};

/// Rates of an account at another gateway.
struct reported_rates {
    std::string_view account;
    account_rates rates;
};

/// Measures what the client accounts of one service request and are served over the whole fleet, and computes
/// the resulting max-min fair share ("Data Networks", Bertsekas and Gallager, 1992, section 6.5.2). Used by
/// one thread at a time.
class share_meter {
public:
    /// Time constant for rates. The requested rate of an account may change many times within a second.
    static constexpr duration time_constant = std::chrono::milliseconds{1500};

    /// Counts a request of `account` that arrived at this gateway.
    void note_requested(std::string_view account, double tokens, instant now);
    /// Counts a request of `account` that this gateway sent to an endpoint.
    void note_served(std::string_view account, double tokens, instant now);

    /// Takes back what is left of `tokens` that were counted at `served_at`: the endpoint did not begin them.
    void take_back_served(std::string_view account, double tokens, instant served_at, instant now);

    /// Replaces all rates that `gateway` reported. They count in full until its next report; accounts that
    /// are not in `rates` have none there.
    void set_reported(std::string_view gateway, std::span<const reported_rates> rates);

    /// Returns the rates of `account` over all gateways.
    [[nodiscard]] account_rates rates_of(std::string_view account, instant now) const;

    /// Returns the served rates of all accounts together.
    [[nodiscard]] double total_served(instant now) const;

    /// Calls `visit` for each account with recent requests at this gateway, with its rates at this gateway.
    void for_each_local(instant now,
                        const std::function<void(std::string_view, const account_rates&)>& visit) const;

    /// Returns the rate up to which each account is served if all accounts together get `capacity` tokens per
    /// second; the largest number if `capacity` covers all requested rates.
    [[nodiscard]] double fair_level(double capacity, instant now) const;

private:
    struct rate_sums {
        decaying_sum requested{time_constant};
        decaying_sum served{time_constant};
    };

    struct account {
        rate_sums local;
        /// Sum of what the other gateways have reported, and how many of them have reported any.
        account_rates others;
        std::size_t reporting = 0;
    };

    struct attributed_rates {
        account* of = nullptr;
        account_rates rates;
    };

    account& find_or_add(std::string_view name);
    static account_rates rates_of(const account& it, instant now);
    static void add(account& to, const account_rates& rates);
    static void remove(account& from, const account_rates& rates);

    std::map<std::string, account, std::less<>> accounts_;
    /// What the other gateways have reported last, by their names. Points into `accounts_`.
    std::map<std::string, std::vector<attributed_rates>, std::less<>> reported_;
};

} // namespace hemlocknotch::gateway
