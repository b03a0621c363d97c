#pragma once

#include <hemlocknotch/core/concurrency_limit.hpp>

#include <cstdint>

namespace hemlocknotch {

/// Bounds of an adaptive limit.
struct adaptive_limit_options {
    std::uint32_t initial_limit = 2;
    std::uint32_t max_limit = 64;
};

/// Finds the number of requests that an endpoint bears by the time between the units of its answers. Starts
/// small and grows while that time stays near the shortest known for the load, as TCP Vegas compares the
/// present round trip with the shortest (Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on
/// a Global Internet", 1995); falls by half where it does not or the endpoint fails a request, as TCP's
/// multiplicative decrease (Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988); and starts over
/// where the endpoint is cold.
class adaptive_concurrency_limit final : public concurrency_limit {
public:
    /// Precondition: `initial_limit` is at least 1 and at most `max_limit`.
    explicit adaptive_concurrency_limit(const adaptive_limit_options& options);

    [[nodiscard]] std::uint32_t limit() const override;
    void on_unit(instant now, duration interval, bool is_first, std::uint32_t running) override;
    void on_completed(instant now, duration run_time, std::uint32_t running) override;
    void on_failed(instant now) override;
    void on_cold(instant now) override;

private:
    adaptive_limit_options options_;
    double limit_;
};

} // namespace hemlocknotch
