#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/decaying_sum.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Tokens in a second of one client account.
struct account_rates {
    /// Of all its requests, also of those that were refused.
    double requested = 0.0;
    /// Of the requests that were sent to endpoints.
    double served = 0.0;
};

/// What the client accounts of one service ask for and are given over the whole fleet, and the max-min fair
/// share that follows ("Data Networks", Bertsekas and Gallager, 1992, section 6.5.2). Used by one thread at a
/// time.
class share_meter {
public:
    /// Time over which rates are averaged: accounts may change their demand many times over within a second.
    static constexpr duration time_constant = std::chrono::milliseconds{1500};

    /// Counts a request of `account` that came here.
    void note_requested(std::string_view account, double tokens, instant now);
    /// Counts a request of `account` that was sent to an endpoint from here.
    void note_served(std::string_view account, double tokens, instant now);

    /// Replaces what `gateway` tells of `account`.
    void set_reported(std::string_view gateway, std::string_view account, const account_rates& rates,
                      instant now);

    /// Returns the rates of `account` over all gateways.
    [[nodiscard]] account_rates rates_of(std::string_view account, instant now) const;

    /// Returns what all accounts together are given.
    [[nodiscard]] double total_served(instant now) const;

    /// Calls `visit` for each account with requests here of late, with the rates here.
    void for_each_local(instant now,
                        const std::function<void(std::string_view, const account_rates&)>& visit) const;

    /// Returns the rate up to which each account may be given tokens where all together get `capacity` tokens
    /// in a second; the largest number where all that is asked fits.
    [[nodiscard]] double fair_level(double capacity, instant now) const;

private:
    struct rate_sums {
        decaying_sum requested{time_constant};
        decaying_sum served{time_constant};
    };

    struct account {
        rate_sums local;
        std::map<std::string, rate_sums, std::less<>> reported;
        /// Own and told together, so that a rate is not added up over all gateways each time it is asked for.
        rate_sums total;
    };

    account& find_or_add(std::string_view name);
    static account_rates rates_of(const account& it, instant now);
    /// Sets `part`, which `total` contains, to `amount`.
    static void replace(decaying_sum& part, decaying_sum& total, double amount, instant now);

    std::map<std::string, account, std::less<>> accounts_;
};

} // namespace hemlocknotch::gateway
