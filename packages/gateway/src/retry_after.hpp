#pragma once

#include <hemlocknotch/core/time.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocknotch::gateway {

/// Shortest time that a caller is told to wait: some round trips, and a fraction of the shortest objectives.
inline constexpr duration min_retry_after = std::chrono::milliseconds{300};

/// Returns the value of `Retry-After` for the request `id`, in seconds with a fraction, if the expected wait
/// is `wait`. It is spread over one to one and a half times the wait, so that callers refused together do not
/// return together, and is short enough for a caller with `caller_timeout` to accept. Thread-safe.
std::string retry_after_text(std::string_view id, duration wait, std::optional<duration> caller_timeout);

/// Returns the value of `Retry-After` for a wait that is known: as `retry_after_text`, but never shorter, so
/// that callers for whom it is too long give up. Thread-safe.
std::string known_retry_after_text(std::string_view id, duration wait);

} // namespace hemlocknotch::gateway
