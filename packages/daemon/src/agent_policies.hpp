#pragma once

#include <hemlocknotch/core/concurrency_limit.hpp>
#include <hemlocknotch/core/fair_order.hpp>

#include "settings.hpp"

#include <memory>

namespace hemlocknotch::daemon {

/// Creates the fair order that the settings select. Never null. Precondition: the settings are valid.
std::unique_ptr<fair_order> create_fair_order(const settings& values);

/// Creates the concurrency limit that the settings describe. Never null. Precondition: the settings are
/// valid.
std::unique_ptr<concurrency_limit> create_concurrency_limit(const settings& values);

} // namespace hemlocknotch::daemon
