#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>

namespace hemlocknotch {

/// Policy: how many requests an endpoint bears at once. Implementations are deterministic and are used by one
/// thread at a time.
class concurrency_limit {
public:
    virtual ~concurrency_limit() = default;

    /// Returns the number of requests that may run now. At least 1.
    [[nodiscard]] virtual std::uint32_t limit() const = 0;

    /// Tells that one unit of an answer came `interval` after the one before it, or after the start of its
    /// request where `is_first`, while `running` requests ran.
    virtual void on_unit(instant now, duration interval, bool is_first, std::uint32_t running) = 0;

    /// Tells that a request ended well after `run_time`, while `running` requests ran, itself included.
    virtual void on_completed(instant now, duration run_time, std::uint32_t running) = 0;

    /// Tells that the endpoint failed a request: an error of its own, or a broken connection.
    virtual void on_failed(instant now) = 0;

    /// Tells that the endpoint has become cold: a new incarnation, or silence followed by a new start.
    virtual void on_cold(instant now) = 0;
};

} // namespace hemlocknotch
