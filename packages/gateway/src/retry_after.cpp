#include "retry_after.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hemlocknotch::gateway {
namespace {

/// Longest time that a caller is told to stay away; loads change within seconds.
constexpr duration max_retry_after = std::chrono::seconds{3};
/// Callers heed a time of up to a third of what they have left; a tenth of it is kept for the way.
constexpr double heeded_part = 0.9 / 3.0;

} // namespace

std::string retry_after_text(std::string_view id, duration wait, std::optional<duration> caller_timeout)
{
    const auto spread = static_cast<double>(XXH64(id.data(), id.size(), 0) % 1000) / 2000.0;
    auto out = std::chrono::duration<double>(std::min(wait, max_retry_after)) * (1.0 + spread);
    if (caller_timeout) {
        out = std::min(out, std::chrono::duration<double>(*caller_timeout) * heeded_part);
    }
    return std::to_string(out.count());
}

} // namespace hemlocknotch::gateway
