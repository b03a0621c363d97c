#pragma once

#include <hemlocknotch/core/concurrency_limit.hpp>

namespace hemlocknotch {

/// A limit that never changes: for endpoints that sustain their full load from the start, and as a baseline.
class fixed_concurrency_limit final : public concurrency_limit {
public:
    /// Precondition: `limit` is at least 1.
    explicit fixed_concurrency_limit(std::uint32_t limit);

    [[nodiscard]] std::uint32_t limit() const override { return limit_; }

    void on_unit(instant now, duration interval, bool is_first, std::uint32_t running) override;
    void on_completed(instant now, duration run_time, std::uint32_t running) override;
    void on_failed(instant now) override;
    void on_cold(instant now) override;

private:
    std::uint32_t limit_;
};

} // namespace hemlocknotch
