#pragma once

#include <cstdint>

namespace hemlocknotch {

/// Number of one link (one connection) within a process. Never reused by that process; 0 means no link.
using link_id = std::uint64_t;

/// Number of one exchange with a caller (one HTTP request) within an entry process. Never reused; 0 is none.
using exchange_id = std::uint64_t;

/// Number of one call from an agent to its endpoint. Never reused by that agent; 0 is none.
using call_id = std::uint64_t;

} // namespace hemlocknotch
