#pragma once

#include <hemlocknotch/core/endpoint_address.hpp>

#include <string>
#include <string_view>

namespace hemlocknotch::daemon {

/// Returns the JSON line that a daemon writes to stdout once it listens. `key` is the key of `address`:
/// `callers` for an entry process, `links` for an agent process.
std::string listening_line(std::string_view key, const endpoint_address& address,
                           const endpoint_address& operators_address);

} // namespace hemlocknotch::daemon
