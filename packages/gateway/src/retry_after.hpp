#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Shortest time that a caller is told to stay away: some round trips, and a part of the shortest objectives.
inline constexpr duration min_retry_after = std::chrono::milliseconds{300};

/// Returns the seconds, with a fraction, after which the request `id` may come back where `wait` is expected:
/// spread over half as much again, so that those sent away together do not return together, and within what a
/// caller with `caller_timeout` heeds. Thread-safe.
std::string retry_after_text(std::string_view id, duration wait, std::optional<duration> caller_timeout);

} // namespace hemlocknotch::gateway
