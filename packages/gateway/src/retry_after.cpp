#include "retry_after.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hemlocknotch::gateway {
namespace {

/// Longest time that a caller is told to wait; loads change within seconds.
constexpr duration max_retry_after = std::chrono::seconds{3};
/// Callers accept a wait of up to a third of their remaining time. A tenth of that is reserved for the time
/// on the network.
constexpr double accepted_share = 0.9 / 3.0;

/// Returns a number from 0 to 0.5 that depends on `id`.
double jitter_of(std::string_view id)
{
    return static_cast<double>(XXH64(id.data(), id.size(), 0) % 1000) / 2000.0;
}

} // namespace

std::string retry_after_text(std::string_view id, duration wait, std::optional<duration> caller_timeout)
{
    auto out = std::chrono::duration<double>(std::min(wait, max_retry_after)) * (1.0 + jitter_of(id));
    if (caller_timeout) {
        out = std::min(out, std::chrono::duration<double>(*caller_timeout) * accepted_share);
    }
    return std::to_string(out.count());
}

std::string known_retry_after_text(std::string_view id, duration wait)
{
    return std::to_string((std::chrono::duration<double>(wait) * (1.0 + jitter_of(id))).count());
}

} // namespace hemlocknotch::gateway
