#pragma once

#include <hemlocknotch/core/concurrency_limit.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace hemlocknotch {

/// Bounds of an adaptive limit.
struct adaptive_limit_options {
    std::uint32_t initial_limit = 2;
    std::uint32_t max_limit = 64;
    /// Time without a further try after one that slowed the endpoint down; doubles with each such try in a
    /// row, up to `max_probe_backoff`.
    duration probe_backoff = std::chrono::milliseconds{500};
    duration max_probe_backoff = std::chrono::seconds{8};
    /// At the limit, one request fewer is tried this often, to see whether the last one is still worth it.
    duration decrease_probe_interval = std::chrono::seconds{5};
    /// A number of running requests not reached for this long is no longer relied on.
    duration validation_time = std::chrono::seconds{5};
};

/// Finds the number of requests that an endpoint bears, by the time between the units of its answers.
///
/// For each number of running requests it keeps the time between units that the endpoint has shown it can
/// keep (TCP Vegas: Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on a Global Internet",
/// 1995).
/// - One more request is tried at a time. It stays if the endpoint's rate in units a second grows by a fair
///   part of what one more request would bring without any slowing; else the limit returns.
/// - From time to time one request fewer is tried in the same way.
/// - Numbers borne before are returned to in larger steps, as long as the time between units is what it was.
/// - Where that time rises otherwise, the limit falls by half at once (Jacobson, "Congestion Avoidance and
/// Control",
///   1988).
/// - Because an endpoint may turn cold without a sign while little runs, the limit is never far above what
/// has
///   run in the last `validation_time` (congestion window validation, RFC 2861).
class adaptive_concurrency_limit final : public concurrency_limit {
public:
    /// Precondition: `initial_limit` is at least 1 and at most `max_limit`; times are above zero.
    explicit adaptive_concurrency_limit(const adaptive_limit_options& options);

    [[nodiscard]] std::uint32_t limit() const override { return limit_; }

    void on_unit(instant now, duration interval, bool is_first, std::uint32_t running) override;
    void on_completed(instant now, duration run_time, std::uint32_t running) override;
    void on_failed(instant now) override;
    void on_cold(instant now) override;

private:
    /// Units that came while one number of requests ran.
    struct window {
        std::uint32_t running = 0;
        /// Units still passed over, because they began while another number ran.
        std::uint32_t to_skip = 0;
        std::uint32_t count = 0;
        double sum = 0.0;
    };

    void restart_window(std::uint32_t running);
    void close_window(instant now);
    void update_peak(instant now, std::uint32_t running);
    void back_off(instant now);
    void on_slowed(instant now, std::uint32_t running, double factor);
    void decrease(instant now, std::uint32_t running);
    void increase(instant now, std::uint32_t running);
    void discard_not_worthwhile(std::uint32_t running);
    [[nodiscard]] double slowed_by(std::uint32_t running, double interval) const;
    [[nodiscard]] bool is_worthwhile(std::uint32_t running, double interval) const;

    [[nodiscard]] bool has_interval(std::uint32_t running) const { return unit_intervals_[running] > 0.0; }

    adaptive_limit_options options_;
    std::uint32_t limit_;
    window window_;
    /// Time between units, in microseconds, that the endpoint keeps with each number of running requests; 0
    /// where that number has not been borne.
    std::vector<double> unit_intervals_;
    std::optional<instant> probe_not_before_;
    duration next_backoff_;
    /// Number of running requests in the last window that was not slowed.
    std::uint32_t sustained_ = 0;
    instant decrease_probed_at_;
    bool is_probing_decrease_ = false;
    std::uint32_t slowed_windows_ = 0;
    /// Highest number of running requests in the last `validation_time`, and when it ran.
    std::uint32_t peak_ = 0;
    instant peak_at_;
    bool has_units_ = false;
};

} // namespace hemlocknotch
