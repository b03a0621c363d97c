#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {

/// Weighted service of one client account from one service.
struct status_counter {
    account_key service;
    account_key client_account;
    double counter = 0.0;
};

/// What a daemon's status page says.
struct status_document {
    std::string name;
    process_role role = process_role::entry;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    std::size_t links = 0;
    /// Entries only.
    std::size_t waiting = 0;
    std::size_t outstanding = 0;
    /// Agents only.
    std::string service;
    std::size_t running = 0;
    std::uint32_t limit = 0;
    std::uint32_t free_slots = 0;
    std::vector<status_counter> counters;
};

/// Returns `status` as JSON (docs/INTERFACES.md). Names of accounts and services come from `names`; a key
/// that it does not have, or any where it is null, is written as its number. Never fails.
std::string write_status(const status_document& status, const configuration* names);

} // namespace hemlocknotch::daemon
