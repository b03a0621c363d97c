#pragma once

#include <hemlocknotch/coordination/instance_document.hpp>

#include "command_context.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocknotch {

/// What a daemon's status page says (docs/INTERFACES.md).
struct daemon_status {
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    std::uint64_t links = 0;
    /// Entries.
    std::uint64_t waiting = 0;
    std::uint64_t outstanding = 0;
    /// Agents.
    std::uint64_t running = 0;
    std::uint64_t limit = 0;
    std::uint64_t room = 0;
    /// Weighted service by service and client account.
    std::map<std::string, std::map<std::string, double>> counters;
};

/// Reads a status page. Returns nothing where the text is none. Never throws.
std::optional<daemon_status> read_daemon_status(std::string_view text);

/// One daemon of the instance list and what it said.
struct observed_daemon {
    listed_instance instance;
    /// Nothing where it gave no answer.
    std::optional<daemon_status> status;
};

/// Reads the instance list and asks every daemon that has an operators' address, all at once. Fails with a
/// `command_error` where the list gives no answer.
boost::leaf::result<std::vector<observed_daemon>> read_fleet(command_context& context);

} // namespace hemlocknotch
