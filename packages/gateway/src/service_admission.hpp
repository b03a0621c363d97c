#pragma once

#include <hemlocknotch/gateway/decaying_sum.hpp>
#include <hemlocknotch/gateway/retry_budget.hpp>
#include <hemlocknotch/gateway/router.hpp>
#include <hemlocknotch/gateway/share_meter.hpp>
#include <hemlocknotch/gateway/waiting_queue.hpp>

#include "exchange.hpp"

#include <chrono>
#include <cstddef>

namespace hemlocknotch::gateway {

/// What decides who of one service's requests may go: shares, the line of those that wait, and retries left.
/// Used by one thread at a time.
class service_admission {
public:
    /// `options` must outlive the object. Precondition: `gateways` is at least 1.
    service_admission(const router_options& options, std::size_t gateways);

    /// Counts a request that came, and one that goes to an endpoint.
    void note_requested(const exchange& it, instant now);
    void note_sent(const exchange& it, instant now);

    /// Notes how many endpoints there are, and returns the tokens that one processes in a second by the
    /// operators' statement, or the default where they state none.
    double endpoint_rate(const routing_configuration& configuration, std::size_t endpoints);

    /// Returns how the account of `it` stands to its shares.
    share_state share_state_of(const exchange& it, instant now);

    /// Returns how long a new request is expected to wait; zero where nothing says that it would.
    [[nodiscard]] duration estimated_wait(const exchange& it, instant now) const;

    /// Returns until when a new request is worth sending.
    instant send_by(const exchange& it, instant now);

    /// Lets a request wait until `send_by`.
    void add_waiting(const exchange& it, unsigned priority, instant send_by, instant now);

    /// Returns whether the line is to be offered to the endpoints now. Where it is too soon after the last
    /// time, it is put off until `next_offer`.
    bool begin_offer(instant now);

    /// Returns when an offer that was put off is due; `instant::max()` where none was.
    [[nodiscard]] instant next_offer() const { return postponed_until_; }

    [[nodiscard]] share_meter& meter() { return meter_; }

    [[nodiscard]] waiting_queue& queue() { return queue_; }

    [[nodiscard]] retry_budget& retries() { return retries_; }

private:
    const router_options& options_;
    share_meter meter_;
    waiting_queue queue_;
    retry_budget retries_;
    /// Since when requests have been waiting without pause.
    instant backlogged_since_ = instant::max();
    /// Rates up to which each account gets its fair share, of what the operators state and of what the
    /// endpoints do at present, and when they were worked out.
    double fair_level_ = 0.0;
    double present_level_ = 0.0;
    instant level_at_{};
    /// Most endpoints seen at once: those that the operators' statement is about. Lost ones leave the others
    /// as fast as they were.
    std::size_t most_endpoints_ = 0;
    bool is_model_ = false;
    instant last_offer_{};
    instant postponed_until_ = instant::max();
    /// Costs sent here of late.
    decaying_sum sent_;
};

} // namespace hemlocknotch::gateway
