#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/decaying_sum.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Names a request within one gateway.
using exchange_id = std::uint64_t;

/// A request that waits.
struct waiting_request {
    exchange_id exchange = 0;
    /// Tokens that it is expected to use.
    double cost = 0.0;
    /// Rank; 0 is the most urgent.
    unsigned priority = 0;
    /// Latest moment at which it is still worth sending.
    instant send_by;
};

/// Requests of one service that wait for an endpoint, in fair order of their client accounts: the account that
/// has been given the fewest tokens of late is next, where a token counts less the longer it is ago (decay
/// usage scheduling, Hellerstein, 1993). Used by one thread at a time.
class waiting_line {
public:
    /// Time in which the weight of a token falls to 1/e.
    static constexpr duration usage_memory = std::chrono::seconds{2};

    /// Appends a request of `account`.
    void add(std::string_view account, const waiting_request& request);

    /// Removes a request wherever it stands. Returns whether it waited.
    bool remove(exchange_id exchange);

    /// Charges `account` for work given to it at `now`, here or by another gateway.
    void charge(std::string_view account, double cost, instant now);

    /// Offers waiting requests in fair order, the most urgent first within an account, until `limit` have been
    /// offered. `try_send` returns whether the request went, and has charged its account then; it is removed.
    void offer(instant now, std::size_t limit, const std::function<bool(const waiting_request&)>& try_send);

    /// Returns the requests whose time to be sent is over at `now`, and removes them.
    std::vector<exchange_id> take_expired(instant now);

    /// Returns the earliest `send_by`; `instant::max()` where nothing waits.
    [[nodiscard]] instant next_expiry() const;

    /// Returns the tokens that would be given before a request of `account` with `cost`, if it came now.
    [[nodiscard]] double tokens_ahead(std::string_view account, double cost, instant now) const;

    /// Replaces what `gateway` has given to `account`.
    void set_told_usage(std::string_view gateway, std::string_view account, double tokens, instant now);

    /// Calls `take` for each account that has been given tokens here of late.
    void for_each_usage(instant now, const std::function<void(std::string_view account, double tokens)>& take) const;

    /// Returns the tokens that `account` has been given of late, by all gateways.
    [[nodiscard]] double recent_usage(std::string_view account, instant now) const;

    [[nodiscard]] bool is_empty() const { return size_ == 0; }

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct line {
        /// Tokens given here.
        decaying_sum own{usage_memory};
        /// Tokens given by other gateways.
        std::map<std::string, decaying_sum, std::less<>> told;
        double waiting_cost = 0.0;
        std::list<waiting_request> requests;
    };

    line& line_of(std::string_view account);
    static double usage_of(const line& it, instant now);

    std::map<std::string, line, std::less<>> lines_;
    std::size_t size_ = 0;
};

} // namespace hemlocknotch::gateway
