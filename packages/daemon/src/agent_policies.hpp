#pragma once

#include <hemlocknotch/core/concurrency_limit.hpp>
#include <hemlocknotch/core/fair_order.hpp>

#include "settings.hpp"

#include <memory>

namespace hemlocknotch::daemon {

/// Returns the fair order that the settings name. Never null. Precondition: the settings have passed their
/// check.
std::unique_ptr<fair_order> make_fair_order(const settings& values);

/// Returns the concurrency limit that the settings describe. Never null.
std::unique_ptr<concurrency_limit> make_concurrency_limit(const settings& values);

} // namespace hemlocknotch::daemon
