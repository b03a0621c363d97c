#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

#include <memory>
#include <string_view>

namespace hemlocknotch::gateway::model {

/// Returns the baseline `name` against which placement is measured; null where there is none of that name:
/// `random`; `least-loaded`, the one with least to read; `prompt-only`, the owner of the longest shared part;
/// `prompt-bounded`, the first by rendezvous hashing whose work ahead is within a bound.
std::unique_ptr<placement_policy> create_baseline(std::string_view name);

} // namespace hemlocknotch::gateway::model
