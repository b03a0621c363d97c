#pragma once

#include <hemlocknotch/gateway/placement_policy.hpp>

#include <memory>
#include <string_view>

namespace hemlocknotch::gateway::model {

/// Returns the placement policy `name` that serves as a baseline; null if there is none of that name.
/// `random`: any endpoint. `least-loaded`: the one with the fewest pending tokens. `prompt-only`: the one
/// that rendezvous hashing ranks first for the longest shared part. `prompt-bounded`: the first in that order
/// whose pending tokens are within a bound.
std::unique_ptr<placement_policy> create_baseline(std::string_view name);

} // namespace hemlocknotch::gateway::model
