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

/// Admission state of one service: fair shares of its accounts, the queue of waiting requests, and the retry
/// budget. Used by one thread at a time.
class service_admission {
public:
    /// `options` must outlive the object. Precondition: `gateways` is at least 1.
    service_admission(const router_options& options, std::size_t gateways);

    /// Count a request that arrived, and one that is sent to an endpoint.
    void note_requested(const exchange& it, instant now);
    void note_sent(const exchange& it, instant now);
    /// Takes back the last send of a request: its endpoint did not begin it.
    void note_not_begun(const exchange& it, instant now);

    /// Records the number of endpoints, and returns the tokens per second that one of them processes
    /// according to the configuration, or the default if none are configured.
    double endpoint_rate(const routing_configuration& configuration, std::size_t endpoints);

    /// Returns whether the account of `it` is above its fair share, and records in `it` what decided that.
    share_state share_state_of(exchange& it, instant now);

    /// Returns whether a new request is among those that the fair share of its account admits: of an account
    /// that requests more, the part by which every gateway keeps it to that rate, whatever part of it
    /// arrives there ("Core-Stateless Fair Queueing", Stoica, Shenker and Zhang, 1998).
    bool admits(exchange& it, instant now);

    /// Returns the expected wait of a new request; zero if there is no evidence of a wait.
    [[nodiscard]] duration estimated_wait(const exchange& it, instant now) const;

    /// Returns the latest time at which a new request is worth sending.
    instant send_by(exchange& it, instant now);

    /// Adds a request to the queue, where it waits until `send_by` at most.
    void add_waiting(const exchange& it, unsigned priority, instant send_by, instant now);

    /// Returns whether the queue is to be offered to the endpoints now. If the last offer was too recent, the
    /// offer is postponed to `next_offer`.
    bool begin_offer(instant now);

    /// Makes an offer due as soon as the interval allows, without offering anything yet.
    void request_offer(instant now);

    /// Returns when a postponed offer is due; `instant::max()` if there is none.
    [[nodiscard]] instant next_offer() const { return postponed_until_; }

    [[nodiscard]] share_meter& meter() { return meter_; }

    [[nodiscard]] waiting_queue& queue() { return queue_; }

    [[nodiscard]] retry_budget& retries() { return retries_; }

private:
    /// Returns the tokens per second out of which shares are computed; 0: there are no shares.
    [[nodiscard]] double share_capacity(const exchange& it) const;
    void update_levels(double capacity, instant now);

    const router_options& options_;
    share_meter meter_;
    waiting_queue queue_;
    retry_budget retries_;
    /// Rates up to which an account is within its fair share of the configured capacity and of the current
    /// throughput, up to which its requests are admitted, and the time at which they were computed.
    double fair_level_ = 0.0;
    double present_level_ = 0.0;
    double admitted_level_ = 0.0;
    instant level_at_{};
    /// Largest number of endpoints seen at once, which the configured rate refers to. When endpoints
    /// are lost, the others stay as fast as they were.
    std::size_t max_endpoints_seen_ = 0;
    bool is_model_ = false;
    instant last_offer_{};
    instant postponed_until_ = instant::max();
    /// Costs of the requests recently sent.
    decaying_sum sent_;
    /// Costs of all requests sent.
    double sent_tokens_ = 0.0;
};

} // namespace hemlocknotch::gateway
