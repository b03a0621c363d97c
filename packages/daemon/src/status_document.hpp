#pragma once

#include <hemlocknotch/core/account_key.hpp>
#include <hemlocknotch/core/configuration.hpp>
#include <hemlocknotch/core/process_identity.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocknotch::daemon {

/// Fairness counter of one client account at one service: the weighted amount of service that it
/// received there.
struct status_counter {
    account_key service;
    account_key client_account;
    double counter = 0.0;
};

/// Content of a daemon's status page.
struct status_document {
    std::string name;
    process_role role = process_role::entry;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    bool is_ready = false;
    bool is_draining = false;
    std::size_t links = 0;
    /// Entry processes only.
    std::size_t waiting = 0;
    std::size_t outstanding = 0;
    /// Agent processes only.
    std::string service;
    std::size_t running = 0;
    std::uint32_t limit = 0;
    std::uint32_t free_slots = 0;
    std::vector<status_counter> counters;
};

/// Returns `status` as JSON (docs/INTERFACES.md). `names` gives the names of accounts and services; an
/// account or service that `names` lacks is written as its key, a number, as are all if `names` is null.
/// Never fails.
std::string write_status(const status_document& status, const configuration* names);

} // namespace hemlocknotch::daemon
