#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// Role of a process in the system.
enum class process_role : std::uint8_t { entry, agent };

/// Identity of one run of a process: its name from the settings, and a random number drawn at each start,
/// which distinguishes a restarted process that lost its state from its predecessor.
struct process_identity {
    std::string name;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const process_identity&, const process_identity&) = default;
};

} // namespace hemlocknotch
