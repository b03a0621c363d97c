#pragma once

#include <hemlocknotch/core/time.hpp>

#include <cstdint>

namespace hemlocknotch {

/// Policy: how many requests may run at an endpoint at once. Implementations are deterministic and are used
/// by one thread at a time.
class concurrency_limit {
public:
    virtual ~concurrency_limit() = default;

    /// Returns the number of requests that may run now. At least 1.
    [[nodiscard]] virtual std::uint32_t limit() const = 0;

    /// Records that one unit of an answer was received while `running` requests ran, `interval` after the
    /// unit before it or, with `is_first`, after the start of its request.
    virtual void on_unit(instant now, duration interval, bool is_first, std::uint32_t running) = 0;

    /// Records that a request succeeded after `run_time`, while `running` requests ran, itself included.
    virtual void on_completed(instant now, duration run_time, std::uint32_t running) = 0;

    /// Records that a request failed at the endpoint, by a server error or a broken connection.
    virtual void on_failed(instant now) = 0;

    /// Records that the endpoint has become cold: it reported a new incarnation, or was unresponsive and then
    /// started anew.
    virtual void on_cold(instant now) = 0;
};

} // namespace hemlocknotch
