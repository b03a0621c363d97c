#pragma once

#include <hemlocknotch/core/refusal.hpp>
#include <hemlocknotch/core/request_id.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns the JSON body of the answer to a refused request (docs/INTERFACES.md). Never fails.
std::string refusal_document(const request_id& id, const refusal& reason, std::string_view detail);

/// Returns the value of `Retry-After` for `reason`: whole seconds, rounded up; empty if there is none.
std::string retry_after_of(const refusal& reason);

} // namespace hemlocknotch::daemon
