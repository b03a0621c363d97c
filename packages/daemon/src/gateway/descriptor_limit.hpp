#pragma once

#include <cstddef>

namespace hemlocknotch::daemon {

/// Raises the number of descriptors that this process may open to `wanted`, as far as the system lets it, and
/// never lowers it. Returns the number in force; `wanted` where the system states none. Call before other
/// threads start.
std::size_t raise_descriptor_limit(std::size_t wanted);

} // namespace hemlocknotch::daemon
