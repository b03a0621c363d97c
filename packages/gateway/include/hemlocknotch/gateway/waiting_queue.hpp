#pragma once

#include <hemlocknotch/core/time.hpp>
#include <hemlocknotch/gateway/share_meter.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch::gateway {

/// Identifies a request within one gateway.
using exchange_id = std::uint64_t;

/// A request that waits for an endpoint.
struct waiting_request {
    exchange_id exchange = 0;
    /// Tokens that the request is expected to use.
    double cost = 0.0;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Latest time at which it is still worth sending.
    instant send_by;
};

/// Begin of a time in which requests of one account wait without a gap.
struct backlog_start {
    instant at{};
    /// Tokens that the gateway had sent to endpoints of the service by then.
    double sent_tokens = 0.0;
};

/// Requests of one service that wait for an endpoint, in fair order of their client accounts: the account
/// that was recently served the fewest tokens is next. Used by one thread at a time.
class waiting_queue {
public:
    /// `meter` has the rates at which accounts were served; it must outlive the queue.
    explicit waiting_queue(const share_meter& meter) : meter_{meter} {}

    /// Appends a request of `account`. If it is the only one of the account, its backlog begins at `start`.
    void add(std::string_view account, const waiting_request& request, const backlog_start& start = {});

    /// Removes a request from any position. Returns whether it was waiting.
    bool remove(exchange_id exchange);

    /// Offers waiting requests to `try_send` in fair order, within an account the most urgent first, until
    /// `limit` have been offered. `try_send` returns whether the request was sent; it is then removed from
    /// the queue.
    void offer(instant now, std::size_t limit, const std::function<bool(const waiting_request&)>& try_send);

    /// Removes and returns the requests whose latest sending time has passed at `now`.
    std::vector<exchange_id> take_expired(instant now);

    /// Returns the earliest `send_by`; `instant::max()` if the queue is empty.
    [[nodiscard]] instant next_expiry() const;

    /// Returns the tokens that would be served before a new request of `account` with `cost`.
    [[nodiscard]] double tokens_ahead(std::string_view account, double cost, instant now) const;

    /// Returns when requests of `account` began to wait without a gap since; empty if none wait.
    [[nodiscard]] std::optional<backlog_start> backlog_of(std::string_view account) const;

    [[nodiscard]] bool is_empty() const { return size_ == 0; }

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    struct account_queue {
        double waiting_cost = 0.0;
        backlog_start backlog;
        std::list<waiting_request> requests;
    };

    const share_meter& meter_;
    std::map<std::string, account_queue, std::less<>> queues_;
    std::size_t size_ = 0;
};

} // namespace hemlocknotch::gateway
