#pragma once

#include <hemlocknotch/core/log_record.hpp>
#include <hemlocknotch/gateway/registry_client.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns how log lines name `status`. Thread-safe.
std::string_view registry_status_text(gateway::registry_status status);

/// Decides which entries of the registry are logged because they should be readable and are not: each once,
/// until it can be read again or is removed. Used by one thread at a time.
class unreadable_entries {
public:
    /// Returns the line on those among `changes` that could be read before, or are new; nothing if there are
    /// none. `is_complete`: `changes` are all entries of the registry.
    std::optional<log_effect> note(std::span<const gateway::registry_change> changes, bool is_complete);

private:
    /// Maximum number of keys that are remembered. Beyond it, entries may be logged again.
    static constexpr std::size_t max_keys = 1024;

    /// Keys of the entries that were logged.
    std::set<std::string, std::less<>> logged_;
};

} // namespace hemlocknotch::daemon
