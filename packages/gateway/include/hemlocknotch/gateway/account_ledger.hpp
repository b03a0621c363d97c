#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// What became of the tokens that an account asked of model services, by requests that have ended.
struct account_outcome {
    double requested = 0.0;
    /// Of all sends; a request that is sent twice counts twice.
    double sent = 0.0;
    /// Of requests whose answer began.
    double begun = 0.0;
    /// Of requests that were sent and whose answer did not begin.
    double lost = 0.0;
    /// Of requests that were never sent.
    double unsent = 0.0;
};

/// Sums up what became of the requests of each account at this gateway, for the log. Used by one thread at a
/// time.
class account_ledger {
public:
    static constexpr duration interval = std::chrono::seconds{1};
    /// Maximum number of accounts in a record, those that asked for most.
    static constexpr std::size_t max_accounts = 16;

    /// Counts a request that has ended, of `cost` tokens and with so many sends.
    void note_ended(std::string_view account, double cost, unsigned sends, bool is_begun);

    /// Returns the record of what ended since the last one, once in each interval; empty if it is not due, or
    /// if nothing ended.
    std::optional<log_effect> take_record(instant now);

private:
    std::map<std::string, account_outcome, std::less<>> outcomes_;
    instant taken_at_{};
};

} // namespace hemlocknotch::gateway
