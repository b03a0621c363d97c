#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hemlocknotch {

/// What a process of the system does.
enum class process_role : std::uint8_t { entry, agent };

/// One run of one process: its name from the settings, and a number drawn at random at each start, so that a
/// process that restarted empty is told from its predecessor.
struct process_identity {
    std::string name;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const process_identity&, const process_identity&) = default;
};

} // namespace hemlocknotch
