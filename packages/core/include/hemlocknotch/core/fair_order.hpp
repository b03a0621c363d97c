#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/service_ledger.hpp>
#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace hemlocknotch {

/// One client account that has requests waiting in at least one entry.
struct backlogged_account {
    account_key client_account;
    /// Share relative to the other accounts. Above zero.
    double weight = 1.0;
    /// Estimated cost of the account's next request, in units.
    double estimated_cost = 1.0;
    /// How long the account's oldest waiting request has waited.
    duration oldest_request_age{};
};

/// Inputs of a fair order besides the accounts and the ledger.
struct fair_order_context {
    instant now;
    /// 64 random bits, fresh for each choice.
    std::uint64_t entropy = 0;
    /// Agents of this service that accept requests, this one included. At least 1.
    std::size_t agent_count = 1;
    /// Mean cost of recent requests, in units.
    double mean_cost = 1.0;
    /// Units that this agent charges per second: the moving average over report intervals, or the rate since
    /// the last report where that is higher.
    double own_rate = 0.0;
    /// Time between two reports.
    duration report_interval = std::chrono::seconds{1};
};

/// Policy: which client account is served next. The result depends only on the arguments. Implementations are
/// used by one thread at a time.
class fair_order {
public:
    virtual ~fair_order() = default;

    /// Returns the position in `backlogged` of the account to serve next; nothing if `backlogged` is empty.
    [[nodiscard]] virtual std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                          const service_ledger& ledger,
                                                          const fair_order_context& context) const = 0;
};

} // namespace hemlocknotch
