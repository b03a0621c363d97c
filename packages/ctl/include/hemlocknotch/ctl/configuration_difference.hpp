#pragma once

#include <hemlocknotch/core/configuration.hpp>

#include <string>
#include <vector>

namespace hemlocknotch {

/// One value that differs between two configurations.
struct configuration_change {
    /// Path of the key, such as `client_accounts.farm.weight`.
    std::string path;
    /// Value before and after; empty where there is none.
    std::string before;
    std::string after;

    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// Returns what differs in meaning between `before` and `after`, by path. Comments, order and layout of the
/// documents do not matter. A null `before` is a configuration without anything in it. Precondition: `after`
/// is not null. Safe to call from any thread.
std::vector<configuration_change> compare_configurations(const configuration_ptr& before,
                                                         const configuration_ptr& after);

/// Returns `change` as one line for people.
std::string to_string(const configuration_change& change);

} // namespace hemlocknotch
