#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns the JSON line that a daemon writes to stdout once it listens; `own` is `callers` or `links`.
std::string listening_line(std::string_view own, const endpoint_address& own_address,
                           const endpoint_address& operators_address);

} // namespace hemlocknotch::daemon
