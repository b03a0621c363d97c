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

/// One client account that has work waiting somewhere.
struct backlogged_account {
    account_key client_account;
    /// Share relative to the other accounts. Above zero.
    double weight = 1.0;
    /// Estimated cost of its next request, in units.
    double estimated_cost = 1.0;
    /// Age of its oldest waiting request.
    duration oldest_age{};
};

/// What a fair order may look at besides the accounts.
struct fair_order_context {
    instant now;
    /// 64 random bits, fresh for each choice.
    std::uint64_t entropy = 0;
    /// Agents of this service that take work, this one included. At least 1.
    std::size_t agent_count = 1;
    /// Mean cost of recent requests, in units.
    double mean_cost = 1.0;
    /// What this agent charges in a second, in units, on average over the last reports.
    double own_rate = 0.0;
    /// Time between two reports.
    duration report_interval = std::chrono::seconds{1};
};

/// Policy: which client account is served next. Implementations are deterministic given their arguments and
/// are used by one thread at a time.
class fair_order {
public:
    virtual ~fair_order() = default;

    /// Returns the position in `backlogged` of the account to serve next; nothing where `backlogged` is
    /// empty.
    [[nodiscard]] virtual std::optional<std::size_t> next(std::span<const backlogged_account> backlogged,
                                                          const service_ledger& ledger,
                                                          const fair_order_context& context) const = 0;
};

} // namespace hemlocknotch
