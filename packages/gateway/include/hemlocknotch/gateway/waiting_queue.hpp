#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/share_meter.hpp>

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

/// Requests of one service that wait for an endpoint, in fair order of their client accounts: the account
/// that has been given the fewest tokens of late is next. Used by one thread at a time.
class waiting_queue {
public:
    /// `meter` knows what accounts have been given; it must outlive the line.
    explicit waiting_queue(const share_meter& meter) : meter_{meter} {}

    /// Appends a request of `account`.
    void add(std::string_view account, const waiting_request& request);

    /// Removes a request wherever it stands. Returns whether it waited.
    bool remove(exchange_id exchange);

    /// Offers waiting requests in fair order, the most urgent first within an account, until `limit` have
    /// been offered. `try_send` returns whether the request went; it is removed then.
    void offer(instant now, std::size_t limit, const std::function<bool(const waiting_request&)>& try_send);

    /// Returns the requests whose time to be sent is over at `now`, and removes them.
    std::vector<exchange_id> take_expired(instant now);

    /// Returns the earliest `send_by`; `instant::max()` where nothing waits.
    [[nodiscard]] instant next_expiry() const;

    /// Returns the tokens that would be given before a request of `account` with `cost`, if it came now.
    [[nodiscard]] double tokens_ahead(std::string_view account, double cost, instant now) const;

    [[nodiscard]] bool is_empty() const { return size_ == 0; }

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct account_queue {
        double waiting_cost = 0.0;
        std::list<waiting_request> requests;
    };

    const share_meter& meter_;
    std::map<std::string, account_queue, std::less<>> queues_;
    std::size_t size_ = 0;
};

} // namespace hemlocknotch::gateway
